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

/// Agents of one service with room, ordered by room within each zone.
class PlacementIndex {
public:
  struct Agent {
    ZoneName Zone_;
    RackName Rack_;
    std::uint32_t Capacity_ = 0;
  };

  /// Sets an agent's room; one without room is not a candidate.
  void set(std::uint32_t Number, const ZoneName &Zone, const RackName &Rack,
           std::uint32_t Capacity);
  void remove(std::uint32_t Number);

  bool empty() const { return Agents_.empty(); }
  const std::map<std::uint32_t, Agent> &agents() const { return Agents_; }
  /// Agents of a zone as (greatest room - room, number).
  using ByCapacity = std::set<std::pair<std::uint32_t, std::uint32_t>>;
  const std::map<ZoneName, ByCapacity> &zones() const { return Zones_; }

private:
  std::map<std::uint32_t, Agent> Agents_;
  std::map<ZoneName, ByCapacity> Zones_;
};

/// What a choice depends on beside the rooms.
struct PlacementRequest {
  ZoneName OwnZone_;
  /// Tasks of the job per rack so far.
  const std::map<RackName, std::uint32_t> *Racks_ = nullptr;
};

/// Chosen agent and the reason with the values that decided.
struct PlacementChoice {
  std::uint32_t Agent_ = 0;
  std::string Reason_;
};

/// A way to choose among agents with room; the index is not empty.
using PlacementStrategy = PlacementChoice (*)(const PlacementIndex &,
                                              const PlacementRequest &,
                                              std::mt19937_64 &);

/// Strategy of a name, or null: random, most_room, two_choices, credits.
PlacementStrategy findPlacement(const std::string &Name);

} // namespace chivelanding

#endif
