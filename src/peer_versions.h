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
  std::optional<PeerId> toAsk(ConfigVersion Have, Time Now);

private:
  struct Known {
    ConfigVersion Version_;
    Time Since_;
    /// When it was last asked.
    std::optional<Time> Asked_;
  };

  std::map<PeerId, Known> Peers_;
  std::optional<Time> LastAsk_;
};

} // namespace chivelanding

#endif
