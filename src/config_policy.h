#ifndef CHIVELANDING_CONFIG_POLICY_H
#define CHIVELANDING_CONFIG_POLICY_H

#include "config_objects.h"
#include "job.h"
#include "policy_config.h"
#include "result.h"

namespace chivelanding {

/// Scheduling policy from a validated set. Values that the set does not give
/// are those of Base. Each bound is the smallest of the object's own and those
/// of its ancestors.
PolicyConfig makePolicy(const ConfigSet &Set, PolicyConfig Base = {});

/// Sets the priority class of a submission and caps its deadline, both from its
/// kind; the kind's deadline is also the default. An empty set changes nothing.
/// Each error means that no task of the job has run: unknown_service,
/// unknown_kind, wrong_region (the service's home is another region).
Result<Done> applyKind(const ConfigSet &Set, const RegionName &Region,
                       JobSpec &Spec);

} // namespace chivelanding

#endif
