#ifndef CHIVELANDING_CONFIG_SYNC_H
#define CHIVELANDING_CONFIG_SYNC_H

#include "config_state_machine.h"
#include "message.h"
#include "types.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// How an accepted version reaches the peers that do not have it.
enum class PropagationStrategy : std::uint8_t {
  /// A digest is sent to every peer at a fixed period; a peer that is behind
  /// requests the state.
  Periodic,
  /// The change is sent to every agent at once.
  Push,
  /// The change is sent after a random delay, and only to agents whose digest
  /// does not show it by then.
  Suppressed
};
/// "periodic", "push" or "suppressed".
const char *propagationStrategyName(PropagationStrategy S);

struct SyncOptions {
  PropagationStrategy Strategy_ = PropagationStrategy::Push;
  Role Role_ = Role::Entry;
  std::uint64_t Seed_ = 0;
  /// Period of digests: to every peer with Periodic, otherwise to one entry in
  /// turn, which repairs lost messages.
  Duration DigestPeriod_ = std::chrono::seconds(10);
  /// Longest random delay before the change is sent with Suppressed, and before
  /// a process that is behind requests the state from a peer.
  Duration MaxDelay_ = std::chrono::milliseconds(100);
  /// Sends only the changed objects to peers that have a recent version.
  bool Deltas_ = true;
};

/// Output: send the message to the peer with this process name.
struct SyncSend {
  std::string Peer_;
  Message Message_;
};
/// Output: this version is in force in this process from now on.
struct SyncInForce {
  AcceptedPtr State_;
};
/// Output: a state received from a peer was rejected.
struct SyncRefused {
  std::string Peer_;
  std::string Detail_;
};
using SyncOutput = std::variant<SyncSend, SyncInForce, SyncRefused>;
using SyncOutputs = std::vector<SyncOutput>;

/// Propagates the accepted configuration between processes over existing links.
/// The version in force never decreases, whether a state comes from the log or
/// from a peer.
class ConfigSync {
public:
  explicit ConfigSync(SyncOptions Options);

  SyncOutputs onPeerUp(const std::string &Peer, Role Role, Time Now);
  void onPeerDown(const std::string &Peer);
  /// Takes a state derived from the log.
  SyncOutputs onAccepted(const AcceptedPtr &State, Time Now);
  SyncOutputs onDigest(const std::string &Peer, const ConfigDigest &M,
                       Time Now);
  SyncOutputs onRequest(const std::string &Peer, const ConfigRequest &M,
                        Time Now);
  SyncOutputs onState(const std::string &Peer, const ConfigState &M, Time Now);
  SyncOutputs onDelta(const std::string &Peer, const ConfigDelta &M, Time Now);
  SyncOutputs tick(Time Now);
  std::optional<Time> nextTimer() const;

  const AcceptedPtr &state() const { return State_; }
  ConfigVersion version() const { return State_->Version_; }
  /// Version of each connected peer by its last message; 0 if none is known.
  std::map<std::string, ConfigVersion> peerVersions() const;

private:
  /// Exponential backoff between attempts to send or request one version.
  struct RetryTimer {
    ConfigVersion Version_;
    Time NextAt_;
    Duration Backoff_{0};

    /// Returns true if an attempt is due, and schedules the next one. A new
    /// version is due at once.
    bool startIfDue(ConfigVersion Version, Time Now);
  };
  struct PeerState {
    Role Role_ = Role::Agent;
    ConfigVersion Version_;
    /// Limits how often the same version is sent to the peer or, with Periodic,
    /// requested from it.
    RetryTimer SendTimer_;
    /// When the last digest was sent to the peer.
    std::optional<Time> LastDigestAt_;
  };

  void adopt(const AcceptedPtr &State, const std::string &From, Time Now,
             SyncOutputs &Out);
  void recordPeerVersion(const std::string &Peer, ConfigVersion Version);
  void sendDigest(const std::string &Peer, Time Now, SyncOutputs &Out);
  void repeatDigest(const std::string &Peer, Time Now, SyncOutputs &Out);
  void sendState(const std::string &Peer, PeerState &P, Time Now,
                 SyncOutputs &Out);
  void onPeerAhead(const std::string &Peer, Time Now, SyncOutputs &Out);
  void requestState(Time Now, SyncOutputs &Out);
  void sendDigests(Time Now, SyncOutputs &Out);
  Duration randomUpTo(Duration Limit);
  void propagate(Time Now, SyncOutputs &Out);
  Message stateMessage(ConfigVersion Have);
  ConfigDigest digest() const;

  SyncOptions Options_;
  std::mt19937_64 Random_;
  AcceptedPtr State_ = std::make_shared<AcceptedConfig>();
  std::map<std::string, PeerState> Peers_;
  /// Earlier states, from which deltas are computed.
  std::deque<AcceptedPtr> RecentStates_;
  /// The delta that was computed last, reused for every peer that has its base.
  std::optional<ConfigDelta> LastDelta_;
  std::optional<Time> PropagateAt_;
  /// Zero until the present version has been propagated for the first time.
  Duration PropagationBackoff_{0};
  std::optional<Time> RequestAt_;
  std::uint32_t RequestCount_ = 0;
  /// A version that failed validation here; only newer ones are requested.
  ConfigVersion RefusedVersion_;
  std::optional<Time> NextDigestAt_;
  std::string LastDigestPeer_;
};

} // namespace chivelanding

#endif
