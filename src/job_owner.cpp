#include "job_owner.h"

#include <algorithm>

namespace chivelanding {

JobOwner::JobOwner(EntryId Self, OwnerLimits Limits, Scheduler &Sched,
                   Time Start, std::uint64_t Seed)
    : Self_(std::move(Self)), Limits_(Limits), Sched_(Sched), Start_(Start),
      Random_(Seed) {}

Event placementEvent(const LogPlacement &Log) {
  const Placement &P = Log.Placement_;
  return {&events::TaskPlaced,
          {{"job", P.Task_.Job_.str()},
           {"task", std::to_string(P.Task_.Index_.value())},
           {"agent", P.Agent_.str()},
           {"reason", P.Reason_}}};
}

OwnerToken JobOwner::token(Time Now) const {
  const auto Steps = (Now - Start_) / Limits_.TokenEpoch_;
  return {Self_, Epoch(static_cast<std::uint64_t>(Steps))};
}

bool JobOwner::acceptsNew(const OwnerToken &Token, Time Now) const {
  const auto Current = token(Now).Epoch_.value();
  const auto Given = Token.Epoch_.value();
  return Given <= Current && Given + Limits_.EpochsAccepted_ >= Current;
}

JobAnswer JobOwner::refuse(Outcome O, const char *Code,
                           const char *Detail) const {
  JobAnswer A;
  A.Outcome_ = O;
  A.Code_ = Code;
  A.Detail_ = Detail;
  return A;
}

OwnerOutputs JobOwner::onSubmit(JobSpec Spec, ReplyId Reply, Time Now) {
  OwnerOutputs Out;
  const JobId Id = Spec.Id_;
  const auto Known = Jobs_.find(Id);
  if (Known != Jobs_.end()) {
    if (Known->second.Answered_)
      Out.push_back(GiveAnswer{Reply, Id, Known->second.Answer_});
    else
      Known->second.Replies_.push_back(Reply);
    return Out;
  }
  if (!acceptsNew(Id.Token_, Now)) {
    // The key may have been submitted and forgotten, so "not run" would be a
    // guess.
    Out.push_back(GiveAnswer{Reply, Id,
                             refuse(Outcome::Unknown, "token_expired",
                                    "fetch a new token for new jobs")});
    return Out;
  }
  Job &J = Jobs_[Id];
  J.Spec_ = std::move(Spec);
  J.Tasks_.resize(J.Spec_.Tasks_.size());
  J.Open_ = J.Tasks_.size();
  J.Replies_.push_back(Reply);
  ++OpenJobs_;
  std::optional<Time> Deadline;
  if (J.Spec_.Deadline_)
    Deadline = Now + *J.Spec_.Deadline_;
  for (std::uint32_t I = 0; I < J.Tasks_.size(); ++I)
    Sched_.enqueue({{Id, TaskIndex(I)},
                    J.Spec_.Service_,
                    J.Spec_.Kind_,
                    J.Spec_.Class_,
                    Deadline,
                    J.Spec_.Tasks_[I].TimeHint_},
                   Now);
  place(Now, Out);
  answerIfDone(Id, Out);
  return Out;
}

void JobOwner::onReplyGone(ReplyId Reply) {
  for (auto &[Id, J] : Jobs_)
    J.Replies_.erase(std::remove(J.Replies_.begin(), J.Replies_.end(), Reply),
                     J.Replies_.end());
}

OwnerOutputs JobOwner::onCancel(const JobId &Id, Time Now) {
  OwnerOutputs Out;
  const auto It = Jobs_.find(Id);
  if (It != Jobs_.end() && !It->second.Answered_) {
    fail(It->second, "cancelled", "cancelled by the caller", Now, Out);
    answerIfDone(Id, Out);
  }
  return Out;
}

OwnerOutputs JobOwner::onAgentUp(const AgentId &Agent, const EndpointInfo &Info,
                                 Time Now) {
  OwnerOutputs Out;
  Sched_.addAgent(Agent, Info, Now);
  place(Now, Out);
  return Out;
}

// Collects the placements of one job and agent into one message.
void JobOwner::place(Time Now, OwnerOutputs &Out) {
  std::map<std::pair<AgentId, JobId>, StartTasks> Starts;
  for (Placement &P : Sched_.place(Now)) {
    Job &J = Jobs_[P.Task_.Job_];
    TaskEntry &Task = J.Tasks_[P.Task_.Index_.value()];
    Task.Phase_ = TaskPhase::Sent;
    Task.Agent_ = P.Agent_;
    J.EverSent_ = true;
    StartTasks &Start = Starts[{P.Agent_, P.Task_.Job_}];
    Start.Job_ = P.Task_.Job_;
    Start.Kind_ = J.Spec_.Kind_;
    Start.Class_ = J.Spec_.Class_;
    const TaskSpec &Spec = J.Spec_.Tasks_[P.Task_.Index_.value()];
    Start.Tasks_.push_back({P.Task_.Index_, Spec.Payload_});
    Out.push_back(LogPlacement{std::move(P)});
  }
  for (auto &[Key, Start] : Starts)
    Out.push_back(SendToAgent{Key.first, std::move(Start)});
}

void JobOwner::settle(Job &J, TaskIndex Index, TaskPhase Phase,
                      std::string Result) {
  TaskEntry &Task = J.Tasks_[Index.value()];
  Task.Phase_ = Phase;
  Task.Result_ = std::move(Result);
  --J.Open_;
}

// The first failure decides the job: its waiting tasks are withdrawn, and those
// that were sent are cancelled; the answer waits until each has an end.
void JobOwner::fail(Job &J, const char *Code, const std::string &Detail,
                    Time Now, OwnerOutputs &Out) {
  if (!J.FailCode_.empty())
    return;
  J.FailCode_ = Code;
  J.FailDetail_ = Detail;
  for (const TaskIndex Index : Sched_.cancel(J.Spec_.Id_, Now))
    settle(J, Index, TaskPhase::Cancelled, "");
  std::map<AgentId, CancelTasks> Cancels;
  for (std::uint32_t I = 0; I < J.Tasks_.size(); ++I) {
    if (J.Tasks_[I].Phase_ != TaskPhase::Sent)
      continue;
    CancelTasks &C = Cancels[J.Tasks_[I].Agent_];
    C.Job_ = J.Spec_.Id_;
    C.Tasks_.push_back(TaskIndex(I));
  }
  for (auto &[Agent, Cancel] : Cancels)
    Out.push_back(SendToAgent{Agent, std::move(Cancel)});
}

OwnerOutputs JobOwner::onAgentMessage(const AgentId &Agent, const Message &M,
                                      Time Now) {
  OwnerOutputs Out;
  if (const auto *Info = std::get_if<AnnounceEndpoint>(&M)) {
    Sched_.addAgent(Agent, Info->Info_, Now);
  } else if (const auto *Report = std::get_if<AgentReport>(&M)) {
    Sched_.onReport(Agent, *Report, Now);
  } else if (const auto *End = std::get_if<TaskFinished>(&M)) {
    const auto It = Jobs_.find(End->Job_);
    if (It == Jobs_.end() || End->Index_.value() >= It->second.Tasks_.size())
      return Out;
    Job &J = It->second;
    TaskEntry &Task = J.Tasks_[End->Index_.value()];
    if (Task.Phase_ != TaskPhase::Sent || Task.Agent_ != Agent)
      return Out;
    Sched_.onFinished({End->Job_, End->Index_}, Agent, End->Outcome_,
                      End->RunTime_, Now);
    if (End->Outcome_ == RunOutcome::Success) {
      settle(J, End->Index_, TaskPhase::Finished, End->Result_);
    } else {
      settle(J, End->Index_, TaskPhase::Failed, End->Result_);
      fail(J, "task_failed", End->Result_, Now, Out);
    }
    answerIfDone(End->Job_, Out);
  } else if (const auto *Rejected = std::get_if<TasksRejected>(&M)) {
    const auto It = Jobs_.find(Rejected->Job_);
    if (It == Jobs_.end())
      return Out;
    Job &J = It->second;
    for (const TaskIndex Index : Rejected->Tasks_) {
      if (Index.value() >= J.Tasks_.size())
        continue;
      TaskEntry &Task = J.Tasks_[Index.value()];
      if (Task.Phase_ != TaskPhase::Sent || Task.Agent_ != Agent)
        continue;
      Sched_.onRejected({Rejected->Job_, Index}, Agent, Rejected->Reason_, Now);
      if (!J.FailCode_.empty()) {
        settle(J, Index, TaskPhase::Cancelled, "");
      } else if (Rejected->Reason_ == RejectReason::Deadline) {
        settle(J, Index, TaskPhase::Cancelled, "");
        fail(J, "deadline", "deadline passed before start", Now, Out);
      } else {
        Task.Phase_ = TaskPhase::Waiting;
        Sched_.enqueue({{Rejected->Job_, Index},
                        J.Spec_.Service_,
                        J.Spec_.Kind_,
                        J.Spec_.Class_,
                        {},
                        {}},
                       Now);
      }
    }
    answerIfDone(Rejected->Job_, Out);
  }
  place(Now, Out);
  return Out;
}

OwnerOutputs JobOwner::onAgentLost(const AgentId &Agent, Time Now) {
  OwnerOutputs Out;
  Sched_.removeAgent(Agent, Now);
  std::vector<JobId> Touched;
  for (auto &[Id, J] : Jobs_) {
    if (J.Answered_)
      continue;
    for (std::uint32_t I = 0; I < J.Tasks_.size(); ++I) {
      if (J.Tasks_[I].Phase_ != TaskPhase::Sent || J.Tasks_[I].Agent_ != Agent)
        continue;
      Sched_.onLost({Id, TaskIndex(I)}, Agent, Now);
      settle(J, TaskIndex(I), TaskPhase::Unknown, "");
      fail(J, "agent_lost", "agent " + Agent.str() + " was lost", Now, Out);
      Touched.push_back(Id);
    }
  }
  for (const JobId &Id : Touched)
    answerIfDone(Id, Out);
  return Out;
}

OwnerOutputs JobOwner::onTimer(Time Now) {
  OwnerOutputs Out;
  std::vector<JobId> Touched;
  for (const TaskRef &Task : Sched_.expire(Now)) {
    Job &J = Jobs_[Task.Job_];
    settle(J, Task.Index_, TaskPhase::Cancelled, "");
    fail(J, "deadline", "deadline passed before start", Now, Out);
    Touched.push_back(Task.Job_);
  }
  for (const JobId &Id : Touched)
    answerIfDone(Id, Out);
  place(Now, Out);
  return Out;
}

// "Not run" needs that no task was ever started: every one was withdrawn, or
// rejected by the agent that it was sent to.
JobAnswer JobOwner::makeAnswer(const Job &J) const {
  JobAnswer A;
  A.Code_ = J.FailCode_;
  A.Detail_ = J.FailDetail_;
  const auto Has = [&](TaskPhase P) {
    return std::any_of(J.Tasks_.begin(), J.Tasks_.end(),
                       [&](const TaskEntry &T) { return T.Phase_ == P; });
  };
  if (J.FailCode_.empty())
    A.Outcome_ = Outcome::Completed;
  else if (Has(TaskPhase::Unknown))
    A.Outcome_ = Outcome::Unknown;
  else if (Has(TaskPhase::Finished) || Has(TaskPhase::Failed))
    A.Outcome_ = Outcome::PartlyRun;
  else
    A.Outcome_ = Outcome::NotRun;
  if (A.Outcome_ == Outcome::NotRun)
    return A;
  static constexpr TaskState States[] = {
      TaskState::NotStarted, TaskState::Running,    TaskState::Finished,
      TaskState::Failed,     TaskState::NotStarted, TaskState::Unknown};
  for (std::size_t I = 0; I < J.Tasks_.size(); ++I) {
    const TaskEntry &T = J.Tasks_[I];
    A.Tasks_.push_back({J.Spec_.Tasks_[I].Id_,
                        States[static_cast<std::size_t>(T.Phase_)],
                        A.Outcome_ == Outcome::Completed ? T.Result_ : ""});
  }
  return A;
}

void JobOwner::answerIfDone(const JobId &Id, OwnerOutputs &Out) {
  Job &J = Jobs_[Id];
  if (J.Answered_ || J.Open_ > 0)
    return;
  J.Answered_ = true;
  J.Answer_ = makeAnswer(J);
  --OpenJobs_;
  for (const ReplyId Reply : J.Replies_)
    Out.push_back(GiveAnswer{Reply, Id, J.Answer_});
  J.Replies_.clear();
  std::vector<AgentId> Agents;
  for (const TaskEntry &T : J.Tasks_)
    if (!T.Agent_.Name_.empty())
      Agents.push_back(T.Agent_);
  std::sort(Agents.begin(), Agents.end());
  Agents.erase(std::unique(Agents.begin(), Agents.end()), Agents.end());
  for (const AgentId &Agent : Agents)
    Out.push_back(SendToAgent{Agent, JobEnded{Id}});
  J.Tasks_.clear();
  J.Tasks_.shrink_to_fit();
  J.Spec_.Tasks_.clear();
  J.Spec_.Tasks_.shrink_to_fit();
}

} // namespace chivelanding
