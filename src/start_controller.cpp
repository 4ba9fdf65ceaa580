#include "start_controller.h"

#include <algorithm>

namespace chivelanding {

using State = TaskRecord::State;

StartController::StartController(AgentId Self, StartControllerLimits Limits)
    : Self_(std::move(Self)), Limits_(Limits), Records_(Limits.ResultBytes_) {}

bool StartController::isLeaving() const {
  return Leaving_ || (Endpoint_ && Endpoint_->Leaving_);
}

std::uint32_t StartController::slots() const {
  if (!Endpoint_ || isLeaving() || Cordoned_)
    return 0;
  if (Endpoint_->Connections_ == 0)
    return Endpoint_->Slots_;
  return std::min(Endpoint_->Slots_, Endpoint_->Connections_);
}

// Drops messages to an entry that is not connected. Their content stays in the
// records, from which the entry gets it when it reconnects, or the entry that
// recovers its jobs gets it with the grant.
void StartController::send(const EntryId &To, Message M,
                           StartControllerOutputs &Out) const {
  if (Entries_.count(To) != 0)
    Out.push_back(SendToEntry{To, std::move(M)});
}

void StartController::sendEndpoint(const EntryId &To,
                                   StartControllerOutputs &Out) const {
  if (!Endpoint_)
    return;
  EndpointInfo Info = *Endpoint_;
  Info.Leaving_ = isLeaving();
  send(To, AnnounceEndpoint{Info}, Out);
}

// Skips a report that would not change how many tasks the entry may send: both
// sides subtract the entry's own starts that have arrived from its credit.
// After its first report, an entry that gets no other message now is sent a
// report only while tasks of its stated demand are waiting.
void StartController::sendReports(StartControllerOutputs &Out) {
  if (!Endpoint_)
    return;
  const auto Busy = static_cast<std::uint32_t>(Runs_.size());
  const auto Waiting = static_cast<std::uint32_t>(Queue_.size());
  const std::uint32_t Slots = slots();
  const std::uint32_t Capacity =
      Slots == 0 ? 0 : Slots + Limits_.MaxQueuedTasks_;
  const std::uint32_t Used = Busy + Waiting;
  Credit_.divide(Capacity > Used ? Capacity - Used : 0);
  for (auto &[Id, Entry] : Entries_) {
    const AgentReport R{Slots > Busy ? Slots - Busy : 0, Waiting,
                        Credit_.credit(Id), Entry.StartsSeen_};
    const auto &Old = Entry.LastReport_;
    if (Old && Old->QueueLength_ == R.QueueLength_ &&
        Old->Credit_ + Old->StartsSeen_ == R.Credit_ + R.StartsSeen_)
      continue;
    const bool IsAlone = std::none_of(
        Out.begin(), Out.end(), [&, &To = Id](const StartControllerOutput &O) {
          const auto *Other = std::get_if<SendToEntry>(&O);
          return Other && Other->To_ == To;
        });
    if (IsAlone && Old && !Credit_.hasDemand(Id))
      continue;
    Entry.LastReport_ = R;
    Out.push_back(SendToEntry{Id, R});
  }
}

// Runs at the end of every input, so that queue, reports and rejections are
// processed once per input. Reports precede rejections; otherwise the owner
// would send the rejected tasks again, because the last report that it has got
// still shows free capacity here.
void StartController::finishInput(Time Now, StartControllerOutputs &Out) {
  startQueued(Now, Out);
  sendReports(Out);
  for (auto &[To, Rejected] : Rejections_)
    send(To, std::move(Rejected), Out);
  Rejections_.clear();
}

StartControllerOutputs StartController::onMessage(const EntryId &From,
                                                  const Message &M, Time Now) {
  StartControllerOutputs Out;
  if (Records_.isClosed(From)) {
    Out.push_back(SendToEntry{From, YouAreClosed{Records_.actingOwner(From)}});
    return Out;
  }
  if (const auto *Start = std::get_if<StartTasks>(&M))
    onStarts(From, *Start, Now, Out);
  else if (const auto *Cancel = std::get_if<CancelTasks>(&M))
    onCancel(From, *Cancel, Now, Out);
  else if (const auto *Ended = std::get_if<JobEnded>(&M))
    onJobEnded(From, *Ended);
  else if (const auto *Withdraw = std::get_if<WithdrawJobs>(&M))
    onWithdraw(From, *Withdraw, Now, Out);
  else if (const auto *Expired = std::get_if<EpochsExpired>(&M))
    onEpochsExpired(From, *Expired);
  else if (const auto *Close = std::get_if<CloseIncarnation>(&M))
    onClose(From, Close->Entry_, Now, Out);
  else if (const auto *Transfer = std::get_if<TransferGrant>(&M))
    onTransfer(From, *Transfer, Now, Out);
  else if (const auto *D = std::get_if<Demand>(&M))
    Credit_.onDemand(From, *D);
  finishInput(Now, Out);
  return Out;
}

void StartController::onStarts(const EntryId &From, const StartTasks &Start,
                               Time Now, StartControllerOutputs &Out) {
  const auto Entry = Entries_.find(From);
  if (Entry != Entries_.end())
    Entry->second.StartsSeen_ += Start.Tasks_.size();
  Credit_.onStarts(From, Start.Class_,
                   static_cast<std::uint32_t>(Start.Tasks_.size()));
  std::size_t Cordoned = 0;
  for (const TaskStart &Task : Start.Tasks_)
    if (acceptStart(From, Start, Task, Now, Out) == RejectReason::NoEndpoint &&
        Cordoned_)
      ++Cordoned;
  if (Cordoned > 0)
    Out.push_back(LogEvent{{&events::StartRefusedCordoned,
                            {{"job", Start.Job_.str()},
                             {"tasks", std::to_string(Cordoned)},
                             {"entry", From.str()}}}});
}

// Only the owner named in the job's token may start its tasks or, once this
// agent has closed the owner, the entry that holds the grant to resume its
// jobs. The entry must be connected.
std::optional<RejectReason>
StartController::checkStart(const EntryId &From, const JobId &Job,
                            PriorityClass Class) const {
  const EntryId &Owner = Job.Token_.Owner_;
  if (Records_.actingOwner(Owner) != From || Entries_.count(From) == 0)
    return RejectReason::NotOwner;
  const OwnerRecord *Record = Records_.findOwner(Owner);
  if (Record && Job.Token_.Epoch_ < Record->OldestEpoch_)
    return RejectReason::Closed;
  if (isLeaving())
    return RejectReason::Leaving;
  if (slots() == 0)
    return RejectReason::NoEndpoint;
  const std::uint32_t Queue =
      Class < Limits_.QueueFrom_ ? 0 : Limits_.MaxQueuedTasks_;
  if (Runs_.size() + Queue_.size() >= slots() + Queue)
    return RejectReason::NoRoom;
  return std::nullopt;
}

// Handles a start request for which the records decide; returns false if the
// task may still start. A queued, running or finished task is not started
// again; the end of a finished one is sent if its result is still kept. A
// rejected attempt is rejected again, but a later attempt may start. For an
// ended job, a start request from the entry that ended it is a late duplicate
// and gets no answer: the task records are gone, and a rejection would claim
// that the task never ran. Any other entry is resuming the job and gets a
// rejection.
bool StartController::answerFromRecords(const EntryId &From, const JobId &Job,
                                        const TaskStart &Task,
                                        StartControllerOutputs &Out) {
  const JobRecord *Record = Records_.findJob(Job);
  if (!Record)
    return false;
  const auto Known = Record->Tasks_.find(Task.Index_);
  if (Record->Ended_) {
    if (Record->EndedBy_ != From && Known == Record->Tasks_.end())
      queueRejection(From, Job, Task.Index_, Task.Attempt_,
                     RejectReason::Closed);
    return true;
  }
  if (Known == Record->Tasks_.end())
    return false;
  if (const Rejection *Old =
          Records_.findRejection(Job, Task.Index_, From, Task.Attempt_)) {
    queueRejection(From, Job, Task.Index_, Task.Attempt_, Old->Reason_);
    return true;
  }
  const TaskRecord &R = Known->second;
  if (R.State_ == State::Finished && !R.Evicted_ &&
      Records_.actingOwner(Job.Token_.Owner_) == From)
    send(From, TaskFinished{Job, Task.Index_, R.Outcome_, R.Result_, {}}, Out);
  return R.State_ != State::Rejected;
}

std::optional<RejectReason>
StartController::acceptStart(const EntryId &From, const StartTasks &Start,
                             const TaskStart &Task, Time Now,
                             StartControllerOutputs &Out) {
  if (answerFromRecords(From, Start.Job_, Task, Out))
    return std::nullopt;
  if (const auto Reason = checkStart(From, Start.Job_, Start.Class_)) {
    rejectAndRecord(From, Start.Job_, Task.Index_, Task.Attempt_, *Reason, Now);
    return Reason;
  }
  JobRecord &Job =
      Records_.findOrAddOwner(Start.Job_.Token_.Owner_, Now).Jobs_[Start.Job_];
  TaskRecord &Record = Job.Tasks_[Task.Index_];
  Record.State_ = State::Queued;
  Record.Queue_ = {Start.Class_, NextArrival_++};
  Job.ActiveTasks_.insert(Task.Index_);
  std::optional<Time> Deadline;
  if (Start.Deadline_)
    Deadline = Now + *Start.Deadline_;
  Queue_[Record.Queue_] = {Start.Job_,    Task.Index_, Start.Kind_,  Deadline,
                           Task.Payload_, From,        Task.Attempt_};
  return std::nullopt;
}

void StartController::queueRejection(const EntryId &To, const JobId &Job,
                                     TaskIndex Index, std::uint32_t Attempt,
                                     RejectReason Reason) {
  if (!Rejections_.empty()) {
    auto &[LastTo, Last] = Rejections_.back();
    if (LastTo == To && Last.Job_ == Job && Last.Reason_ == Reason &&
        Last.Attempt_ == Attempt) {
      Last.Tasks_.push_back(Index);
      return;
    }
  }
  Rejections_.push_back({To, TasksRejected{Job, {Index}, Reason, Attempt}});
}

// Records the rejection before it is sent, so that a duplicate of the start
// request is rejected even if the entry has meanwhile started the task at
// another agent.
void StartController::rejectAndRecord(const EntryId &From, const JobId &Job,
                                      TaskIndex Index, std::uint32_t Attempt,
                                      RejectReason Reason, Time Now) {
  queueRejection(From, Job, Index, Attempt, Reason);
  Records_.addRejection(Job, Index, {From, Attempt, Reason}, Now);
}

// Removes the wanted tasks from the queue and rejects them, which proves to the
// sender that they did not start. A closed entry does not get the rejection,
// because it is no longer connected.
void StartController::returnQueued(
    const std::function<bool(const QueuedTask &)> &Wanted, RejectReason Reason,
    Time Now) {
  for (auto It = Queue_.begin(); It != Queue_.end();) {
    const QueuedTask &Q = It->second;
    if (!Wanted(Q)) {
      ++It;
      continue;
    }
    JobRecord &Job = *Records_.findJob(Q.Job_);
    Job.Tasks_[Q.Index_].State_ = State::Rejected;
    Job.ActiveTasks_.erase(Q.Index_);
    rejectAndRecord(Q.Sender_, Q.Job_, Q.Index_, Q.Attempt_, Reason, Now);
    It = Queue_.erase(It);
  }
}

// Starts queued tasks while slots are free, the most urgent class first and in
// order of arrival within a class. The deadline is checked just before the
// start, because the task may have waited in the queue.
void StartController::startQueued(Time Now, StartControllerOutputs &Out) {
  while (!Queue_.empty() && Runs_.size() < slots()) {
    QueuedTask Task = std::move(Queue_.begin()->second);
    Queue_.erase(Queue_.begin());
    JobRecord &Job = *Records_.findJob(Task.Job_);
    TaskRecord &Record = Job.Tasks_[Task.Index_];
    if (Task.Deadline_ && *Task.Deadline_ <= Now) {
      Record.State_ = State::Rejected;
      Job.ActiveTasks_.erase(Task.Index_);
      rejectAndRecord(Task.Sender_, Task.Job_, Task.Index_, Task.Attempt_,
                      RejectReason::Deadline, Now);
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

// Sends the end to the entry that may act on the job now: the owner, or the
// holder of the grant if the owner was closed while the task ran.
void StartController::endRun(RunId Run, RunOutcome Outcome, std::string Result,
                             Duration RunTime, StartControllerOutputs &Out) {
  const auto It = Runs_.find(Run);
  if (It == Runs_.end())
    return;
  const auto Ended = std::move(It->second);
  Runs_.erase(It);
  JobRecord &Job = *Records_.findJob(Ended.Job_);
  TaskRecord &Task = Job.Tasks_[Ended.Index_];
  Job.ActiveTasks_.erase(Ended.Index_);
  Task.State_ = State::Finished;
  Task.Outcome_ = Outcome;
  send(Records_.actingOwner(Ended.Job_.Token_.Owner_),
       TaskFinished{Ended.Job_, Ended.Index_, Outcome, Result, RunTime}, Out);
  if (Job.Ended_)
    Records_.endJob(Job, {});
  else
    Records_.keepResult(Ended.Job_, Ended.Index_, Task, std::move(Result));
}

StartControllerOutputs
StartController::onRunFinished(RunId Run, RunOutcome Outcome,
                               std::string Result, Duration RunTime, Time Now) {
  StartControllerOutputs Out;
  endRun(Run, Outcome, std::move(Result), RunTime, Out);
  finishInput(Now, Out);
  return Out;
}

void StartController::onJobEnded(const EntryId &From, const JobEnded &Ended) {
  JobRecord *Job = Records_.findJob(Ended.Job_);
  if (Job && Records_.actingOwner(Ended.Job_.Token_.Owner_) == From)
    Records_.endJob(*Job, From);
}

// Creates tombstones also for jobs of which this agent has no record, so that
// their tasks cannot start here later.
void StartController::onWithdraw(const EntryId &From,
                                 const WithdrawJobs &Withdraw, Time Now,
                                 StartControllerOutputs &Out) {
  JobsWithdrawn Reply;
  for (const JobId &Id : Withdraw.Jobs_) {
    const bool Done = Records_.actingOwner(Id.Token_.Owner_) == From &&
                      Records_.withdraw(Id, From, Now);
    (Done ? Reply.Jobs_ : Reply.Refused_).push_back(Id);
  }
  send(From, std::move(Reply), Out);
}

void StartController::onEpochsExpired(const EntryId &From,
                                      const EpochsExpired &Expired) {
  const auto It = Records_.owners().find(From);
  if (It != Records_.owners().end())
    Records_.dropEpochsBefore(It->second, Expired.Oldest_);
}

// Visits only queued and running tasks unless the message names tasks, so the
// cost is proportional to the number of tasks to cancel.
void StartController::onCancel(const EntryId &From, const CancelTasks &Cancel,
                               Time Now, StartControllerOutputs &Out) {
  JobRecord *Job = Records_.findJob(Cancel.Job_);
  if (!Job || Records_.actingOwner(Cancel.Job_.Token_.Owner_) != From)
    return;
  std::vector<TaskIndex> Indices = Cancel.Tasks_;
  if (Indices.empty())
    Indices.assign(Job->ActiveTasks_.begin(), Job->ActiveTasks_.end());
  for (const TaskIndex Index : Indices) {
    if (Job->ActiveTasks_.count(Index) == 0)
      continue;
    TaskRecord &Task = Job->Tasks_[Index];
    if (Task.State_ == State::Running) {
      Out.push_back(StopTask{Task.Run_});
      continue;
    }
    const auto Queued = Queue_.find(Task.Queue_);
    Task.State_ = State::Rejected;
    Job->ActiveTasks_.erase(Index);
    rejectAndRecord(Queued->second.Sender_, Cancel.Job_, Index,
                    Queued->second.Attempt_, RejectReason::Cancelled, Now);
    Queue_.erase(Queued);
  }
}

StartControllerOutputs
StartController::onEndpointAnnounced(const EndpointInfo &Info, Time Now) {
  StartControllerOutputs Out;
  Endpoint_ = Info;
  for (const auto &[Id, Entry] : Entries_)
    sendEndpoint(Id, Out);
  if (isLeaving())
    returnQueued([](const QueuedTask &) { return true; }, RejectReason::Leaving,
                 Now);
  finishInput(Now, Out);
  return Out;
}

StartControllerOutputs StartController::onEndpointFailed(Time Now) {
  StartControllerOutputs Out;
  if (!Endpoint_)
    return Out;
  Endpoint_->Slots_ = 0;
  for (const auto &[Id, Entry] : Entries_)
    sendEndpoint(Id, Out);
  while (!Runs_.empty())
    endRun(Runs_.begin()->first, RunOutcome::Failure, "endpoint failed", {},
           Out);
  returnQueued([](const QueuedTask &) { return true; },
               RejectReason::NoEndpoint, Now);
  finishInput(Now, Out);
  return Out;
}

StartControllerOutputs StartController::onLeaving(Time Now) {
  StartControllerOutputs Out;
  Leaving_ = true;
  for (const auto &[Id, Entry] : Entries_)
    sendEndpoint(Id, Out);
  returnQueued([](const QueuedTask &) { return true; }, RejectReason::Leaving,
               Now);
  finishInput(Now, Out);
  return Out;
}

// The endpoint offers no slots, so that every entry, also one that does not
// know the cordon, sees no capacity here. A refusal gives an existing reason,
// which entries of older versions understand. The reports are sent at once,
// since sendReports would leave out those to entries without waiting tasks.
StartControllerOutputs StartController::onCordoned(bool IsCordoned, Time Now) {
  StartControllerOutputs Out;
  if (Cordoned_ == IsCordoned)
    return Out;
  Cordoned_ = IsCordoned;
  if (Cordoned_)
    returnQueued([](const QueuedTask &) { return true; },
                 RejectReason::NoEndpoint, Now);
  for (auto &[Id, Entry] : Entries_)
    Entry.LastReport_.reset();
  finishInput(Now, Out);
  return Out;
}

StartControllerOutputs StartController::onTimer(Time Now) {
  StartControllerOutputs Out;
  returnQueued(
      [&](const QueuedTask &Q) { return Q.Deadline_ && *Q.Deadline_ <= Now; },
      RejectReason::Deadline, Now);
  Records_.expire(Limits_.Retention_, Now);
  finishInput(Now, Out);
  return Out;
}

bool StartController::drained() const {
  return Leaving_ && Runs_.empty() && Queue_.empty();
}

} // namespace chivelanding
