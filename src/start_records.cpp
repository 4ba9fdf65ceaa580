#include "start_records.h"

#include <algorithm>

namespace chivelanding {

namespace {

/// Bytes of results from which on further jobs go into another
/// IncarnationClosed message, so that no message exceeds the frame limit of a
/// link.
constexpr std::size_t HoldingsBytes = 1u << 20;
/// Most jobs in one IncarnationClosed message. Bounds messages without results.
constexpr std::size_t HoldingsJobs = 2000;

HeldJob makeHeldJob(const JobId &Id, const JobRecord &Job) {
  HeldJob Held{Id, {}, Job.Ended_};
  for (const auto &[Index, Task] : Job.Tasks_)
    if (Task.started())
      Held.Tasks_.push_back({Index, Task.State_ == TaskRecord::State::Finished,
                             Task.Outcome_, Task.Result_, Task.Evicted_});
  return Held;
}

} // namespace

OwnerRecord &StartRecords::findOrAddOwner(const EntryId &Owner, Time Now) {
  const auto [It, IsNew] = Owners_.try_emplace(Owner);
  if (IsNew)
    It->second.InactiveSince_ = Now;
  return It->second;
}

const OwnerRecord *StartRecords::findOwner(const EntryId &Owner) const {
  const auto It = Owners_.find(Owner);
  return It == Owners_.end() ? nullptr : &It->second;
}

JobRecord *StartRecords::findJob(const JobId &Job) {
  const auto Owner = Owners_.find(Job.Token_.Owner_);
  if (Owner == Owners_.end())
    return nullptr;
  const auto It = Owner->second.Jobs_.find(Job);
  return It == Owner->second.Jobs_.end() ? nullptr : &It->second;
}

bool StartRecords::isClosed(const EntryId &Entry) const {
  const OwnerRecord *Owner = findOwner(Entry);
  return Owner && Owner->Closed_;
}

const EntryId &StartRecords::actingOwner(const EntryId &Owner) const {
  const OwnerRecord *Record = findOwner(Owner);
  return Record && Record->Closed_ ? Record->Holder_ : Owner;
}

const Rejection *StartRecords::findRejection(const JobId &Job, TaskIndex Index,
                                             const EntryId &Sender,
                                             std::uint32_t Attempt) {
  const JobRecord *Record = findJob(Job);
  if (!Record)
    return nullptr;
  const auto Task = Record->Tasks_.find(Index);
  if (Task == Record->Tasks_.end())
    return nullptr;
  for (const Rejection &R : Task->second.Rejections_)
    if (R.Sender_ == Sender && Attempt <= R.Attempt_)
      return &R;
  return nullptr;
}

// A job of a dropped epoch gets no record, because no task of that epoch can
// start.
void StartRecords::addRejection(const JobId &Job, TaskIndex Index, Rejection R,
                                Time Now) {
  OwnerRecord &Owner = findOrAddOwner(Job.Token_.Owner_, Now);
  if (Job.Token_.Epoch_ < Owner.OldestEpoch_)
    return;
  auto &Rejections = Owner.Jobs_[Job].Tasks_[Index].Rejections_;
  for (Rejection &Old : Rejections) {
    if (Old.Sender_ != R.Sender_)
      continue;
    Old.Attempt_ = std::max(Old.Attempt_, R.Attempt_);
    Old.Reason_ = R.Reason_;
    return;
  }
  Rejections.push_back(std::move(R));
}

// Evicts results in the order in which their tasks ended. The task stays
// recorded as finished, with Evicted_ set.
void StartRecords::keepResult(const JobId &Id, TaskIndex Index,
                              TaskRecord &Task, std::string Result) {
  ResultBytes_ += Result.size();
  Task.Result_ = std::move(Result);
  Task.FinishOrder_ = NextFinishOrder_++;
  Results_[Task.FinishOrder_] = {Id, Index};
  while (ResultBytes_ > MaxResultBytes_) {
    const auto [OldId, OldIndex] = Results_.begin()->second;
    TaskRecord &Oldest = findJob(OldId)->Tasks_.at(OldIndex);
    Oldest.Evicted_ = true;
    dropResult(Oldest);
  }
}

void StartRecords::dropResult(TaskRecord &Task) {
  if (Results_.erase(Task.FinishOrder_) == 0)
    return;
  ResultBytes_ -= Task.Result_.size();
  Task.Result_.clear();
  Task.Result_.shrink_to_fit();
}

// The tombstone prevents all later starts, so ended tasks need no records.
void StartRecords::endJob(JobRecord &Job, const EntryId &By) {
  if (!Job.Ended_)
    Job.EndedBy_ = By;
  Job.Ended_ = true;
  for (auto It = Job.Tasks_.begin(); It != Job.Tasks_.end();) {
    dropResult(It->second);
    It = Job.ActiveTasks_.count(It->first) ? std::next(It)
                                           : Job.Tasks_.erase(It);
  }
}

// No task of a dropped epoch can start, so its jobs need no tombstones.
bool StartRecords::withdraw(const JobId &Id, const EntryId &By, Time Now) {
  OwnerRecord &Owner = findOrAddOwner(Id.Token_.Owner_, Now);
  if (Id.Token_.Epoch_ < Owner.OldestEpoch_)
    return true;
  JobRecord &Job = Owner.Jobs_[Id];
  if (std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const auto &T) { return T.second.started(); }))
    return false;
  endJob(Job, By);
  return true;
}

