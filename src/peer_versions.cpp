#include "peer_versions.h"

namespace chivelanding {
namespace {

// Time for the store to tell of a version itself, before a peer is asked: its
// usual answer takes 4 ms, and a slow one half a second.
constexpr Duration StoreTime = std::chrono::milliseconds(400);
// Time for the answer of a peer before the next one is asked.
constexpr Duration AnswerTime = std::chrono::milliseconds(300);

} // namespace

void PeerVersions::onDigest(const PeerId &From, ConfigVersion Version,
                            Time Now) {
  Known &K = Peers_[From];
  if (K.Version_ < Version)
    K = {Version, Now, {}};
}

void PeerVersions::onLost(const PeerId &Peer) { Peers_.erase(Peer); }

// Asks the peer that was asked longest ago, so that one that does not answer
// holds up nothing. A process without any configuration does not wait for the
// store.
std::optional<PeerId> PeerVersions::toAsk(ConfigVersion Have, Time Now) {
  if (LastAsk_ && *LastAsk_ + AnswerTime > Now)
    return std::nullopt;
  const Duration Wait = Have == ConfigVersion() ? Duration(0) : StoreTime;
  auto Best = Peers_.end();
  for (auto It = Peers_.begin(); It != Peers_.end(); ++It) {
    const Known &K = It->second;
    if (!(Have < K.Version_) || K.Since_ + Wait > Now)
      continue;
    if (Best == Peers_.end() || K.Asked_ < Best->second.Asked_)
      Best = It;
  }
  if (Best == Peers_.end())
    return std::nullopt;
  Best->second.Asked_ = LastAsk_ = Now;
  return Best->first;
}

} // namespace chivelanding
