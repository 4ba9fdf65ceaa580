#ifndef CHIVELANDING_PEER_HUB_H
#define CHIVELANDING_PEER_HUB_H

#include "kernel.h"
#include "log.h"
#include "message.h"
#include "settings.h"
#include "ws_transport.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Who a process is, as stated in Hello.
struct PeerIdentity {
  Role Role_ = Role::Entry;
  std::string Name_;
  Incarnation Incarnation_;
  ZoneName Zone_;
  RegionName Region_;

  EntryId entry() const { return {Name_, Incarnation_}; }
  AgentId agent() const { return {Name_, Incarnation_}; }
  std::string str() const { return entry().str(); }
};

/// Callbacks of a PeerHub; none runs inside send().
struct PeerHandler {
  /// A peer incarnation is connected for the first time.
  std::function<void(const PeerIdentity &)> Up_;
  std::function<void(const PeerIdentity &, const Message &)> Received_;
  /// Nothing more will be heard of this incarnation.
  std::function<void(const PeerIdentity &)> Lost_;
};

/// The links of one process to its peers over websocket connections.
class PeerHub : public Service {
public:
  PeerHub(boost::asio::io_context &Io, const ProcessSettings &Settings,
          PeerIdentity Self, EventLog &Log, PeerHandler Handler);
  ~PeerHub() override;

  /// Returns the bound address. Error code: listen_failed.
  Result<SocketAddress> listen(const SocketAddress &Address);
  /// Dials this address now and again whenever there is no connection to it.
  void keepDialled(const SocketAddress &Address);
  /// Queues a message; messages of one event loop round travel together.
  void send(const EntryId &To, Message M);
  void send(const AgentId &To, Message M);

  Result<Done> start() override;
  void stop() override;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
