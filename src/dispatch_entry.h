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

/// Adapters through which an entry uses the platform.
struct EntryPorts {
  std::unique_ptr<CallerCodec> Callers_;
  std::unique_ptr<ConfigCodec> Configs_;
  std::unique_ptr<RecordStore> Store_;
};

/// The entry process for idempotent jobs: serves callers over HTTP, links to
/// agents and other entries, follows the configuration and reports readiness.
class DispatchEntry : public Service {
public:
  DispatchEntry(boost::asio::io_context &Io, DispatchEntrySettings Settings,
                EntryPorts Ports, EventLog &Log);
  ~DispatchEntry() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Reports not ready, so that the load balancer removes this entry, serves
  /// callers within the grace period, then stops the io_context.
  void drain() override;
  /// Adds addresses of entries to connect to, on the configured peer port.
  /// Skips this entry's own host.
  void addSeeds(const std::vector<SocketAddress> &Seeds);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
