#include "job_owner.h"

#include <algorithm>

namespace chivelanding {

namespace {

/// Delay after which a caller may retry at another entry while this one drains.
constexpr Duration DrainRetryAfter = std::chrono::seconds(1);
/// Delay after which the configuration is usually known, from a peer or from
/// the log.
constexpr Duration ConfigRetryAfter = std::chrono::seconds(1);
/// Delay after which some of the open jobs have ended.
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);

} // namespace

JobOwner::JobOwner(EntryId Self, OwnerLimits Limits, Scheduler &Sched,
                   Time Start, std::uint64_t Seed)
    : JobProgress(Sched, Limits.ResultBytes_,
                  Limits.TokenEpoch_ * (Limits.EpochsAccepted_ + 1), Seed),
      Self_(std::move(Self)), Limits_(Limits), Start_(Start) {}

OwnerToken JobOwner::token(Time Now) const {
  const auto Steps = (Now - Start_) / Limits_.TokenEpoch_;
  return {Self_, Epoch(static_cast<std::uint64_t>(Steps))};
}

// A key without a record in an accepted epoch has never been accepted, so every
// refusal except that of the token states "not run".
std::optional<JobAnswer> JobOwner::checkSubmission(const JobSpec &Spec,
                                                   Time Now) const {
  if (auto Refusal = checkToken(Spec.Id_.Token_, Self_, token(Now).Epoch_,
                                Limits_.EpochsAccepted_))
    return Refusal;
  if (Draining_) {
    auto A = plainAnswer(Outcome::NotRun, "draining",
                         "this entry takes no new jobs");
    A.RetryAfter_ = DrainRetryAfter;
    return A;
  }
  if (Sched_.holdsPlacements()) {
    auto A =
        plainAnswer(Outcome::NotRun, "no_configuration", NoConfigurationDetail);
    A.RetryAfter_ = ConfigRetryAfter;
    return A;
  }
  const auto Check = checkSpec(Spec, Limits_.MaxTasksPerJob_);
  if (!ok(Check))
    return plainAnswer(Outcome::NotRun, error(Check).Code_,
                       error(Check).Detail_);
  if (Jobs_.openJobs() > 0 &&
      Jobs_.openBytes() + openJobBytes(Spec) > Limits_.OpenJobBytes_) {
    auto A = plainAnswer(Outcome::NotRun, "queue_full",
                         "the open jobs hold too much memory");
    A.RetryAfter_ = MemoryRetryAfter;
    return A;
  }
  if (const auto Refused = Sched_.admitJob(Spec, Now)) {
    auto A = plainAnswer(Outcome::NotRun, Refused->Code_, Refused->Detail_);
    A.RetryAfter_ = Refused->RetryAfter_;
    return A;
  }
  return std::nullopt;
}

OwnerOutputs JobOwner::onSubmit(JobSpec Spec, ReplyId Reply, Time Now) {
  OwnerOutputs Out;
  if (OwnedJob *Known = Jobs_.find(Spec.Id_)) {
    attach(*Known, Spec, Reply, Out);
    return Out;
  }
  if (ClosedBy_) {
    Out.push_back(RelayToEntry{*ClosedBy_, Reply, std::move(Spec)});
    return Out;
  }
  if (auto Refusal = checkSubmission(Spec, Now)) {
    refuseSubmission(Spec.Id_, Reply, std::move(*Refusal), Out);
    return Out;
  }
  OwnedJob &J = Jobs_.add(std::move(Spec), false, Now);
  Jobs_.addReply(J, Reply);
  Out.push_back(jobEvent(events::JobAccepted, J.Spec_.Id_,
                         {{"service", J.Spec_.Service_.str()},
                          {"kind", J.Spec_.Kind_.str()},
                          {"tasks", std::to_string(J.Tasks_.size())}}));
  if (J.Spec_.Idempotent_)
    Retries_.onRequest(J.Spec_.Service_);
  for (std::uint32_t I = 0; I < J.Tasks_.size(); ++I)
    enqueue(J, I, Now);
  place(Now, Out);
  return Out;
}

