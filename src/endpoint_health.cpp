#include "endpoint_health.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace chivelanding {

namespace {

/// Failure score from which on an endpoint is ejected. One failure adds at most
/// 1.
constexpr double FailureScoreLimit = 2;
/// Factor by which the counted outcomes of a kind decay with each new one.
constexpr double OutcomeDecay = 0.98;
/// Outcomes at other endpoints below which the failure rate of a kind is not
/// known.
constexpr double MinPeerOutcomes = 3;
/// Fraction of failures at other endpoints from which on failures are
/// attributed to the kind, not to the endpoint.
constexpr double KindFailureShare = 0.5;
/// Slowness from which on an endpoint is ejected, and below which an endpoint
/// ejected for slowness may be reinstated.
constexpr double EjectSlowness = 3;
constexpr double ReinstateSlowness = 1.5;
/// First interval between trials of a failing endpoint; it doubles with each
/// failed trial. A shorter interval would make three owners lose too many tasks
/// in the trials of one minute.
constexpr Duration FailureTrialInterval = std::chrono::seconds(15);
constexpr Duration MaxTrialInterval = std::chrono::seconds(120);
constexpr Duration SlownessTrialInterval = std::chrono::seconds(1);
/// Window from which on an endpoint is reinstated.
constexpr std::uint32_t FullWindow = 16;

std::string formatNumber(const char *Format, double Value) {
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
  count(Agents_[Id], true);
}

void EndpointHealth::removeAgent(std::uint32_t Id) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  count(It->second, false);
  Agents_.erase(It);
}

void EndpointHealth::setCordoned(std::uint32_t Id, bool IsCordoned) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  count(It->second, false);
  It->second.Cordoned_ = IsCordoned;
  count(It->second, true);
}

void EndpointHealth::count(const Agent &A, bool Adds) {
  if (A.Cordoned_)
    return;
  Service &S = Services_[A.Service_];
  const std::uint32_t Ejected = A.Ejected_ ? 1 : 0;
  S.Agents_ = Adds ? S.Agents_ + 1 : S.Agents_ - 1;
  S.Ejected_ = Adds ? S.Ejected_ + Ejected : S.Ejected_ - Ejected;
}

void EndpointHealth::setEjected(Agent &A, bool IsEjected) {
  count(A, false);
  A.Ejected_ = IsEjected;
  count(A, true);
}

// The counts of an endpoint decay with every outcome of the kind at any
// endpoint, as the counts of the kind do, so that the former can be subtracted
// from the latter.
void EndpointHealth::decay(Counts &C, std::uint64_t Seen) {
  const double Factor =
      std::pow(OutcomeDecay, static_cast<double>(Seen - C.Seen_));
  C.Success_ *= Factor;
  C.Failure_ *= Factor;
  C.Seen_ = Seen;
}

// A failure is attributed to the endpoint only if the kind mostly succeeds at
// other endpoints. While the failure rate there is not known, half of the
// failure is counted.
double EndpointHealth::failureWeight(const Agent &A,
                                     const KindName &Kind) const {
  Counts Peers;
  const auto All = Kinds_.find(Kind);
  if (All != Kinds_.end())
    Peers = All->second;
  const auto Own = A.Kinds_.find(Kind);
  if (Own != A.Kinds_.end()) {
    Counts Part = Own->second;
    decay(Part, Peers.Seen_);
    Peers.Success_ = std::max(0.0, Peers.Success_ - Part.Success_);
    Peers.Failure_ = std::max(0.0, Peers.Failure_ - Part.Failure_);
  }
  const double OutcomeCount = Peers.Success_ + Peers.Failure_;
  if (OutcomeCount < MinPeerOutcomes)
    return 0.5;
  return Peers.Failure_ / OutcomeCount >= KindFailureShare ? 0 : 1;
}

bool EndpointHealth::failsEverywhere(const KindName &Kind) const {
  const auto It = Kinds_.find(Kind);
  if (It == Kinds_.end())
    return false;
  const double OutcomeCount = It->second.Success_ + It->second.Failure_;
  return OutcomeCount >= MinPeerOutcomes &&
         It->second.Failure_ / OutcomeCount >= KindFailureShare;
}

