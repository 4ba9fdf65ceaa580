#include "placement.h"

#include <algorithm>
#include <limits>

namespace chivelanding {

namespace {

constexpr std::uint32_t GreatestRoom =
    std::numeric_limits<std::uint32_t>::max();
/// Agents of one zone that are compared for the spread over racks.
constexpr std::size_t Compared = 4;

std::string roomText(const char *Name, std::uint32_t Room) {
  return std::string(Name) + ", room " + std::to_string(Room);
}

std::uint32_t draw(const PlacementIndex &Index, std::mt19937_64 &Random) {
  const auto Steps = static_cast<std::ptrdiff_t>(
      Random() % static_cast<std::uint64_t>(Index.agents().size()));
  return std::next(Index.agents().begin(), Steps)->first;
}

PlacementChoice chooseRandom(const PlacementIndex &Index,
                             const PlacementRequest &,
                             std::mt19937_64 &Random) {
  const std::uint32_t A = draw(Index, Random);
  return {A, roomText("random", Index.agents().at(A).Room_)};
}

PlacementChoice chooseMostRoom(const PlacementIndex &Index,
                               const PlacementRequest &, std::mt19937_64 &) {
  std::pair<std::uint32_t, std::uint32_t> Best{GreatestRoom, 0};
  for (const auto &[Zone, ByRoom] : Index.zones())
    if (!ByRoom.empty())
      Best = std::min(Best, *ByRoom.begin());
  return {Best.second, roomText("most room", GreatestRoom - Best.first)};
}

PlacementChoice chooseTwo(const PlacementIndex &Index, const PlacementRequest &,
                          std::mt19937_64 &Random) {
  const std::uint32_t A = draw(Index, Random);
  const std::uint32_t B = draw(Index, Random);
  const std::uint32_t RoomA = Index.agents().at(A).Room_;
  const std::uint32_t RoomB = Index.agents().at(B).Room_;
  return RoomB > RoomA ? PlacementChoice{B, roomText("two choices", RoomB)}
                       : PlacementChoice{A, roomText("two choices", RoomA)};
}

// The own zone comes first while it has room, because a free slot means no wait
// there. In a zone the racks with the fewest tasks of the job come first among
// the agents with the most room.
PlacementChoice chooseCredits(const PlacementIndex &Index,
                              const PlacementRequest &Request,
                              std::mt19937_64 &) {
  const auto &Zones = Index.zones();
  auto Zone = Zones.find(Request.OwnZone_);
  const bool IsOwn = Zone != Zones.end() && !Zone->second.empty();
  if (!IsOwn) {
    Zone = Zones.end();
    for (auto It = Zones.begin(); It != Zones.end(); ++It)
      if (!It->second.empty() &&
          (Zone == Zones.end() || *It->second.begin() < *Zone->second.begin()))
        Zone = It;
  }
  std::uint32_t Best = 0;
  std::uint32_t BestRoom = 0;
  std::uint32_t BestTasks = GreatestRoom;
  std::size_t Seen = 0;
  for (const auto &[Lack, Number] : Zone->second) {
    if (++Seen > Compared)
      break;
    const auto &Rack = Index.agents().at(Number).Rack_;
    std::uint32_t Tasks = 0;
    if (Request.Racks_) {
      const auto It = Request.Racks_->find(Rack);
      Tasks = It == Request.Racks_->end() ? 0 : It->second;
    }
    if (Tasks < BestTasks) {
      Best = Number;
      BestRoom = GreatestRoom - Lack;
      BestTasks = Tasks;
    }
  }
  return {Best, roomText(IsOwn ? "own zone" : "other zone", BestRoom) +
                    ", job tasks in rack " + std::to_string(BestTasks)};
}

struct NamedStrategy {
  const char *Name_;
  PlacementStrategy Strategy_;
};

constexpr NamedStrategy Strategies[] = {
    {"random", chooseRandom},
    {"most_room", chooseMostRoom},
    {"two_choices", chooseTwo},
    {"credits", chooseCredits},
};

} // namespace

void PlacementIndex::set(std::uint32_t Number, const ZoneName &Zone,
                         const RackName &Rack, std::uint32_t Room) {
  const auto It = Agents_.find(Number);
  if (It != Agents_.end() && It->second.Room_ == Room &&
      It->second.Zone_ == Zone && It->second.Rack_ == Rack)
    return;
  remove(Number);
  if (Room == 0)
    return;
  Agents_[Number] = {Zone, Rack, Room};
  Zones_[Zone].insert({GreatestRoom - Room, Number});
}

void PlacementIndex::remove(std::uint32_t Number) {
  const auto It = Agents_.find(Number);
  if (It == Agents_.end())
    return;
  Zones_[It->second.Zone_].erase({GreatestRoom - It->second.Room_, Number});
  Agents_.erase(It);
}

PlacementStrategy findPlacement(const std::string &Name) {
  for (const NamedStrategy &S : Strategies)
    if (Name == S.Name_)
      return S.Strategy_;
  return nullptr;
}

} // namespace chivelanding
