#ifndef CHIVELANDING_CLI_CONFIG_H
#define CHIVELANDING_CLI_CONFIG_H

#include "cli_support.h"
#include "config_json.h"

namespace chivelanding {

/// Loads and validates the files. If there are problems, prints all of them and
/// returns the exit code.
std::variant<AcceptedPtr, int>
loadCheckedConfig(const std::vector<std::string> &Files, bool AsJson);

/// Prints the changes and marks the fields that tighten or loosen.
void printChanges(const std::vector<ObjectChange> &Changes, FILE *Stream);

} // namespace chivelanding

#endif