// A different body under the same id is an error of the caller. It is not
// answered as "not run", because the job of this id may have run.
void JobOwner::attach(OwnedJob &J, const JobSpec &Spec, ReplyId Reply,
                      OwnerOutputs &Out) {
  const JobId &Id = J.Spec_.Id_;
  if (bodyHash(Spec) != J.BodyHash_)
    return refuseSubmission(
        Id, Reply,
        plainAnswer(Outcome::Unknown, "body_mismatch",
                    "this key was used for another request"),
        Out);
  Out.push_back(jobEvent(events::JobAttached, Id,
                         {{"answered", J.Answered_ ? "true" : "false"}}));
  if (J.Answered_) {
    Out.push_back(SendAnswer{Reply, Id, J.Answer_});
    return;
  }
  Jobs_.addReply(J, Reply);
}

// A task of unknown outcome is not sent again, not even that of an idempotent
// job, because the former owner may have answered already. Running tasks are
// awaited like those that this entry sent: the agents report their ends to this
// entry, which holds the grant.
OwnerOutputs JobOwner::onAdopt(AdoptedJob Job, ReplyId Reply, Time Now) {
  const JobId Id = Job.Spec_.Id_;
  if (Jobs_.contains(Id) || ClosedBy_)
    return onSubmit(std::move(Job.Spec_), Reply, Now);
  OwnerOutputs Out;
  for (const AgentId &Agent : Job.Granted_)
    Agents_.addGrant(Agent, Id.Token_.Owner_);
  OwnedJob &J = Jobs_.add(std::move(Job.Spec_), true, Now);
  Jobs_.addReply(J, Reply);
  Job.Tasks_.resize(J.Tasks_.size());
  Out.push_back(jobEvent(events::JobResumed, Id,
                         {{"tasks", std::to_string(J.Tasks_.size())}}));
  for (std::uint32_t I = 0; I < J.Tasks_.size(); ++I)
    adoptTask(J, I, std::move(Job.Tasks_[I]), Now, Out);
  answerIfDone(J, Now, Out);
  place(Now, Out);
  return Out;
}

void JobOwner::adoptTask(OwnedJob &J, std::uint32_t Index, AdoptedTask Task,
                         Time Now, OwnerOutputs &Out) {
  OwnedTask &T = J.Tasks_[Index];
  if (!Task.Agent_.Name_.empty())
    J.Agents_.insert(Task.Agent_);
  T.Result_ = std::move(Task.Result_);
  switch (Task.State_) {
  case TaskState::Running:
    T.Phase_ = TaskPhase::Sent;
    markSent(J, Index, Task.Agent_);
    if (!J.FailCode_.empty())
      Out.push_back(SendToAgent{Task.Agent_,
                                CancelTasks{J.Spec_.Id_, {TaskIndex(Index)}}});
    return;
  case TaskState::Finished:
    return endTask(J, Index, TaskPhase::Finished);
  case TaskState::Failed:
    endTask(J, Index, TaskPhase::Failed);
    return fail(J, "task_failed", T.Result_, Now, Out);
  case TaskState::NotStarted:
    if (J.FailCode_.empty())
      return enqueue(J, Index, Now);
    return endTask(J, Index, TaskPhase::Cancelled);
  case TaskState::Unknown:
    endTask(J, Index, TaskPhase::Unknown);
    return fail(J, "owner_lost",
                "the owner was lost, and no agent knows the task's end", Now,
                Out);
  }
}

void JobOwner::onCallerDisconnected(ReplyId Reply) { Jobs_.removeReply(Reply); }

OwnerOutputs JobOwner::onCancel(const JobId &Id, Time Now) {
  OwnerOutputs Out;
  OwnedJob *J = Jobs_.find(Id);
  if (!J || J->Answered_ || ClosedBy_)
    return Out;
  Out.push_back(jobEvent(events::JobCancelled, Id));
  fail(*J, "cancelled", "cancelled by the caller", Now, Out);
  answerIfDone(*J, Now, Out);
  place(Now, Out);
  return Out;
}

OwnerOutputs JobOwner::onDrain(Time) {
  Draining_ = true;
  return {};
}

