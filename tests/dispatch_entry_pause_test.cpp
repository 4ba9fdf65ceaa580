#include "caller_http.h"
#include "config_json.h"
#include "dispatch_entry.h"
#include "memory_store.h"
#include "peer_hub.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <thread>

// An entry that was paused, in an event loop of its own.
using namespace chivelanding;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

const tcp::endpoint AnyPort(boost::asio::ip::make_address("127.0.0.1"), 0);

std::uint16_t freePort() {
  boost::asio::io_context Io;
  return tcp::acceptor(Io, AnyPort).local_endpoint().port();
}

DispatchEntrySettings makeSettings() {
  DispatchEntrySettings S;
  S.Process_.Name_ = "e";
  for (auto *A : {&S.Listen_, &S.ReadyListen_, &S.PeerListen_})
    *A = {"127.0.0.1", freePort()};
  return S;
}

std::unique_ptr<MemoryStore> makeStore(boost::asio::io_context &Io) {
  auto Store = std::make_unique<MemoryStore>(Io);
  Store->Records_[StoreStream::Operators]["config"] = R"({"version":7,
    "routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","priority":0,
    "service":"s1","attempts":3,"stretch":1.6,"targetLatencyMs":60}],
    "services":[{"name":"s1"}]})";
  return Store;
}

// An entry with one agent and one caller, which are in another event loop.
struct PausableEntry {
  PausableEntry()
      : Settings_(makeSettings()),
        Entry_(EntryIo_, Settings_,
               {std::make_unique<platform::CallerHttp>(),
                std::make_unique<platform::ConfigJson>(), makeStore(EntryIo_)},
               testLog()),
        Agent_(Io_, {}, {Role::Agent, "agent", Incarnation(1)}, testLog(),
               {[this](const PeerUp &Up) { EntryPeer_ = Up.Peer_; },
                [](const PeerId &) {}, [](const PeerId &) {},
                [](const PeerId &) {},
                [this](const PeerId &, const Message &M) {
                  if (const auto *S = std::get_if<StartRuns>(&M))
                    Starts_.push_back(*S);
                },
                [] {}}),
        Caller_(Io_) {
    Agent_.addSeed(Settings_.PeerListen_);
    REQUIRE(ok(Entry_.start()));
    REQUIRE(ok(Agent_.start()));
  }

  ~PausableEntry() {
    Agent_.stop();
    Entry_.stop();
  }

  // Runs both event loops until Met; bounded in case of a fault.
  template <typename Condition> bool runUntil(const Condition &Met) {
    for (int I = 0; I < 1000 && !Met(); ++I)
      runBoth(1);
    return Met();
  }

  void runBoth(int Turns) {
    for (int I = 0; I < Turns; ++I) {
      EntryIo_.run_for(milliseconds(2));
      Io_.run_for(milliseconds(2));
    }
  }

  void report(std::uint32_t FreeCpu) {
    EndpointReport R;
    R.Service_ = ServiceName("s1");
    R.Usable_ = true;
    R.Capacity_ = {8000, 8000, 0};
    R.Free_ = {FreeCpu, 8000, 0};
    R.SeenSequence_ = Starts_.empty() ? 0 : Starts_.back().Sequence_;
    Agent_.send(*EntryPeer_, R);
  }

  // Waits for the link and submits a job that the agent has room for or not.
  void submit(std::uint32_t FreeCpu) {
    REQUIRE(runUntil([this] { return EntryPeer_.has_value(); }));
    report(FreeCpu);
    runBoth(20);
    Caller_.connect({AnyPort.address(),
                     static_cast<std::uint16_t>(Settings_.Listen_.Port_)});
    const std::string Body =
        R"({"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":1000,)"
        R"("memMb":64,"estRuntimeMs":6000}]})";
    boost::asio::write(
        Caller_,
        boost::asio::buffer("POST /a/0123456789abcdef HTTP/1.1\r\n"
                            "Host: h.example\r\nX-Deadline-Ms: 14000\r\n"
                            "Content-Length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" + Body));
  }

  // The entry stands still while Do happens.
  template <typename Action> void pause(const Action &Do) {
    EntryIo_.run_for(milliseconds(2));
    Do();
    Io_.run_for(milliseconds(300));
  }

  void resetCaller() {
    Caller_.set_option(boost::asio::socket_base::linger(true, 0));
    Caller_.close();
  }

  boost::asio::io_context EntryIo_;
  boost::asio::io_context Io_;
  DispatchEntrySettings Settings_;
  DispatchEntry Entry_;
  PeerHub Agent_;
  tcp::socket Caller_;
  std::optional<PeerId> EntryPeer_;
  std::vector<StartRuns> Starts_;
};

} // namespace

// Guards against a second run of a task that a frozen entry has started: its
// agent stops the run, the caller is cut off and submits the job elsewhere, and
// the entry that wakes handles the end of the run first.
TEST_CASE("A paused entry reruns no task of a caller that has left",
          "[dispatch_entry]") {
  const bool Leaves = GENERATE(true, false);
  PausableEntry E;
  E.submit(8000);
  REQUIRE(E.runUntil([&] { return E.Starts_.size() == 1; }));
  const StartRuns First = E.Starts_[0];
  E.pause([&] {
    E.report(8000);
    E.Agent_.send(
        *E.EntryPeer_,
        RunsEnded{{{{First.Job_, First.Runs_[0].Index_, 1, First.Submission_},
                    RunEnding::Stopped,
                    milliseconds(100)}}});
    E.Io_.run_for(milliseconds(20));
    if (Leaves)
      E.resetCaller();
  });
  if (Leaves) {
    E.runBoth(50);
    CHECK(E.Starts_.size() == 1);
  } else {
    CHECK(E.runUntil([&] { return E.Starts_.size() == 2; }));
  }
}

// The same for a job that waits for its first run when the entry is frozen.
TEST_CASE("A paused entry starts no waiting job of a caller that has left",
          "[dispatch_entry]") {
  const bool Leaves = GENERATE(true, false);
  PausableEntry E;
  E.submit(0);
  E.runBoth(20);
  REQUIRE(E.Starts_.empty());
  E.pause([&] {
    E.report(8000);
    E.Io_.run_for(milliseconds(20));
    if (Leaves)
      E.resetCaller();
  });
  if (Leaves) {
    E.runBoth(50);
    CHECK(E.Starts_.empty());
  } else {
    CHECK(E.runUntil([&] { return E.Starts_.size() == 1; }));
  }
}
