#ifndef CHIVELANDING_LEASE_PLAN_H
#define CHIVELANDING_LEASE_PLAN_H

#include "settings.h"

namespace chivelanding {

/// Slowest rate of an endpoint's clock against ours: it may be 2 % slow.
constexpr double MinEndpointClockRate = 0.98;

/// Leases of runs, which entries and agents count on alike. docs/platform.md
/// derives how they guarantee one run at a time.
struct RunLeases {
  /// Time without a renewal after which the endpoint ends all runs.
  Duration Endpoint_ = std::chrono::milliseconds(590);
  /// The endpoint cuts longer leases to this.
  Duration MaxEndpoint_ = std::chrono::milliseconds(1000);
  /// Time without word of an entry after which its runs are stopped.
  Duration Owner_ = std::chrono::milliseconds(598);
  /// Longest time that the endpoint takes to stop a run.
  Duration StopTime_ = std::chrono::milliseconds(50);
};

/// The leases that follow from what the platform grants.
RunLeases planLeases(const LeaseSettings &S);

} // namespace chivelanding

#endif
