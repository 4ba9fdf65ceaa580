#ifndef CHIVELANDING_PEER_VERSIONS_H
#define CHIVELANDING_PEER_VERSIONS_H

#include "link.h"

#include <map>
#include <optional>

namespace chivelanding {

/// Configuration versions that the other entries have, and which peer to ask
/// for a version that this entry lacks. A state machine without I/O.
class PeerVersions {
public:
  /// A peer has reported its version.
  void onDigest(const PeerId &From, ConfigVersion Version, Time Now);
  void onLost(const PeerId &Peer);
  /// The peer to ask now for a version above Have, if any.
  std::optional<PeerId> nextPeerToAsk(ConfigVersion Have, Time Now);

private:
  struct PeerRecord {
    ConfigVersion Version_;
    /// When the peer first reported Version_.
    Time LearnedAt_;
    /// When the peer was last asked for Version_.
    std::optional<Time> LastAskedAt_;
  };

  std::map<PeerId, PeerRecord> Peers_;
  std::optional<Time> LastRequestAt_;
};

} // namespace chivelanding

#endif