// The entry that recovers the jobs may start their queued tasks at any time
// from now on, so no outcome can be stated here. The waiting submissions are
// relayed to that entry.
OwnerOutputs JobOwner::onSelfClosed(const EntryId &Holder, Time Now) {
  OwnerOutputs Out;
  if (ClosedBy_)
    return Out;
  ClosedBy_ = Holder;
  Out.push_back(LogEvent{{&events::SelfClosed, {{"by", Holder.str()}}}});
  for (OwnedJob *J : Jobs_.open()) {
    if (J->Deadline_)
      J->Spec_.Deadline_ = std::max(*J->Deadline_ - Now, Duration(1));
    for (const ReplyId Reply : J->Replies_)
      Out.push_back(RelayToEntry{Holder, Reply, J->Spec_});
    cancelUnsentTasks(*J, Now);
    Jobs_.drop(*J);
  }
  Retries_.clear();
  Agents_.clearSent();
  return Out;
}

OwnerOutputs JobOwner::onAgentUp(const AgentId &Agent, const EndpointInfo &Info,
                                 Time Now) {
  OwnerOutputs Out;
  if (ClosedBy_)
    return Out;
  onAnnounce(Agent, Info, Now, Out);
  place(Now, Out);
  return Out;
}

void JobOwner::onAnnounce(const AgentId &Agent, const EndpointInfo &Info,
                          Time Now, OwnerOutputs &Out) {
  Sched_.addAgent(Agent, Info, Now);
  if (!Agents_.announce(Agent, Info))
    return;
  if (const auto D = Demand_.lastSent(Info.Service_))
    Out.push_back(SendToAgent{Agent, *D});
}

OwnerOutputs JobOwner::onAgentMessage(const AgentId &Agent, const Message &M,
                                      Time Now) {
  OwnerOutputs Out;
  if (ClosedBy_)
    return Out;
  if (const auto *Info = std::get_if<AnnounceEndpoint>(&M))
    onAnnounce(Agent, Info->Info_, Now, Out);
  else if (const auto *Report = std::get_if<AgentReport>(&M))
    Sched_.onReport(Agent, *Report, Now);
  else if (const auto *End = std::get_if<TaskFinished>(&M))
    onFinished(Agent, *End, Now, Out);
  else if (const auto *Rejected = std::get_if<TasksRejected>(&M))
    onRejected(Agent, *Rejected, Now, Out);
  else if (const auto *Withdrawn = std::get_if<JobsWithdrawn>(&M))
    onWithdrawn(Agent, *Withdrawn, Now, Out);
  place(Now, Out);
  return Out;
}

// Ends and rejections are accepted only from the agent that the task was last
// sent to.
OwnedTask *JobOwner::findSentTask(const JobId &Id, TaskIndex Index,
                                  const AgentId &Agent) {
  OwnedJob *J = Jobs_.find(Id);
  if (!J || Index.value() >= J->Tasks_.size())
    return nullptr;
  OwnedTask &Task = J->Tasks_[Index.value()];
  return Task.Phase_ == TaskPhase::Sent && Task.Agent_ == Agent ? &Task
                                                                : nullptr;
}

void JobOwner::onFinished(const AgentId &Agent, const TaskFinished &End,
                          Time Now, OwnerOutputs &Out) {
  OwnedTask *Task = findSentTask(End.Job_, End.Index_, Agent);
  if (!Task)
    return;
  OwnedJob &J = *Jobs_.find(End.Job_);
  if (Task->PlacedByScheduler_)
    Sched_.onFinished({End.Job_, End.Index_}, Agent, End.Outcome_, End.RunTime_,
                      Now);
  Agents_.removeSent(Agent, {J.Number_, End.Index_.value()});
  Task->Result_ = End.Result_;
  if (End.Outcome_ == RunOutcome::Success) {
    endTask(J, End.Index_.value(), TaskPhase::Finished);
  } else {
    endTask(J, End.Index_.value(), TaskPhase::Failed);
    fail(J, "task_failed", End.Result_, Now, Out);
  }
  answerIfDone(J, Now, Out);
}

void JobOwner::onRejected(const AgentId &Agent, const TasksRejected &Rejected,
                          Time Now, OwnerOutputs &Out) {
  std::size_t Count = 0;
  for (const TaskIndex Index : Rejected.Tasks_) {
    OwnedTask *Task = findSentTask(Rejected.Job_, Index, Agent);
    if (!Task || Task->Attempt_ != Rejected.Attempt_)
      continue;
    ++Count;
    Sched_.onRejected({Rejected.Job_, Index}, Agent, Rejected.Reason_, Now);
    OwnedJob &J = *Jobs_.find(Rejected.Job_);
    Agents_.removeSent(Agent, {J.Number_, Index.value()});
    handleRejectedTask(J, Index.value(), Rejected.Reason_, Now, Out);
  }
  if (Count == 0)
    return;
  Out.push_back(jobEvent(events::TaskRejected, Rejected.Job_,
                         {{"tasks", std::to_string(Count)},
                          {"agent", Agent.str()},
                          {"reason", rejectReasonName(Rejected.Reason_)}}));
  answerIfDone(*Jobs_.find(Rejected.Job_), Now, Out);
}

