#ifndef CHIVELANDING_CONFIG_FEED_H
#define CHIVELANDING_CONFIG_FEED_H

#include "dispatch_ports.h"
#include "log.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Reads the operators' stream of the platform's store, which has the
/// configuration and the cordons: the newest records first, then each later one
/// as it is written. Starts over after an error.
class ConfigFeed {
public:
  using Callback = std::function<void(const std::string &Text)>;
  using CordonCallback = std::function<void(const ZoneCordons &C)>;

  /// Records of cordons are ignored if OnCordons is empty.
  ConfigFeed(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
             Callback OnConfig, CordonCallback OnCordons = nullptr);
  ~ConfigFeed();

  void start();
  void stop();
  /// True if the last call to the store succeeded.
  bool available() const;
  /// Records of the stream that the last answer of the store left to read.
  std::uint64_t recordsBehind() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
