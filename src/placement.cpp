#include "placement.h"

#include <algorithm>
#include <limits>

namespace chivelanding {

namespace {

constexpr std::uint32_t MaxCapacity = std::numeric_limits<std::uint32_t>::max();
/// Number of agents of one zone that are compared to spread a job over racks.
constexpr std::size_t MaxComparedAgents = 4;
/// Capacity of an agent in this entry's zone from which on no other zone is
/// considered.
constexpr std::uint32_t AmpleCapacity = 3;

std::string capacityText(const char *Name, std::uint32_t Capacity) {
  return std::string(Name) + ", free capacity " + std::to_string(Capacity);
}

std::uint32_t drawAgent(const PlacementIndex &Index, std::mt19937_64 &Random) {
  const auto Steps = static_cast<std::ptrdiff_t>(
      Random() % static_cast<std::uint64_t>(Index.agents().size()));
  return std::next(Index.agents().begin(), Steps)->first;
}

PlacementChoice chooseRandom(const PlacementIndex &Index,
                             const PlacementRequest &,
                             std::mt19937_64 &Random) {
  const std::uint32_t A = drawAgent(Index, Random);
  return {A, capacityText("random", Index.agents().at(A).Capacity_)};
}

PlacementChoice chooseMostCapacity(const PlacementIndex &Index,
                                   const PlacementRequest &,
                                   std::mt19937_64 &) {
  std::pair<std::uint32_t, std::uint32_t> Best{MaxCapacity, 0};
  for (const auto &[Zone, ByCapacity] : Index.zones())
    if (!ByCapacity.empty())
      Best = std::min(Best, *ByCapacity.begin());
  return {Best.second,
          capacityText("most free capacity", MaxCapacity - Best.first)};
}

PlacementChoice chooseTwo(const PlacementIndex &Index, const PlacementRequest &,
                          std::mt19937_64 &Random) {
  const std::uint32_t A = drawAgent(Index, Random);
  const std::uint32_t B = drawAgent(Index, Random);
  const std::uint32_t CapacityA = Index.agents().at(A).Capacity_;
  const std::uint32_t CapacityB = Index.agents().at(B).Capacity_;
  return CapacityB > CapacityA
             ? PlacementChoice{B, capacityText("two choices", CapacityB)}
             : PlacementChoice{A, capacityText("two choices", CapacityA)};
}

std::uint32_t highestCapacity(const PlacementIndex::ByCapacity &ByCapacity) {
  return ByCapacity.empty() ? 0 : MaxCapacity - ByCapacity.begin()->first;
}

// This entry's zone is preferred while it has an agent with ample capacity, or
// with no less capacity than any agent of another zone. The last slots of a
// zone are often taken by another owner in the meantime, and a task that is
// then rejected loses more time than the path to another zone takes. Among
// agents with about the same capacity, those in the racks with the fewest tasks
// of the job are preferred.
PlacementChoice chooseCredits(const PlacementIndex &Index,
                              const PlacementRequest &Request,
                              std::mt19937_64 &) {
  const auto &Zones = Index.zones();
  const auto Own = Zones.find(Request.OwnZone_);
  const std::uint32_t OwnCapacity =
      Own == Zones.end() ? 0 : highestCapacity(Own->second);
  auto Zone = Own;
  std::uint32_t ZoneCapacity = OwnCapacity;
  if (OwnCapacity < AmpleCapacity)
    for (auto It = Zones.begin(); It != Zones.end(); ++It)
      if (highestCapacity(It->second) > ZoneCapacity) {
        Zone = It;
        ZoneCapacity = highestCapacity(It->second);
      }
  const bool IsOwn = Zone == Own;
  std::uint32_t Best = 0;
  std::uint32_t BestCapacity = 0;
  std::uint32_t BestTasks = MaxCapacity;
  std::size_t Seen = 0;
  for (const auto &[InverseCapacity, Number] : Zone->second) {
    if (++Seen > MaxComparedAgents ||
        MaxCapacity - InverseCapacity + 1 < ZoneCapacity)
      break;
    const auto &Rack = Index.agents().at(Number).Rack_;
    std::uint32_t Tasks = 0;
    if (Request.Racks_) {
      const auto It = Request.Racks_->find(Rack);
      Tasks = It == Request.Racks_->end() ? 0 : It->second;
    }
    if (Tasks < BestTasks) {
      Best = Number;
      BestCapacity = MaxCapacity - InverseCapacity;
      BestTasks = Tasks;
    }
  }
  return {Best, capacityText(IsOwn ? "own zone" : "other zone", BestCapacity) +
                    ", job tasks in rack " + std::to_string(BestTasks)};
}

struct NamedStrategy {
  const char *Name_;
  PlacementStrategy Strategy_;
};

constexpr NamedStrategy Strategies[] = {
    {"random", chooseRandom},
    {"most_room", chooseMostCapacity},
    {"two_choices", chooseTwo},
    {"credits", chooseCredits},
};

} // namespace

void PlacementIndex::set(std::uint32_t Number, const ZoneName &Zone,
                         const RackName &Rack, std::uint32_t Capacity) {
  const auto It = Agents_.find(Number);
  if (It != Agents_.end() && It->second.Capacity_ == Capacity &&
      It->second.Zone_ == Zone && It->second.Rack_ == Rack)
    return;
  remove(Number);
  if (Capacity == 0)
    return;
  Agents_[Number] = {Zone, Rack, Capacity};
  Zones_[Zone].insert({MaxCapacity - Capacity, Number});
}

void PlacementIndex::remove(std::uint32_t Number) {
  const auto It = Agents_.find(Number);
  if (It == Agents_.end())
    return;
  Zones_[It->second.Zone_].erase({MaxCapacity - It->second.Capacity_, Number});
  Agents_.erase(It);
}

PlacementStrategy findPlacement(const std::string &Name) {
  for (const NamedStrategy &S : Strategies)
    if (Name == S.Name_)
      return S.Strategy_;
  return nullptr;
}

} // namespace chivelanding
