#ifndef CHIVELANDING_CONFIG_POLICY_H
#define CHIVELANDING_CONFIG_POLICY_H

#include "config_objects.h"
#include "policy_config.h"

namespace chivelanding {

/// What the scheduler needs of a checked set. Values that the set does not
/// state are those of Base. A bound is the least of the object's own and those
/// from which it is cut or within which it applies.
PolicyConfig makePolicy(const ConfigSet &Set, PolicyConfig Base = {});

} // namespace chivelanding

#endif
