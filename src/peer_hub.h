#ifndef CHIVELANDING_PEER_HUB_H
#define CHIVELANDING_PEER_HUB_H

#include "link.h"
#include "log.h"
#include "message.h"
#include "service_registry.h"
#include "settings.h"

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Callbacks of a PeerHub. All of them may call send().
struct PeerHandler {
  /// A session with the peer has begun.
  std::function<void(const PeerUp &)> Up_;
  std::function<void(const PeerId &)> Suspected_;
  /// A suspected peer is reachable again.
  std::function<void(const PeerId &)> Reachable_;
  /// The session has ended; undelivered messages never will be delivered.
  std::function<void(const PeerId &)> Lost_;
  std::function<void(const PeerId &, const Message &)> Received_;
  /// Peers have accepted a later process of the same role and name.
  std::function<void()> Superseded_;
};

/// The links of one process to its peers: connects `link` and the directory of
/// entries to websocket connections. Exchanges addresses of known entries with
/// the peers and dials the entries that this process must dial.
class PeerHub : public Service {
public:
  PeerHub(boost::asio::io_context &Io, const ProcessSettings &Settings,
          PeerId Self, EventLog &Log, PeerHandler Handler);
  ~PeerHub() override;

  /// Returns the bound address. Error code: listen_failed.
  Result<SocketAddress> listen(const SocketAddress &Address);
  /// Makes peers dial this address instead of the one that is listened on.
  void advertise(const SocketAddress &Address);
  /// Dials this address whenever no connected entry listens there; only for
  /// this long, if a period is given.
  void addSeed(const SocketAddress &Address,
               std::optional<Duration> Period = std::nullopt);
  /// Makes this agent send EntriesHeard to each entry. Entries need it to
  /// recover the jobs of lost ones.
  void enableReachabilityReports();
  /// Queues a message; messages of one event loop iteration are sent together.
  /// An AgentReport replaces an earlier one that has not been sent yet.
  /// SetStandby also switches the link to or from standby, at the receiver as
  /// well.
  void send(const PeerId &To, Message M);
  /// Drops every session, closes the connections and continues as another
  /// incarnation.
  void rejoin(const PeerId &Self);
  /// True if every message has been acknowledged by its receiver; with
  /// ReachableOnly, suspected receivers are ignored.
  bool allDelivered(bool ReachableOnly) const;

  Result<Done> start() override;
  void stop() override;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
