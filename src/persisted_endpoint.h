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
std::string encodeIncarnation(const EndpointIncarnation &Endpoint);
/// Nothing if Text is not such a text.
std::optional<EndpointIncarnation> parseIncarnation(const std::string &Text);

/// The life of the endpoint beside an agent, kept in the platform's store under
/// the agent's name, so that an agent that restarts need not wait for the next
/// announcement.
class PersistedEndpoint {
public:
  PersistedEndpoint(boost::asio::io_context &Io, RecordStore &Store,
                    EventLog &Log, std::string AgentName);
  ~PersistedEndpoint();

  /// Reads what is kept; OnLoaded is called at most once.
  void load(std::function<void(const EndpointIncarnation &)> OnLoaded);
  /// Keeps this life, if it differs from what was kept last.
  void save(const EndpointIncarnation &Endpoint);
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
