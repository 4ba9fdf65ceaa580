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

/// Entries that a process knows of by address, and which of them to dial. Used
/// by entries and agents.
class EntryDirectory {
public:
  /// DialsAll is true for agents, which dial every entry of their region; an
  /// entry dials the entries of its region with a greater name than its own.
  EntryDirectory(EntryId Self, RegionName Region, bool DialsAll);

  /// Takes addresses from a peer that says these entries live.
  void addAddresses(const KnownEntries &Known, Time Now);
  void onUp(const EntryId &Entry, Time Now);
  void onDown(const EntryId &Entry, Time Now);

  /// Entries to open a connection to, by name.
  std::vector<EntryAddress> entriesToDial(Time Now) const;
  /// Addresses of the entries that are up, to tell others.
  KnownEntries connectedEntries() const;
  /// True if an entry that is up listens at this address, so that a seed with
  /// the same address need not be dialled.
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

/// Output: the agent may be used from now on, or its attributes have changed.
/// Report_ is the last one received, if any.
struct AgentUsable {
  AgentId Agent_;
  EndpointInfo Info_;
  std::optional<AgentReport> Report_;
};

/// Output: nothing more will be heard of this agent; it was usable before.
struct AgentLost {
  AgentId Agent_;
};

/// Output: the entry counts as lost; its jobs may be recovered.
struct EntryLost {
  EntryId Entry_;
};

/// Output: an entry that counted as lost is heard again and was closed by no
/// agent known here.
struct EntryReturned {
  EntryId Entry_;
};

/// Output: send CloseIncarnation for the lost entry to this agent, so that the
/// entry need not be waited for any more.
struct RequestClose {
  AgentId Agent_;
  EntryId Entry_;
};

/// Output: no usable agent is heard, and the agents that are heard may not be
/// used because a peer that must acknowledge them is gone. This incarnation can
/// do nothing more; the process is to answer its callers that the outcome is
/// unknown and to rejoin as a new incarnation.
struct IncarnationBlocked {};

/// An agent that an entry announced, and its service.
struct AnnouncedAgent {
  AgentId Agent_;
  ServiceName Service_;
  /// False if the entry did not announce the agent, which is known here only.
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

/// What is known of a peer entry.
enum class EntryStatus : std::uint8_t {
  /// Never heard of.
  Unknown,
  Reachable,
  /// Silent, but not given up, or an agent still hears it.
  Suspected,
  /// May be recovered from.
  Lost
};

/// Entries and agents of the region as one entry knows them, and which agents
/// it may use. Decides without I/O; silence is judged by `link`.
///
/// An agent is used only once every peer entry that is heard or synchronized
/// has acknowledged AgentAnnounced. A peer is synchronized once it was told so
/// by AgentsSynchronized, which is sent when it has acknowledged every agent
/// that may be used, at least one. From then on it stays required, heard or
/// not, until an agent that it acknowledged confirms its close.
class Membership {
public:
  /// An entry that was named to this one without ever being heard counts as
  /// lost no sooner than LostAfter after it was first named.
  Membership(EntryId Self, Duration LostAfter);

  MembershipOutputs onEntryUp(const EntryId &Entry, Time Now);
  MembershipOutputs onEntrySuspected(const EntryId &Entry, Time Now);
  MembershipOutputs onEntryReachable(const EntryId &Entry, Time Now);
  /// The session with the entry is over.
  MembershipOutputs onEntryDown(const EntryId &Entry, Time Now);
  /// Takes AgentAnnounced, AgentAnnouncedAck and AgentsSynchronized; ignores
  /// other messages.
  MembershipOutputs onEntryMessage(const EntryId &From, const Message &M,
                                   Time Now);

  /// A token names this entry, which need not be known here.
  MembershipOutputs onEntryNamed(const EntryId &Entry, Time Now);

  void onAgentUp(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentDown(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentSuspected(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentReachable(const AgentId &Agent, Time Now);
  /// Takes AnnounceEndpoint, AgentReport, EntriesHeard and IncarnationClosed;
  /// ignores other messages. AnnounceEndpoint and AgentReport of an agent that
  /// is not usable must not reach the scheduler by another way.
  MembershipOutputs onAgentMessage(const AgentId &From, const Message &M,
                                   Time Now);

  MembershipOutputs onTimer(Time Now);

  EntryStatus status(const EntryId &Entry) const;
  /// True if the agent may be used.
  bool isUsable(const AgentId &Agent) const;
  /// Agents that the entry announced here, and every other agent known here.
  std::vector<AnnouncedAgent> agentsOf(const EntryId &Entry) const;
  /// True if agentsOf names every agent that the entry may have used.
  bool knowsAllAgentsOf(const EntryId &Entry) const;

private:
  struct EntryState {
    EntryStatus Status_ = EntryStatus::Unknown;
    bool Up_ = false;
    /// Some agent confirmed that it closed this incarnation.
    bool Closed_ = false;
    /// The entry said that it uses no agent without our acknowledgement.
    bool AllAgentsAnnounced_ = false;
    std::set<AnnouncedAgent> Announced_;
    /// We may use no agent without its acknowledgement.
    bool AcknowledgementRequired_ = false;
    /// AgentsSynchronized was sent in this session.
    bool SynchronizedSent_ = false;
    bool Exempt_ = false;
    std::set<AgentId> Acknowledged_;
    /// The agent that was asked to close this entry.
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
  /// Since when isBlocked() holds.
  std::optional<Time> BlockedSince_;
  std::map<EntryId, EntryState> Entries_;
  std::map<AgentId, AgentState> Agents_;
  /// Every agent that was usable at some time in this incarnation.
  std::map<AgentId, ServiceName> EverUsable_;
};

} // namespace chivelanding

#endif
