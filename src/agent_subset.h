#ifndef CHIVELANDING_AGENT_SUBSET_H
#define CHIVELANDING_AGENT_SUBSET_H

#include "agent_pool.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace chivelanding {

/// Limits on the number of agents that an entry uses at a time, per service.
struct SubsetLimits {
  /// Size of the subset unless its agents are short of free CPU. A link to an
  /// agent in use costs an entry 0.022 % of a core (docs/CAPACITY.md), so 80
  /// links cost 1.8 %.
  std::size_t UsualAgents_ = 80;
  /// Maximum size of the subset. It grows step by step while too little of its
  /// CPU is free.
  std::size_t MaxAgents_ = 240;
  /// Time for which the share of free CPU must have stayed above the shrink
  /// threshold before a larger subset shrinks: a few times the usual length of
  /// a burst.
  Duration ShrinkDelay_ = std::chrono::seconds(10);
};

/// Chooses the agents that an entry uses in a large fleet, so that the cost of
/// its links does not grow with the fleet. The other agents are on standby:
/// they get no runs and report rarely. Performs no I/O.
///
/// Each entry ranks the agents by a hash of the names of both. The subsets of
/// several entries therefore differ, and an agent that joins or leaves changes
/// few of the choices.
class AgentSubset {
public:
  /// Self is the name of the entry.
  AgentSubset(std::string Self, SubsetLimits Limits);

  struct Change {
    PeerId Agent_;
    bool Standby_ = false;
  };
  /// Returns the agents to put on standby or to take into use now. Agents that
  /// have not reported keep their state; those with outstanding runs of this
  /// entry are not put on standby.
  std::vector<Change> update(const std::map<PeerId, AgentView> &Agents,
                             Time Now);

private:
  struct SubsetSize {
    std::size_t Agents_ = 0;
    /// When the share of free CPU was last below the shrink threshold, or the
    /// size last changed.
    Time LastShortAt_;
  };

  std::uint64_t rank(const PeerId &Agent) const;
  void resize(SubsetSize &S, const std::vector<const AgentView *> &Agents,
              Time Now) const;

  std::string Self_;
  SubsetLimits Limits_;
  std::map<ServiceName, SubsetSize> Sizes_;
};

} // namespace chivelanding

#endif
