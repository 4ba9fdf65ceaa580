#ifndef CHIVELANDING_CORDON_EXCHANGE_H
#define CHIVELANDING_CORDON_EXCHANGE_H

#include "cordon_table.h"
#include "events.h"
#include "link.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// Output: the current set was adopted just now.
struct CordonsAdopted {};

/// Output: send the current set to this entry or agent.
struct CordonsToPeer {
  PeerId To_;
};

using CordonOutput = std::variant<CordonsAdopted, CordonsToPeer, LogEvent>;

/// An entry's set of cordoned zones, and to which entries and agents it is
/// sent. Performs no I/O.
class CordonExchange {
public:
  /// If not Enabled, nothing is adopted or sent.
  explicit CordonExchange(bool Enabled) : Enabled_(Enabled) {}

  /// A session with an entry or agent has begun.
  void onPeerUp(const PeerId &Peer, Time Now);
  void onPeerLost(const PeerId &Peer);
  /// A set as read from the store.
  void onStoreSet(const ZoneCordons &C, Time Now);
  /// A set from another entry.
  void onEntrySet(const PeerId &From, const ZoneCordons &C, Time Now);
  void onReport(const PeerId &Agent, const EndpointReport &R, Time Now);

  /// False if the settings require a set of cordoned zones and none is known:
  /// no run may start then.
  bool mayStartRuns() const { return !Enabled_ || Table_.known(); }
  const CordonTable &table() const { return Table_; }

  /// Returns and clears the outputs of the calls since the last take().
  std::vector<CordonOutput> take();

private:
  struct SentSet {
    /// Revision of the set that was sent last in this session; 0 if none was.
    std::uint64_t Revision_ = 0;
    Time At_;
  };

  bool adopt(const ZoneCordons &C, const std::string &Source, Time Now);
  void send(const PeerId &To, SentSet &Sent, Time Now);

  bool Enabled_;
  CordonTable Table_;
  /// Connected entries and agents.
  std::map<PeerId, SentSet> Peers_;
  std::vector<CordonOutput> Out_;
};

} // namespace chivelanding

#endif
