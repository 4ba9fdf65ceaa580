#ifndef CHIVELANDING_SETTINGS_H
#define CHIVELANDING_SETTINGS_H

#include "types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivelanding {

/// An IP number and port to listen on or to connect to.
struct SocketAddress {
  std::string Host_;
  std::uint16_t Port_ = 0;

  std::string str() const { return Host_ + ":" + std::to_string(Port_); }
};

/// Settings common to both roles. Times are in milliseconds in the file.
struct ProcessSettings {
  std::string Name_;
  ZoneName Zone_;
  RegionName Region_;
  std::string LogLevel_ = "info";
  /// Heartbeat period on an idle link.
  Duration Heartbeat_ = std::chrono::milliseconds(200);
  /// Silence after which a peer is suspected and dialled beside.
  Duration SuspectAfter_ = std::chrono::seconds(1);
  /// Silence after which a peer may be given up.
  Duration LostAfter_ = std::chrono::seconds(5);
  std::uint64_t MaxFrameBytes_ = 64u << 20;
  /// Longest time a drain waits for running work.
  Duration DrainLimit_ = std::chrono::seconds(30);
  /// Base URL of the platform's log, empty if not used by this process.
  SocketAddress Log_;
};

struct EntrySettings {
  ProcessSettings Process_;
  /// Callers' HTTP.
  SocketAddress Listen_;
  /// Links from agents and other entries.
  SocketAddress PeerListen_;
  /// Administration API; port 0 if switched off.
  SocketAddress AdminListen_;
  /// Peer listeners of other entries to start from.
  std::vector<SocketAddress> Seeds_;
  std::uint64_t MaxBodyBytes_ = 16u << 20;
  std::uint32_t MaxConnections_ = 4096;
  std::uint32_t MaxTasksPerJob_ = 1700;
  std::uint32_t MaxWaitingTasks_ = 200000;
  Duration TokenEpoch_ = std::chrono::seconds(60);
  std::uint32_t TokenEpochsAccepted_ = 2;
  std::uint64_t ResultBytes_ = 256u << 20;
  std::uint64_t Seed_ = 0;
};

struct AgentSettings {
  ProcessSettings Process_;
  /// Local HTTP for the endpoint's announcement.
  SocketAddress Listen_;
  /// Peer listeners of entries to start from.
  std::vector<SocketAddress> Entries_;
  std::uint32_t QueueRoom_ = 4;
  std::uint64_t ResultBytes_ = 64u << 20;
  Duration Retention_ = std::chrono::minutes(10);
};

} // namespace chivelanding

#endif
