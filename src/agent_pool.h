#ifndef CHIVELANDING_AGENT_POOL_H
#define CHIVELANDING_AGENT_POOL_H

#include "cordon_table.h"
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

/// An entry's view of one agent and its endpoint, as of the last report.
struct AgentView {
  PeerId Peer_;
  EndpointReport Report_;
  Time ReportedAt_;
  /// Suspected by the failure detector, or its reports are overdue.
  bool Suspected_ = false;
  /// Gets no runs from this entry and reports rarely; see AgentSubset.
  bool Standby_ = false;
  /// Its zone is cordoned, as far as this entry or, if it knows a later set,
  /// the agent knows.
  bool Cordoned_ = false;
  /// When it was last taken into use.
  Time InUseSince_;
  /// When its endpoint was last reported to be usable no longer.
  Time UnusableSince_ = Time(std::chrono::hours(-1));
  /// Ejected as an outlier: gets one run at a time, because it fails or is far
  /// slower than the others.
  bool Ejected_ = false;
  /// When its endpoint last crashed with runs on it.
  Time CrashedAt_ = Time(std::chrono::hours(-1));
  /// Confined route for which this agent is reserved; empty if for none.
  std::string ReservedFor_;
  std::uint64_t LastSequence_ = 0;
  /// Sequence number and resources of starts that the last report does not
  /// account for yet.
  std::deque<std::pair<std::uint64_t, Resources>> UnreportedStarts_;
  /// Runs that this entry dispatched and that have not ended.
  std::uint32_t OutstandingRuns_ = 0;
  /// Receipt of the report whose clock was returned last: the owner lease that
  /// the agent grants this entry starts no later than this.
  Time OwnerLeaseFrom_;
  std::uint64_t RenewedClock_ = 0;

  /// True if runs may be dispatched here, provided that resources are free. An
  /// agent that was taken into use has to report first: the clock and the free
  /// resources of its last report are seconds old.
  bool ready() const {
    return isOpen() && !Suspected_ && !Standby_ && ReportedAt_ >= InUseSince_;
  }
  /// True if the endpoint is usable and its zone is not cordoned.
  bool isOpen() const { return Report_.Usable_ && !Cordoned_; }
  /// True if runs might start here but for a cordon.
  bool readyButForCordon() const {
    return Cordoned_ && !Suspected_ && (Report_.Usable_ || Report_.CordonOnly_);
  }
  /// The zone is not cordoned any more, but the agent has not confirmed it yet.
  bool awaitsLift() const { return !Cordoned_ && Report_.CordonOnly_; }
};

/// The agents known to an entry, and the choice among them. Performs no I/O.
class AgentPool {
public:
  /// Zone is that of the entry; Seed initializes the random choice of
  /// candidates.
  AgentPool(ZoneName Zone, std::uint64_t Seed);

  AgentView &onUp(const PeerId &Peer, Time Now);
  void onReport(AgentView &A, const EndpointReport &R, Time Now);
  /// Takes the cordoned zones as this entry knows them. False if it has had
  /// this revision or a later one.
  bool setCordons(const ZoneCordons &C);
  /// The cordoned zones as this entry knows them, sorted.
  const std::vector<ZoneName> &cordonedZones() const {
    return Cordons_.current().Zones_;
  }
  /// Number of agents whose zone is cordoned.
  std::size_t cordoned() const { return CordonedAgents_; }
  /// True if the service has endpoints that might be used but for cordons, and
  /// no other that is usable, was so within Gap before Now, or awaits its lift.
  bool isCordoned(const ServiceName &Service, Duration Gap, Time Now) const;
  bool isCordoned(const ZoneName &Zone) const {
    return Cordons_.isCordoned(Zone);
  }
  /// True if an endpoint of the service is expected to be usable within
  /// milliseconds, because its zone is not cordoned any more.
  bool awaitsLift(const ServiceName &Service) const;
  /// Puts the agent on standby, or takes it into use from its next report on.
  static void setStandby(AgentView &A, bool Standby, Time Now);
  void remove(const PeerId &Peer);
  AgentView *find(const PeerId &Peer);
  const std::map<PeerId, AgentView> &all() const { return Agents_; }
  std::map<PeerId, AgentView> &all() { return Agents_; }

