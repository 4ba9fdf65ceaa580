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

/// The agent process: receives the endpoint's announcement over local HTTP,
/// connects to the entries of the region, and starts tasks at the endpoint.
class AgentService : public Service {
public:
  AgentService(boost::asio::io_context &Io, AgentSettings Settings,
               EventLog &Log);
  ~AgentService() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Accepts no new tasks and stops the io_context once the accepted ones are
  /// finished and the owners have acknowledged their results, or when the
  /// drain time limit has passed.
  void drain() override;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
