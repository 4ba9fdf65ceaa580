#include "lease_plan.h"

#include "durations.h"

namespace chivelanding {
namespace {

// Share of the longest lease that is asked for; the rest is for the drift of
// the two clocks and the way of the call.
constexpr double LeaseShare = 0.8;
// Part of the callers' pause that an agent may take to notice that an entry is
// silent; the rest is for the stop itself and for a late timer.
constexpr double OwnerShare = 0.46;

} // namespace

RunGateLimits planGateLimits(const LeaseSettings &S) {
  RunGateLimits L;
  L.EndpointLease_ = scaled(S.MaxEndpointLease_, LeaseShare);
  L.OwnerLease_ = scaled(S.CallerRetry_, OwnerShare);
  L.StopTime_ = S.StopTime_;
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
