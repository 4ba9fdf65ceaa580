#ifndef CHIVELANDING_LEASE_PLAN_H
#define CHIVELANDING_LEASE_PLAN_H

#include "settings.h"

namespace chivelanding {

/// Lowest rate of an endpoint's clock relative to that of this process: the
/// clock may be 2 % slow.
constexpr double MinEndpointClockRate = 0.98;

/// Leases of runs, which must be the same at entries and agents.
/// docs/platform.md derives how they guarantee that a task has one run at a
/// time.
struct RunLeases {
  /// Time without a renewal after which the endpoint ends all runs.
  Duration Endpoint_ = std::chrono::milliseconds(590);
  /// Longest lease that the endpoint grants; it shortens longer ones to this.
  Duration MaxEndpoint_ = std::chrono::milliseconds(1000);
  /// Time without a renewal by an entry after which its runs are stopped.
  Duration Owner_ = std::chrono::milliseconds(598);
  /// Longest time that the endpoint takes to stop a run.
  Duration StopTime_ = std::chrono::milliseconds(50);
};

/// Derives the leases from the limits of the platform.
RunLeases planLeases(const LeaseSettings &S);

} // namespace chivelanding

#endif
