#ifndef CHIVELANDING_ENTRY_SERVICE_H
#define CHIVELANDING_ENTRY_SERVICE_H

#include "log.h"
#include "service_registry.h"
#include "settings.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// The entry process: serves callers over HTTP, links to agents and other
/// entries, and owns the jobs submitted to this incarnation.
class EntryService : public Service {
public:
  EntryService(boost::asio::io_context &Io, EntrySettings Settings,
               EventLog &Log);
  ~EntryService() override;

  /// Error code: listen_failed.
  Result<Done> start() override;
  void stop() override;
  /// Refuses new jobs and stops the io_context once the open ones are answered,
  /// or when the drain limit expires.
  void drain() override;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
