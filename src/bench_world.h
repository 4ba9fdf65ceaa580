#ifndef CHIVELANDING_BENCH_WORLD_H
#define CHIVELANDING_BENCH_WORLD_H

#include "bench.h"
#include "job_owner.h"
#include "policy_config.h"
#include "start_controller.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivelanding {

/// Size and one-way network delays of a deployment. Slots are per endpoint,
/// RackSize_ is in endpoints.
struct FleetShape {
  const char *Name_;
  Duration InterZoneDelay_;
  Duration CallerDelay_;
  Duration IntraZoneDelay_ = std::chrono::microseconds(250);
  std::uint32_t Endpoints_ = 11;
  std::uint32_t Slots_ = 8;
  std::uint32_t Owners_ = 3;
  std::uint32_t Zones_ = 3;
  std::uint32_t RackSize_ = 3;
};

/// One task kind of the workload.
struct BenchKind {
  const char *Name_;
  std::uint32_t Class_;
  double Weight_;
  /// Offered load as a fraction of the fleet's slots.
  double Load_;
  std::uint32_t MinTasks_;
  std::uint32_t MaxTasks_;
};

/// One job of the workload with the actual run time of each task.
struct BenchJob {
  Time At_;
  std::uint32_t Kind_ = 0;
  std::uint32_t Owner_ = 0;
  std::vector<Duration> RunTimes_;
};

/// Workload that all compared variants run.
struct Workload {
  std::vector<BenchKind> Kinds_;
  std::vector<BenchJob> Jobs_;
  /// Declared run time divided by the actual run time.
  double HintFactor_ = 1;
  /// Number of teams; jobs are assigned to them in turn.
  std::uint32_t Teams_ = 10;
};

/// Draws jobs with Poisson arrivals until Length. Task run times are 50 ms to
/// 1 s, and 2 to 6 s for 2 % of the tasks.
Workload makeWorkload(const FleetShape &Shape, std::vector<BenchKind> Kinds,
                      Duration Length, std::uint64_t Seed);

/// Configuration under comparison: a policy and the limits of the agents.
struct BenchVariant {
  PolicyConfig Policy_;
  StartControllerLimits ControllerLimits_;
};

/// Result of a job as its caller sees it.
struct BenchResult {
  bool Answered_ = false;
  Outcome Outcome_ = Outcome::Unknown;
  std::string Code_;
  Time Done_;
  /// Lower bound of the response time of the same job alone on an idle fleet.
  Duration Ideal_{0};
};

/// Counters of one 100 ms interval of a run; names in Us_ are slot time in us.
struct BenchBucket {
  double BusyUs_ = 0;
  double AliveUs_ = 0;
  /// Slot time that was idle while a submitted task had not started.
  double IdleWithWorkUs_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t StartMessages_ = 0;
  std::vector<double> KindBusyUs_;
};

/// Runs job owners and start controllers in virtual time, connected by queues
/// with fixed delays. Only callers, endpoints and the network are simulated;
/// the production modules make every decision.
class PolicySimulation {
public:
  PolicySimulation(const FleetShape &Shape, const BenchVariant &Variant,
                   const Workload &Work, std::uint64_t Seed);

  void scheduleAt(Time When, std::function<void()> Action);
  void run(Time End);

  void setFailing(std::uint32_t Agent, bool Failing);
  void setSlowdown(std::uint32_t Agent, double Factor);
  /// Stops the agent at once; owners are notified of its loss 5 s later.
  void killAgent(std::uint32_t Agent);
  void restartAgent(std::uint32_t Agent);
  void killOwner(std::uint32_t Owner);
  void cancelJob(std::uint32_t Job);

  Time now() const { return Now_; }
  std::uint32_t zoneOf(std::uint32_t Agent) const {
    return Agent * Shape_.Zones_ / Shape_.Endpoints_;
  }
  std::uint32_t rackOf(std::uint32_t Agent) const {
    return Agent / Shape_.RackSize_;
  }
  /// Tasks of a job that have not started: waiting at the owner, in transit or
  /// queued at an agent.
  std::uint32_t notStarted(std::uint32_t Job) const { return NotStarted_[Job]; }

  std::vector<BenchResult> Results_;
  std::vector<BenchBucket> Buckets_;
  std::uint64_t Starts_ = 0;
  std::uint64_t Messages_ = 0;
  std::uint64_t WastedMessages_ = 0;
  std::uint64_t CancelMessages_ = 0;
  std::uint64_t DuplicateStarts_ = 0;
  std::vector<std::uint64_t> FailedTasks_;
  Signature Signature_;

private:
  struct Event {
    Time At_;
    std::uint64_t Seq_;
    std::function<void()> Action_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At_, Other.Seq_) < std::tie(At_, Seq_);
    }
  };
  struct Owner {
    EntryId Id_;
    bool Alive_ = true;
    std::unique_ptr<Scheduler> Sched_;
    std::unique_ptr<JobOwner> Jobs_;
  };
  struct Agent {
    AgentId Id_;
    EndpointInfo Info_;
    bool Alive_ = true;
    bool Failing_ = false;
    double Slowdown_ = 1;
    std::uint32_t Busy_ = 0;
    std::vector<std::uint32_t> KindBusy_;
    std::unique_ptr<StartController> Controller_;
    /// Per owner: whether the last report with credit sent on its own, or the
    /// last Demand, has not been followed by a start yet.
    std::vector<bool> GrantUnused_;
    std::vector<bool> DemandUnused_;
  };

  void addAgent(std::uint32_t A, std::uint64_t Inc);
  void connect(std::uint32_t A);
  void submit(std::uint32_t Job);
  void runTimers();
  void apply(std::uint32_t O, const OwnerOutputs &Out);
  void apply(std::uint32_t A, const StartControllerOutputs &Out);
  void sendToAgent(std::uint32_t O, const SendToAgent &Send);
  void receive(std::uint32_t O, std::uint32_t A, const Message &M);
  void startRun(std::uint32_t A, const RunTask &Run);
  void finishRun(std::uint32_t A, const AgentId &Id, RunId Run,
                 std::uint32_t Kind, Duration RunTime, bool Failed);
  void countStandaloneReport(std::uint32_t A, std::uint32_t O,
                             const AgentReport &Report);
  void countRejection(std::uint32_t A, const TasksRejected &Rejected);
  void recordAnswer(const SendAnswer &Reply);
  Duration networkDelay(std::uint32_t O, std::uint32_t A) const;
  void advanceClock(Time To);
  BenchBucket &bucketAt(Time At);

  FleetShape Shape_;
  BenchVariant Variant_;
  const Workload &Work_;
  Time Now_{};
  std::uint64_t Seq_ = 0;
  /// Heap with the next event at the front.
  std::vector<Event> Events_;
  std::vector<Owner> Owners_;
  std::vector<Agent> Agents_;
  std::vector<std::uint32_t> NotStarted_;
  std::vector<std::vector<std::uint8_t>> StartCount_;
  std::vector<JobId> Ids_;
  std::vector<std::uint32_t> OwnerOf_;
  std::uint64_t Pending_ = 0;
  std::uint64_t BusySlots_ = 0;
  std::vector<std::uint64_t> KindBusy_;
  std::uint64_t NextIncarnation_ = 1000;
};

} // namespace chivelanding

#endif
