#ifndef CHIVELANDING_DISPATCH_AGENT_H
#define CHIVELANDING_DISPATCH_AGENT_H

#include "dispatch_ports.h"
#include "log.h"
#include "service_registry.h"
#include "settings.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Adapters through which an agent uses the platform.
struct AgentPorts {
  std::unique_ptr<AnnouncementCodec> Announcements_;
  std::unique_ptr<EndpointPort> Endpoint_;
  std::unique_ptr<RecordStore> Store_;
};

/// The agent process beside an endpoint, whose tasks run under leases.
class DispatchAgent : public Service {
public:
  DispatchAgent(boost::asio::io_context &Io, DispatchAgentSettings Settings,
                AgentPorts Ports, EventLog &Log);
  ~DispatchAgent() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Starts no more tasks, waits for the active runs for a share of the grace
  /// period, then stops the io_context.
  void drain() override;
  /// Adds addresses of entries to connect to, on the configured peer port.
  void addSeeds(const std::vector<SocketAddress> &Seeds);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
