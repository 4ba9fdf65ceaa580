#ifndef CHIVELANDING_CONFIG_FOLLOWER_DRIVER_H
#define CHIVELANDING_CONFIG_FOLLOWER_DRIVER_H

#include "clock.h"
#include "config_follower.h"
#include "log_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace chivelanding {

/// Carries out the outputs of a ConfigFollower: requests to the log and timers.
/// Runs on the thread of the io_context. Answers that arrive after its
/// destruction are dropped.
class ConfigFollowerDriver {
public:
  struct Callbacks {
    std::function<void(const AcceptedPtr &)> OnAccepted_;
    std::function<void(const EvaluatedRecord &)> OnEvaluated_;
    std::function<void(const PublishEnded &)> OnPublishEnded_;
    std::function<void(const LogReachable &)> OnReachable_;
    /// Called after each read, whether or not it succeeded.
    std::function<void()> OnReadDone_;
  };

  ConfigFollowerDriver(boost::asio::io_context &Context,
                       LogTransport &Transport, FollowerOptions Options,
                       Callbacks Handlers);

  void start();
  /// Publishes the change; ends with Callbacks::OnPublishEnded_.
  void publish(ChangeRecord Change);
  /// Confirms the base of the change, as ConfigFollower::confirm does.
  void confirm(ChangeRecord Change);
  void setSnapshotWriters(std::vector<std::string> Names);
  const ConfigFollower &follower() const { return Follower_; }

private:
  void perform(const FollowerOutputs &Outputs);
  void perform(const ReadLog &Read);
  void perform(const AppendLog &Append);
  void schedule();

  LogClient Log_;
  ConfigFollower Follower_;
  Callbacks Callbacks_;
  boost::asio::steady_timer Timer_;
  /// Expires with the driver; callbacks of late answers check it.
  std::shared_ptr<int> Alive_ = std::make_shared<int>();
};

} // namespace chivelanding

#endif
