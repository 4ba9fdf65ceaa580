#ifndef CHIVELANDING_CONFIG_SESSION_H
#define CHIVELANDING_CONFIG_SESSION_H

#include "config_follower_driver.h"
#include "log_transport.h"

#include <map>
#include <optional>
#include <vector>

namespace chivelanding {

/// Access of one command to the configuration in the log. Its calls block the
/// thread.
class ConfigSession {
public:
  explicit ConfigSession(SocketAddress Log);

  /// Reads to the end of the log. Error codes: log_unavailable, no_state (the
  /// oldest records have expired and no snapshot is usable), newer_rules.
  Result<Done> readToEnd(Duration Timeout);
  /// Publishes the change and waits for the outcome, which comes within the
  /// time-out of the follower (30 s).
  PublishEnded publish(ChangeRecord Change);

  const AcceptedPtr &state() const {
    return Driver_->follower().stateMachine().state();
  }
  /// States derived from the retained records, by version.
  const std::map<ConfigVersion, AcceptedPtr> &states() const { return States_; }
  /// Evaluated changes, oldest first.
  const std::vector<EvaluatedRecord> &history() const { return History_; }
  RecordCounts counts() const {
    return Driver_->follower().stateMachine().counts();
  }

private:
  boost::asio::io_context Context_;
  HttpLogTransport Transport_;
  std::unique_ptr<ConfigFollowerDriver> Driver_;
  std::map<ConfigVersion, AcceptedPtr> States_;
  std::vector<EvaluatedRecord> History_;
  std::optional<PublishEnded> PublishEnd_;
  std::string LogError_;
};

} // namespace chivelanding

#endif
