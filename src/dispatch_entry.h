#ifndef CHIVELANDING_DISPATCH_ENTRY_H
#define CHIVELANDING_DISPATCH_ENTRY_H

#include "dispatch_ports.h"
#include "log.h"
#include "service_registry.h"
#include "settings.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// What an entry needs of the platform.
struct EntryPorts {
  std::unique_ptr<CallerCodec> Callers_;
  std::unique_ptr<ConfigCodec> Configs_;
  std::unique_ptr<RecordStore> Store_;
};

/// The entry process for jobs whose tasks may run again: callers' HTTP, links
/// to agents and entries, the configuration, readiness.
class DispatchEntry : public Service {
public:
  DispatchEntry(boost::asio::io_context &Io, DispatchEntrySettings Settings,
                EntryPorts Ports, EventLog &Log);
  ~DispatchEntry() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Leaves the balancer, serves open connections for a while, then stops the
  /// io_context.
  void drain() override;
  void addSeeds(const std::vector<SocketAddress> &Seeds);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
