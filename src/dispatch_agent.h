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

/// What an agent needs of the platform.
struct AgentPorts {
  std::unique_ptr<AnnouncementCodec> Announcements_;
  std::unique_ptr<EndpointPort> Endpoint_;
  std::unique_ptr<RecordStore> Store_;
};

/// The agent process beside an endpoint that runs tasks under leases.
class DispatchAgent : public Service {
public:
  DispatchAgent(boost::asio::io_context &Io, DispatchAgentSettings Settings,
                AgentPorts Ports, EventLog &Log);
  ~DispatchAgent() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Starts nothing more, waits for the runs at work, then stops the
  /// io_context.
  void drain() override;
  void addSeeds(const std::vector<SocketAddress> &Seeds);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
