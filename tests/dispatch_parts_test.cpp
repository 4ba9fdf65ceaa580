#include "config_feed.h"
#include "drain_plan.h"
#include "durations.h"
#include "entry_presence.h"
#include "event_history.h"
#include "lease_plan.h"
#include "log_output.h"
#include "memory_store.h"
#include "peer_versions.h"
#include "persisted_endpoint.h"
#include "run_health.h"
#include "run_supervisor.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <deque>

#include <fcntl.h>
#include <unistd.h>

using namespace chivelanding;
using std::chrono::milliseconds;

namespace {

Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

EndpointIncarnation endpoint() {
  EndpointIncarnation L;
  L.Id_ = "w";
  L.StartedMs_ = 5;
  L.Service_ = ServiceName("s");
  L.Zone_ = ZoneName("z");
  L.Rack_ = RackName("r");
  L.Capacity_ = {4000, 100, 1};
  L.Sequence_ = 9;
  return L;
}

template <typename T> const T *firstOf(const RunSupervisorOutputs &Out) {
  for (const RunSupervisorOutput &O : Out)
    if (const auto *Match = std::get_if<T>(&O))
      return Match;
  return nullptr;
}

} // namespace

// Guards against a draining entry that refuses jobs that it could finish,
// accepts jobs that it could not, or does not exit before it is killed.
TEST_CASE("A draining entry takes jobs that end in time", "[drain]") {
  const DrainPlan Plan(at(0), milliseconds(6000));
  CHECK(Plan.mayAcceptJob(milliseconds(900), at(3000)));
  CHECK(!Plan.mayAcceptJob(milliseconds(900), at(4000)));
  CHECK(Plan.mayAcceptJob(milliseconds(60), at(4500)));
  CHECK(!Plan.mayAcceptJob(milliseconds(60), at(5300)));
  // The load balancer may still send requests.
  CHECK(!Plan.mayExit(0, 0, at(1000)));
  CHECK(Plan.mayExit(0, 0, at(2700)));
  CHECK(!Plan.mayExit(0, 3, at(2700)));
  CHECK(!Plan.mayExit(1, 3, at(5300)));
  CHECK(Plan.mayExit(0, 3, at(5300)));
  CHECK(Plan.mayExit(5, 3, at(5400)));
}

// Guards against leases under which runs of a lost entry continue until its
// callers have submitted the job elsewhere.
TEST_CASE("Owner lease and stop fit into the callers' pause", "[leases]") {
  for (const int RetryMs : {600, 1300, 5000}) {
    LeaseSettings S;
    S.CallerRetry_ = milliseconds(RetryMs);
    const RunLeases L = planLeases(S);
    CHECK(L.Owner_ + 2 * L.StopTime_ < S.CallerRetry_);
    CHECK(L.Endpoint_ < S.MaxEndpointLease_);
    // An entry fails, and then its agent just before it would stop the runs.
    CHECK(L.Owner_ + scaled(L.Endpoint_, 1 / 0.98) + S.StopTime_ <
          S.CallerRetry_);
  }
}

// Guards against an endpoint that is classed as slow or failing after a single
// run, and against statistics that never recover.
TEST_CASE("Health needs several runs and forgets", "[run_health]") {
  RunHealth H;
  H.onLength(milliseconds(2000), milliseconds(100), at(0));
  CHECK(H.slownessPermille(at(0)) < 1800);
  for (int I = 0; I < 10; ++I)
    H.onLength(milliseconds(500), milliseconds(100), at(I));
  CHECK(H.slownessPermille(at(10)) > 2500);
  CHECK(H.slownessPermille(at(30000)) < 1100);
  H.onFailure(at(30000));
  CHECK(H.failedPermille(at(30000)) < 450);
  for (int I = 0; I < 4; ++I)
    H.onFailure(at(30001));
  CHECK(H.failedPermille(at(30001)) > 450);
  CHECK(H.failedPermille(at(40000)) < 50);
}

// Guards against a stored incarnation that is read back with other values, and
// against malformed records that end the process.
TEST_CASE("A kept life survives the store", "[endpoint_memory]") {
  const auto Read = parseIncarnation(encodeIncarnation(endpoint()));
  REQUIRE(Read);
  CHECK(Read->Id_ == "w");
  CHECK(Read->StartedMs_ == 5);
  CHECK(Read->Rack_ == RackName("r"));
  CHECK(Read->Capacity_ == endpoint().Capacity_);
  CHECK(!parseIncarnation(""));
  CHECK(!parseIncarnation("{}"));
  CHECK(!parseIncarnation(R"({"id":7})"));
}

