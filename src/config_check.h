#ifndef CHIVELANDING_CONFIG_CHECK_H
#define CHIVELANDING_CONFIG_CHECK_H

#include "config_objects.h"

namespace chivelanding {

/// Version of the rules by which sets are validated. Must be increased with a
/// change of the rules that gives at least one set another validation result.
constexpr std::uint32_t CheckRulesVersion = 2;

/// Lowest version of the rules that gives the set its validation result. A
/// record states it instead of CheckRulesVersion, so that programs with older
/// rules stop only before a set that they cannot validate.
std::uint32_t requiredRules(const std::string &Toml);

/// Parses and validates a whole set. Problems_ holds every error, sorted by
/// file and line; the set may be used only if Problems_ is empty.
ParsedConfig checkConfig(const std::vector<ConfigSource> &Sources);

} // namespace chivelanding

#endif
