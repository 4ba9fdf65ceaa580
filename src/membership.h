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
  void learn(const KnownEntries &Known, Time Now);
  void onUp(const EntryId &Entry, Time Now);
  void onDown(const EntryId &Entry, Time Now);

  /// Entries to open a connection to, by name.
  std::vector<EntryAddress> toDial(Time Now) const;
  /// Addresses of the entries that are up, to tell others.
  KnownEntries known() const;
  /// True if an entry that is up listens at this address, so that a seed with
  /// the same address need not be dialled.
  bool covers(const std::string &Host, std::uint16_t Port) const;

private:
  struct Known {
    EntryAddress Address_;
    bool Up_ = false;
    Time LastKnown_;
  };

  EntryId Self_;
  RegionName Region_;
  bool DialsAll_;
  std::map<std::string, Known> Entries_;
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
struct AgentGone {
  AgentId Agent_;
};

/// Output: the entry counts as lost. Recovery must close it at Agents_, which
/// are the agents that this entry knows it to have used.
struct EntryLost {
  EntryId Entry_;
  std::vector<AgentId> Agents_;
};

/// Output: an entry that counted as lost is heard again and was closed by no
/// agent known here.
struct EntryReturned {
  EntryId Entry_;
};

using MembershipOutput =
    std::variant<SendToPeer, AgentUsable, AgentGone, EntryLost, EntryReturned>;
using MembershipOutputs = std::vector<MembershipOutput>;

/// What is known of a peer entry.
enum class EntryStatus : std::uint8_t {
  /// Never heard of.
  Unknown,
  Heard,
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
  explicit Membership(EntryId Self);

  MembershipOutputs onEntryUp(const EntryId &Entry, Time Now);
  MembershipOutputs onEntrySuspected(const EntryId &Entry, Time Now);
  MembershipOutputs onEntryHeard(const EntryId &Entry, Time Now);
  /// The session with the entry is over.
  MembershipOutputs onEntryDown(const EntryId &Entry, Time Now);
  /// Takes AgentAnnounced, AgentAnnouncedAck and AgentsSynchronized; ignores
  /// other messages.
  MembershipOutputs onEntryMessage(const EntryId &From, const Message &M,
                                   Time Now);

  void onAgentUp(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentDown(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentSuspected(const AgentId &Agent, Time Now);
  MembershipOutputs onAgentHeard(const AgentId &Agent, Time Now);
  /// Takes AnnounceEndpoint, AgentReport, EntriesHeard and IncarnationClosed;
  /// ignores other messages. AnnounceEndpoint and AgentReport of an agent that
  /// is not usable must not reach the scheduler by another way.
  MembershipOutputs onAgentMessage(const AgentId &From, const Message &M,
                                   Time Now);

  EntryStatus status(const EntryId &Entry) const;
  /// True if the agent may be used.
  bool isUsable(const AgentId &Agent) const;
  /// Agents that the entry announced here.
  std::vector<AgentId> agentsOf(const EntryId &Entry) const;
  /// True if agentsOf names every agent that the entry may have used.
  bool knowsAllAgentsOf(const EntryId &Entry) const;

private:
  struct EntryState {
    EntryStatus Status_ = EntryStatus::Unknown;
    bool Up_ = false;
    /// Some agent confirmed that it closed this incarnation.
    bool Closed_ = false;
    /// The entry said that it uses no agent without our acknowledgement.
    bool SynchronizedHere_ = false;
    std::set<AgentId> Announced_;
    /// We may use no agent without its acknowledgement.
    bool Required_ = false;
    /// AgentsSynchronized was sent in this session.
    bool Told_ = false;
    bool Exempt_ = false;
    std::set<AgentId> Acknowledged_;
  };
  struct AgentState {
    std::optional<EndpointInfo> Info_;
    std::optional<AgentReport> Report_;
    /// Unset until the first EntriesHeard of the session.
    std::optional<std::set<EntryId>> Hears_;
    bool Up_ = false;
    bool Suspected_ = false;
    bool Usable_ = false;
  };

  bool mayUse(const AgentId &Agent) const;
  void offer(const AgentId &Agent, MembershipOutputs &Out);
  void reconsider(MembershipOutputs &Out);
  void synchronize(const EntryId &Entry, EntryState &Peer,
                   MembershipOutputs &Out);
  void judgeEntries(MembershipOutputs &Out);
  bool stillHeard(const EntryId &Entry) const;
  void onClosed(const AgentId &By, const EntryId &Entry,
                MembershipOutputs &Out);

  EntryId Self_;
  std::map<EntryId, EntryState> Entries_;
  std::map<AgentId, AgentState> Agents_;
  /// Every agent that was usable at some time in this incarnation.
  std::map<AgentId, ServiceName> Used_;
};

} // namespace chivelanding

#endif
