#include "lease_plan.h"

#include "durations.h"

#include <algorithm>

namespace chivelanding {
namespace {

// Share of the longest lease that is asked for; the rest is for the drift of
// the two clocks and the way of the call.
constexpr double EndpointLeaseShare = 0.8;
// Time for late timers and for calls on their way when a process fails.
constexpr Duration FailureSlack = std::chrono::milliseconds(50);
// Part of the callers' pause that an agent may take to notice that an entry is
// silent; the rest is for the stop itself and for a late timer.
constexpr double OwnerLeaseShare = 0.46;

} // namespace

// When an entry and then an agent fail, the agent just before it would stop the
// entry's runs, both leases pass before the last run is over. That must not
// take longer than the callers' pause.
RunLeases planLeases(const LeaseSettings &S) {
  RunLeases L;
  L.MaxEndpoint_ = S.MaxEndpointLease_;
  L.Owner_ = scaled(S.CallerRetry_, OwnerLeaseShare);
  L.StopTime_ = S.StopTime_;
  const Duration Left = S.CallerRetry_ - L.Owner_ - S.StopTime_ - FailureSlack;
  L.Endpoint_ =
      std::min(scaled(S.MaxEndpointLease_, EndpointLeaseShare),
               std::max(S.StopTime_, scaled(Left, MinEndpointClockRate)));
  return L;
}

} // namespace chivelanding
