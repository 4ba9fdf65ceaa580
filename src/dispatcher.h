#ifndef CHIVELANDING_DISPATCHER_H
#define CHIVELANDING_DISPATCHER_H

#include "agent_pool.h"
#include "agent_subset.h"
#include "crash_ledger.h"
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

/// Identifies a job within one entry process.
using JobNumber = Number<struct JobNumberTag>;

/// An idempotent job: its tasks may run again after a lost answer. It is kept
/// in memory only and answered when it has ended.
struct IdempotentJob {
  JobKey Key_;
  JobRoute Route_;
  std::string Payload_;
  std::uint32_t Tasks_ = 1;
  Resources Need_;
  /// Rack that holds the tasks' data; tasks take longer on other racks. Empty
  /// if none.
  RackName Rack_;
  /// Declared run time of one task, an approximation. Zero if not declared.
  Duration Estimate_{0};
  /// Time from submission after which the caller stops waiting.
  Duration CallerTimeout_{0};
  /// Upper bound of the time since the caller sent the job, if this process was
  /// paused meanwhile; otherwise zero.
  Duration Age_{0};

  /// Time from submission within which the route requires a job to end whose
  /// tasks run for Length.
  Duration objective(Duration Length) const {
    return scaled(Length, Route_.ObjectiveFactor_) + Route_.Target_;
  }
};

enum class JobEnding : std::uint8_t {
  Completed,
  /// A task has failed as many times as its route allows.
  Failed,
  Cancelled,
  /// No task of the job has run or will run.
  Refused,
  /// Abandoned; some tasks may have run.
  Unknown
};

/// Name of an ending in logs and metrics; stays the same across versions.
const char *jobEndingName(JobEnding E);

/// Output: answer the job's callers.
struct AnswerJob {
  JobNumber Job_;
  JobEnding Ending_ = JobEnding::Unknown;
  std::string Code_;
  /// Time after which a refused job may be submitted again.
  std::optional<Duration> RetryAfter_;
};

/// Output: send a message to an agent.
struct MessageToAgent {
  PeerId To_;
  Message Message_;
};

/// Output: send a message to this entry, or to every other one if none is
/// given.
struct MessageToEntries {
  std::optional<PeerId> To_;
  Message Message_;
};

using DispatchOutput =
    std::variant<AnswerJob, MessageToAgent, MessageToEntries, LogEvent>;
using DispatchOutputs = std::vector<DispatchOutput>;

/// Periods and limits of an entry that dispatches runs. The leases must equal
/// those of the agents (RunSupervisorLimits).
struct DispatchLimits {
  RunLeases Leases_;
  /// Age at which an owner lease is renewed if the agent has reported since the
  /// last renewal: a third of the lease.
  Duration RenewalAge_ = std::chrono::milliseconds(200);
  /// Beyond these, jobs are refused of which no task has run.
  std::uint32_t MaxJobs_ = 4096;
  std::uint64_t MaxJobBytes_ = 32u << 20;
  SubsetLimits Subset_;
};

/// Decisions of an entry for idempotent jobs: admission, queueing, placement,
/// moves of slow runs, attempts and answers. Performs no I/O.
class Dispatcher {
public:
  /// Name and Zone are those of the entry; Seed initializes its random choices.
  Dispatcher(std::string Name, ZoneName Zone, DispatchLimits Limits,
             std::uint64_t Seed);

  /// Accepts a job, or attaches to the live job with the same key. Returns the
  /// number of the job, which may have been answered already.
  JobNumber submit(IdempotentJob Job, Time Now);
  /// Cancels the job because its callers have disconnected or one of them has
  /// cancelled it.
  void cancel(JobNumber Job, const char *Reason, Time Now);
  /// Answers a job that this process cannot finish: Refused if no task can have
  /// run, otherwise Unknown.
  void abandon(JobNumber Job, const char *Code, Time Now);
  /// Cancels the live job with this key. False if there is none.
  bool cancelByKey(const JobKey &Key, Time Now);

  void onAgentUp(const PeerId &Agent, Time Now);
  void onAgentSuspected(const PeerId &Agent, bool Suspected, Time Now);
  void onAgentLost(const PeerId &Agent, Time Now);
  void onMessage(const PeerId &From, const Message &M, Time Now);
  /// A link to another entry is up: tells it what it cannot learn from agents.
  void onEntryUp(const PeerId &Entry, Time Now);
  /// A message of another entry about tasks that crash endpoints.
  void onEntryMessage(const Message &M, Time Now);
  void onTimer(Time Now);
  /// Zones in which no run may be dispatched. A set of a revision that is not
  /// higher than the last one is ignored.
  void setCordons(const ZoneCordons &C, Time Now);

  /// Starts no run until releasePlacement(): callers may be gone of which this
  /// entry has not been told yet.
  void holdPlacement() { PlacementHeld_ = true; }
  void releasePlacement(Time Now);

  /// Returns and clears the outputs of the calls since the last take().
  DispatchOutputs take();

