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

/// The entry process: callers' HTTP, links to agents and other entries, and the
/// jobs that this incarnation owns.
class EntryService : public Service {
public:
  EntryService(boost::asio::io_context &Io, EntrySettings Settings,
               EventLog &Log);
  ~EntryService() override;

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
