#ifndef CHIVELANDING_LEASE_PLAN_H
#define CHIVELANDING_LEASE_PLAN_H

#include "dispatcher.h"
#include "run_gate.h"
#include "settings.h"

namespace chivelanding {

/// Leases of an agent worked out from what the platform grants.
RunGateLimits planGateLimits(const LeaseSettings &S);
/// The same leases as an entry counts on them.
DispatchLimits planDispatchLimits(const LeaseSettings &S);

} // namespace chivelanding

#endif