// Jobs with queued or running tasks stay as tombstones until a later call.
void StartRecords::dropEpochsBefore(OwnerRecord &Owner, Epoch Oldest) {
  Owner.OldestEpoch_ = std::max(Owner.OldestEpoch_, Oldest);
  for (auto It = Owner.Jobs_.begin(); It != Owner.Jobs_.end();) {
    if (It->first.Token_.Epoch_ >= Owner.OldestEpoch_) {
      ++It;
      continue;
    }
    endJob(It->second, {});
    It =
        It->second.ActiveTasks_.empty() ? Owner.Jobs_.erase(It) : std::next(It);
  }
}

// Advances OldestEpoch_ past the dropped jobs; otherwise a late start of one of
// their tasks would find no record and run the task again.
void StartRecords::expire(Duration Retention, Time Now) {
  for (auto &[Id, Owner] : Owners_) {
    if (!Owner.InactiveSince_ || *Owner.InactiveSince_ + Retention > Now ||
        Owner.Jobs_.empty())
      continue;
    Epoch Oldest;
    for (const auto &[Job, Record] : Owner.Jobs_)
      Oldest = std::max(Oldest, Epoch(Job.Token_.Epoch_.value() + 1));
    Owner.Complete_ = false;
    dropEpochsBefore(Owner, Oldest);
  }
}

std::vector<IncarnationClosed>
StartRecords::holdings(const EntryId &Owner, const EntryId &Receiver) const {
  const OwnerRecord &R = Owners_.at(Owner);
  const IncarnationClosed Empty{Owner, R.Holder_,      R.Complete_,
                                {},    R.OldestEpoch_, true};
  std::vector<IncarnationClosed> Parts{Empty};
  if (R.Holder_ != Receiver)
    return Parts;
  std::size_t Bytes = 0;
  for (const auto &[Id, Job] : R.Jobs_) {
    HeldJob Held = makeHeldJob(Id, Job);
    if (Held.Tasks_.empty() && !Held.Ended_)
      continue;
    if (Bytes >= HoldingsBytes || Parts.back().Jobs_.size() >= HoldingsJobs) {
      Parts.back().Last_ = false;
      Parts.push_back(Empty);
      Bytes = 0;
    }
    for (const HeldTask &Task : Held.Tasks_)
      Bytes += Task.Result_.size();
    Parts.back().Jobs_.push_back(std::move(Held));
  }
  return Parts;
}

std::size_t StartRecords::jobs() const {
  std::size_t Count = 0;
  for (const auto &[Id, Owner] : Owners_)
    Count += Owner.Jobs_.size();
  return Count;
}

} // namespace chivelanding
