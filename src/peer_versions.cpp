#include "peer_versions.h"

namespace chivelanding {
namespace {

// How long the store has to deliver a version before a peer is asked for it: it
// usually answers in 4 ms, and in a slow case in half a second.
constexpr Duration StoreGracePeriod = std::chrono::milliseconds(400);
// How long a peer has to answer before another one is asked.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(300);

} // namespace

void PeerVersions::onDigest(const PeerId &From, ConfigVersion Version,
                            Time Now) {
  PeerRecord &K = Peers_[From];
  if (K.Version_ < Version)
    K = {Version, Now, {}};
}

void PeerVersions::onLost(const PeerId &Peer) { Peers_.erase(Peer); }

// Asks the peer that was asked longest ago, so that a peer that does not answer
// delays no update. A process without a configuration does not wait for the
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