// Guards against an incarnation that is not stored after an outage of the
// store.
TEST_CASE("A life is stored once the store accepts it", "[endpoint_memory]") {
  boost::asio::io_context Io;
  EventLog &Log = testLog();
  MemoryStore Store(Io);
  PersistedEndpoint Persisted(Io, Store, Log, "agent-1");
  Store.Failures_ = 1;
  Persisted.save(endpoint());
  Io.run();
  CHECK(Store.Puts_ == 2);
  CHECK(Store.Records_[StoreStream::Endpoints].count("agent-1") == 1);
  Persisted.save(endpoint());
  CHECK(Store.Puts_ == 2);
}

// Guards against starts at an endpoint other than the stored one.
TEST_CASE("A recalled life is used only if confirmed", "[endpoint_memory]") {
  RunSupervisor Supervisor(RunSupervisorLimits(), 1);
  Supervisor.onRestored(endpoint(), at(0));
  auto Out = Supervisor.onTimer(at(0));
  const auto *Poll = firstOf<MakePoll>(Out);
  REQUIRE(Poll);
  CHECK(Poll->Call_.Endpoint_ == "w");
  SECTION("The same life") {
    PollAnswer A;
    A.ClockMs_ = 70;
    A.StartedMs_ = 5;
    Supervisor.onPollAnswer(Poll->Id_, A, at(1));
    CHECK(Supervisor.usable());
  }
  SECTION("Another life with the same id may be of another kind") {
    PollAnswer A;
    A.ClockMs_ = 70;
    A.StartedMs_ = 6;
    Supervisor.onPollAnswer(Poll->Id_, A, at(1));
    CHECK(!Supervisor.usable());
    CHECK(Supervisor.endpoint()->Capacity_.Cpu_ == 0);
  }
  SECTION("Another id") {
    Supervisor.onPollAnswer(Poll->Id_, Error{"other_life", "", "", ""}, at(1));
    CHECK(!Supervisor.endpoint());
  }
  SECTION("An announcement goes first") {
    EndpointIncarnation Announced = endpoint();
    Announced.Id_ = "w2";
    Announced.StartedMs_ = 8;
    Supervisor.onAnnounced(Announced, at(1));
    Supervisor.onRestored(endpoint(), at(2));
    CHECK(Supervisor.endpoint()->Id_ == "w2");
  }
}

// Guards against a change that is missed after an error or a lost connection,
// and against one that is applied twice.
TEST_CASE("The feed gets each configuration", "[config_feed]") {
  boost::asio::io_context Io;
  EventLog &Log = testLog();
  MemoryStore Store(Io);
  std::vector<std::string> Seen;
  ConfigFeed Feed(Io, Store, Log,
                  [&](const std::string &Text) { Seen.push_back(Text); });
  Store.write(StoreStream::Operators, {"config", "one"});
  Store.Failures_ = 2;
  Feed.start();
  Io.run();
  CHECK(Seen == std::vector<std::string>{"one"});
  CHECK(Feed.available());
  Io.restart();
  Store.write(StoreStream::Operators, {"wave/1", "other"});
  Store.write(StoreStream::Operators, {"config", "two"});
  Io.run();
  CHECK(Seen == std::vector<std::string>{"one", "two"});
  Io.restart();
  Store.breakFollowers();
  Store.write(StoreStream::Operators, {"config", "three"});
  Io.run();
  CHECK(Seen.back() == "three");
  Feed.stop();
}

// Guards against addresses of entries that are lost, and against malformed
// records taken for addresses.
TEST_CASE("Entries find each other in the store", "[presence]") {
  boost::asio::io_context Io;
  EventLog &Log = testLog();
  MemoryStore Store(Io);
  Store.write(StoreStream::Entries, {"e2", "10.0.0.2:7000"});
  Store.write(StoreStream::Entries, {"e3", "no address"});
  Store.write(StoreStream::Entries, {"e4", "10.0.0.4:0"});
  std::vector<std::string> Found;
  EntryPresence Presence(Io, Store, Log, [&](const SocketAddress &A) {
    Found.push_back(A.str());
  });
  Presence.announce("e1", {"10.0.0.1", 7000});
  Io.run();
  CHECK(Found == std::vector<std::string>{"10.0.0.2:7000"});
  CHECK(Store.Records_[StoreStream::Entries]["e1"] == "10.0.0.1:7000");
}