  /// What a run requires and prefers of an agent.
  struct RunRequest {
    ServiceName Service_;
    Resources Need_;
    /// Preferred rack, or empty.
    RackName Rack_;
    /// Name of an agent that is chosen only if there is no other.
    std::optional<std::string> AvoidedAgent_;
    /// Name of an agent that is chosen if it has room. If OnlyPreferred_, no
    /// other is chosen.
    std::optional<std::string> PreferredAgent_;
    bool OnlyPreferred_ = false;
    /// Best fit: prefers the endpoint with the least resources left over, so
    /// that little is lost in fragments too small for a run.
    bool Pack_ = false;
  };
  /// Returns the best agent on which to start a run now; null if none has the
  /// resources free.
  AgentView *chooseAgent(const RunRequest &W);
  /// Deducts Need from the free resources of the agent until a report accounts
  /// for the start message with this sequence number.
  static void reserve(AgentView &A, std::uint64_t Sequence, Resources Need);
  static Resources freeResources(const AgentView &A);
  /// True if one run that needs this may be dispatched now. One may exceed the
  /// share that a cold endpoint offers if no other is there.
  static bool hasRoom(const AgentView &A, const Resources &Need);

  /// Offered capacity of the usable endpoints of a service that are open to
  /// runs without isolation, and what these use of it, in thousandths of a
  /// core.
  struct OpenCpu {
    double Capacity_ = 0;
    double Used_ = 0;
  };
  OpenCpu openCpu(const ServiceName &Service) const;
  /// Reserves agents of the service for the confined routes, as far as the
  /// other routes, which need this much CPU, can spare them; at least one
  /// usable agent for each route. All entries reserve the same agents.
  void reserveFor(const ServiceName &Service,
                  const std::vector<std::string> &Routes, double NeededCpu,
                  Time Now);
  /// What the agents that are reserved for a route offer it.
  struct ReservedAgents {
    std::uint32_t Usable_ = 0;
    /// Usable ones without any run.
    std::uint32_t Empty_ = 0;
  };
  ReservedAgents reservedAgents(const ServiceName &Service,
                                const std::string &Route) const;
  /// A reserved agent, and how many runs may start there beside each other.
  struct ReservedChoice {
    AgentView *Agent_ = nullptr;
    std::uint32_t Slots_ = 0;
  };
  /// Returns a reserved agent with room for most of Runs runs, a random one
  /// among equals, since all entries choose among few; no agent if none has
  /// room for one. If Whole, an agent must have room for all of them, or for as
  /// many as its endpoint can run at all.
  ReservedChoice chooseReserved(const ServiceName &Service,
                                const std::string &Route, const Resources &Need,
                                std::uint32_t Runs, Isolation I, bool Whole);

  /// Resources of the usable endpoints of a service. A slot is capacity for one
  /// run of the requested size.
  struct Totals {
    std::uint64_t Slots_ = 0;
    std::uint64_t FreeSlots_ = 0;
    std::uint64_t FreeCpu_ = 0;
    std::uint32_t UsableEndpoints_ = 0;
    /// Largest CPU and memory capacity of any endpoint of the service, whether
    /// usable or not.
    std::uint32_t LargestCpu_ = 0;
    std::uint32_t LargestMemoryMb_ = 0;
  };
  Totals totals(const ServiceName &Service, const Resources &Need) const;

  /// Compares the agents with each other, ejects the outliers and reinstates
  /// the others. Returns the agents whose state changed.
  std::vector<const AgentView *> updateEjections();

private:
  static Resources reportedResources(const AgentView &A);
  static Resources offeredResources(const AgentView &A);
  static bool isEmpty(const AgentView &A);
  static std::uint32_t slotsIn(const AgentView &A, const Resources &Room,
                               const Resources &Need);
  void updateCordoned(AgentView &A);
  static Resources isolatedResources(const AgentView &A,
                                     const std::string &Route, Isolation I);
  double score(const AgentView &A, const RunRequest &W) const;

  ZoneName Zone_;
  std::mt19937_64 Random_;
  std::map<PeerId, AgentView> Agents_;
  CordonTable Cordons_;
  std::size_t CordonedAgents_ = 0;
  double MedianSlowness_ = 1000;
};

} // namespace chivelanding

#endif
