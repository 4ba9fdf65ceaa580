#include "lease_plan.h"

#include "durations.h"

#include <algorithm>

namespace chivelanding {
namespace {

// Share of the longest lease that is asked for; the rest is for the drift of
// the two clocks and the way of the call.
constexpr double LeaseShare = 0.8;
// An endpoint's clock may be 2 % slow, which lengthens its lease.
constexpr double SlowestClock = 0.98;
// Time for late timers and for calls on their way when a process fails.
constexpr Duration FailureSlack = std::chrono::milliseconds(50);
// Part of the callers' pause that an agent may take to notice that an entry is
// silent; the rest is for the stop itself and for a late timer.
constexpr double OwnerShare = 0.46;

} // namespace

RunGateLimits planGateLimits(const LeaseSettings &S) {
  RunGateLimits L;
  L.LongestLease_ = S.MaxEndpointLease_;
  L.OwnerLease_ = scaled(S.CallerRetry_, OwnerShare);
  L.StopTime_ = S.StopTime_;
  // When an entry and then an agent fail, the agent just before it would stop
  // the entry's runs, both leases pass before the last run is over. That must
  // not take longer than the callers' pause.
  const Duration Left =
      S.CallerRetry_ - L.OwnerLease_ - S.StopTime_ - FailureSlack;
  L.EndpointLease_ =
      std::min(scaled(S.MaxEndpointLease_, LeaseShare),
               std::max(S.StopTime_, scaled(Left, SlowestClock)));
  return L;
}

DispatchLimits planDispatchLimits(const LeaseSettings &S) {
  const RunGateLimits Gate = planGateLimits(S);
  DispatchLimits L;
  L.EndpointLease_ = Gate.EndpointLease_;
  L.OwnerLease_ = Gate.OwnerLease_;
  L.StopTime_ = Gate.StopTime_;
  return L;
}

} // namespace chivelanding
