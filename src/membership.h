#ifndef CHIVELANDING_MEMBERSHIP_H
#define CHIVELANDING_MEMBERSHIP_H

#include "message.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// Addresses of the entries that a process knows, and which of them to dial.
/// Used by entries and agents.
class EntryDirectory {
public:
  /// DialsAll is true for agents, which dial every entry of their region; an
  /// entry dials the entries of its region with a greater name than its own.
  EntryDirectory(EntryId Self, RegionName Region, bool DialsAll);

  /// Adds addresses that a peer reports for running entries.
  void addAddresses(const KnownEntries &Known, Time Now);
  void onUp(const EntryId &Entry, Time Now);
  void onDown(const EntryId &Entry, Time Now);

  /// Entries to dial, ordered by name.
  std::vector<EntryAddress> entriesToDial(Time Now) const;
  /// Addresses of the connected entries, for KnownEntries.
  KnownEntries connectedEntries() const;
  /// True if a connected entry listens at this address, so that a seed with the
  /// same address need not be dialled.
  bool hasListenerAt(const std::string &Host, std::uint16_t Port) const;

private:
  struct EntryRecord {
    EntryAddress Address_;
    bool Up_ = false;
    Time LastKnownAliveAt_;
  };

  EntryId Self_;
  RegionName Region_;
  bool DialsAll_;
  std::map<std::string, EntryRecord> Entries_;
};

/// Output: deliver a message to a peer entry.
struct SendToPeer {
  EntryId To_;
  Message Message_;
};

/// Output: tasks may be sent to the agent from now on, or its attributes have
/// changed. Report_ is the last report received, if any.
struct AgentUsable {
  AgentId Agent_;
  EndpointInfo Info_;
  std::optional<AgentReport> Report_;
};

/// Output: the session with a usable agent has ended.
struct AgentLost {
  AgentId Agent_;
};

/// Output: the entry is considered lost; its jobs may be recovered.
struct EntryLost {
  EntryId Entry_;
};

/// Output: an entry that was considered lost has connected again, and no agent
/// has confirmed to this entry that it closed it.
struct EntryReturned {
  EntryId Entry_;
};

/// Output: send CloseIncarnation for the lost entry to this agent. Once the
/// agent confirms, the entry's acknowledgement is no longer required.
struct RequestClose {
  AgentId Agent_;
  EntryId Entry_;
};

/// Output: no usable agent is reachable, and the reachable agents may not be
/// used because an unreachable peer must acknowledge them. This incarnation
/// cannot continue: the process must answer its callers that the outcome is
/// unknown and rejoin as a new incarnation.
struct IncarnationBlocked {};

/// An agent that an entry may use, and its service.
struct AnnouncedAgent {
  AgentId Agent_;
  ServiceName Service_;
  /// False if the entry did not announce the agent; only this entry knows it.
  bool Announced_ = true;

  friend bool operator==(const AnnouncedAgent &A, const AnnouncedAgent &B) {
    return A.Agent_ == B.Agent_ && A.Service_ == B.Service_;
  }
  friend bool operator<(const AnnouncedAgent &A, const AnnouncedAgent &B) {
    return std::tie(A.Agent_, A.Service_) < std::tie(B.Agent_, B.Service_);
  }
};

using MembershipOutput =
    std::variant<SendToPeer, AgentUsable, AgentLost, EntryLost, EntryReturned,
                 RequestClose, IncarnationBlocked>;
using MembershipOutputs = std::vector<MembershipOutput>;

/// State of a peer entry as seen by this entry.
enum class EntryStatus : std::uint8_t {
  /// There is no record of the entry.
  Unknown,
  Reachable,
  /// Not reachable, but not yet lost or still reachable from an agent.
  Suspected,
  /// Considered lost; its jobs may be recovered.
  Lost
};

/// Entries and agents of the region as one entry knows them, and which agents
/// it may use. A state machine without I/O; `link` detects unreachable peers.
///
/// An agent is used only once every peer entry that is reachable or
/// synchronized has acknowledged AgentAnnounced. A peer becomes synchronized
/// when it is sent AgentsSynchronized, which happens once it has acknowledged
/// every agent that has been usable, at least one. From then on its
/// acknowledgement is required, whether it is reachable or not, until an agent
/// that it acknowledged confirms that it closed the peer.
class Membership {
public:
  /// An entry that was only named in a token and never connected is considered
  /// lost no sooner than LostAfter after it was first named.
  Membership(EntryId Self, Duration LostAfter);

