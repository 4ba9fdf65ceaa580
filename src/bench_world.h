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

/// Sizes and one-way delays of a deployment.
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

/// One kind of the workload.
struct BenchKind {
  const char *Name_;
  std::uint32_t Class_;
  double Weight_;
  /// Offered load as a part of the fleet's slots.
  double Load_;
  std::uint32_t MinTasks_;
  std::uint32_t MaxTasks_;
};

/// One job of the workload with the true run time of each task.
struct BenchJob {
  Time At_;
  std::uint32_t Kind_ = 0;
  std::uint32_t Owner_ = 0;
  std::vector<Duration> RunTimes_;
};

/// A workload, the same for every variant.
struct Workload {
  std::vector<BenchKind> Kinds_;
  std::vector<BenchJob> Jobs_;
  /// Declared times are the true ones times this factor.
  double HintFactor_ = 1;
  /// Length of each team's list of jobs: teams take jobs in turn.
  std::uint32_t Teams_ = 10;
};

/// Draws jobs with Poisson arrivals until Length. Task times are between 50 ms
/// and 1 s, with a tail of 2 to 6 s.
Workload makeWorkload(const FleetShape &Shape, std::vector<BenchKind> Kinds,
                      Duration Length, std::uint64_t Seed);

/// What is compared: a policy and the limits of the gates.
struct BenchVariant {
  PolicyConfig Policy_;
  StartControllerLimits ControllerLimits_;
};

/// What became of a job.
struct BenchResult {
  bool Answered_ = false;
  Outcome Outcome_ = Outcome::Unknown;
  std::string Code_;
  Time Done_;
  /// Time of the same job alone on an idle fleet.
  Duration Ideal_{0};
};

/// Counters of 100 ms of a run.
struct BenchBucket {
  double BusyUs_ = 0;
  double AliveUs_ = 0;
  /// Idle slot time for which a submitted task was waiting.
  double IdleWithWorkUs_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t StartMessages_ = 0;
  std::vector<double> KindBusyUs_;
};

/// Owners and gates joined by queues with fixed delays, in virtual time. Only
/// callers, endpoints and the network are imitated; every decision is made by
/// the real modules.
class PolicySimulation {
public:
  PolicySimulation(const FleetShape &Shape, const BenchVariant &Variant,
                   const Workload &Work, std::uint64_t Seed);

  void scheduleAt(Time When, std::function<void()> Action);
  void run(Time End);

  void setFailing(std::uint32_t Agent, bool Failing);
  void setSlowdown(std::uint32_t Agent, double Factor);
  /// Silence at once; owners notice after the loss time of 5 s.
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
  /// Tasks of a job that wait at its owner or are on their way.
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
    /// Per owner: a message sent alone that no start has followed yet.
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
  /// A heap with the next event in front.
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
