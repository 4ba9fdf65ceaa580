#ifndef CHIVELANDING_CONFIG_CHECK_H
#define CHIVELANDING_CONFIG_CHECK_H

#include "config_objects.h"

namespace chivelanding {

/// Version of the rules by which a set is judged. A change of the rules that
/// would judge any set differently increases it.
constexpr std::uint32_t CheckRulesVersion = 1;

/// Reads and checks a whole set. Problems_ has every error, by file and line;
/// the set may be used only if it is empty.
ParsedConfig checkConfig(const std::vector<ConfigSource> &Sources);

} // namespace chivelanding

#endif