  MembershipOutputs onEntryUp(const EntryId &Entry, Time Now);
  MembershipOutputs onEntrySuspected(const EntryId &Entry, Time Now);
  MembershipOutputs onEntryReachable(const EntryId &Entry, Time Now);
  /// The session with the entry has ended.
  MembershipOutputs onEntryDown(const EntryId &Entry, Time Now);
  /// Handles AgentAnnounced, AgentAnnouncedAck and AgentsSynchronized; ignores
  /// other messages.
  MembershipOutputs onEntryMessage(const EntryId &From, const Message &M,
                                   Time Now);

  /// A token names this entry, which may be unknown here.
  MembershipOutputs onEntryNamed(const EntryId &Entry, Time Now);

  void onAgentUp(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentDown(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentSuspected(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentReachable(const AgentId &Agent, Time Now);
  /// Handles AnnounceEndpoint, AgentReport, EntriesHeard and IncarnationClosed;
  /// ignores other messages. AnnounceEndpoint and AgentReport of an agent that
  /// is not usable must not be passed to the scheduler.
  MembershipOutputs onAgentMessage(const AgentId &From, const Message &M,
                                   Time Now);

  MembershipOutputs onTimer(Time Now);

  EntryStatus status(const EntryId &Entry) const;
  /// True if tasks may be sent to the agent.
  bool isUsable(const AgentId &Agent) const;
  /// Agents that the entry announced here, and every other agent known here.
  std::vector<AnnouncedAgent> agentsOf(const EntryId &Entry) const;
  /// True if agentsOf names every agent that the entry may have used.
  bool knowsAllAgentsOf(const EntryId &Entry) const;

private:
  struct EntryState {
    EntryStatus Status_ = EntryStatus::Unknown;
    bool Up_ = false;
    /// An agent confirmed that it closed this incarnation.
    bool Closed_ = false;
    /// The entry sent AgentsSynchronized: it uses no agent without the
    /// acknowledgement of this entry.
    bool AllAgentsAnnounced_ = false;
    std::set<AnnouncedAgent> Announced_;
    /// This entry uses no agent without the acknowledgement of that entry.
    bool AcknowledgementRequired_ = false;
    /// AgentsSynchronized was sent in the current session.
    bool SynchronizedSent_ = false;
    /// An agent that the entry acknowledged has closed it; its
    /// acknowledgement is no longer required.
    bool Exempt_ = false;
    std::set<AgentId> Acknowledged_;
    /// The agent to which CloseIncarnation for this entry was sent last.
    std::optional<AgentId> CloseRequestedFrom_;
    Time FirstNamedAt_;
  };
  struct AgentState {
    std::optional<EndpointInfo> Info_;
    std::optional<AgentReport> Report_;
    /// Unset until the first EntriesHeard of the session.
    std::optional<std::set<EntryId>> ReachableEntries_;
    bool Up_ = false;
    bool Suspected_ = false;
    bool Usable_ = false;
  };

  bool isAcknowledgedByPeers(const AgentId &Agent) const;
  void reportIfUsable(const AgentId &Agent, MembershipOutputs &Out);
  void reevaluateAgents(MembershipOutputs &Out);
  void synchronize(const EntryId &Entry, EntryState &Peer,
                   MembershipOutputs &Out);
  void detectLostEntries(MembershipOutputs &Out);
  void requestClose(const EntryId &Entry, EntryState &Peer,
                    MembershipOutputs &Out);
  bool isReachable(const AgentId &Agent) const;
  bool isBlocked() const;
  bool mayBeReachableFromAgent(const EntryId &Entry) const;
  void onClosed(const AgentId &By, const EntryId &Entry,
                MembershipOutputs &Out);

  EntryId Self_;
  Duration LostAfter_;
  Time Now_;
  /// When isBlocked() became true; unset while it is false.
  std::optional<Time> BlockedSince_;
  std::map<EntryId, EntryState> Entries_;
  std::map<AgentId, AgentState> Agents_;
  /// Every agent that was usable at some time in this incarnation.
  std::map<AgentId, ServiceName> EverUsable_;
};

} // namespace chivelanding

#endif
