#ifndef CHIVELANDING_ENTRY_CONFIG_H
#define CHIVELANDING_ENTRY_CONFIG_H

#include "dispatch_ports.h"
#include "log.h"
#include "peer_versions.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace chivelanding {

/// The configuration of an entry that dispatches idempotent jobs, and its
/// exchange with the other entries.
class EntryConfig {
public:
  using SendMessage = std::function<void(const PeerId &To, Message M)>;

  /// The arguments must outlive this object.
  EntryConfig(const ConfigCodec &Codec, EventLog &Log, SendMessage Send);

  /// Null until the first version is known.
  const DispatchConfig *current() const {
    return Config_ ? &*Config_ : nullptr;
  }
  /// Zero until the first version is known.
  ConfigVersion version() const {
    return Config_ ? Config_->version() : ConfigVersion();
  }
  /// When the current version was adopted.
  Time adoptedAt() const { return AdoptedAt_; }

  /// Adopts the configuration if its version is newer. Source is for the log.
  void onText(const std::string &Text, const char *Source, Time Now);
  void onEntryUp(const PeerId &Entry);
  void onEntryLost(const PeerId &Entry);
  /// Handles a message of another entry. False if it does not concern the
  /// configuration.
  bool onMessage(const PeerId &From, const Message &M, Time Now);
  /// Asks another entry for a newer version if the store does not deliver it.
  void requestNewer(Time Now);

private:
  void sendVersion(const PeerId &To);

  const ConfigCodec &Codec_;
  EventLog &Log_;
  SendMessage Send_;
  std::optional<DispatchConfig> Config_;
  /// Text of the current configuration, sent to entries that request it.
  std::string Text_;
  Time AdoptedAt_;
  PeerVersions Versions_;
  std::set<PeerId> Entries_;
};

} // namespace chivelanding

#endif
