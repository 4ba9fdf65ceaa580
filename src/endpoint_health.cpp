#include "endpoint_health.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace chivelanding {

namespace {

/// Blame at which an endpoint is set aside, and what one failure adds at most.
constexpr double BlameLimit = 2;
/// Part that remains of old outcomes of a kind with each new one.
constexpr double OutcomeMemory = 0.98;
/// Outcomes at other endpoints below which nothing is known of a kind.
constexpr double KnownOutcomes = 3;
/// Part of failures at other endpoints from which the kind is at fault.
constexpr double KindAtFault = 0.5;
/// Slowness from which an endpoint is set aside, and below which it returns.
constexpr double SlowLimit = 3;
constexpr double SlowReturn = 1.5;
/// First time between trials of a failing endpoint; it doubles with each
/// failed trial. Three owners with the trials of one minute must lose few
/// tasks.
constexpr Duration FailTrialGap = std::chrono::seconds(15);
constexpr Duration LongestTrialGap = std::chrono::seconds(120);
constexpr Duration SlowTrialGap = std::chrono::seconds(1);
/// Window from which an endpoint counts as reinstated.
constexpr std::uint32_t FullWindow = 16;

std::string number(const char *Format, double Value) {
  char Text[96];
  std::snprintf(Text, sizeof Text, Format, Value);
  return Text;
}

} // namespace

void EndpointHealth::addAgent(std::uint32_t Id, const ServiceName &Name) {
  const auto [It, IsNew] = Agents_.emplace(Id, Agent());
  if (!IsNew && It->second.Service_ == Name)
    return;
  if (!IsNew)
    removeAgent(Id);
  Agents_[Id].Service_ = Name;
  ++Services_[Name].Agents_;
}

void EndpointHealth::removeAgent(std::uint32_t Id) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  Service &S = Services_[It->second.Service_];
  --S.Agents_;
  S.SetAside_ -= It->second.SetAside_ ? 1 : 0;
  Agents_.erase(It);
}

// An endpoint's counts lose weight with every outcome of the kind anywhere, as
// the counts of the kind do, so that one can be taken off the other.
void EndpointHealth::forget(Counts &C, std::uint64_t Seen) {
  const double Factor =
      std::pow(OutcomeMemory, static_cast<double>(Seen - C.Seen_));
  C.Success_ *= Factor;
  C.Failure_ *= Factor;
  C.Seen_ = Seen;
}

// A failure is the endpoint's only as far as the kind succeeds elsewhere. While
// nothing is known of the kind at other endpoints, half of it is counted.
double EndpointHealth::blame(const Agent &A, const KindName &Kind) const {
  Counts Peers;
  const auto All = Kinds_.find(Kind);
  if (All != Kinds_.end())
    Peers = All->second;
  const auto Own = A.Kinds_.find(Kind);
  if (Own != A.Kinds_.end()) {
    Counts Part = Own->second;
    forget(Part, Peers.Seen_);
    Peers.Success_ = std::max(0.0, Peers.Success_ - Part.Success_);
    Peers.Failure_ = std::max(0.0, Peers.Failure_ - Part.Failure_);
  }
  const double Known = Peers.Success_ + Peers.Failure_;
  if (Known < KnownOutcomes)
    return 0.5;
  return Peers.Failure_ / Known >= KindAtFault ? 0 : 1;
}

bool EndpointHealth::failsEverywhere(const KindName &Kind) const {
  const auto It = Kinds_.find(Kind);
  if (It == Kinds_.end())
    return false;
  const double Known = It->second.Success_ + It->second.Failure_;
  return Known >= KnownOutcomes && It->second.Failure_ / Known >= KindAtFault;
}

