#include "bench.h"
#include "scheduler.h"

#include <chrono>

namespace chivelanding {
namespace {

constexpr std::uint32_t BaseAgents = 11;
constexpr std::uint32_t BaseTeams = 3;
constexpr std::uint32_t BaseTasks = 1000;
constexpr std::uint32_t TasksPerJob = 20;
constexpr std::uint32_t Slots = 8;

using Clock = std::chrono::steady_clock;

double nanosecondsPerItem(Clock::duration D, double Count) {
  return std::chrono::duration<double, std::nano>(D).count() / Count;
}

AgentId makeAgentId(std::uint32_t N) {
  return {"agent-" + std::to_string(N), Incarnation(N + 1)};
}

JobId makeJobId(std::uint32_t N, std::uint32_t Teams) {
  const EntryId Owner{"entry-1", Incarnation(1)};
  return {TeamName("team-" + std::to_string(N % Teams)),
          {Owner, Epoch(0)},
          JobKey("job-" + std::to_string(N))};
}

// The limits are too high for admission control to reject a task, since the
// bench queues far more than the agents could run within the default MaxWait_.
PolicyConfig makePolicy(std::uint32_t Teams) {
  PolicyConfig Config;
  Config.MaxWaiting_ = 100'000'000;
  Config.MaxWait_ = std::chrono::hours(24);
  for (std::uint32_t N = 0; N < Teams; ++N)
    Config.Teams_[TeamName("team-" + std::to_string(N))].Quota_ = 1'000'000;
  return Config;
}

void addAgents(Scheduler &Sched, std::uint32_t Agents) {
  for (std::uint32_t N = 0; N < Agents; ++N) {
    EndpointInfo Info;
    Info.EndpointName_ = "endpoint-" + std::to_string(N);
    Info.Service_ = ServiceName("service");
    Info.Zone_ = ZoneName("zone-" + std::to_string(N % 3));
    Info.Rack_ = RackName("rack-" + std::to_string(N / 3));
    Info.Slots_ = Slots;
    Sched.addAgent(makeAgentId(N), Info, Time());
  }
}

void enqueue(Scheduler &Sched, std::uint32_t Tasks, std::uint32_t Teams) {
  for (std::uint32_t N = 0; N < Tasks; ++N) {
    WaitingTask Task;
    Task.Task_ = {makeJobId(N / TasksPerJob, Teams),
                  TaskIndex(N % TasksPerJob)};
    Task.Service_ = ServiceName("service");
    Task.Kind_ = KindName("kind");
    Sched.enqueue(Task, Time());
  }
}

// Repeats until no task waits: every agent reports all its slots as free, the
// scheduler places tasks, and these finish at once. Stops early if a round
// places nothing. Returns the number of placed tasks.
std::uint32_t drainQueue(Scheduler &Sched, std::uint32_t Agents) {
  std::uint32_t Placed = 0;
  std::uint64_t Now = 0;
  std::vector<std::uint64_t> Starts(Agents);
  while (Sched.waiting() > 0) {
    const Time At{Duration(Now += 100'000)};
    for (std::uint32_t N = 0; N < Agents; ++N)
      Sched.onReport(makeAgentId(N), {Slots, 0, Slots, Starts[N]}, At);
    const auto Placements = Sched.place(At);
    if (Placements.empty())
      break;
    for (const Placement &P : Placements) {
      ++Starts[P.Agent_.Incarnation_.value() - 1];
      Sched.onFinished(P.Task_, P.Agent_, RunOutcome::Success,
                       std::chrono::milliseconds(100), At);
    }
    Placed += static_cast<std::uint32_t>(Placements.size());
  }
  return Placed;
}

void printScale(std::uint32_t Factor) {
  const std::uint32_t Agents = BaseAgents * Factor;
  const std::uint32_t Teams = BaseTeams * Factor;
  const std::uint32_t Tasks = BaseTasks * Factor;
  const std::string Suffix = ".x" + std::to_string(Factor);
  const auto Before = allocatedBytes();
  Scheduler Sched(makePolicy(Teams), 1, ZoneName("zone-0"));
  const auto WithTeams = allocatedBytes();
  addAgents(Sched, Agents);
  const auto WithAgents = allocatedBytes();
  const auto Begin = Clock::now();
  enqueue(Sched, Tasks, Teams);
  const auto Filled = Clock::now();
  const auto WithTasks = allocatedBytes();
  const std::uint32_t Placed = drainQueue(Sched, Agents);
  const auto Drained = Clock::now();
  const auto Bytes = [](std::uint64_t From, std::uint64_t To, double Count) {
    return static_cast<double>(To - From) / Count;
  };
  printMetric("cost.team_bytes" + Suffix, Bytes(Before, WithTeams, Teams), "B");
  printMetric("cost.agent_bytes" + Suffix, Bytes(WithTeams, WithAgents, Agents),
              "B");
  printMetric("cost.waiting_task_bytes" + Suffix,
              Bytes(WithAgents, WithTasks, Tasks), "B");
  printMetric("cost.enqueue" + Suffix,
              nanosecondsPerItem(Filled - Begin, Tasks), "ns");
  printMetric("cost.place_and_end" + Suffix,
              nanosecondsPerItem(Drained - Filled, Placed), "ns");
  printMetric("cost.placed" + Suffix, Placed, "tasks",
              Target::atLeast(static_cast<double>(Tasks)));
}

} // namespace

int benchCost(std::uint64_t) {
  for (const std::uint32_t Factor : {1U, 10U, 100U})
    printScale(Factor);
  return ExitOk;
}

} // namespace chivelanding
