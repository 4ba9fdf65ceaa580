#include "lease_plan.h"

#include "durations.h"

#include <algorithm>

namespace chivelanding {
namespace {

// Share of the longest lease that is requested; the rest covers the drift of
// the two clocks and the latency of the call.
constexpr double EndpointLeaseShare = 0.8;
// Allowance for late timers and for calls in transit when a process fails.
constexpr Duration FailureSlack = std::chrono::milliseconds(50);
// Share of the callers' retry delay (CallerRetry_) that an agent may take to
// detect that an entry is unreachable; the rest is for the stop itself and for
// a late timer.
constexpr double OwnerLeaseShare = 0.46;

} // namespace

// If an entry fails, and then its agent fails just before it would stop the
// entry's runs, both leases expire one after the other before the last run has
// ended. Together they must not exceed the callers' retry delay.
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
