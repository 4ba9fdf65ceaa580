#ifndef CHIVELANDING_SCHEDULER_H
#define CHIVELANDING_SCHEDULER_H

#include "admission.h"
#include "endpoint_health.h"
#include "fair_share.h"
#include "job.h"
#include "message.h"
#include "placement.h"
#include "policy_config.h"
#include "service_times.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelanding {

/// Identifies one task by its job and its index in the job.
struct TaskRef {
  JobId Job_;
  TaskIndex Index_;
  friend bool operator==(const TaskRef &A, const TaskRef &B) {
    return A.Index_ == B.Index_ && A.Job_ == B.Job_;
  }
  friend bool operator<(const TaskRef &A, const TaskRef &B) {
    return std::tie(A.Job_, A.Index_) < std::tie(B.Job_, B.Index_);
  }
};

/// A task that waits to be placed.
struct WaitingTask {
  TaskRef Task_;
  ServiceName Service_;
  KindName Kind_;
  PriorityClass Class_;
  /// Time after which the task must not start.
  std::optional<Time> Deadline_;
  Duration TimeHint_{0};
};

/// Decision to send a task to an agent, and its reason with the values used.
struct Placement {
  TaskRef Task_;
  AgentId Agent_;
  std::string Reason_;
};

/// A waiting task that was removed because it can never be placed. Codes:
/// deadline, no_endpoint.
struct UnplaceableTask {
  TaskRef Task_;
  std::string Code_;
  std::string Detail_;
};

/// The ejection or reinstatement of an endpoint, for the decision log.
struct HealthChange {
  AgentId Agent_;
  bool Ejected_ = false;
  std::string Reason_;
};

/// Orders waiting tasks and selects an agent for each, from the agents' last
/// reports minus the starts sent since then.
class Scheduler {
public:
  /// Default policy, seed 0, no availability zone.
  Scheduler();
  /// Seed initializes the generator of random choices; Zone is the availability
  /// zone of this entry.
  Scheduler(PolicyConfig Config, std::uint64_t Seed, ZoneName Zone);

  void setConfig(PolicyConfig Config, Time Now);

  void addAgent(const AgentId &Agent, const EndpointInfo &Info, Time Now);
  void removeAgent(const AgentId &Agent, Time Now);
  void onReport(const AgentId &Agent, const AgentReport &Report, Time Now);

  /// Returns why a new job is refused, or nothing if it is admitted. Must be
  /// called before the tasks of the job are enqueued.
  std::optional<AdmissionRefusal> admitJob(const JobSpec &Spec, Time Now) const;
  void enqueue(const WaitingTask &Task, Time Now);
  /// Removes the waiting tasks of a job and returns their indices.
  std::vector<TaskIndex> cancel(const JobId &Job, Time Now);
  /// Removes and returns waiting tasks whose deadline has passed.
  std::vector<TaskRef> expire(Time Now);
  /// Removes and returns waiting tasks that can never run: their deadline has
  /// passed, or their service has had no endpoint for NoEndpointWait_.
  std::vector<UnplaceableTask> takeUnplaceable(Time Now);
  /// Jobs with waiting tasks whose service has endpoints only in cordoned
  /// zones.
  std::vector<JobId> cordonedJobs() const;

  void onFinished(const TaskRef &Task, const AgentId &Agent, RunOutcome Outcome,
                  Duration RunTime, Time Now);
  void onRejected(const TaskRef &Task, const AgentId &Agent,
                  RejectReason Reason, Time Now);
  /// The outcome of the task at this agent will never be known.
  void onLost(const TaskRef &Task, const AgentId &Agent, Time Now);

  /// Places as many waiting tasks as the agents have capacity for.
  std::vector<Placement> place(Time Now);

  std::size_t waiting() const { return Waiting_; }
  /// True while nothing is placed, since the configuration is not known.
  bool holdsPlacements() const { return Config_.HoldsPlacements_; }

