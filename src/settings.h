#ifndef CHIVELANDING_SETTINGS_H
#define CHIVELANDING_SETTINGS_H

#include "result.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chivelanding {

/// An IP address and port to listen on or to connect to.
struct SocketAddress {
  std::string Host_;
  std::uint16_t Port_ = 0;

  std::string str() const { return Host_ + ":" + std::to_string(Port_); }
  bool isLoopback() const {
    return Host_.rfind("127.", 0) == 0 || Host_ == "::1";
  }
};

/// What a process may use of its VM.
struct ResourceLimits {
  std::uint32_t MemoryMb_ = 1024;
  /// Open file descriptors.
  std::uint32_t Descriptors_ = 4100;
};

/// Settings common to all roles. Times are in milliseconds in the file.
struct ProcessSettings {
  std::string Name_;
  ZoneName Zone_;
  RegionName Region_;
  std::string LogLevel_ = "info";
  /// One JSON object a line on standard output, or plain text on standard
  /// error.
  std::string LogFormat_ = "json";
  /// Heartbeat period on an idle link.
  Duration Heartbeat_ = std::chrono::milliseconds(200);
  /// Silence after which a peer is suspected and a second connection is opened.
  Duration SuspectAfter_ = std::chrono::seconds(1);
  /// Silence after which a peer may be declared lost.
  Duration LostAfter_ = std::chrono::seconds(5);
  std::uint64_t MaxFrameBytes_ = 64u << 20;
  /// Longest time that a drain waits for running tasks.
  Duration DrainLimit_ = std::chrono::seconds(30);
  /// Address of the platform's log; port 0 if this process does not read it.
  SocketAddress Log_;
  ResourceLimits Resources_;
};

struct EntrySettings {
  ProcessSettings Process_;
  /// HTTP listener for callers.
  SocketAddress Listen_;
  /// Listener for links from agents and other entries.
  SocketAddress PeerListen_;
  /// Listener of the administration API; port 0 if switched off.
  SocketAddress AdminListen_;
  /// Peer listeners of other entries to contact first.
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
  /// Local HTTP listener for the endpoint's announcements.
  SocketAddress Listen_;
  /// Peer listeners of entries to contact first.
  std::vector<SocketAddress> Entries_;
  std::uint32_t QueueCapacity_ = 4;
  std::uint64_t ResultBytes_ = 64u << 20;
  Duration Retention_ = std::chrono::minutes(10);
};

/// Times that must be equal in all entries and agents that dispatch idempotent
/// jobs.
struct LeaseSettings {
  /// Longest endpoint lease that the endpoints grant.
  Duration MaxEndpointLease_ = std::chrono::milliseconds(1000);
  /// Time after which a caller sends a job again. The runs of a lost entry must
  /// have ended by then.
  Duration CallerRetry_ = std::chrono::milliseconds(1300);
  /// Longest time that an endpoint takes to stop a run.
  Duration StopTime_ = std::chrono::milliseconds(50);
};

/// Zones that operators take out of service.
struct CordonSettings {
  /// Time within which a request is in force everywhere; zero if such requests
  /// have no effect.
  Duration ApplyWithin_{0};

  bool enabled() const { return ApplyWithin_ > Duration(0); }
};

/// An entry that dispatches idempotent jobs.
struct DispatchEntrySettings {
  ProcessSettings Process_;
  LeaseSettings Leases_;
  CordonSettings Cordons_;
  /// HTTP listener for callers.
  SocketAddress Listen_;
  /// Listener for the load balancer's readiness check.
  SocketAddress ReadyListen_;
  /// Listener for metrics; port 0 if switched off.
  SocketAddress MetricsListen_;
  SocketAddress PeerListen_;
  /// Address at which peers reach PeerListen_, if it differs from PeerListen_.
  SocketAddress PeerAdvertise_;
  /// Addresses of other entries; their peer listeners use the port of
  /// PeerListen_.
  std::vector<SocketAddress> Seeds_;
  /// Time from SIGTERM until the process is killed.
  Duration Grace_ = std::chrono::milliseconds(6000);
};

/// An agent whose endpoint runs tasks under leases.
struct DispatchAgentSettings {
  ProcessSettings Process_;
  LeaseSettings Leases_;
  CordonSettings Cordons_;
  /// The endpoint on this VM and its service. Announcements with another
  /// address or service are refused.
  SocketAddress Endpoint_;
  ServiceName Service_;
  /// Local HTTP listener for the endpoint's announcements.
  SocketAddress Listen_;
  SocketAddress MetricsListen_;
  /// Address of this agent for peers; the entries' peer listeners use the same
  /// port.
  SocketAddress PeerListen_;
  std::vector<SocketAddress> Seeds_;
  Duration Grace_ = std::chrono::milliseconds(6000);
};

/// Every problem of a settings file, one line each with file, line and column.
struct SettingsErrors {
  std::vector<std::string> Lines_;
};

template <typename Settings>
using LoadedSettings = std::variant<Settings, SettingsErrors>;

/// Reads the [process] and [entry] tables of a TOML file, and [limits] if it is
/// there. Every key is checked for its type and range; unknown keys are
/// refused.
LoadedSettings<EntrySettings> loadEntrySettings(const std::string &Path);
/// Reads the [process] and [agent] tables of a TOML file, and [limits] if it is
/// there.
LoadedSettings<AgentSettings> loadAgentSettings(const std::string &Path);
/// Reads the [process], [leases] and [dispatch_entry] or [dispatch_agent]
/// tables of a TOML file, and [limits] and [cordons] if they are there.
LoadedSettings<DispatchEntrySettings>
loadDispatchEntrySettings(const std::string &Path);
LoadedSettings<DispatchAgentSettings>
loadDispatchAgentSettings(const std::string &Path);
LoadedSettings<DispatchEntrySettings>
parseDispatchEntrySettings(const std::string &Text, const std::string &File);
LoadedSettings<DispatchAgentSettings>
parseDispatchAgentSettings(const std::string &Text, const std::string &File);
/// The same from a text; errors give File as its name.
LoadedSettings<EntrySettings> parseEntrySettings(const std::string &Text,
                                                 const std::string &File);
LoadedSettings<AgentSettings> parseAgentSettings(const std::string &Text,
                                                 const std::string &File);

/// The page docs/settings.md, generated from the tables that the parser uses.
std::string settingsPage();

} // namespace chivelanding

#endif
