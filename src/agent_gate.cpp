#include "agent_gate.h"

#include <algorithm>

namespace chivelanding {

AgentGate::AgentGate(AgentId Self, GateLimits Limits)
    : Self_(std::move(Self)), Limits_(Limits) {}

void AgentGate::announce(const EntryId &To, GateOutputs &Out) {
  if (!Endpoint_)
    return;
  EndpointInfo Info = *Endpoint_;
  Info.Leaving_ = Info.Leaving_ || Leaving_;
  Out.push_back(SendToEntry{To, AnnounceEndpoint{Info}});
}

// Room is offered to every connected entry at once; the queue absorbs the
// starts of entries that use the same room.
void AgentGate::report(GateOutputs &Out) {
  if (!Endpoint_)
    return;
  const auto Slots = Leaving_ ? 0 : Endpoint_->Slots_;
  const auto Busy = static_cast<std::uint32_t>(Runs_.size());
  const auto Waiting = static_cast<std::uint32_t>(Queue_.size());
  const std::uint32_t Free = Slots > Busy ? Slots - Busy : 0;
  const std::uint32_t Capacity = Leaving_ ? 0 : Slots + Limits_.QueueRoom_;
  const std::uint32_t Used = Busy + Waiting;
  const std::uint32_t Credit = Capacity > Used ? Capacity - Used : 0;
  for (const auto &[Id, Entry] : Entries_)
    Out.push_back(
        SendToEntry{Id, AgentReport{Free, Waiting, Credit, Entry.StartsSeen_}});
}

GateOutputs AgentGate::onEntryConnected(const EntryId &Entry, Time) {
  GateOutputs Out;
  const auto Closed = Closed_.find(Entry);
  if (Closed != Closed_.end()) {
    Out.push_back(SendToEntry{Entry, YouAreClosed{Closed->second}});
    return Out;
  }
  Entries_[Entry];
  announce(Entry, Out);
  report(Out);
  return Out;
}

// The records of a lost entry stay, so that a recoverer can collect them.
GateOutputs AgentGate::onEntryLost(const EntryId &Entry, Time) {
  Entries_.erase(Entry);
  return {};
}

GateOutputs AgentGate::onMessage(const EntryId &From, const Message &M,
                                 Time Now) {
  GateOutputs Out;
  const auto Closed = Closed_.find(From);
  if (Closed != Closed_.end()) {
    Out.push_back(SendToEntry{From, YouAreClosed{Closed->second}});
    return Out;
  }
  if (const auto *Start = std::get_if<StartTasks>(&M)) {
    onStart(From, *Start, Now, Out);
  } else if (const auto *Cancel = std::get_if<CancelTasks>(&M)) {
    onCancel(From, *Cancel, Out);
  } else if (const auto *Ended = std::get_if<JobEnded>(&M)) {
    const auto It = Jobs_.find(Ended->Job_);
    if (It != Jobs_.end() && mayStart(From, Ended->Job_)) {
      It->second.Ended_ = true;
      for (auto &[Index, Task] : It->second.Tasks_)
        Task.Result_.clear();
    }
  } else if (const auto *Close = std::get_if<CloseIncarnation>(&M)) {
    onClose(From, *Close, Now, Out);
  } else if (const auto *Transfer = std::get_if<TransferGrant>(&M)) {
    onTransfer(From, *Transfer);
  }
  return Out;
}

// Only the owner named in the job's token may start its tasks, or, after the
// owner was closed here, the entry that this agent granted the resumption.
bool AgentGate::mayStart(const EntryId &From, const JobId &Job) const {
  const EntryId &Owner = Job.Token_.Owner_;
  const auto Closed = Closed_.find(Owner);
  if (Closed == Closed_.end())
    return From == Owner;
  return Closed->second == From;
}

void AgentGate::reject(const EntryId &To, const JobId &Job, TaskIndex Index,
                       RejectReason Reason, GateOutputs &Out) {
  Out.push_back(SendToEntry{To, TasksRejected{Job, {Index}, Reason}});
}

// A task that this agent has a record of is never started again: a started one
// is answered with what is known, a refused one stays refused.
void AgentGate::onStart(const EntryId &From, const StartTasks &Start, Time Now,
                        GateOutputs &Out) {
  Entries_[From].StartsSeen_ += Start.Tasks_.size();
  if (!mayStart(From, Start.Job_)) {
    for (const TaskStart &T : Start.Tasks_)
      reject(From, Start.Job_, T.Index_, RejectReason::NotOwner, Out);
    return;
  }
  std::optional<Time> Deadline;
  if (Start.Deadline_)
    Deadline = Now + *Start.Deadline_;
  for (const TaskStart &T : Start.Tasks_) {
    JobRecord &Job = Jobs_[Start.Job_];
    Job.Sender_ = From;
    const auto Known = Job.Tasks_.find(T.Index_);
    if (Known != Job.Tasks_.end() && Known->second.State_ != State::Refused) {
      const TaskRecord &R = Known->second;
      if (R.State_ == State::Finished)
        Out.push_back(SendToEntry{
            From,
            TaskFinished{Start.Job_, T.Index_, R.Outcome_, R.Result_, {}}});
      continue;
    }
    const auto Capacity =
        Endpoint_ ? Endpoint_->Slots_ + Limits_.QueueRoom_ : 0;
    const auto Refuse = [&](RejectReason Reason) {
      Job.Tasks_[T.Index_].State_ = State::Refused;
      reject(From, Start.Job_, T.Index_, Reason, Out);
    };
    if (Leaving_) {
      Refuse(RejectReason::Leaving);
    } else if (!Endpoint_) {
      Refuse(RejectReason::NoEndpoint);
    } else if (Runs_.size() + Queue_.size() >= Capacity) {
      Refuse(RejectReason::NoRoom);
    } else {
      Job.Tasks_[T.Index_].State_ = State::Queued;
      Queue_.push_back({Start.Job_, T.Index_, Start.Kind_, Start.Class_,
                        Deadline, T.Payload_});
    }
  }
  startQueued(Now, Out);
  report(Out);
}

// Starts queued tasks while slots are free, the most urgent class first and in
// order of arrival within a class.
void AgentGate::startQueued(Time Now, GateOutputs &Out) {
  while (Endpoint_ && !Queue_.empty() && Runs_.size() < Endpoint_->Slots_) {
    const auto It = std::min_element(
        Queue_.begin(), Queue_.end(),
        [](const auto &A, const auto &B) { return A.Class_ < B.Class_; });
    QueuedTask Task = std::move(*It);
    Queue_.erase(It);
    JobRecord &Job = Jobs_[Task.Job_];
    TaskRecord &Record = Job.Tasks_[Task.Index_];
    if (Task.Deadline_ && *Task.Deadline_ <= Now) {
      Record.State_ = State::Refused;
      reject(Job.Sender_, Task.Job_, Task.Index_, RejectReason::Deadline, Out);
      continue;
    }
    const RunId Run(NextRun_++);
    Record.State_ = State::Running;
    Record.Run_ = Run;
    Runs_[Run] = {Task.Job_, Task.Index_};
    Out.push_back(RunTask{Run, Task.Job_, Task.Index_, Task.Kind_,
                          std::move(Task.Payload_)});
  }
}

GateOutputs AgentGate::onRunFinished(RunId Run, RunOutcome Outcome,
                                     std::string Result, Duration RunTime,
                                     Time Now) {
  GateOutputs Out;
  const auto It = Runs_.find(Run);
  if (It == Runs_.end())
    return Out;
  const auto Ended = It->second;
  Runs_.erase(It);
  JobRecord &Job = Jobs_[Ended.Job_];
  TaskRecord &Task = Job.Tasks_[Ended.Index_];
  Task.State_ = State::Finished;
  Task.Outcome_ = Outcome;
  if (!Job.Ended_)
    Task.Result_ = Result;
  Out.push_back(
      SendToEntry{Job.Sender_, TaskFinished{Ended.Job_, Ended.Index_, Outcome,
                                            std::move(Result), RunTime}});
  startQueued(Now, Out);
  report(Out);
  return Out;
}

void AgentGate::onCancel(const EntryId &From, const CancelTasks &Cancel,
                         GateOutputs &Out) {
  if (!mayStart(From, Cancel.Job_))
    return;
  const auto It = Jobs_.find(Cancel.Job_);
  if (It == Jobs_.end())
    return;
  const auto Wanted = [&](TaskIndex Index) {
    return Cancel.Tasks_.empty() ||
           std::find(Cancel.Tasks_.begin(), Cancel.Tasks_.end(), Index) !=
               Cancel.Tasks_.end();
  };
  TasksRejected Rejected{Cancel.Job_, {}, RejectReason::Cancelled};
  for (auto &[Index, Task] : It->second.Tasks_) {
    if (!Wanted(Index))
      continue;
    if (Task.State_ == State::Running) {
      Out.push_back(StopTask{Task.Run_});
    } else if (Task.State_ == State::Queued) {
      Task.State_ = State::Refused;
      Rejected.Tasks_.push_back(Index);
    }
  }
  Queue_.erase(std::remove_if(Queue_.begin(), Queue_.end(),
                              [&](const QueuedTask &Q) {
                                return Q.Job_ == Cancel.Job_ &&
                                       Wanted(Q.Index_);
                              }),
               Queue_.end());
  if (!Rejected.Tasks_.empty())
    Out.push_back(SendToEntry{From, std::move(Rejected)});
  report(Out);
}

void AgentGate::dropQueued(const EntryId &Sender) {
  const auto IsOfSender = [&](const QueuedTask &Q) {
    JobRecord &Job = Jobs_[Q.Job_];
    if (Job.Sender_ != Sender)
      return false;
    Job.Tasks_[Q.Index_].State_ = State::Refused;
    return true;
  };
  Queue_.erase(std::remove_if(Queue_.begin(), Queue_.end(), IsOfSender),
               Queue_.end());
}

// The first entry that asks gets the grant; it keeps it until it is closed
// itself. Grants that the closed entry held pass to the entry that closed it.
void AgentGate::onClose(const EntryId &From, const CloseIncarnation &Close,
                        Time Now, GateOutputs &Out) {
  const bool IsNew = Closed_.emplace(Close.Entry_, From).second;
  if (IsNew) {
    dropQueued(Close.Entry_);
    Entries_.erase(Close.Entry_);
    for (auto &[Entry, Holder] : Closed_)
      if (Holder == Close.Entry_)
        Holder = From;
  }
  IncarnationClosed Reply{Close.Entry_, Closed_[Close.Entry_], true, {}};
  if (Reply.Holder_ == From) {
    for (auto &[Id, Job] : Jobs_) {
      if (!(Id.Token_.Owner_ == Close.Entry_))
        continue;
      HeldJob Held{Id, {}};
      for (const auto &[Index, Task] : Job.Tasks_)
        if (Task.State_ == State::Running || Task.State_ == State::Finished)
          Held.Tasks_.push_back({Index, Task.State_ == State::Finished,
                                 Task.Outcome_, Task.Result_});
      Job.Sender_ = From;
      if (!Held.Tasks_.empty())
        Reply.Jobs_.push_back(std::move(Held));
    }
  }
  Out.push_back(SendToEntry{From, std::move(Reply)});
  startQueued(Now, Out);
  report(Out);
}

void AgentGate::onTransfer(const EntryId &From, const TransferGrant &Transfer) {
  const auto It = Closed_.find(Transfer.Entry_);
  if (It != Closed_.end() && It->second == From &&
      Closed_.count(Transfer.NewHolder_) == 0)
    It->second = Transfer.NewHolder_;
}

GateOutputs AgentGate::onEndpointAnnounced(const EndpointInfo &Info, Time Now) {
  GateOutputs Out;
  Endpoint_ = Info;
  for (const auto &[Id, Entry] : Entries_)
    announce(Id, Out);
  startQueued(Now, Out);
  report(Out);
  return Out;
}

GateOutputs AgentGate::onLeaving(Time) {
  GateOutputs Out;
  Leaving_ = true;
  for (const auto &[Id, Entry] : Entries_)
    announce(Id, Out);
  for (const QueuedTask &Q : Queue_) {
    JobRecord &Job = Jobs_[Q.Job_];
    Job.Tasks_[Q.Index_].State_ = State::Refused;
    reject(Job.Sender_, Q.Job_, Q.Index_, RejectReason::Leaving, Out);
  }
  Queue_.clear();
  report(Out);
  return Out;
}

GateOutputs AgentGate::onTimer(Time Now) {
  GateOutputs Out;
  startQueued(Now, Out);
  return Out;
}

bool AgentGate::drained() const {
  return Leaving_ && Runs_.empty() && Queue_.empty();
}

} // namespace chivelanding
