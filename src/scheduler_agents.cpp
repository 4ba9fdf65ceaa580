#include "scheduler.h"

#include <algorithm>
#include <cmath>

namespace chivelanding {

namespace {

/// Round-trip time, in microseconds, that an agent's local queue has to cover.
constexpr double RoundTripUs = 3000;
/// Queue length, in tasks, up to which queueing at an agent is not worth its
/// effect on the order of tasks.
constexpr double QueueSlack = 0.1;
/// Capacity up to which an agent is used only while its report is fresh, and
/// the age up to which a report is fresh.
constexpr std::uint64_t ScarceCapacity = 1;
constexpr Duration ReportFreshness = std::chrono::milliseconds(30);
/// Interval between evaluations of the endpoints' slowness.
constexpr Duration EvaluationPeriod = std::chrono::milliseconds(100);

} // namespace

void Scheduler::addAgent(const AgentId &Id, const EndpointInfo &Info,
                         Time Now) {
  auto It = AgentNumbers_.find(Id);
  if (It == AgentNumbers_.end()) {
    auto Number = static_cast<std::uint32_t>(Agents_.size());
    if (FreeAgents_.empty()) {
      Agents_.emplace_back();
    } else {
      Number = FreeAgents_.back();
      FreeAgents_.pop_back();
    }
    Agents_[Number] = AgentState();
    Agents_[Number].Id_ = Id;
    It = AgentNumbers_.emplace(Id, Number).first;
  }
  AgentState &A = Agents_[It->second];
  if (A.Present_ && A.Info_.Service_ != Info.Service_) {
    Services_[A.Info_.Service_].Index_.remove(It->second);
    Services_[A.Info_.Service_].Trials_.erase(It->second);
    A.Present_ = false;
    updateUsable(It->second, Now);
  }
  A.Info_ = Info;
  A.Present_ = true;
  Health_.addAgent(It->second, Info.Service_);
  updateUsable(It->second, Now);
  updateCapacity(It->second, Now);
}

void Scheduler::removeAgent(const AgentId &Id, Time Now) {
  const auto It = AgentNumbers_.find(Id);
  if (It == AgentNumbers_.end())
    return;
  const std::uint32_t Number = It->second;
  AgentNumbers_.erase(It);
  AgentState &A = Agents_[Number];
  A.Present_ = false;
  updateCapacity(Number, Now);
  updateUsable(Number, Now);
  Health_.removeAgent(Number);
  Times_.removeAgent(Number);
  if (A.InFlight_ == 0)
    FreeAgents_.push_back(Number);
}

void Scheduler::onReport(const AgentId &Id, const AgentReport &Report,
                         Time Now) {
  const auto It = AgentNumbers_.find(Id);
  if (It == AgentNumbers_.end())
    return;
  Agents_[It->second].Report_ = Report;
  Agents_[It->second].ReportedAt_ = Now;
  updateCapacity(It->second, Now);
}

// A report counts the starts that the agent had received when it made the
// report, so starts that are still in transit are subtracted. Beyond the free
// slots, only as many tasks are sent as the agent completes within one round
// trip at the mean run time: a task that waits at an agent is bound to its few
// slots, while a task that waits here gets the first free slot of the whole
// fleet. Scarce capacity from an old report has most likely been used by
// another owner.
std::uint32_t Scheduler::availableCapacity(std::uint32_t Number,
                                           Time Now) const {
  const AgentState &A = Agents_[Number];
  if (!A.Present_ || A.Info_.Leaving_ || isCordoned(A))
    return 0;
  std::uint64_t Capacity = A.Report_.Credit_;
  if (isFair() && Config_.Placement_ == "credits") {
    const double TasksPerRoundTrip =
        MeanRunTimeUs_ > 0 ? A.Info_.Slots_ * RoundTripUs / MeanRunTimeUs_ : 0;
    const auto Queue = static_cast<std::uint64_t>(
        std::ceil(std::max(0.0, TasksPerRoundTrip - QueueSlack)));
    Capacity = std::min<std::uint64_t>(Capacity, A.Report_.FreeSlots_ + Queue);
  }
  const std::uint64_t StartsInTransit =
      A.StartsSent_ - std::min(A.StartsSent_, A.Report_.StartsSeen_);
  Capacity -= std::min(Capacity, StartsInTransit);
  if (isFair() && Config_.Placement_ == "credits" &&
      Capacity <= ScarceCapacity && Capacity < A.Info_.Slots_ &&
      A.ReportedAt_ + ReportFreshness < Now)
    return 0;
  if (isFair()) {
    const std::uint64_t Window = Health_.window(Number, Now);
    Capacity = std::min(Capacity,
                        Window - std::min<std::uint64_t>(Window, A.InFlight_));
  }
  return static_cast<std::uint32_t>(Capacity);
}

void Scheduler::updateCapacity(std::uint32_t Number, Time Now) {
  const AgentState &A = Agents_[Number];
  const auto It = Services_.find(A.Info_.Service_);
  if (It == Services_.end())
    return;
  const std::uint32_t Capacity = availableCapacity(Number, Now);
  const bool IsTrial =
      isFair() && Health_.isEjected(Number) && Health_.window(Number, Now) <= 1;
  It->second.Index_.set(Number, A.Info_.Zone_, A.Info_.Rack_,
                        IsTrial ? 0 : Capacity);
  if (IsTrial && Capacity > 0)
    It->second.Trials_.insert(Number);
  else
    It->second.Trials_.erase(Number);
}

// A service is without endpoints while it has no agent that has slots, is not
// leaving and is not in a cordoned zone. The wait for an endpoint starts anew
// when the last cordoned agent is gone.
void Scheduler::updateUsable(std::uint32_t Number, Time Now) {
  const AgentState &A = Agents_[Number];
  ServiceState &S = Services_[A.Info_.Service_];
  const bool IsReady = A.Present_ && !A.Info_.Leaving_ && A.Info_.Slots_ > 0;
  Health_.setCordoned(Number, isCordoned(A));
  if (IsReady && isCordoned(A))
    S.Cordoned_.insert(Number);
  else if (S.Cordoned_.erase(Number) > 0 && S.Cordoned_.empty())
    S.NoEndpointSince_.reset();
  if (IsReady && !isCordoned(A)) {
    S.Usable_.insert(Number);
    S.NoEndpointSince_.reset();
    JobsWithoutEndpoint_.erase(A.Info_.Service_);
    return;
  }
  S.Usable_.erase(Number);
  if (!S.Usable_.empty() || S.NoEndpointSince_)
    return;
  S.NoEndpointSince_ = Now;
  for (JobSlot Slot = 0; Slot < Jobs_.size(); ++Slot)
    if (!Jobs_[Slot].Id_.Key_.empty() &&
        Jobs_[Slot].Service_ == A.Info_.Service_)
      JobsWithoutEndpoint_[A.Info_.Service_].insert(Slot);
}

void Scheduler::recordHealthChange(std::uint32_t Number) {
  AgentState &A = Agents_[Number];
  const bool Ejected = Health_.isEjected(Number);
  if (Ejected == A.Ejected_)
    return;
  A.Ejected_ = Ejected;
  HealthChanges_.push_back(
      {A.Id_, Ejected,
       Ejected ? Health_.reason(Number) : "trial tasks succeeded"});
}

void Scheduler::evaluate(Time Now) {
  NextEvaluation_ = Now + EvaluationPeriod;
  if (!isFair())
    return;
  for (std::uint32_t A = 0; A < Agents_.size(); ++A) {
    if (!Agents_[A].Present_)
      continue;
    Health_.onSlowness(A, Times_.slowness(A, Now), Now);
    recordHealthChange(A);
    updateCapacity(A, Now);
  }
}

} // namespace chivelanding
