#include "job_table.h"

#include <algorithm>

namespace chivelanding {

OwnedJob *JobTable::find(const JobId &Id) {
  const auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : &It->second;
}

std::vector<OwnedJob *> JobTable::open() {
  std::vector<OwnedJob *> Open;
  for (const auto &[Number, J] : ByNumber_)
    if (!J->Answered_)
      Open.push_back(J);
  return Open;
}

OwnedJob &JobTable::add(JobSpec Spec, bool Adopted, Time Now) {
  OwnedJob &J = Jobs_[Spec.Id_];
  J.Number_ = NextNumber_++;
  J.Adopted_ = Adopted;
  J.BodyHash_ = bodyHash(Spec);
  J.Spec_ = std::move(Spec);
  if (J.Spec_.Deadline_)
    J.Deadline_ = Now + *J.Spec_.Deadline_;
  J.Tasks_.resize(J.Spec_.Tasks_.size());
  J.UnfinishedTasks_ = J.Tasks_.size();
  ByNumber_[J.Number_] = &J;
  if (!Adopted)
    ByEpoch_[J.Spec_.Id_.Token_.Epoch_].push_back(J.Number_);
  ++OpenJobs_;
  J.OpenBytes_ = openJobBytes(J.Spec_);
  OpenBytes_ += J.OpenBytes_;
  return J;
}

void JobTable::addReply(OwnedJob &J, ReplyId Reply) {
  J.Replies_.push_back(Reply);
  ByReply_[Reply] = &J;
}

void JobTable::removeReply(ReplyId Reply) {
  const auto It = ByReply_.find(Reply);
  if (It == ByReply_.end())
    return;
  auto &Replies = It->second->Replies_;
  Replies.erase(std::remove(Replies.begin(), Replies.end(), Reply),
                Replies.end());
  ByReply_.erase(It);
}

std::vector<ReplyId> JobTable::close(OwnedJob &J, JobAnswer Answer, Time Now) {
  J.Answered_ = true;
  J.Answer_ = std::move(Answer);
  --OpenJobs_;
  OpenBytes_ -= J.OpenBytes_;
  std::vector<ReplyId> Replies = std::move(J.Replies_);
  J.Replies_ = {};
  for (const ReplyId Reply : Replies)
    ByReply_.erase(Reply);
  J.Tasks_ = {};
  J.Spec_.Tasks_ = {};
  J.Agents_.clear();
  if (J.Adopted_)
    AdoptedExpiry_.emplace(Now + AdoptedRetention_, J.Number_);
  retain(J);
  return Replies;
}

// Evicts the results of the oldest answers first. The record itself stays, so
// that a resubmission gets "result_evicted" instead of running the job again.
void JobTable::retain(OwnedJob &J) {
  if (J.Answer_.Tasks_.empty())
    return;
  J.RetainedOrder_ = NextRetainedOrder_++;
  Retained_[J.RetainedOrder_] = &J;
  RetainedBytes_ += resultBytes(J.Answer_);
  while (RetainedBytes_ > MaxResultBytes_) {
    OwnedJob &Oldest = *Retained_.begin()->second;
    release(Oldest);
    Oldest.Answer_ = plainAnswer(Outcome::Unknown, "result_evicted",
                                 "the job was answered, and its results are "
                                 "no longer kept");
  }
}

void JobTable::release(OwnedJob &J) {
  if (Retained_.erase(J.RetainedOrder_) != 0)
    RetainedBytes_ -= resultBytes(J.Answer_);
}

void JobTable::drop(OwnedJob &J) {
  release(J);
  for (const ReplyId Reply : J.Replies_)
    ByReply_.erase(Reply);
  if (!J.Answered_) {
    --OpenJobs_;
    OpenBytes_ -= J.OpenBytes_;
  }
  ByNumber_.erase(J.Number_);
  const JobId Id = J.Spec_.Id_;
  Jobs_.erase(Id);
}

// Visits only jobs of epochs that are no longer accepted, and adopted jobs
// whose retention has ended. An epoch with open jobs does not expire until
// these are answered.
Epoch JobTable::dropExpired(Epoch Accepted, Time Now) {
  while (!AdoptedExpiry_.empty() && AdoptedExpiry_.begin()->first <= Now) {
    const auto It = ByNumber_.find(AdoptedExpiry_.begin()->second);
    AdoptedExpiry_.erase(AdoptedExpiry_.begin());
    if (It != ByNumber_.end())
      drop(*It->second);
  }
  for (auto It = ByEpoch_.begin();
       It != ByEpoch_.end() && It->first < Accepted;) {
    std::vector<std::uint64_t> Open;
    for (const std::uint64_t Number : It->second) {
      const auto Job = ByNumber_.find(Number);
      if (Job == ByNumber_.end())
        continue;
      if (Job->second->Answered_)
        drop(*Job->second);
      else
        Open.push_back(Number);
    }
    It->second = std::move(Open);
    It = It->second.empty() ? ByEpoch_.erase(It) : std::next(It);
  }
  return ByEpoch_.empty() ? Accepted
                          : std::min(Accepted, ByEpoch_.begin()->first);
}

} // namespace chivelanding
