#ifndef CHIVELANDING_PLACEMENT_H
#define CHIVELANDING_PLACEMENT_H

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chivelanding {

/// Agents of one service that have capacity for more tasks, ordered by this
/// capacity within each zone.
class PlacementIndex {
public:
  struct Agent {
    ZoneName Zone_;
    RackName Rack_;
    std::uint32_t Capacity_ = 0;
  };

  /// Sets how many more tasks an agent can take; one without capacity is not a
  /// candidate.
  void set(std::uint32_t Number, const ZoneName &Zone, const RackName &Rack,
           std::uint32_t Capacity);
  void remove(std::uint32_t Number);

  bool empty() const { return Agents_.empty(); }
  const std::map<std::uint32_t, Agent> &agents() const { return Agents_; }
  /// Agents of a zone as (MaxCapacity - capacity, number).
  using ByCapacity = std::set<std::pair<std::uint32_t, std::uint32_t>>;
  const std::map<ZoneName, ByCapacity> &zones() const { return Zones_; }

private:
  std::map<std::uint32_t, Agent> Agents_;
  std::map<ZoneName, ByCapacity> Zones_;
};

/// Inputs to a choice in addition to the agents' capacities.
struct PlacementRequest {
  ZoneName OwnZone_;
  /// Tasks of the job per rack so far.
  const std::map<RackName, std::uint32_t> *Racks_ = nullptr;
};

/// Chosen agent, and the reason with the values used.
struct PlacementChoice {
  std::uint32_t Agent_ = 0;
  std::string Reason_;
};

/// Chooses one of the agents that have capacity; the index must not be empty.
using PlacementStrategy = PlacementChoice (*)(const PlacementIndex &,
                                              const PlacementRequest &,
                                              std::mt19937_64 &);

/// Returns the strategy with this name, or null. The names are random,
/// most_room, two_choices and credits.
PlacementStrategy findPlacement(const std::string &Name);

} // namespace chivelanding

#endif
