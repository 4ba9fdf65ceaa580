#include "job_progress.h"

namespace chivelanding {

JobProgress::JobProgress(Scheduler &Sched, std::uint64_t MaxResultBytes,
                         Duration AdoptedRetention, std::uint64_t Seed)
    : Sched_(Sched), Retries_(Seed), Jobs_(MaxResultBytes, AdoptedRetention) {}

// A rejection proves that the task did not start, so it may be sent again. The
// exception is an adopted job whose grant this entry has lost, because another
// entry may start the task now.
void JobProgress::handleRejectedTask(OwnedJob &J, std::uint32_t Index,
                                     RejectReason Reason, Time Now,
                                     OwnerOutputs &Out) {
  const bool Refused =
      Reason == RejectReason::NotOwner || Reason == RejectReason::Closed;
  if (J.Adopted_ && Refused) {
    endTask(J, Index, TaskPhase::Unknown);
    return fail(J, "grant_lost", "another entry resumes this job", Now, Out);
  }
  if (!J.FailCode_.empty())
    return endTask(J, Index, TaskPhase::Cancelled);
  if (Reason == RejectReason::Deadline) {
    endTask(J, Index, TaskPhase::Cancelled);
    return fail(J, "deadline", "deadline passed before start", Now, Out);
  }
  if (Reason == RejectReason::Closed) {
    endTask(J, Index, TaskPhase::Cancelled);
    return fail(J, "epoch_refused", "an agent refuses the token's epoch", Now,
                Out);
  }
  enqueue(J, Index, Now);
}

// Combines the placements of one job at one agent into one message. Before the
// first start of an adopted job at an agent where this entry holds no grant
// yet, closes the former owner there, so that the agent accepts starts of this
// entry.
void JobProgress::place(Time Now, OwnerOutputs &Out) {
  std::map<std::pair<AgentId, std::uint64_t>, StartTasks> Starts;
  for (Placement &P : Sched_.place(Now)) {
    OwnedJob &J = *Jobs_.find(P.Task_.Job_);
    const std::uint32_t Index = P.Task_.Index_.value();
    OwnedTask &Task = J.Tasks_[Index];
    --J.QueuedTasks_;
    Demand_.remove(J.Spec_.Service_, J.Spec_.Class_, Now);
    Task.PlacedByScheduler_ = true;
    markSent(J, Index, P.Agent_);
    const EntryId &Owner = P.Task_.Job_.Token_.Owner_;
    if (J.Adopted_ && Agents_.addGrant(P.Agent_, Owner))
      Out.push_back(SendToAgent{P.Agent_, CloseIncarnation{Owner}});
    StartTasks &Start = Starts[{P.Agent_, J.Number_}];
    Start.Job_ = P.Task_.Job_;
    Start.Kind_ = J.Spec_.Kind_;
    Start.Class_ = J.Spec_.Class_;
    if (J.Deadline_)
      Start.Deadline_ = *J.Deadline_ - Now;
    Start.Tasks_.push_back(
        {P.Task_.Index_, J.Spec_.Tasks_[Index].Payload_, ++Task.Attempt_});
    Out.push_back(LogPlacement{std::move(P)});
  }
  for (auto &[Key, Start] : Starts)
    Out.push_back(SendToAgent{Key.first, std::move(Start)});
  for (auto &[Agent, Withdraw] : Withdrawals_)
    Out.push_back(SendToAgent{Agent, std::move(Withdraw)});
  if (!Withdrawals_.empty())
    ++WithdrawalTurn_;
  Withdrawals_.clear();
}

void JobProgress::enqueue(OwnedJob &J, std::uint32_t Index, Time Now) {
  J.Tasks_[Index].Phase_ = TaskPhase::Queued;
  ++J.QueuedTasks_;
  Demand_.add(J.Spec_.Service_, J.Spec_.Class_, Now);
  Sched_.enqueue({{J.Spec_.Id_, TaskIndex(Index)},
                  J.Spec_.Service_,
                  J.Spec_.Kind_,
                  J.Spec_.Class_,
                  J.Deadline_,
                  J.Spec_.Tasks_[Index].TimeHint_},
                 Now);
}

// Only tasks of idempotent jobs can be delayed for a retry.
void JobProgress::cancelUnsentTasks(OwnedJob &J, Time Now) {
  if (J.QueuedTasks_ > 0)
    for (const TaskIndex Index : Sched_.cancel(J.Spec_.Id_, Now)) {
      --J.QueuedTasks_;
      Demand_.remove(J.Spec_.Service_, J.Spec_.Class_, Now);
      endTask(J, Index.value(), TaskPhase::Cancelled);
    }
  for (std::uint32_t I = 0; J.Spec_.Idempotent_ && I < J.Tasks_.size(); ++I) {
    if (J.Tasks_[I].Phase_ != TaskPhase::Delayed)
      continue;
    Retries_.remove({J.Number_, I}, J.Tasks_[I].RetryAt_);
    endTask(J, I, TaskPhase::Cancelled);
  }
}

void JobProgress::markSent(OwnedJob &J, std::uint32_t Index,
                           const AgentId &Agent) {
  J.Tasks_[Index].Phase_ = TaskPhase::Sent;
  J.Tasks_[Index].Agent_ = Agent;
  J.Agents_.insert(Agent);
  Agents_.addSent(Agent, {J.Number_, Index});
}

void JobProgress::endTask(OwnedJob &J, std::uint32_t Index, TaskPhase Phase) {
  J.Tasks_[Index].Phase_ = Phase;
  --J.UnfinishedTasks_;
}

// The first failure decides the job: tasks that were not sent are cancelled
// here, the others at their agents. The answer waits until every task has
// ended.
void JobProgress::fail(OwnedJob &J, const char *Code, const std::string &Detail,
                       Time Now, OwnerOutputs &Out) {
  if (!J.FailCode_.empty())
    return;
  J.FailCode_ = Code;
  J.FailDetail_ = Detail;
  cancelUnsentTasks(J, Now);
  std::set<AgentId> Agents;
  for (const OwnedTask &Task : J.Tasks_)
    if (Task.Phase_ == TaskPhase::Sent && Agents_.contains(Task.Agent_))
      Agents.insert(Task.Agent_);
  for (const AgentId &Agent : Agents)
    Out.push_back(SendToAgent{Agent, CancelTasks{J.Spec_.Id_, {}}});
}

// Before the answer "not run", an agent must confirm that it has recorded the
// job as ended. Otherwise this entry might have been paused and closed
// meanwhile, and the entry that recovers the job might run it. If no agent can
// confirm, the outcome is unknown, unless the job is this entry's own and the
// entry has never had an agent of its service: then no recovering entry has
// proof that the tasks did not start, either.
void JobProgress::answerIfDone(OwnedJob &J, Time Now, OwnerOutputs &Out) {
  if (J.Answered_ || J.Withdrawing_ || J.UnfinishedTasks_ > 0)
    return;
  JobAnswer A = makeAnswer(J);
  if (A.Outcome_ == Outcome::NotRun && !J.Withdrawn_) {
    if (requestWithdrawal(J))
      return;
    if (J.Adopted_ || Agents_.everServed(J.Spec_.Service_))
      A.Outcome_ = Outcome::Unknown;
  }
  answer(J, std::move(A), Now, Out);
}

bool JobProgress::requestWithdrawal(OwnedJob &J) {
  const JobId &Id = J.Spec_.Id_;
  const auto Agent = Agents_.findAgentForWithdrawal(
      J.Spec_.Service_, J.Adopted_ ? &Id.Token_.Owner_ : nullptr,
      WithdrawalTurn_);
  if (!Agent)
    return false;
  J.Withdrawing_ = true;
  Agents_.addSent(*Agent, {J.Number_, WithdrawalIndex});
  Withdrawals_[*Agent].Jobs_.push_back(Id);
  return true;
}

void JobProgress::onWithdrawn(const AgentId &Agent,
                              const JobsWithdrawn &Withdrawn, Time Now,
                              OwnerOutputs &Out) {
  for (const JobId &Id : Withdrawn.Jobs_) {
    OwnedJob *J = Jobs_.find(Id);
    if (!J || !Agents_.removeSent(Agent, {J->Number_, WithdrawalIndex}))
      continue;
    J->Withdrawing_ = false;
    J->Withdrawn_ = true;
    answerIfDone(*J, Now, Out);
  }
  for (const JobId &Id : Withdrawn.Refused_) {
    OwnedJob *J = Jobs_.find(Id);
    if (!J || !Agents_.removeSent(Agent, {J->Number_, WithdrawalIndex}))
      continue;
    JobAnswer A = makeAnswer(*J);
    A.Outcome_ = Outcome::Unknown;
    answer(*J, std::move(A), Now, Out);
  }
}

void JobProgress::answer(OwnedJob &J, JobAnswer Answer, Time Now,
                         OwnerOutputs &Out) {
  const JobId &Id = J.Spec_.Id_;
  for (const AgentId &Agent : J.Agents_)
    if (Agents_.contains(Agent))
      Out.push_back(SendToAgent{Agent, JobEnded{Id}});
  const auto Replies = Jobs_.close(J, std::move(Answer), Now);
  Out.push_back(jobEvent(events::JobAnswered, Id,
                         {{"outcome", outcomeName(J.Answer_.Outcome_)},
                          {"code", J.Answer_.Code_}}));
  for (const ReplyId Reply : Replies)
    Out.push_back(SendAnswer{Reply, Id, J.Answer_});
}

// The task may have run, or may still be running. Only the task of a job that
// its caller marked idempotent is sent again.
void JobProgress::handleLostTask(OwnedJob &J, std::uint32_t Index,
                                 const std::string &Detail, Time Now,
                                 OwnerOutputs &Out) {
  if (J.FailCode_.empty() && J.Spec_.Idempotent_ && J.Tasks_.size() == 1 &&
      retryLater(J, Index, Now, Out))
    return;
  endTask(J, Index, TaskPhase::Unknown);
  fail(J, "agent_lost", Detail, Now, Out);
}

bool JobProgress::retryLater(OwnedJob &J, std::uint32_t Index, Time Now,
                             OwnerOutputs &Out) {
  OwnedTask &T = J.Tasks_[Index];
  const auto At = Retries_.add({J.Number_, Index}, J.Spec_.Service_, T.Retries_,
                               J.Deadline_, Now);
  if (!At)
    return false;
  ++T.Retries_;
  T.MayHaveRun_ = true;
  T.Phase_ = TaskPhase::Delayed;
  T.RetryAt_ = *At;
  Out.push_back(jobEvent(events::TaskRetried, J.Spec_.Id_,
                         {{"retry", std::to_string(T.Retries_)},
                          {"delay_us", std::to_string((*At - Now).count())},
                          {"lost_agent", T.Agent_.str()}}));
  return true;
}

} // namespace chivelanding
