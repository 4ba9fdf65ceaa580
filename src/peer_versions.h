#ifndef CHIVELANDING_PEER_VERSIONS_H
#define CHIVELANDING_PEER_VERSIONS_H

#include "link.h"

#include <map>
#include <optional>

namespace chivelanding {

/// Versions of the configuration that other entries have, and whom to ask for
/// one that this entry lacks. Decides without I/O.
class PeerVersions {
public:
  /// A peer says which version it has.
  void onDigest(const PeerId &From, ConfigVersion Version, Time Now);
  void onLost(const PeerId &Peer);
  /// The peer to ask now for a version above Have.
  std::optional<PeerId> nextPeerToAsk(ConfigVersion Have, Time Now);

private:
  struct PeerRecord {
    ConfigVersion Version_;
    Time LearnedAt_;
    /// When it was last asked.
    std::optional<Time> LastAskedAt_;
  };

  std::map<PeerId, PeerRecord> Peers_;
  std::optional<Time> LastRequestAt_;
};

} // namespace chivelanding

#endif