OwnerOutputs JobOwner::onAgentLost(const AgentId &Agent, Time Now) {
  OwnerOutputs Out;
  Sched_.removeAgent(Agent, Now);
  std::set<std::uint64_t> AffectedJobs;
  for (const auto &[Number, Index] : Agents_.remove(Agent)) {
    OwnedJob &J = Jobs_.byNumber(Number);
    AffectedJobs.insert(Number);
    if (Index == WithdrawalIndex) {
      J.Withdrawing_ = false;
      continue;
    }
    if (J.Tasks_[Index].PlacedByScheduler_)
      Sched_.onLost({J.Spec_.Id_, TaskIndex(Index)}, Agent, Now);
    handleLostTask(J, Index, "agent " + Agent.str() + " was lost", Now, Out);
  }
  for (const std::uint64_t Number : AffectedJobs)
    answerIfDone(Jobs_.byNumber(Number), Now, Out);
  place(Now, Out);
  return Out;
}

OwnerOutputs JobOwner::onTimer(Time Now) {
  OwnerOutputs Out;
  if (ClosedBy_)
    return Out;
  refuseCordoned(Now, Out);
  for (const UnplaceableTask &W : Sched_.takeUnplaceable(Now)) {
    OwnedJob &J = *Jobs_.find(W.Task_.Job_);
    --J.QueuedTasks_;
    Demand_.remove(J.Spec_.Service_, J.Spec_.Class_, Now);
    endTask(J, W.Task_.Index_.value(), TaskPhase::Cancelled);
    fail(J, W.Code_.c_str(), W.Detail_, Now, Out);
    answerIfDone(J, Now, Out);
  }
  for (const auto &[Number, Index] : Retries_.takeDue(Now))
    enqueue(Jobs_.byNumber(Number), Index, Now);
  place(Now, Out);
  sendDemand(Now, Out);
  dropExpired(Now, Out);
  return Out;
}

// A task that was sent may run or be rejected; its job is looked at again when
// this is known. A job that has run in part goes on waiting as for a service
// without endpoints.
void JobOwner::refuseCordoned(Time Now, OwnerOutputs &Out) {
  for (const JobId &Id : Sched_.cordonedJobs()) {
    OwnedJob &J = *Jobs_.find(Id);
    const bool HasNotRun = std::all_of(
        J.Tasks_.begin(), J.Tasks_.end(), [](const OwnedTask &Task) {
          return Task.Phase_ == TaskPhase::Queued && !Task.MayHaveRun_;
        });
    if (!HasNotRun)
      continue;
    const AdmissionRefusal Refusal = makeCordonRefusal();
    J.FailRetryAfter_ = Refusal.RetryAfter_;
    fail(J, Refusal.Code_.c_str(), Refusal.Detail_, Now, Out);
    answerIfDone(J, Now, Out);
  }
}

void JobOwner::sendDemand(Time Now, OwnerOutputs &Out) {
  for (const auto &[Service, D] : Demand_.takeDue(Now))
    for (const AgentId &Agent : Agents_.ofService(Service))
      Out.push_back(SendToAgent{Agent, D});
}

// Notifies the agents when no job of an epoch is open any more, so that they
// drop their records of it.
void JobOwner::dropExpired(Time Now, OwnerOutputs &Out) {
  const auto Current = token(Now).Epoch_.value();
  if (Current < Limits_.EpochsAccepted_)
    return;
  const Epoch Oldest =
      Jobs_.dropExpired(Epoch(Current - Limits_.EpochsAccepted_), Now);
  if (Oldest <= OldestEpochSent_)
    return;
  OldestEpochSent_ = Oldest;
  for (const AgentId &Agent : Agents_.all())
    Out.push_back(SendToAgent{Agent, EpochsExpired{Oldest}});
}

} // namespace chivelanding