  std::size_t jobs() const { return Jobs_.size(); }
  /// Jobs of the route of which no task can have run and none is dispatched.
  std::size_t waiting(const std::string &Route) const;
  std::size_t waiting() const { return Queue_.size(); }
  /// True if an agent is ready or would be but for a cordon of its zone. The
  /// latter do not count for a moment after the start of this process.
  bool hasReadyAgent(Time Now) const;
  /// True if a job with this key is live. Running is then set to whether any of
  /// its runs was dispatched and may have started.
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
    /// Set when the agent is lost: time from which on none of its runs is left.
    std::optional<Time> LeasesExpireAt_;
    /// When the last run ended without success.
    Time FailedAt_;
    /// Name of the agent at which the last run did not succeed.
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
    /// Runs that were dispatched and are not known to have ended.
    std::uint32_t OutstandingRuns_ = 0;
    /// A run was dispatched that is not proved never to have started.
    bool MayHaveRun_ = false;
    /// Memory that the job takes, approximately.
    std::uint64_t Bytes_ = 0;
  };
  /// Thousandths of a core, as a sum that decays over time.
  struct ReleasedCpu {
    double Sum_ = 0;
    /// Time of the last release, as of which the sum is stated.
    Time At_ = Time(std::chrono::hours(-1));
  };
  using QueueKey = std::pair<PriorityClass, JobNumber>;

  static std::uint64_t jobBytes(const Job &J);
  /// Refuses waiting jobs while there are too many, or all hold too much.
  void shedJobs(Time Now);
  /// Null if every job may have run.
  Job *findJobToShed();
  void enqueue(const Job &J);
  void placeWaiting(Time Now);
  bool placeJob(Job &J, Time Now);
  /// The same for a job of a confined route that has no outstanding runs.
  bool placeConfined(Job &J, Time Now);
  void refuseConfinedSurplus(Job &J, Time Now);
  /// Dispatches the waiting task with this index.
  void dispatchTask(Job &J, std::size_t Index, AgentView &A, Isolation I,
                    std::map<PeerId, StartRuns> &Messages);
  void sendStarts(Job &J, std::map<PeerId, StartRuns> Messages, Time Now);
  void onCrash(const PeerId &From, const EndpointCrashed &C, Time Now);
  void onCrashWithdrawn(const PeerId &From, const EndpointAlive &E, Time Now);
  void clearSuspect(const Job &J, TaskIndex Task, Time Now);
  void applyConfinements(Time Now);
  void updateNeededCpu(Time Now);
  void reserveAgents(Time Now);
  bool mayTestSuspect(const JobRoute &Route) const;
  /// Jobs of the route that wait for their first run.
  std::size_t waitingNewJobs(const std::string &Route) const;
  bool isConfined(const Job &J) const;
  /// Answers a job that may crash endpoints and must not run now. False if it
  /// may run.
  bool answerSuspect(Job &J, Time Now);
  /// Name of the agent at which every entry would rerun this suspect.
  std::optional<std::string> agentForSuspect(const Job &J,
                                             TaskIndex Task) const;
  /// True if no endpoint of the service is expected to be usable until a cordon
  /// is lifted.
  bool isCordoned(const ServiceName &Service, Time Now) const;
  /// True while the first links to agents are expected.
  bool isStarting(Time Now) const;
  bool expectsEndpoint(const ServiceName &Service, Time Now) const;
  Duration expectedWait(const Job &J, Time Now) const;
  double cpuReleaseRate(const Job &J, Time Now) const;
  void recordReleasedCpu(const ZoneName &Zone, std::uint32_t Cpu, Time Now);
  /// Refuses the waiting jobs of which nothing has run if all zones with
  /// endpoints of their service are cordoned.
  void refuseCordonedJobs(Time Now);
  void refuse(Job &J, const char *Code, Time Now);
  void answer(Job &J, JobEnding Ending, const char *Code,
              std::optional<Duration> RetryAfter, Time Now);
  void stopAll(Job &J);
  void onReport(const PeerId &From, const EndpointReport &R, Time Now);
  void onRunEnded(const PeerId &From, const EndedRun &E, Time Now);
  void onSlowRun(const PeerId &From, const SlowRun &S, Time Now);
  void handleRunEnd(Job &J, Task &T, const EndedRun &E, Time Now);
  void releaseRun(const Task &T, Job &J);
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
  CrashLedger Crashes_;
  /// Service of each route that has had jobs here.
  std::map<std::string, ServiceName> RouteServices_;
  std::set<std::string> ConfinedRoutes_;
  /// CPU that the routes need that are not confined, by service: a moving
  /// average.
  std::map<ServiceName, double> NeededCpu_;
  Time NeededCpuAt_;
  std::mt19937_64 Random_;
  std::uint64_t NextJob_ = 1;
  std::map<JobNumber, Job> Jobs_;
  std::uint64_t JobBytes_ = 0;
  std::unordered_map<JobKey, JobNumber> ByKey_;
  /// Jobs with waiting tasks, in the order of placement: by class, then by age.
  std::set<QueueKey> Queue_;
  /// Mean ratio of run time to declared run time per route, learned from runs
  /// that succeeded.
  std::map<std::string, double> LengthFactor_;
  /// CPU released by runs of this entry, by zone.
  std::map<ZoneName, ReleasedCpu> ReleasedCpu_;
  /// When a job of the service last found a usable endpoint.
  std::map<ServiceName, Time> LastUsable_;
  /// First call of onTimer.
  std::optional<Time> StartedAt_;
  Time LastAgentCheck_;
  bool PlacementHeld_ = false;
  DispatchOutputs Out_;
};

} // namespace chivelanding

#endif
