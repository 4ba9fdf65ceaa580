#ifndef CHIVELANDING_AGENT_SERVICE_H
#define CHIVELANDING_AGENT_SERVICE_H

#include "log.h"
#include "service_registry.h"
#include "settings.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// The agent process: the endpoint's announcement over local HTTP, links to the
/// entries of the region, and the runs at the endpoint.
class AgentService : public Service {
public:
  AgentService(boost::asio::io_context &Io, AgentSettings Settings,
               EventLog &Log);
  ~AgentService() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Takes no new work, finishes what it has, and then stops the io_context.
  void drain() override;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
