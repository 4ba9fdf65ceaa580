#ifndef CHIVELANDING_AGENT_POOL_H
#define CHIVELANDING_AGENT_POOL_H

#include "link.h"
#include "message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chivelanding {

/// What an entry believes of one agent and its endpoint.
struct AgentView {
  PeerId Peer_;
  EndpointReport Report_;
  Time ReportedAt_;
  /// Silent on its link.
  bool Suspected_ = false;
  /// Gets no runs from this entry and reports rarely; see AgentSubset.
  bool Standby_ = false;
  /// When it was last taken into use.
  Time InUseSince_;
  /// Gets one run at a time, because it fails or is far slower than others.
  bool Ejected_ = false;
  std::uint64_t LastSequence_ = 0;
  /// Orders that the last report does not account for yet.
  std::deque<std::pair<std::uint64_t, Resources>> UnreportedStarts_;
  /// Runs of this entry that were ordered and have not ended.
  std::uint32_t OutstandingRuns_ = 0;
  /// Receipt of the report whose clock was returned last: the owner lease that
  /// the agent grants this entry counts from before this time.
  Time OwnerLeaseFrom_;
  std::uint64_t RenewedClock_ = 0;

  /// True if runs may be ordered here, room permitting. An agent that was taken
  /// into use has to report first: the clock and the room of its last report
  /// are seconds old.
  bool ready() const {
    return Report_.Usable_ && !Suspected_ && !Standby_ &&
           ReportedAt_ >= InUseSince_;
  }
};

/// The agents of an entry, and the choice among them. Decides without I/O.
class AgentPool {
public:
  /// Seed of the choice among equal agents.
  AgentPool(ZoneName Zone, std::uint64_t Seed);

  AgentView &onUp(const PeerId &Peer, Time Now);
  void onReport(AgentView &A, const EndpointReport &R, Time Now);
  /// Takes the agent into use, from its next report on, or out of it.
  static void setStandby(AgentView &A, bool Standby, Time Now);
  void remove(const PeerId &Peer);
  AgentView *find(const PeerId &Peer);
  const std::map<PeerId, AgentView> &all() const { return Agents_; }
  std::map<PeerId, AgentView> &all() { return Agents_; }

  /// What a run asks of an agent.
  struct RunRequest {
    ServiceName Service_;
    Resources Need_;
    /// Preferred rack, or empty.
    RackName Rack_;
    /// Name of an agent that is taken only if there is no other.
    std::optional<std::string> AvoidedAgent_;
    /// Prefers the endpoint that is left with the least room, so that little is
    /// lost in pieces too small for a run.
    bool Pack_ = false;
  };
  /// The agent at which a run is best started now; null if none has room.
  AgentView *chooseAgent(const RunRequest &W);
  /// Accounts for an order of Count runs in a message with this sequence.
  static void reserve(AgentView &A, std::uint64_t Sequence, Resources Need);
  static Resources freeResources(const AgentView &A);

  /// Room of the usable endpoints of a service. A place is room for one run of
  /// the size asked for.
  struct Totals {
    std::uint64_t Slots_ = 0;
    std::uint64_t FreeSlots_ = 0;
    std::uint64_t FreeCpu_ = 0;
    std::uint32_t UsableEndpoints_ = 0;
    /// Largest processor need that any endpoint could ever take.
    std::uint32_t LargestCpu_ = 0;
    std::uint32_t LargestMemoryMb_ = 0;
  };
  Totals totals(const ServiceName &Service, const Resources &Need) const;

  /// Compares the agents with each other and sets the conspicuous ones aside.
  /// Returns those whose state changed.
  std::vector<const AgentView *> updateEjections();

private:
  double score(const AgentView &A, const RunRequest &W) const;

  ZoneName Zone_;
  std::mt19937_64 Random_;
  std::map<PeerId, AgentView> Agents_;
  double MedianSlowness_ = 1000;
};

} // namespace chivelanding

#endif
