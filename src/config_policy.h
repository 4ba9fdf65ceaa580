#ifndef CHIVELANDING_CONFIG_POLICY_H
#define CHIVELANDING_CONFIG_POLICY_H

#include "config_objects.h"
#include "job.h"
#include "policy_config.h"
#include "result.h"

namespace chivelanding {

/// What the scheduler needs of a checked set. Values that the set does not
/// state are those of Base. A bound is the least of the object's own and those
/// from which it is cut or within which it applies.
PolicyConfig makePolicy(const ConfigSet &Set, PolicyConfig Base = {});

/// Sets the class and the default deadline of a submission from its kind. An
/// empty set leaves it as it is. Error codes, each a true "not run":
/// unknown_service, unknown_kind, wrong_region (the service's home is
/// elsewhere).
Result<Done> applyKind(const ConfigSet &Set, const RegionName &Region,
                       JobSpec &Spec);

} // namespace chivelanding

#endif
