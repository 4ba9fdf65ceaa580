#ifndef CHIVELANDING_JOB_OWNER_H
#define CHIVELANDING_JOB_OWNER_H

#include "job_progress.h"
#include "message.h"
#include "owner_output.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chivelanding {

/// Limits on the jobs of one owner.
struct OwnerLimits {
  std::uint32_t MaxTasksPerJob_ = 1700;
  /// Length of one token epoch.
  Duration TokenEpoch_ = std::chrono::seconds(60);
  /// Number of epochs before the current one whose tokens are still accepted
  /// for new jobs.
  std::uint32_t EpochsAccepted_ = 2;
  /// Bytes of results kept for answered jobs.
  std::uint64_t ResultBytes_ = 256u << 20;
  /// Bytes of jobs without an answer, beyond which new ones are refused.
  std::uint64_t OpenJobBytes_ = 128u << 20;
};

/// State of one task of an adopted job, as its agents reported it. State_ is
/// NotStarted only if every agent has proved that the task did not start.
struct AdoptedTask {
  TaskState State_ = TaskState::Unknown;
  /// Agent that has started the task, if it is running, finished or failed.
  AgentId Agent_;
  std::string Result_;
};

/// A job of a closed entry incarnation that this entry resumes.
struct AdoptedJob {
  JobSpec Spec_;
  std::vector<AdoptedTask> Tasks_;
  /// Agents at which this entry holds the grant for the owner's jobs.
  std::vector<AgentId> Granted_;
};

/// Manages the jobs that one entry incarnation owns, from submission to the end
/// of their retention. Performs no I/O; returns what is to be done as outputs.
class JobOwner : private JobProgress {
public:
  /// Start is the beginning of epoch 0; Seed initializes the random retry
  /// delays.
  JobOwner(EntryId Self, OwnerLimits Limits, Scheduler &Sched, Time Start,
           std::uint64_t Seed = 0);

  /// Token for new jobs.
  OwnerToken token(Time Now) const;

  /// Accepts a new job, or attaches to the job of the same id. Reply gets one
  /// SendAnswer, or one RelayToEntry if this incarnation is closed.
  OwnerOutputs onSubmit(JobSpec Spec, ReplyId Reply, Time Now);
  /// The caller of Reply disconnected; its job continues.
  void onCallerDisconnected(ReplyId Reply);
  /// Cancels a job, for its caller or a relaying peer. Its answer goes to the
  /// waiting submissions.
  OwnerOutputs onCancel(const JobId &Job, Time Now);
  /// Resumes a job of a closed owner. This entry must hold the grants of the
  /// agents in Job.Granted_.
  OwnerOutputs onAdopt(AdoptedJob Job, ReplyId Reply, Time Now);
  /// True if this owner has a record of the job, so that a submission of its id
  /// attaches or is answered here, even if another entry issued the token.
  bool hasRecord(const JobId &Job) const { return Jobs_.contains(Job); }

  /// Accepts no new jobs from now on; openJobs() falls to 0 as the open jobs
  /// end.
  OwnerOutputs onDrain(Time Now);
  /// Holder closed this incarnation: no more tasks are placed, and each waiting
  /// submission is relayed to Holder.
  OwnerOutputs onSelfClosed(const EntryId &Holder, Time Now);
  /// Replaces the retry limits of a service.
  void setRetryLimits(const ServiceName &Service, const RetryLimits &Limits) {
    Retries_.setLimits(Service, Limits);
  }

  /// The agent may be used. An AnnounceEndpoint passed to onAgentMessage has
  /// the same effect, so it must not be passed on before the peers have
  /// acknowledged the agent.
  OwnerOutputs onAgentUp(const AgentId &Agent, const EndpointInfo &Info,
                         Time Now);
  OwnerOutputs onAgentMessage(const AgentId &Agent, const Message &M, Time Now);
  /// The agent incarnation is lost; no further message of it will be passed on.
  OwnerOutputs onAgentLost(const AgentId &Agent, Time Now);
  OwnerOutputs onTimer(Time Now);

  /// Number of jobs without an answer.
  std::size_t openJobs() const { return Jobs_.openJobs(); }
  /// Number of job records, including those of answered jobs.
  std::size_t records() const { return Jobs_.records(); }
  /// Bytes of the results kept for answered jobs.
  std::uint64_t retainedBytes() const { return Jobs_.retainedBytes(); }

private:
  std::optional<JobAnswer> checkSubmission(const JobSpec &Spec, Time Now) const;
  void attach(OwnedJob &J, const JobSpec &Spec, ReplyId Reply,
              OwnerOutputs &Out);
  void adoptTask(OwnedJob &J, std::uint32_t Index, AdoptedTask Task, Time Now,
                 OwnerOutputs &Out);

  void onAnnounce(const AgentId &Agent, const EndpointInfo &Info, Time Now,
                  OwnerOutputs &Out);
  OwnedTask *findSentTask(const JobId &Id, TaskIndex Index,
                          const AgentId &Agent);
  void onFinished(const AgentId &Agent, const TaskFinished &End, Time Now,
                  OwnerOutputs &Out);
  void onRejected(const AgentId &Agent, const TasksRejected &Rejected, Time Now,
                  OwnerOutputs &Out);
  void refuseCordoned(Time Now, OwnerOutputs &Out);
  void sendDemand(Time Now, OwnerOutputs &Out);
  void dropExpired(Time Now, OwnerOutputs &Out);

  EntryId Self_;
  OwnerLimits Limits_;
  Time Start_;
  bool Draining_ = false;
  /// The entry that closed this one.
  std::optional<EntryId> ClosedBy_;
  /// Oldest epoch in the last EpochsExpired sent to the agents.
  Epoch OldestEpochSent_;
};

} // namespace chivelanding

#endif
