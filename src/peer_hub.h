#ifndef CHIVELANDING_PEER_HUB_H
#define CHIVELANDING_PEER_HUB_H

#include "kernel.h"
#include "link.h"
#include "log.h"
#include "message.h"
#include "settings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Callbacks of a PeerHub. All of them may call send().
struct PeerHandler {
  /// A session with the peer begins.
  std::function<void(const PeerUp &)> Up_;
  std::function<void(const PeerId &)> Suspected_;
  /// A suspected peer is heard again.
  std::function<void(const PeerId &)> Reachable_;
  /// The session is over; undelivered messages never will be delivered.
  std::function<void(const PeerId &)> Lost_;
  std::function<void(const PeerId &, const Message &)> Received_;
  /// A later process of the same role and name is in use by the peers.
  std::function<void()> Superseded_;
};

/// The links of one process to its peers: `link` and the directory of entries
/// on top of websocket connections. Exchanges the known entries with peers and
/// dials those that this process has to dial.
class PeerHub : public Service {
public:
  PeerHub(boost::asio::io_context &Io, const ProcessSettings &Settings,
          PeerId Self, EventLog &Log, PeerHandler Handler);
  ~PeerHub() override;

  /// Returns the bound address. Error code: listen_failed.
  Result<SocketAddress> listen(const SocketAddress &Address);
  /// Has peers dial this address instead of the one that is listened on.
  void advertise(const SocketAddress &Address);
  /// Dials this address whenever no entry that listens there is connected.
  void addSeed(const SocketAddress &Address);
  /// Has this agent tell each entry which entries it hears. Entries that take
  /// over the jobs of lost ones need it.
  void enableReachabilityReports();
  /// Queues a message; messages of one event loop round travel together. An
  /// AgentReport replaces one that has not left yet. SetStandby also sets the
  /// pace of the link, at the receiver as well.
  void send(const PeerId &To, Message M);
  /// Ends every session and connection, and continues as another incarnation.
  void rejoin(const PeerId &Self);
  /// True if every message has been acknowledged by its receiver; with
  /// ReachableOnly, receivers that are suspected do not count.
  bool allDelivered(bool ReachableOnly) const;

  Result<Done> start() override;
  void stop() override;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
