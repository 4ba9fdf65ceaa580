#ifndef CHIVELANDING_CLI_CONFIG_H
#define CHIVELANDING_CLI_CONFIG_H

#include "cli_support.h"
#include "config_json.h"

namespace chivelanding {

/// The sources as a checked configuration. Prints every problem and gives the
/// exit code if there is one.
std::variant<AcceptedPtr, int>
loadCheckedConfig(const std::vector<std::string> &Files, bool AsJson);

/// Prints what changes, and marks what tightens.
void printChanges(const std::vector<ObjectChange> &Changes, FILE *Stream);

} // namespace chivelanding

#endif