// The cap allows one endpoint even in a small fleet, but never the last one.
void EndpointHealth::trySetAside(Agent &A, Duration Gap,
                                 const std::string &Reason, Time Now) {
  Service &S = Services_[A.Service_];
  const auto Part =
      static_cast<std::uint32_t>(CapPart_ * static_cast<double>(S.Agents_));
  const std::uint32_t Cap =
      std::min(std::max(Part, 1u), S.Agents_ > 0 ? S.Agents_ - 1 : 0);
  if (!A.SetAside_) {
    if (S.SetAside_ >= Cap)
      return;
    A.SetAside_ = true;
    ++S.SetAside_;
    A.TrialGap_ = Gap;
  } else {
    A.TrialGap_ = std::min(2 * A.TrialGap_, LongestTrialGap);
  }
  A.Window_ = 1;
  A.NextTrial_ = Now + A.TrialGap_;
  A.Reason_ = Reason;
}

// Each success doubles the window; the endpoint is reinstated when the window
// no longer limits it.
void EndpointHealth::reinstateStep(Agent &A) {
  if (A.Window_ == NoBound)
    return;
  A.Window_ *= 2;
  if (A.Window_ < FullWindow)
    return;
  A.Window_ = NoBound;
  if (A.SetAside_) {
    A.SetAside_ = false;
    --Services_[A.Service_].SetAside_;
  }
  A.Reason_.clear();
}

// One failure already limits the endpoint to one task at a time, so that a
// burst is not lost to an endpoint that fails everything at once. A success of
// a task that was sent before the last failure clears nothing.
void EndpointHealth::onFinished(std::uint32_t Id, const KindName &Kind,
                                bool Success, Time Started, Time Now) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  Agent &A = It->second;
  const double Blame = Success ? 0 : blame(A, Kind);
  const std::uint64_t Seen = Kinds_[Kind].Seen_ + 1;
  for (Counts *C : {&Kinds_[Kind], &A.Kinds_[Kind]}) {
    forget(*C, Seen);
    (Success ? C->Success_ : C->Failure_) += 1;
  }
  if (Success) {
    if (A.Blame_ > 0 && Started <= A.LastFailure_)
      return;
    A.Blame_ = 0;
    if (!A.IsSlow_)
      reinstateStep(A);
    return;
  }
  if (Blame <= 0)
    return;
  A.Blame_ += Blame;
  A.LastFailure_ = Now;
  A.Window_ = 1;
  if (A.Blame_ >= BlameLimit)
    trySetAside(
        A, FailTrialGap,
        number("failed %.1f tasks in a row that peers complete", A.Blame_),
        Now);
}

void EndpointHealth::onSlowness(std::uint32_t Id, double Slowness, Time Now) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  Agent &A = It->second;
  if (A.IsSlow_ && Slowness < SlowReturn) {
    A.IsSlow_ = false;
    A.NextTrial_ = Now;
  } else if (!A.SetAside_ && Slowness >= SlowLimit) {
    trySetAside(A, SlowTrialGap,
                number("takes %.1f times as long as its peers", Slowness), Now);
    A.IsSlow_ = A.SetAside_;
  }
}

void EndpointHealth::onTrial(std::uint32_t Id, Time Now) {
  const auto It = Agents_.find(Id);
  if (It != Agents_.end() && It->second.SetAside_)
    It->second.NextTrial_ = Now + It->second.TrialGap_;
}

std::uint32_t EndpointHealth::window(std::uint32_t Id, Time Now) const {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return 0;
  const Agent &A = It->second;
  if (A.SetAside_ && A.Window_ <= 1 && Now < A.NextTrial_)
    return 0;
  return A.Window_;
}

bool EndpointHealth::isSetAside(std::uint32_t Id) const {
  const auto It = Agents_.find(Id);
  return It != Agents_.end() && It->second.SetAside_;
}

std::string EndpointHealth::reason(std::uint32_t Id) const {
  const auto It = Agents_.find(Id);
  return It == Agents_.end() ? "" : It->second.Reason_;
}

std::uint32_t EndpointHealth::setAside(const ServiceName &Name) const {
  const auto It = Services_.find(Name);
  return It == Services_.end() ? 0 : It->second.SetAside_;
}

} // namespace chivelanding