  /// Usage at another entry, for quotas that apply to all entries together;
  /// empty if the entry is lost.
  void onUsage(const EntryId &Entry, const UsageSummary &Usage, Time Now);
  /// Usage at this entry, to be sent to the other entries.
  UsageSummary usage() const { return Fair_.usage(); }
  /// Returns the changes since the last call.
  std::vector<HealthChange> takeHealthChanges();

private:
  struct AgentState {
    AgentId Id_;
    EndpointInfo Info_;
    AgentReport Report_;
    Time ReportedAt_;
    std::uint64_t StartsSent_ = 0;
    std::uint32_t InFlight_ = 0;
    bool Present_ = false;
    bool Ejected_ = false;
  };
  struct ServiceState {
    PlacementIndex Index_;
    /// Ejected agents that may get a trial task.
    std::set<std::uint32_t> Trials_;
    std::set<std::uint32_t> Usable_;
    /// Agents that would be usable if their zone were not cordoned.
    std::set<std::uint32_t> Cordoned_;
    std::optional<Time> NoEndpointSince_;
  };
  struct JobState {
    JobId Id_;
    ServiceName Service_;
    KindName KindName_;
    std::uint32_t Kind_ = 0;
    PriorityClass Class_;
    std::optional<Time> Deadline_;
    Time WaitingSince_;
    std::deque<std::uint32_t> Waiting_;
    std::uint32_t InFlight_ = 0;
    std::map<RackName, std::uint32_t> Racks_;
  };
  struct InFlightTask {
    std::uint32_t Agent_ = 0;
    Time SentAt_;
  };
  /// Measured starts per second of a kind, and since when it has had waiting
  /// tasks without a break.
  struct KindRate {
    ServiceName Service_;
    double PerSecond_ = 0;
    Time Updated_;
    Time BackloggedSince_;
  };

  static std::uint64_t inFlightKey(JobSlot Job, TaskIndex Index) {
    return (std::uint64_t{Job} << 32) | Index.value();
  }
  bool isCordoned(const AgentState &A) const {
    return Config_.Cordons_.count(A.Info_.Zone_) != 0;
  }
  bool isCordoned(const ServiceName &Service) const;
  /// Slots of the service's usable agents.
  std::uint64_t usableSlots(const ServiceName &Service) const;
  void scaleRates(const std::map<ServiceName, std::uint64_t> &SlotsBefore,
                  Time Now);
  bool isFair() const { return Config_.Order_ == "fair_share"; }
  JobSlot findOrAddJob(const WaitingTask &Task, Time Now);
  void releaseIdleJobs();
  void removeWaiting(JobSlot Job);
  std::uint32_t availableCapacity(std::uint32_t Agent, Time Now) const;
  void updateCapacity(std::uint32_t Agent, Time Now);
  void updateUsable(std::uint32_t Agent, Time Now);
  void evaluate(Time Now);
  void recordHealthChange(std::uint32_t Agent);
  std::optional<std::uint32_t> findTrialAgent(ServiceState &Service,
                                              const JobState &Job) const;
  std::optional<InFlightTask> takeInFlight(const TaskRef &Task,
                                           const AgentId &Agent, JobSlot &Slot,
                                           Time Now);
  Placement recordPlacement(JobSlot Slot, std::uint32_t Agent,
                            std::string Reason, Time Now);
  void countStart(std::uint32_t Kind, Time Now);
  double startRate(std::uint32_t Kind, const KindName &Name,
                   const ServiceName &Service, Time Now) const;

  PolicyConfig Config_;
  ZoneName Zone_;
  std::mt19937_64 Random_;
  PlacementStrategy Strategy_ = nullptr;
  PriorityClass LeastUrgentClass_;
  FairShare Fair_;
  ServiceTimes Times_;
  EndpointHealth Health_;
  double MeanRunTimeUs_ = 0;
  std::vector<AgentState> Agents_;
  std::vector<std::uint32_t> FreeAgents_;
  std::map<AgentId, std::uint32_t> AgentNumbers_;
  std::map<ServiceName, ServiceState> Services_;
  std::vector<JobState> Jobs_;
  std::vector<JobSlot> FreeJobs_;
  std::vector<JobSlot> IdleJobs_;
  std::unordered_map<JobId, JobSlot> JobSlots_;
  std::unordered_map<std::uint64_t, InFlightTask> InFlightTasks_;
  std::set<std::pair<Time, JobSlot>> Deadlines_;
  /// Jobs that wait for a service without endpoints, by service.
  std::map<ServiceName, std::set<JobSlot>> JobsWithoutEndpoint_;
  std::vector<KindRate> Rates_;
  std::vector<HealthChange> HealthChanges_;
  std::size_t Waiting_ = 0;
  Time NextEvaluation_;
};

} // namespace chivelanding

#endif
