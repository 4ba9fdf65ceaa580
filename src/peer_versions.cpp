#include "peer_versions.h"

namespace chivelanding {
namespace {

// Time for the store to tell of a version itself, before a peer is asked: its
// usual answer takes 4 ms, and a slow one half a second.
constexpr Duration StoreGracePeriod = std::chrono::milliseconds(400);
// Time for the answer of a peer before the next one is asked.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(300);

} // namespace

void PeerVersions::onDigest(const PeerId &From, ConfigVersion Version,
                            Time Now) {
  PeerRecord &K = Peers_[From];
  if (K.Version_ < Version)
    K = {Version, Now, {}};
}

void PeerVersions::onLost(const PeerId &Peer) { Peers_.erase(Peer); }

// Asks the peer that was asked longest ago, so that one that does not answer
// holds up nothing. A process without any configuration does not wait for the
// store.
std::optional<PeerId> PeerVersions::nextPeerToAsk(ConfigVersion Have,
                                                  Time Now) {
  if (LastRequestAt_ && *LastRequestAt_ + AnswerTimeout > Now)
    return std::nullopt;
  const Duration Wait =
      Have == ConfigVersion() ? Duration(0) : StoreGracePeriod;
  auto Best = Peers_.end();
  for (auto It = Peers_.begin(); It != Peers_.end(); ++It) {
    const PeerRecord &K = It->second;
    if (!(Have < K.Version_) || K.LearnedAt_ + Wait > Now)
      continue;
    if (Best == Peers_.end() || K.LastAskedAt_ < Best->second.LastAskedAt_)
      Best = It;
  }
  if (Best == Peers_.end())
    return std::nullopt;
  Best->second.LastAskedAt_ = LastRequestAt_ = Now;
  return Best->first;
}

} // namespace chivelanding
