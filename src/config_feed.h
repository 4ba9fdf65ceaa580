#ifndef CHIVELANDING_CONFIG_FEED_H
#define CHIVELANDING_CONFIG_FEED_H

#include "dispatch_ports.h"
#include "log.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Reads the configuration from the platform's store: the newest version first,
/// then each later one as it is written. Starts over after an error.
class ConfigFeed {
public:
  using Callback = std::function<void(const std::string &Text)>;

  ConfigFeed(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
             Callback OnConfig);
  ~ConfigFeed();

  void start();
  void stop();
  /// True if the last call to the store succeeded.
  bool available() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
