#ifndef CHIVELANDING_CLI_ADMIN_H
#define CHIVELANDING_CLI_ADMIN_H

#include "cli_support.h"
#include "http.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace chivelanding {

/// Client of the administration API of one entry. Calls block.
class AdminSession {
public:
  /// Adds --admin and --token-file.
  static void addOptions(CommandOptions &Options);
  /// True if an option or the environment gives an address.
  static bool isConfigured(const CommandOptions &Options);
  /// Error codes: no_address, bad_address, no_token, unreadable.
  static Result<AdminSession> open(const CommandOptions &Options);

  /// Error codes: those of HttpClient, unauthorized, admin_error.
  Result<nlohmann::json> get(const std::string &Path) const;
  /// Sends a change and returns the body of its answer, whose outcome is
  /// accepted or unchanged. Error codes: those of get and of the answer;
  /// unknown if the change may have been accepted.
  Result<nlohmann::json> change(const std::string &Method,
                                const std::string &Path,
                                const nlohmann::json &Body) const;

private:
  Result<HttpResponse> send(HttpRequest Request, Duration Timeout) const;

  SocketAddress Address_;
  std::string Token_;
};

/// Polls the status until Version is in force on every process connected to the
/// entry, or Timeout has passed. Calls Progress with the number of processes
/// that have Version and the number of all, whenever one of them changes.
/// Returns false on a timeout.
bool waitUntilInForce(
    const AdminSession &Admin, std::uint64_t Version, Duration Timeout,
    const std::function<void(std::uint64_t, std::uint64_t)> &Progress);

} // namespace chivelanding

#endif
