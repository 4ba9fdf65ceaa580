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

/// Addresses of entries in the platform's store, for processes whose seeds do
/// not answer.
class EntryPresence {
public:
  using Callback = std::function<void(const SocketAddress &Entry)>;

  EntryPresence(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
                Callback OnEntry);
  ~EntryPresence();

  /// Records this entry's address, until it is stored, and looks up the others.
  void announce(const std::string &Name, const SocketAddress &Address);
  /// Looks up the entries once; repeated by the caller while it has none.
  void lookUp();
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
