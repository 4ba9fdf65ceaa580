#ifndef CHIVELANDING_ENTRY_PRESENCE_H
#define CHIVELANDING_ENTRY_PRESENCE_H

#include "dispatch_ports.h"
#include "log.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Publishes and looks up the addresses of entries in the platform's record
/// store, so that a process finds entries even if none of its seeds responds.
class EntryPresence {
public:
  using Callback = std::function<void(const SocketAddress &Entry)>;

  EntryPresence(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
                Callback OnEntry);
  ~EntryPresence();

  /// Stores this entry's address, retrying until it is stored, and looks up the
  /// other entries once.
  void announce(const std::string &Name, const SocketAddress &Address);
  /// Looks up the entries once; the caller repeats it while it is connected to
  /// none, or soon after its start to fewer than were found.
  void lookUp();
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
