#ifndef CHIVELANDING_JOB_OWNER_H
#define CHIVELANDING_JOB_OWNER_H

#include "job_progress.h"
#include "message.h"
#include "owner_output.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chivelanding {

/// Limits of the jobs an owner holds.
struct OwnerLimits {
  std::uint32_t MaxTasksPerJob_ = 1700;
  /// Length of one token epoch.
  Duration TokenEpoch_ = std::chrono::seconds(60);
  /// Epochs before the current one under which new keys are taken.
  std::uint32_t EpochsAccepted_ = 2;
  /// Bytes of results kept for jobs that are answered.
  std::uint64_t ResultBytes_ = 256u << 20;
};

/// What is known of one task of an adopted job. State_ is NotStarted only if
/// every agent has proved it.
struct AdoptedTask {
  TaskState State_ = TaskState::Unknown;
  /// Agent that holds the task, if it is running, finished or failed.
  AgentId Agent_;
  std::string Result_;
};

/// A job of a closed entry incarnation that is resumed here.
struct AdoptedJob {
  JobSpec Spec_;
  std::vector<AdoptedTask> Tasks_;
  /// Agents at which this entry holds the grant for the owner's jobs.
  std::vector<AgentId> Granted_;
};

/// The jobs that one entry incarnation owns, from submission to the end of
/// their retention. Decides without I/O.
class JobOwner : private JobProgress {
public:
  /// Start is the time from which epochs are counted; Seed is that of the retry
  /// delays.
  JobOwner(EntryId Self, OwnerLimits Limits, Scheduler &Sched, Time Start,
           std::uint64_t Seed = 0);

  /// Token for new jobs.
  OwnerToken token(Time Now) const;

  /// Takes a new job, or attaches to the job of the same id. The answer comes
  /// as SendAnswer to Reply, once.
  OwnerOutputs onSubmit(JobSpec Spec, ReplyId Reply, Time Now);
  /// The caller of Reply is gone; its job goes on.
  void onCallerDisconnected(ReplyId Reply);
  /// Cancels a job, for its caller or a relaying peer. Its answer goes to the
  /// waiting submissions.
  OwnerOutputs onCancel(const JobId &Job, Time Now);
  /// Takes over a job of a closed owner. This entry must hold the grants of
  /// the agents in Job.
  OwnerOutputs onAdopt(AdoptedJob Job, ReplyId Reply, Time Now);
  /// True if a submission of this id attaches or is answered here, whoever
  /// owns the id's token.
  bool hasRecord(const JobId &Job) const { return Jobs_.contains(Job); }

  /// No new jobs from now on; openJobs() falls to 0 as the others end.
  OwnerOutputs onDrain(Time Now);
  /// This incarnation was closed by Holder: nothing is placed any more, and
  /// each waiting submission is relayed to Holder.
  OwnerOutputs onSelfClosed(const EntryId &Holder, Time Now);
  /// Replaces the retry limits of a service.
  void setRetryLimits(const ServiceName &Service, const RetryLimits &Limits) {
    Retries_.setLimits(Service, Limits);
  }

  /// The agent may be used. An AnnounceEndpoint in onAgentMessage says the
  /// same, so it must be held back until the peers have acknowledged the agent.
  OwnerOutputs onAgentUp(const AgentId &Agent, const EndpointInfo &Info,
                         Time Now);
  OwnerOutputs onAgentMessage(const AgentId &Agent, const Message &M, Time Now);
  /// Nothing more will be heard of this agent incarnation.
  OwnerOutputs onAgentLost(const AgentId &Agent, Time Now);
  OwnerOutputs onTimer(Time Now);

  /// Jobs without an answer yet.
  std::size_t openJobs() const { return Jobs_.openJobs(); }
  /// Records of jobs, answered ones included.
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
  void sendDemand(Time Now, OwnerOutputs &Out);
  void dropExpired(Time Now, OwnerOutputs &Out);

  EntryId Self_;
  OwnerLimits Limits_;
  Time Start_;
  bool Draining_ = false;
  /// The entry that closed this one.
  std::optional<EntryId> ClosedBy_;
  /// What the agents were last told of epochs.
  Epoch OldestEpochSent_;
};

} // namespace chivelanding

#endif
