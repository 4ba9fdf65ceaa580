#ifndef CHIVELANDING_CONFIG_POLICY_H
#define CHIVELANDING_CONFIG_POLICY_H

#include "config_objects.h"
#include "job.h"
#include "policy_config.h"
#include "result.h"

namespace chivelanding {

/// What the scheduler needs of a configuration.
PolicyConfig policyOf(const ConfigSet &Set);

/// Sets the class and the default deadline of a submission from its kind. An
/// empty set leaves it as it is. Error codes, each a true "not run":
/// unknown_service, unknown_kind, wrong_region (the service's home is
/// elsewhere).
Result<Done> applyKind(const ConfigSet &Set, const RegionName &Region,
                       JobSpec &Spec);

} // namespace chivelanding

#endif
