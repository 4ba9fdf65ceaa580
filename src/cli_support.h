#ifndef CHIVELANDING_CLI_SUPPORT_H
#define CHIVELANDING_CLI_SUPPORT_H

#include "cli.h"
#include "config_objects.h"
#include "result.h"
#include "settings.h"

#include <boost/program_options.hpp>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// Options of one subcommand. Every subcommand has --json and --help.
class CommandOptions {
public:
  /// Positional is the placeholder for file arguments in the usage line; empty
  /// if the subcommand takes no files.
  CommandOptions(const char *Name, const char *Purpose, const char *Positional);

  boost::program_options::options_description_easy_init add() {
    return Description_.add_options();
  }
  /// Returns the exit code if the command ends here: after --help or an invalid
  /// option.
  std::optional<int> parse(const Arguments &Args);

  bool has(const char *Name) const { return Values_.count(Name) > 0; }
  std::string text(const char *Name) const;
  std::optional<std::uint64_t> number(const char *Name) const;
  std::vector<std::string> files() const;
  bool json() const { return has("json"); }

private:
  std::string usage() const;

  const char *Name_;
  const char *Purpose_;
  const char *Positional_;
  boost::program_options::options_description Description_;
  boost::program_options::variables_map Values_;
};

/// Prints a table with a header; columns are as wide as their longest cell.
void printTable(const std::vector<std::vector<std::string>> &Rows);
/// UTC time such as "2026-01-31T12:00:00Z" of milliseconds since 1970; "-" for
/// 0, which means unknown.
std::string formatUnixMs(std::int64_t UnixMs);
/// Prints a value as JSON on one line.
void printJson(const nlohmann::json &Value);
/// Prints an error as text on standard error, or as JSON on standard output,
/// and returns Exit.
int reportError(const Error &E, bool AsJson, int Exit);

/// Address from the option Name, or else from the environment variable
/// Variable. Error codes: no_address, bad_address.
Result<SocketAddress> addressOption(const CommandOptions &Options,
                                    const char *Name, const char *Variable);

/// Reads files; "-" means standard input. Error code: unreadable.
Result<std::vector<ConfigSource>>
readSources(const std::vector<std::string> &Files);

} // namespace chivelanding

#endif
