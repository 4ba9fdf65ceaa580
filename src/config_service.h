#ifndef CHIVELANDING_CONFIG_SERVICE_H
#define CHIVELANDING_CONFIG_SERVICE_H

#include "admin_api.h"
#include "config_follower_driver.h"
#include "config_sync.h"
#include "log.h"
#include "log_transport.h"
#include "service_registry.h"
#include "settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivelanding {

/// Service for the configuration in force in one process: an entry follows the
/// log if the settings name one, and every process exchanges versions with its
/// peers.
class ConfigService : public Service {
public:
  struct Host {
    /// Sends a message to a peer by the name given to onPeerUp.
    std::function<void(const std::string &, Message)> Send_;
    /// Called when a new version is in force. May be empty.
    std::function<void(const AcceptedPtr &)> InForce_;
  };

  ConfigService(boost::asio::io_context &Io, const ProcessSettings &Settings,
                Role Role, EventLog &Log, Host Owner);
  ~ConfigService() override;

  Result<Done> start() override;
  void stop() override;

  void onPeerUp(const std::string &Peer, Role Role);
  void onPeerLost(const std::string &Peer);
  /// Returns false if the message is not about the configuration.
  bool onMessage(const std::string &Peer, const Message &M);

  /// Publishes the change and calls OnEnded with the outcome, possibly before
  /// it returns.
  void publish(ChangeRecord Change,
               std::function<void(const PublishEnded &)> OnEnded);
  /// Confirms that the base of the change is in force at the end of the log,
  /// and calls OnEnded as publish does. Writes nothing.
  void confirm(ChangeRecord Change,
               std::function<void(const PublishEnded &)> OnEnded);
  /// True if the configuration in force is known: a version is in force, or the
  /// log was read to its end and has none, or this process follows no log.
  bool isKnown() const;

  const AcceptedPtr &state() const { return Sync_.state(); }
  AdminView view() const;

private:
  void apply(const SyncOutputs &Outputs);
  bool awaitOutcome(const ChangeRecord &Change,
                    std::function<void(const PublishEnded &)> &OnEnded);
  void schedule();
  void updateSnapshotWriters();
  void onRecordEvaluated(const EvaluatedRecord &Evaluated);
  void onReachable(const LogReachable &Reachable);
  ConfigFollowerDriver::Callbacks callbacks();

  ProcessSettings Settings_;
  Role Role_;
  EventLog &Log_;
  Host Host_;
  ConfigSync Sync_;
  std::unique_ptr<HttpLogTransport> Transport_;
  std::unique_ptr<ConfigFollowerDriver> Driver_;
  boost::asio::steady_timer Timer_;
  std::map<std::string, Role> Peers_;
  std::map<std::string, std::function<void(const PublishEnded &)>>
      PublishCallbacks_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>();
  bool Stopped_ = false;
};

} // namespace chivelanding

#endif
