#include "scheduler.h"
#include "service_times.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

const EntryId Entry{"entry", Incarnation(1)};
const Time Start{};

Time at(int Ms) { return Start + std::chrono::milliseconds(Ms); }

AgentId agent(int N) { return {"agent" + std::to_string(N), Incarnation(1)}; }

void addAgent(Scheduler &S, int N, std::uint32_t Slots) {
  EndpointInfo Info;
  Info.Service_ = ServiceName("service");
  Info.Slots_ = Slots;
  S.addAgent(agent(N), Info, Start);
  S.onReport(agent(N), {Slots, 0, Slots, 0}, Start);
}

WaitingTask task(const char *Key, std::uint32_t Index, const char *Kind,
                 std::uint32_t Class, const char *Team = "team") {
  WaitingTask T;
  T.Task_ = {{TeamName(Team), {Entry, Epoch(0)}, JobKey(Key)},
             TaskIndex(Index)};
  T.Service_ = ServiceName("service");
  T.Kind_ = KindName(Kind);
  T.Class_ = PriorityClass(Class);
  return T;
}

// Ends every placed task after 100 ms, reports free slots before each
// placement, and returns the number of starts per job key.
std::map<std::string, int> countStarts(Scheduler &S, int Slots, int Steps) {
  std::map<std::string, int> Starts;
  std::vector<Placement> Running;
  for (int Step = 0; Step < Steps; ++Step) {
    for (const Placement &P : Running)
      S.onFinished(P.Task_, P.Agent_, RunOutcome::Success,
                   std::chrono::milliseconds(100), at(100 * Step));
    std::uint64_t Seen = 0;
    for (const auto &[Key, Count] : Starts)
      Seen += static_cast<std::uint64_t>(Count);
    const auto Free = static_cast<std::uint32_t>(Slots);
    S.onReport(agent(0), {Free, 0, Free, Seen}, at(100 * Step));
    Running = S.place(at(100 * Step));
    for (const Placement &P : Running)
      ++Starts[P.Task_.Job_.Key_.str()];
  }
  return Starts;
}

} // namespace

// Guards against starvation of a kind with a guaranteed share by a flood of
// more urgent tasks.
TEST_CASE("A flood of urgent tasks leaves other kinds their share",
          "[policy]") {
  PolicyConfig Config;
  Config.Kinds_[KindName("urgent")] = {PriorityClass(0), 50, 0};
  Config.Kinds_[KindName("batch")] = {PriorityClass(2), 50, 0};
  Scheduler S(Config, 1, ZoneName());
  addAgent(S, 0, 4);
  for (std::uint32_t I = 0; I < 1000; ++I) {
    S.enqueue(task("u", I, "urgent", 0), Start);
    S.enqueue(task("b", I, "batch", 2), Start);
  }
  const auto Starts = countStarts(S, 4, 200);
  CHECK(Starts.at("b") >= 380);
  CHECK(Starts.at("u") >= 380);
}

// Guards against a team that uses more slots than its quota, at this entry or
// together with its usage at another entry.
TEST_CASE("A team's quota bounds its tasks at all entries", "[policy]") {
  PolicyConfig Config;
  Config.Teams_[TeamName("team")] = {5, 0};
  Scheduler S(Config, 1, ZoneName());
  addAgent(S, 0, 20);
  for (std::uint32_t I = 0; I < 10; ++I)
    S.enqueue(task("j", I, "kind", 0), Start);
  S.onUsage({"other", Incarnation(2)}, {{{TeamName("team"), 3, 0}}}, Start);
  const auto First = S.place(Start);
  CHECK(First.size() == 2);
  S.onFinished(First[0].Task_, First[0].Agent_, RunOutcome::Success, {}, at(1));
  CHECK(S.place(at(1)).size() == 1);
}

// Guards against the ejection of most endpoints of a service, because they fail
// at the same time or because one kind fails at all of them.
TEST_CASE("Few endpoints are ejected, and none for a failing kind",
          "[policy]") {
  EndpointHealth Health;
  const ServiceName Service("service");
  const KindName Good("good");
  const KindName Bad("bad");
  for (std::uint32_t A = 0; A < 8; ++A)
    Health.addAgent(A, Service);
  for (int Round = 0; Round < 10; ++Round)
    for (std::uint32_t A = 0; A < 8; ++A) {
      Health.onFinished(A, Good, true, at(Round), at(Round));
      Health.onFinished(A, Bad, false, at(Round), at(Round));
    }
  CHECK(Health.ejectedCount(Service) == 0);
  CHECK(Health.failsEverywhere(Bad));
  for (int Round = 0; Round < 5; ++Round)
    for (std::uint32_t A = 0; A < 4; ++A)
      Health.onFinished(A, Good, false, at(20 + Round), at(20 + Round));
  CHECK(Health.ejectedCount(Service) == 2);
}

// Guards against a start after the deadline, and against jobs that wait forever
// for a service without endpoints.
TEST_CASE("Tasks that can never run are removed with a reason", "[policy]") {
  Scheduler S;
  WaitingTask Late = task("late", 0, "kind", 0);
  Late.Deadline_ = at(50);
  S.enqueue(Late, Start);
  S.enqueue(task("never", 0, "kind", 0), Start);
  CHECK(S.takeUnplaceable(at(49)).empty());
  const auto Passed = S.takeUnplaceable(at(50));
  REQUIRE(Passed.size() == 1);
  CHECK(Passed[0].Code_ == "deadline");
  const auto Stranded = S.takeUnplaceable(at(10000));
  REQUIRE(Stranded.size() == 1);
  CHECK(Stranded[0].Code_ == "no_endpoint");
  CHECK(S.waiting() == 0);
}

// Guards against placing tasks of a job after it was cancelled.
TEST_CASE("A cancelled job leaves the queue", "[policy]") {
  Scheduler S;
  for (std::uint32_t I = 0; I < 3; ++I) {
    S.enqueue(task("a", I, "kind", 0), Start);
    S.enqueue(task("b", I, "kind", 0), Start);
  }
  CHECK(S.cancel(task("a", 0, "kind", 0).Task_.Job_, Start).size() == 3);
  addAgent(S, 0, 8);
  const auto Placed = S.place(Start);
  REQUIRE(Placed.size() == 3);
  CHECK(Placed[0].Task_.Job_.Key_.str() == "b");
}

// Guards against endpoints that are ejected for network delay when tasks are
// far shorter than a round trip, and against a lower bound on run times that
// hides an endpoint that is slow for tasks of ordinary length.
TEST_CASE("Slowness is computed from run times, not network delays",
          "[policy]") {
  const auto SlownessOf = [](Duration Usual, Duration Own) {
    ServiceTimes Times;
    std::uint64_t Task = 0;
    const auto Run = [&](std::uint32_t Agent, Duration Time) {
      Times.onStarted(Agent, KindName("kind"), ++Task, Start);
      Times.onFinished(Agent, KindName("kind"), Task, Time, Agent == 0, Start);
    };
    for (int I = 0; I < 50; ++I) {
      Run(0, Usual);
      Run(1, Own);
    }
    return Times.slowness(1, Start);
  };
  CHECK(SlownessOf(Duration(100), Duration(2000)) < 1.5);
  CHECK(SlownessOf(Duration(100'000), Duration(800'000)) > 3);
}
