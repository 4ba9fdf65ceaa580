#ifndef CHIVELANDING_AGENT_SUBSET_H
#define CHIVELANDING_AGENT_SUBSET_H

#include "agent_pool.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace chivelanding {

/// Bounds of the agents that an entry uses at a time, for each service.
struct SubsetLimits {
  /// Agents in use while they have room. A link to an agent in use costs an
  /// entry 0.022 % of a core (docs/CAPACITY.md), so that 80 cost 1.8 %.
  std::size_t UsualAgents_ = 80;
  /// Agents in use when those have no room left.
  std::size_t MaxAgents_ = 240;
  /// Time for which the larger set must have had plenty of room before it
  /// shrinks: a few times the usual length of a burst.
  Duration ShrinkDelay_ = std::chrono::seconds(10);
};

/// Chooses the agents that an entry uses in a fleet of many, so that the cost
/// of its links does not grow with the fleet. The others are on standby: they
/// get no runs and report rarely. Decides without I/O.
///
/// Each entry ranks the agents by a hash of both names. The subsets of several
/// entries therefore differ, and one agent that comes or goes changes little.
class AgentSubset {
public:
  AgentSubset(std::string Self, SubsetLimits Limits);

  struct Change {
    PeerId Agent_;
    bool Standby_ = false;
  };
  /// The agents whose state is to change now. Agents without a report are left
  /// as they are, and so are those with runs of this entry.
  std::vector<Change> update(const std::map<PeerId, AgentView> &Agents,
                             Time Now);

private:
  struct SubsetSize {
    std::size_t Agents_ = 0;
    /// When the set was last short of room or changed its size.
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
