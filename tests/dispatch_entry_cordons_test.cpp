#include "caller_http.h"
#include "config_json.h"
#include "dispatch_entry.h"
#include "http_client.h"
#include "memory_store.h"
#include "peer_hub.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>

using namespace chivelanding;
using std::chrono::milliseconds;

namespace {

std::uint16_t freePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  const tcp::endpoint Any(boost::asio::ip::make_address("127.0.0.1"), 0);
  return tcp::acceptor(Io, Any).local_endpoint().port();
}

// A peer of the entry that records the sets it receives.
struct TestPeer {
  TestPeer(boost::asio::io_context &Io, Role R, const SocketAddress &Entry)
      : Hub_(Io, {}, {R, "peer", Incarnation(1)}, testLog(),
             {[this](const PeerUp &Up) { Entry_ = Up.Peer_; },
              [](const PeerId &) {}, [](const PeerId &) {},
              [](const PeerId &) {},
              [this](const PeerId &, const Message &M) {
                if (const auto *C = std::get_if<ZoneCordons>(&M))
                  Received_.push_back(C->Revision_);
              },
              [] {}}) {
    Hub_.addSeed(Entry);
  }

  std::optional<PeerId> Entry_;
  std::vector<std::uint64_t> Received_;
  PeerHub Hub_;
};

} // namespace

// Guards against an entry that accepts jobs or reports itself ready before it
// knows the cordons, and against one that does not pass them on.
TEST_CASE("An entry is ready only with a set of cordons, and passes it on",
          "[cordon]") {
  boost::asio::io_context Io;
  DispatchEntrySettings S;
  S.Process_.Name_ = "e";
  S.Cordons_.ApplyWithin_ = std::chrono::seconds(5);
  for (auto *A : {&S.Listen_, &S.ReadyListen_, &S.PeerListen_})
    *A = {"127.0.0.1", freePort()};
  auto Owned = std::make_unique<MemoryStore>(Io);
  MemoryStore &Store = *Owned;
  // Without a line in the stream, the offset and so the revision is 0.
  Store.Records_[StoreStream::Operators]["config"] = R"({"version":7,
    "routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","priority":0,
    "service":"s1","attempts":3}],"services":[{"name":"s1"}]})";
  DispatchEntry Entry(Io, S,
                      {std::make_unique<platform::CallerHttp>(),
                       std::make_unique<platform::ConfigJson>(),
                       std::move(Owned)},
                      testLog());
  TestPeer Agent(Io, Role::Agent, S.PeerListen_);
  TestPeer Other(Io, Role::Entry, S.PeerListen_);
  HttpClient Client(Io, 1u << 20);
  // Runs until Met, and has the agent report meanwhile; bounded in case of a
  // fault.
  const auto RunUntil = [&](const auto &Met) {
    for (int I = 0; I < 500 && !Met(); ++I) {
      EndpointReport Report;
      Report.Usable_ = true;
      if (Agent.Entry_)
        Agent.Hub_.send(*Agent.Entry_, Report);
      Io.run_for(milliseconds(20));
    }
    return Met();
  };
  const auto Get = [&](const SocketAddress &To, const HttpRequest &Request) {
    std::optional<HttpResponse> Response;
    Client.send(To, Request, milliseconds(2000), [&](auto R) {
      Response = ok(R) ? value(R) : HttpResponse{0, {}, {}, {}};
    });
    RunUntil([&] { return Response.has_value(); });
    return Response ? *Response : HttpResponse{0, {}, {}, {}};
  };
  const auto IsReady = [&] {
    return Get(S.ReadyListen_, {"GET", "/ready", {}, {}}).Status_ == 200;
  };
  const HttpRequest Job{"POST",
                        "/a/0123456789abcdef",
                        {{"Host", "h.example"}, {"X-Deadline-Ms", "1800"}},
                        R"({"spec":"x","bestEffort":true,"steps":[{"count":1,
                          "cpu":100,"memMb":64,"estRuntimeMs":90}]})"};
  REQUIRE(ok(Entry.start()));
  REQUIRE(ok(Agent.Hub_.start()));
  REQUIRE(ok(Other.Hub_.start()));
  REQUIRE(RunUntil([&] { return Agent.Entry_ && Other.Entry_; }));
  const HttpResponse Refused = Get(S.Listen_, Job);
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.Body_.find("cordons_unknown") != std::string::npos);
  CHECK_FALSE(IsReady());
  CHECK(Agent.Received_.empty());

  Other.Hub_.send(*Other.Entry_, ZoneCordons{5, {ZoneName("z1")}});
  CHECK(RunUntil([&] { return !Agent.Received_.empty(); }));
  CHECK(Agent.Received_.front() == 5);
  // The reports say that the agent has no set, so it gets the set again.
  CHECK(RunUntil([&] { return Agent.Received_.size() > 1; }));
  CHECK(Agent.Received_[1] == 5);
  CHECK(RunUntil(IsReady));
  CHECK(Get(S.Listen_, Job).Body_.find("cordons_unknown") == std::string::npos);
  const std::string Metrics =
      Get(S.ReadyListen_, {"GET", "/metrics", {}, {}}).Body_;
  CHECK(Metrics.find("chivelanding_cordoned_zones") != std::string::npos);

  for (int I = 0; I < 6; ++I)
    Store.write(StoreStream::Operators, {"cordon/z1", ""});
  CHECK(RunUntil([&] { return Agent.Received_.back() == 6; }));
  CHECK(RunUntil([&] { return Other.Received_.back() == 6; }));
  Agent.Hub_.stop();
  Other.Hub_.stop();
  Entry.stop();
}
