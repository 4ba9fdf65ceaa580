#ifndef CHIVELANDING_JOB_OWNER_H
#define CHIVELANDING_JOB_OWNER_H

#include "events.h"
#include "job.h"
#include "message.h"
#include "retry_budget.h"
#include "scheduler.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelanding {

/// Number under which a waiting caller or relaying peer gets its answer.
using ReplyId = Number<struct ReplyIdTag>;

/// Output: deliver a message to an agent.
struct SendToAgent {
  AgentId To_;
  Message Message_;
};

/// Output: give this answer to a waiting caller.
struct GiveAnswer {
  ReplyId To_;
  JobId Job_;
  JobAnswer Answer_;
};

/// Output: a placement that was made, for the decision log.
struct LogPlacement {
  Placement Placement_;
};

/// The log event of a placement.
Event placementEvent(const LogPlacement &Log);

/// Output: relay this submission to another entry, and give its answer to
/// Reply_. If that entry does not respond, the answer is
/// "owner_unreachable".
struct RelayToEntry {
  EntryId To_;
  ReplyId Reply_;
  JobSpec Spec_;
};

using OwnerOutput =
    std::variant<SendToAgent, GiveAnswer, LogPlacement, RelayToEntry, LogEvent>;
using OwnerOutputs = std::vector<OwnerOutput>;

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
};

/// The jobs that one entry incarnation owns, from submission to the end of
/// their retention. Decides without I/O.
class JobOwner {
public:
  /// Start is the time from which epochs are counted.
  /// Seed is that of the retry delays.
  JobOwner(EntryId Self, OwnerLimits Limits, Scheduler &Sched, Time Start,
           std::uint64_t Seed = 0);

  /// Token for new jobs.
  OwnerToken token(Time Now) const;

  /// Takes a new job, or attaches to the job of the same id. The answer comes
  /// as GiveAnswer to Reply, once.
  OwnerOutputs onSubmit(JobSpec Spec, ReplyId Reply, Time Now);
  /// The caller of Reply is gone; its job goes on.
  void onReplyGone(ReplyId Reply);
  /// Cancels a job, for its caller or a relaying peer. Its answer goes to the
  /// waiting submissions.
  OwnerOutputs onCancel(const JobId &Job, Time Now);
  /// Takes over a job of a closed owner. This entry must hold the grants of
  /// the agents in Job.
  OwnerOutputs onAdopt(AdoptedJob Job, ReplyId Reply, Time Now);
  /// True if a submission of this id attaches or is answered here, whoever
  /// owns the id's token.
  bool knows(const JobId &Job) const { return Jobs_.count(Job) != 0; }

  /// No new jobs from now on; openJobs() falls to 0 as the others end.
  OwnerOutputs onDrain(Time Now);
  /// This incarnation was closed by Holder: nothing is placed any more, and
  /// each waiting submission is relayed to Holder.
  OwnerOutputs onSelfClosed(const EntryId &Holder, Time Now);
  /// Replaces the retry limits of a service.
  void setRetryLimits(const ServiceName &Service, const RetryLimits &Limits);

  OwnerOutputs onAgentUp(const AgentId &Agent, const EndpointInfo &Info,
                         Time Now);
  OwnerOutputs onAgentMessage(const AgentId &Agent, const Message &M, Time Now);
  /// Nothing more will be heard of this agent incarnation.
  OwnerOutputs onAgentLost(const AgentId &Agent, Time Now);
  OwnerOutputs onTimer(Time Now);

  /// Jobs without an answer yet.
  std::size_t openJobs() const { return OpenJobs_; }

private:
  enum class TaskPhase : std::uint8_t {
    Waiting,
    Sent,
    Finished,
    Failed,
    Cancelled,
    Unknown
  };
  struct TaskEntry {
    TaskPhase Phase_ = TaskPhase::Waiting;
    AgentId Agent_;
    std::string Result_;
  };
  struct Job {
    JobSpec Spec_;
    std::vector<TaskEntry> Tasks_;
    std::vector<ReplyId> Replies_;
    std::size_t Open_ = 0;
    bool EverSent_ = false;
    bool Answered_ = false;
    std::string FailCode_;
    std::string FailDetail_;
    JobAnswer Answer_;
  };

  JobAnswer refuse(Outcome O, const char *Code, const char *Detail) const;
  bool acceptsNew(const OwnerToken &Token, Time Now) const;
  void place(Time Now, OwnerOutputs &Out);
  void settle(Job &J, TaskIndex Index, TaskPhase Phase, std::string Result);
  void fail(Job &J, const char *Code, const std::string &Detail, Time Now,
            OwnerOutputs &Out);
  void answerIfDone(const JobId &Id, OwnerOutputs &Out);
  JobAnswer makeAnswer(const Job &J) const;

  EntryId Self_;
  OwnerLimits Limits_;
  Scheduler &Sched_;
  Time Start_;
  std::mt19937_64 Random_;
  std::unordered_map<JobId, Job> Jobs_;
  std::size_t OpenJobs_ = 0;
};

} // namespace chivelanding

#endif