// The limit allows one ejected endpoint even in a small fleet, but never the
// ejection of all endpoints.
void EndpointHealth::tryEject(Agent &A, Duration Interval,
                              const std::string &Reason, Time Now) {
  const Service &S = Services_[A.Service_];
  const auto Part = static_cast<std::uint32_t>(MaxEjectedShare_ *
                                               static_cast<double>(S.Agents_));
  const std::uint32_t MaxEjected =
      std::min(std::max(Part, 1u), S.Agents_ > 0 ? S.Agents_ - 1 : 0);
  if (!A.Ejected_) {
    if (S.Ejected_ >= MaxEjected)
      return;
    setEjected(A, true);
    A.TrialInterval_ = Interval;
  } else {
    A.TrialInterval_ = std::min(2 * A.TrialInterval_, MaxTrialInterval);
  }
  A.Window_ = 1;
  A.NextTrial_ = Now + A.TrialInterval_;
  A.Reason_ = Reason;
}

// Each success doubles the window; the endpoint is reinstated when the window
// reaches FullWindow.
void EndpointHealth::widenWindow(Agent &A) {
  if (A.Window_ == UnlimitedWindow)
    return;
  A.Window_ *= 2;
  if (A.Window_ < FullWindow)
    return;
  A.Window_ = UnlimitedWindow;
  if (A.Ejected_) {
    setEjected(A, false);
  }
  A.Reason_.clear();
}

// One failure already limits the endpoint to one task at a time, so that a
// burst is not lost at an endpoint that fails every task at once. The success
// of a task that was sent before the last failure does not clear the failure
// score.
void EndpointHealth::onFinished(std::uint32_t Id, const KindName &Kind,
                                bool Success, Time Started, Time Now) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  Agent &A = It->second;
  const double Weight = Success ? 0 : failureWeight(A, Kind);
  const std::uint64_t Seen = Kinds_[Kind].Seen_ + 1;
  for (Counts *C : {&Kinds_[Kind], &A.Kinds_[Kind]}) {
    decay(*C, Seen);
    (Success ? C->Success_ : C->Failure_) += 1;
  }
  if (Success) {
    if (A.FailureScore_ > 0 && Started <= A.LastFailure_)
      return;
    A.FailureScore_ = 0;
    if (!A.IsSlow_)
      widenWindow(A);
    return;
  }
  if (Weight <= 0)
    return;
  A.FailureScore_ += Weight;
  A.LastFailure_ = Now;
  A.Window_ = 1;
  if (A.FailureScore_ >= FailureScoreLimit)
    tryEject(A, FailureTrialInterval,
             formatNumber("failed %.1f tasks in a row that peers complete",
                          A.FailureScore_),
             Now);
}

void EndpointHealth::onSlowness(std::uint32_t Id, double Slowness, Time Now) {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return;
  Agent &A = It->second;
  if (A.IsSlow_ && Slowness < ReinstateSlowness) {
    A.IsSlow_ = false;
    A.NextTrial_ = Now;
  } else if (!A.Ejected_ && Slowness >= EjectSlowness) {
    tryEject(A, SlownessTrialInterval,
             formatNumber("takes %.1f times as long as its peers", Slowness),
             Now);
    A.IsSlow_ = A.Ejected_;
  }
}

void EndpointHealth::onTrial(std::uint32_t Id, Time Now) {
  const auto It = Agents_.find(Id);
  if (It != Agents_.end() && It->second.Ejected_)
    It->second.NextTrial_ = Now + It->second.TrialInterval_;
}

std::uint32_t EndpointHealth::window(std::uint32_t Id, Time Now) const {
  const auto It = Agents_.find(Id);
  if (It == Agents_.end())
    return 0;
  const Agent &A = It->second;
  if (A.Ejected_ && A.Window_ <= 1 && Now < A.NextTrial_)
    return 0;
  return A.Window_;
}

bool EndpointHealth::isEjected(std::uint32_t Id) const {
  const auto It = Agents_.find(Id);
  return It != Agents_.end() && It->second.Ejected_;
}

std::string EndpointHealth::reason(std::uint32_t Id) const {
  const auto It = Agents_.find(Id);
  return It == Agents_.end() ? "" : It->second.Reason_;
}

std::uint32_t EndpointHealth::ejectedCount(const ServiceName &Name) const {
  const auto It = Services_.find(Name);
  return It == Services_.end() ? 0 : It->second.Ejected_;
}

} // namespace chivelanding
