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

/// Encodes an incarnation for the store, without its address, sequence and
/// clock.
std::string encodeIncarnation(const EndpointIncarnation &Endpoint);
/// Decodes such a text; nothing if it is malformed.
std::optional<EndpointIncarnation> parseIncarnation(const std::string &Text);

/// Persists the incarnation of the endpoint beside an agent in the platform's
/// store under the name of the agent, so that a restarted agent need not wait
/// for the next announcement.
class PersistedEndpoint {
public:
  PersistedEndpoint(boost::asio::io_context &Io, RecordStore &Store,
                    EventLog &Log, std::string AgentName);
  ~PersistedEndpoint();

  /// Reads the stored incarnation. OnLoaded is called at most once, and not at
  /// all if there is none or the store fails.
  void load(std::function<void(const EndpointIncarnation &)> OnLoaded);
  /// Stores this incarnation if it differs from the one stored last. A failed
  /// write is repeated.
  void save(const EndpointIncarnation &Endpoint);
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
