#ifndef CHIVELANDING_CLI_ADMIN_H
#define CHIVELANDING_CLI_ADMIN_H

#include "cli_support.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace chivelanding {

/// A command's access to the administration API of one entry. Blocks.
class AdminSession {
public:
  /// Adds --admin and --token-file.
  static void addOptions(CommandOptions &Options);
  /// True if an address is given by option or environment.
  static bool isConfigured(const CommandOptions &Options);
  /// Error codes: no_address, bad_address, no_token, unreadable.
  static Result<AdminSession> open(const CommandOptions &Options);

  /// Error codes: those of HttpClient, unauthorized, admin_error.
  Result<nlohmann::json> get(const std::string &Path) const;

private:
  SocketAddress Address_;
  std::string Token_;
};

/// Polls the status until Version is in force on every process that the entry
/// knows, or Limit has passed. Calls Progress with both numbers whenever one
/// changes. False if it was not in time.
bool waitUntilInForce(
    const AdminSession &Admin, std::uint64_t Version, Duration Timeout,
    const std::function<void(std::uint64_t, std::uint64_t)> &Progress);

} // namespace chivelanding

#endif