// Guards against a process that blocks because nothing reads its log.
TEST_CASE("A log without a reader holds nothing up", "[log]") {
  std::array<int, 2> Pipe{};
  REQUIRE(::pipe(Pipe.data()) == 0);
  LogOutput Output(Pipe[1], 16u << 10);
  const std::string Line(100, 'x');
  int Dropped = 0;
  for (int I = 0; I < 5000; ++I)
    Dropped += Output.add(Line) ? 0 : 1;
  CHECK(Dropped > 0);
  CHECK(Output.buffered() <= 16u << 10);
  // Once the pipe is read, whole lines arrive again.
  std::string Read;
  std::array<char, 4096> Part{};
  ::fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  for (int I = 0; I < 200; ++I) {
    Output.flush();
    const auto Bytes = ::read(Pipe[0], Part.data(), Part.size());
    if (Bytes > 0)
      Read.append(Part.data(), static_cast<std::size_t>(Bytes));
  }
  CHECK(Output.buffered() == 0);
  CHECK(Read.size() % 101 == 0);
  CHECK(Read.size() / 101 == static_cast<std::size_t>(5000 - Dropped));
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}

// Guards against one event type that takes the whole volume of the log.
TEST_CASE("Lines of one event are bounded a second", "[log]") {
  LogRateLimiter Rate(3);
  int Admitted = 0;
  for (int I = 0; I < 10; ++I)
    Admitted += Rate.admit(300, 7) ? 1 : 0;
  CHECK(Admitted == 3);
  CHECK(Rate.admit(301, 7));
  CHECK(Rate.admit(300, 8));
}

// Guards against lines that a collector cannot parse.
TEST_CASE("A JSON line is valid whatever its values", "[log]") {
  const Event E{&events::JobRefused,
                {{"job", "0123456789012345"},
                 {"detail", "a \"quoted\"\n\\ \xff value"},
                 {"age_ms", "12"},
                 {"zero", "0"},
                 {"code", "007"},
                 {"none", ""}}};
  const auto Line = nlohmann::json::parse(E.json(1700000000123));
  CHECK(Line["event"] == "job_refused");
  CHECK(Line["time_ms"] == 1700000000123);
  CHECK(Line["job"] == "0123456789012345");
  CHECK(Line["age_ms"] == 12);
  CHECK(Line["zero"] == 0);
  CHECK(Line["code"] == "007");
  CHECK(Line["none"].get<std::string>().empty());
}

// Guards against lines of other jobs, or lines out of order, in the event
// history of a job.
TEST_CASE("The story of a job is told by time", "[log]") {
  std::istringstream Log(
      "agent-1 {\"time_ms\":30,\"event\":\"run_ended\",\"job\":\"a\","
      "\"ending\":\"done\"}\n"
      "no object, but a\n"
      "{\"broken\n"
      "entry-1 {\"time_ms\":10,\"event\":\"job_accepted\",\"job\":\"a\"}\n"
      "entry-1 {\"time_ms\":20,\"event\":\"job_accepted\",\"job\":\"ab\"}\n");
  const auto Story = eventHistory("a", Log);
  REQUIRE(Story.size() == 2);
  CHECK(Story[0] == "+0 ms entry-1 job_accepted");
  CHECK(Story[1] == "+20 ms agent-1 run_ended ending=done");
}

// Guards against whole configurations sent between all entries at each change,
// and against an entry that the store does not serve and that therefore keeps
// an old configuration.
TEST_CASE("A configuration is asked for only if the store does not bring it",
          "[peer-versions]") {
  const auto At = [](std::int64_t Ms) {
    return Time(std::chrono::milliseconds(Ms));
  };
  const PeerId A{Role::Entry, "a", Incarnation(1)};
  const PeerId B{Role::Entry, "b", Incarnation(2)};
  PeerVersions V;
  V.onDigest(A, ConfigVersion(7), At(0));
  V.onDigest(B, ConfigVersion(7), At(10));
  CHECK_FALSE(V.nextPeerToAsk(ConfigVersion(6), At(300)));
  CHECK_FALSE(V.nextPeerToAsk(ConfigVersion(7), At(2000)));
  CHECK(V.nextPeerToAsk(ConfigVersion(6), At(500)) == A);
  CHECK_FALSE(V.nextPeerToAsk(ConfigVersion(6), At(600)));
  // The first peer does not answer.
  CHECK(V.nextPeerToAsk(ConfigVersion(6), At(900)) == B);
  V.onLost(A);
  CHECK(V.nextPeerToAsk(ConfigVersion(6), At(1300)) == B);
  // An entry without a configuration asks at once.
  PeerVersions New;
  New.onDigest(A, ConfigVersion(7), At(0));
  CHECK(New.nextPeerToAsk(ConfigVersion(), At(1)) == A);
}
