#include "cordon_exchange.h"

#include <utility>

namespace chivelanding {
namespace {

// Shortest time between two messages with the same set to one agent. Reports
// that were sent before the agent had the set arrive for some round trips.
constexpr Duration ResendPause = std::chrono::milliseconds(500);

std::string zoneList(const std::vector<ZoneName> &Zones) {
  std::string List;
  for (const ZoneName &Z : Zones)
    List += (List.empty() ? "" : ",") + Z.str();
  return List.empty() ? "none" : List;
}

} // namespace

void CordonExchange::onPeerUp(const PeerId &Peer, Time Now) {
  SentSet &Sent = Peers_[Peer] = {};
  if (Table_.known())
    send(Peer, Sent, Now);
}

void CordonExchange::onPeerLost(const PeerId &Peer) { Peers_.erase(Peer); }

void CordonExchange::onStoreSet(const ZoneCordons &C, Time Now) {
  adopt(C, "store", Now);
}

// The answer to an older set ends a difference with an entry that the store
// does not serve. An entry with the same revision gets none, so that two
// entries do not answer each other endlessly.
void CordonExchange::onEntrySet(const PeerId &From, const ZoneCordons &C,
                                Time Now) {
  if (adopt(C, From.Name_, Now) || !Table_.known() ||
      C.Revision_ >= Table_.current().Revision_)
    return;
  const auto It = Peers_.find(From);
  if (It != Peers_.end())
    send(From, It->second, Now);
}

// An agent whose set is older but gives the same state of its zone is left
// alone: the message would change nothing there.
void CordonExchange::onReport(const PeerId &Agent, const EndpointReport &R,
                              Time Now) {
  const std::uint64_t Revision = Table_.current().Revision_;
  if (R.CordonRevision_ >= Revision ||
      (R.CordonRevision_ > 0 && R.Cordoned_ == Table_.isCordoned(R.Zone_)))
    return;
  const auto It = Peers_.find(Agent);
  if (It == Peers_.end())
    return;
  SentSet &Sent = It->second;
  if (Sent.Revision_ != Revision || Sent.At_ + ResendPause <= Now)
    send(Agent, Sent, Now);
}

std::vector<CordonOutput> CordonExchange::take() {
  return std::exchange(Out_, {});
}

// Agents on standby get the set too: they may have runs of other entries, and
// are taken into use without delay when another zone is cordoned.
bool CordonExchange::adopt(const ZoneCordons &C, const std::string &Source,
                           Time Now) {
  const std::uint64_t Former = Table_.current().Revision_;
  if (!Enabled_ || !Table_.adopt(C))
    return false;
  const ZoneCordons &Set = Table_.current();
  Out_.emplace_back(CordonsAdopted{});
  Out_.emplace_back(LogEvent{{&events::CordonsAdopted,
                              {{"revision", std::to_string(Set.Revision_)},
                               {"former", std::to_string(Former)},
                               {"source", Source},
                               {"zones", zoneList(Set.Zones_)}}}});
  for (auto &[Peer, Sent] : Peers_)
    send(Peer, Sent, Now);
  return true;
}

void CordonExchange::send(const PeerId &To, SentSet &Sent, Time Now) {
  Sent = {Table_.current().Revision_, Now};
  Out_.emplace_back(CordonsToPeer{To});
}

} // namespace chivelanding
