#ifndef CHIVELANDING_DISPATCHER_H
#define CHIVELANDING_DISPATCHER_H

#include "agent_pool.h"
#include "agent_subset.h"
#include "dispatch_config.h"
#include "durations.h"
#include "events.h"
#include "lease_plan.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelanding {

/// Numbers the jobs of one entry process.
using JobNumber = Number<struct JobNumberTag>;

/// A job whose tasks may run again after a lost answer. It is kept in memory
/// only and answered when it has ended.
struct IdempotentJob {
  JobKey Key_;
  JobRoute Route_;
  std::string Payload_;
  std::uint32_t Tasks_ = 1;
  Resources Need_;
  /// Rack of the tasks' data; they take longer on any other. Empty if none.
  RackName Rack_;
  /// Declared length of one task; rough. Zero if not declared.
  Duration Estimate_{0};
  /// Time from now on that the caller waits.
  Duration CallerTimeout_{0};

  /// Time within which the route wants a job to end whose tasks take Length.
  Duration objective(Duration Length) const {
    return scaled(Length, Route_.ObjectiveFactor_) + Route_.Target_;
  }
};

enum class JobEnding : std::uint8_t {
  Completed,
  /// A task has failed as often as its route allows.
  Failed,
  Cancelled,
  /// Nothing of the job has run or ever will.
  Refused,
  /// Given up; some tasks may have run.
  Unknown
};

/// Stable text of an ending in logs.
const char *jobEndingName(JobEnding E);

/// Output: the answer to a job's callers.
struct AnswerJob {
  JobNumber Job_;
  JobEnding Ending_ = JobEnding::Unknown;
  std::string Code_;
  /// When a refused job may be worth another try.
  std::optional<Duration> RetryAfter_;
};

/// Output: send a message to an agent.
struct MessageToAgent {
  PeerId To_;
  Message Message_;
};

using DispatchOutput = std::variant<AnswerJob, MessageToAgent, LogEvent>;
using DispatchOutputs = std::vector<DispatchOutput>;

/// Periods and bounds of an entry that dispatches runs. The leases must be
/// those of the agents (RunSupervisorLimits).
struct DispatchLimits {
  RunLeases Leases_;
  /// Age of an owner lease at which it is renewed, if the agent has reported
  /// since: a third of the lease.
  Duration RenewalAge_ = std::chrono::milliseconds(200);
  std::uint32_t MaxJobs_ = 4096;
  SubsetLimits Subset_;
};

/// The decisions of an entry for jobs of reruns: admission, waiting, placement,
/// moves of slow runs, attempts, answers. Decides without I/O.
class Dispatcher {
public:
  /// Name is the entry's.
  Dispatcher(std::string Name, ZoneName Zone, DispatchLimits Limits,
             std::uint64_t Seed);

  /// Takes a job, or attaches to the job with the same key.
  JobNumber submit(IdempotentJob Job, Time Now);
  /// The callers of this job are gone, or one has cancelled it.
  void cancel(JobNumber Job, const char *Reason, Time Now);
  /// Answers a job that this process cannot finish.
  void abandon(JobNumber Job, const char *Code, Time Now);
  /// True if a job with this key was live here.
  bool cancelByKey(const JobKey &Key, Time Now);

  void onAgentUp(const PeerId &Agent, Time Now);
  void onAgentSuspected(const PeerId &Agent, bool Suspected, Time Now);
  void onAgentLost(const PeerId &Agent, Time Now);
  void onMessage(const PeerId &From, const Message &M, Time Now);
  void onTimer(Time Now);

  /// The outputs of the calls since the last take.
  DispatchOutputs take();

  std::size_t jobs() const { return Jobs_.size(); }
  /// Jobs of the route for which no run was ordered.
  std::size_t waiting(const std::string &Route) const;
  std::size_t waiting() const { return Queue_.size(); }
  bool hasReadyAgent() const;
  /// True if this key's job is live; Running tells if any run was ordered.
  bool find(const JobKey &Key, bool &Running) const;
  const AgentPool &agents() const { return Agents_; }

private:
  enum class State : std::uint8_t { Waiting, Dispatched, Stopping, Done };
  struct Task {
    State State_ = State::Waiting;
    std::uint32_t Attempt_ = 0;
    std::uint32_t Failures_ = 0;
    std::uint32_t Moves_ = 0;
    PeerId Agent_;
    /// Set when the agent is gone: no run is left from this time on.
    std::optional<Time> LeasesExpireAt_;
    /// Agent at which the last run did not succeed.
    std::optional<std::string> AvoidedAgent_;
  };
  struct Job {
    JobNumber Number_;
    IdempotentJob Spec_;
    Time Received_;
    Time Deadline_;
    Time StartDeadline_;
    Duration Estimate_{0};
    std::vector<Task> Tasks_;
    std::uint32_t DoneTasks_ = 0;
    std::uint32_t WaitingTasks_ = 0;
    /// Runs ordered and not known to have ended.
    std::uint32_t OutstandingRuns_ = 0;
    /// A run was ordered that is not proved never to have started.
    bool MayHaveRun_ = false;
  };
  using QueueKey = std::pair<PriorityClass, JobNumber>;

  void enqueue(const Job &J);
  void placeWaiting(Time Now);
  bool placeJob(Job &J, Time Now);
  Duration expectedWait(const Job &J, Time Now) const;
  double cpuReleaseRate(const Job &J, Time Now) const;
  void recordReleasedCpu(std::uint32_t Cpu, Time Now);
  void refuse(Job &J, const char *Code, Time Now);
  void answer(Job &J, JobEnding Ending, const char *Code,
              std::optional<Duration> RetryAfter, Time Now);
  void stopAll(Job &J);
  void onReport(const PeerId &From, const EndpointReport &R, Time Now);
  void onRunEnded(const PeerId &From, const EndedRun &E, Time Now);
  void onSlowRun(const PeerId &From, const SlowRun &S, Time Now);
  void handleRunEnd(Job &J, Task &T, const EndedRun &E, Time Now);
  void releaseRun(const PeerId &Agent, Job &J);
  void abandonIfDeadlineUnreachable(Job &J, Time Now);
  void renewOwnerLeases(Time Now);
  void rerunExpired(JobNumber Number, Time Now);
  void checkAgents(Time Now);
  void updateSubset(Time Now);
  void checkDeadlines(JobNumber Number, Time Now);
  Time leasesExpireAt(const AgentView &A) const;
  Duration drawRetryAfter();
  Job *findRun(const PeerId &From, const RunRef &Ref, Task *&T);
  void log(const EventType &Type, std::vector<EventField> Fields);

  DispatchLimits Limits_;
  AgentPool Agents_;
  AgentSubset Subset_;
  std::mt19937_64 Random_;
  std::uint64_t NextJob_ = 1;
  std::map<JobNumber, Job> Jobs_;
  std::unordered_map<JobKey, JobNumber> ByKey_;
  /// Jobs with waiting tasks, in the order of placement.
  std::set<QueueKey> Queue_;
  /// Length over estimate per route, learned from runs that ended well.
  std::map<std::string, double> LengthFactor_;
  /// Room given back by runs of this entry, with older parts decayed.
  double ReleasedCpu_ = 0;
  Time ReleasedAt_ = Time(std::chrono::hours(-1));
  /// When each service was last seen with a usable endpoint.
  std::map<ServiceName, Time> LastUsable_;
  Time LastAgentCheck_;
  DispatchOutputs Out_;
};

} // namespace chivelanding

#endif
