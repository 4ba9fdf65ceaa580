#include "caller_http.h"
#include "config_json.h"
#include "dispatch_entry.h"
#include "http_client.h"
#include "memory_store.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>

using namespace chivelanding;

namespace {

std::uint16_t freePort(const char *Host) {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  const tcp::acceptor Listener(
      Io, tcp::endpoint(boost::asio::ip::make_address(Host), 0));
  return Listener.local_endpoint().port();
}

// One entry process on a loopback address of its own.
struct EntryProcess {
  EntryProcess(boost::asio::io_context &Io, const char *Host,
               std::uint16_t PeerPort, bool Cordons) {
    DispatchEntrySettings S;
    S.Process_.Name_ = Host;
    S.Listen_ = Listen_ = {Host, freePort(Host)};
    S.ReadyListen_ = Ready_ = {Host, freePort(Host)};
    S.PeerListen_ = {Host, PeerPort};
    S.Seeds_ = {{"127.0.0.1", PeerPort}};
    if (Cordons)
      S.Cordons_.ApplyWithin_ = std::chrono::seconds(5);
    auto Store = std::make_unique<MemoryStore>(Io);
    Store_ = Store.get();
    Entry_ = std::make_unique<DispatchEntry>(
        Io, S,
        EntryPorts{std::make_unique<platform::CallerHttp>(),
                   std::make_unique<platform::ConfigJson>(), std::move(Store)},
        testLog());
  }

  SocketAddress Listen_;
  SocketAddress Ready_;
  MemoryStore *Store_ = nullptr;
  std::unique_ptr<DispatchEntry> Entry_;
};

// Sends the request until the response contains Text, at most 200 times.
// Returns the last response.
HttpResponse requestUntil(boost::asio::io_context &Io, const SocketAddress &To,
                          const HttpRequest &Request, const char *Text) {
  HttpClient Client(Io, 1u << 20);
  HttpResponse Last;
  for (int I = 0; I < 200 && Last.Body_.find(Text) == std::string::npos; ++I) {
    bool Answered = false;
    Client.send(To, Request, std::chrono::seconds(5),
                [&](const Result<HttpResponse> &R) {
                  Answered = true;
                  if (ok(R))
                    Last = value(R);
                });
    while (!Answered)
      Io.run_one();
    Io.run_for(std::chrono::milliseconds(20));
  }
  return Last;
}

} // namespace

// Guards against an entry that starts runs before it knows the cordons, and
// against one that the store rejects and that the other entries do not serve.
TEST_CASE("An entry without the cordons refuses jobs until a peer sends them",
          "[cordons]") {
  boost::asio::io_context Io;
  const std::uint16_t PeerPort = freePort("127.0.0.1");
  EntryProcess Old(Io, "127.0.0.1", PeerPort, false);
  EntryProcess Rejected(Io, "127.0.0.2", PeerPort, true);
  EntryProcess Served(Io, "127.0.0.3", PeerPort, true);
  for (const EntryProcess *E : {&Old, &Served}) {
    E->Store_->write(StoreStream::Operators,
                     {"config", R"({"version":7,"routes":[{"name":"r1",
                       "host":"h.example","pathPrefix":"/a/","priority":0,
                       "service":"s1","attempts":3}],
                       "services":[{"name":"s1"}]})"});
    E->Store_->write(StoreStream::Operators, {"cordon/z1", "{}"});
  }
  Rejected.Store_->Failures_ = 1000000;
  REQUIRE(ok(Old.Entry_->start()));
  REQUIRE(ok(Rejected.Entry_->start()));
  HttpRequest Job;
  Job.Method_ = "POST";
  Job.Target_ = "/a/0123456789abcdef";
  Job.Headers_ = {{"Host", "h.example"}, {"X-Deadline-Ms", "1800"}};
  Job.Body_ = R"({"spec":"text","bestEffort":true,"steps":[{"count":1,
    "cpu":100,"memMb":64,"estRuntimeMs":90}]})";
  HttpRequest Metrics;
  Metrics.Target_ = "/metrics";
  const HttpResponse Unknown =
      requestUntil(Io, Rejected.Listen_, Job, "cordons_unknown");
  CHECK(Unknown.Status_ == 503);
  CHECK(Unknown.Body_.find("cordons_unknown") != std::string::npos);
  REQUIRE(ok(Served.Entry_->start()));
  const HttpResponse Known =
      requestUntil(Io, Rejected.Listen_, Job, "no_endpoint");
  CHECK(Known.Status_ == 503);
  CHECK(Known.Body_.find("no_endpoint") != std::string::npos);
  const auto Count = [&](const EntryProcess &E) {
    return requestUntil(Io, E.Ready_, Metrics, "chivelanding_cordoned_zones")
        .Body_;
  };
  CHECK(Count(Rejected).find("chivelanding_cordon_revision") !=
        std::string::npos);
  CHECK(requestUntil(Io, Old.Ready_, Metrics, "chivelanding_agents")
            .Body_.find("cordon") == std::string::npos);
  for (const EntryProcess *E : {&Old, &Rejected, &Served})
    E->Entry_->stop();
}
