#ifndef CHIVELANDING_PERSISTED_ENDPOINT_H
#define CHIVELANDING_PERSISTED_ENDPOINT_H

#include "dispatch_ports.h"
#include "log.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Text of a life for the store, without its address, sequence and clock.
std::string encodeLife(const EndpointLife &Life);
/// Nothing if Text is not such a text.
std::optional<EndpointLife> parseLife(const std::string &Text);

/// The life of the endpoint beside an agent, kept in the platform's store under
/// the agent's name, so that an agent that restarts need not wait for the next
/// announcement.
class EndpointMemory {
public:
  EndpointMemory(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
                 std::string AgentName);
  ~EndpointMemory();

  /// Reads what is kept; OnLife is called at most once.
  void recall(std::function<void(const EndpointLife &)> OnLife);
  /// Keeps this life, if it differs from what was kept last.
  void keep(const EndpointLife &Life);
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
