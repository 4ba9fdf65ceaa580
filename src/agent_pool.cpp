#include "agent_pool.h"

#include "cold_start.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace chivelanding {
namespace {

// Fitting agents compared in one choice. Two random choices already bound the
// imbalance; more compensate for reports that are a few milliseconds old. The
// cost does not grow with the fleet, except for runs that prefer a rack: these
// compare all agents.
constexpr std::size_t MaxCandidates = 6;
// An agent is ejected above this share of failed runs (per mille) if it exceeds
// the median of its peers by FailedMargin. Tasks of a kind that fails
// everywhere therefore eject no agent.
constexpr std::uint32_t FailedLimit = 450;
constexpr std::uint32_t FailedMargin = 250;
// An agent is ejected above this multiple of the median slowness.
constexpr double SlownessLimit = 1.8;
// Largest share of the usable agents that may be ejected at the same time.
constexpr double MaxEjectedShare = 0.4;
// Weight of slowness in the score: an agent twice as slow as the median loses
// as much as this free share is worth.
constexpr double SlownessWeight = 0.6;
// Preference for the entry's own zone, as a free share: it saves a millisecond
// each way.
constexpr double OwnZoneBonus = 0.04;
// Preference for the rack of a task's data, as a free share: runs elsewhere
// take at least half as long again, so only a nearly full rack is passed over.
constexpr double DataRackBonus = 0.8;

// Usable CPU that is left to the routes that are not confined, over what they
// need: without some reserve their jobs would wait for room.
constexpr double ReserveHeadroom = 1.2;
// Largest share of the agents of a service that is reserved. The others need
// little at times, but must not find every endpoint down when they need more.
constexpr double MaxReservedShare = 0.5;
// Time for which an endpoint counts as crashed lately. Longer than endpoints
// take to return.
constexpr Duration CrashedPeriod = std::chrono::seconds(15);

// Slots of an endpoint for runs that state no CPU requirement.
constexpr std::uint32_t MaxSlots = 1000;

std::uint32_t median(std::vector<std::uint32_t> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

// Number of runs of this size that fit into Room.
std::uint32_t slotsFor(const Resources &Room, const Resources &Need) {
  std::uint32_t Count = Need.Cpu_ > 0 ? Room.Cpu_ / Need.Cpu_ : MaxSlots;
  if (Need.MemoryMb_ > 0)
    Count = std::min(Count, Room.MemoryMb_ / Need.MemoryMb_);
  return Count;
}

} // namespace

AgentPool::AgentPool(ZoneName Zone, std::uint64_t Seed)
    : Zone_(std::move(Zone)), Random_(Seed) {}

AgentView &AgentPool::onUp(const PeerId &Peer, Time Now) {
  AgentView &A = Agents_[Peer];
  A.Peer_ = Peer;
  A.ReportedAt_ = Now;
  A.Suspected_ = false;
  A.Standby_ = false;
  A.InUseSince_ = Now;
  return A;
}

void AgentPool::onReport(AgentView &A, const EndpointReport &R, Time Now) {
  if (A.Report_.Usable_ && !R.Usable_)
    A.UnusableSince_ = Now;
  A.Report_ = R;
  A.Report_.SlownessPermille_ = std::max(R.SlownessPermille_, 1u);
  A.ReportedAt_ = Now;
  updateCordoned(A);
  while (!A.UnreportedStarts_.empty() &&
         A.UnreportedStarts_.front().first <= R.SeenSequence_)
    A.UnreportedStarts_.pop_front();
}

void AgentPool::setStandby(AgentView &A, bool Standby, Time Now) {
  A.Standby_ = Standby;
  if (!Standby)
    A.InUseSince_ = Now;
}

void AgentPool::remove(const PeerId &Peer) {
  const auto It = Agents_.find(Peer);
  if (It == Agents_.end())
    return;
  CordonedAgents_ -= It->second.Cordoned_ ? 1 : 0;
  Agents_.erase(It);
}

AgentView *AgentPool::find(const PeerId &Peer) {
  const auto It = Agents_.find(Peer);
  return It == Agents_.end() ? nullptr : &It->second;
}

void AgentPool::reserve(AgentView &A, std::uint64_t Sequence, Resources Need) {
  A.UnreportedStarts_.emplace_back(Sequence, Need);
}

// Zero for an endpoint whose runs tolerate no others; see isolatedResources for
// its own route.
Resources AgentPool::freeResources(const AgentView &A) {
  if (A.Report_.Isolation_ != Isolation::Any)
    return {};
  return reportedResources(A);
}

// Deducts the starts that the last report does not account for.
Resources AgentPool::reportedResources(const AgentView &A) {
  if (!A.ready())
    return {};
  Resources Free = A.Report_.Free_;
  for (const auto &[Sequence, Need] : A.UnreportedStarts_)
    Free = minus(Free, Need);
  return Free;
}

Resources AgentPool::offeredResources(const AgentView &A) {
  return shareOfCapacity(A.Report_.Capacity_, A.Report_.OfferedPermille_);
}

// Number of runs that fit into Room, which is what the endpoint offers or a
// part of it. The agent applies the same exception for a single run.
std::uint32_t AgentPool::slotsIn(const AgentView &A, const Resources &Room,
                                 const Resources &Need) {
  const std::uint32_t Slots = slotsFor(Room, Need);
  if (Slots > 0 || A.Report_.OfferedPermille_ >= WholeSharePermille)
    return Slots;
  return A.ready() && isEmpty(A) && fits(Need, A.Report_.Capacity_) ? 1 : 0;
}

bool AgentPool::hasRoom(const AgentView &A, const Resources &Need) {
  const Resources Free = freeResources(A);
  return fits(Need, Free) || (A.Report_.OfferedPermille_ < WholeSharePermille &&
                              slotsIn(A, Free, Need) > 0);
}

double AgentPool::score(const AgentView &A, const RunRequest &W) const {
  const Resources Free = freeResources(A);
  const double LeftOver =
      (static_cast<double>(Free.Cpu_) - static_cast<double>(W.Need_.Cpu_)) /
      std::max<double>(1, A.Report_.Capacity_.Cpu_);
  const double Share = W.Pack_ ? -LeftOver : LeftOver;
  const double RelativeSlowness =
      A.Report_.SlownessPermille_ / MedianSlowness_ - 1;
  const double Zone = A.Report_.Zone_ == Zone_ ? OwnZoneBonus : 0;
  const double Rack =
      !W.Rack_.empty() && A.Report_.Rack_ == W.Rack_ ? DataRackBonus : 0;
  return Share + Zone + Rack - SlownessWeight * RelativeSlowness;
}

// Compares a few fitting agents from a random position on. All agents are
// examined before the result is null, so that no free slot is missed. The
// avoided agent is chosen only if the service has no other that is ready.
AgentView *AgentPool::chooseAgent(const RunRequest &W) {
  if (Agents_.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> Position(0, Agents_.size() - 1);
  auto It = std::next(Agents_.begin(),
                      static_cast<std::ptrdiff_t>(Position(Random_)));
  AgentView *Best = nullptr;
  AgentView *AvoidedFit = nullptr;
  AgentView *Reserved = nullptr;
  bool HasUnreserved = false;
  double BestScore = 0;
  std::size_t Fitting = 0;
  bool HasOther = false;
  for (std::size_t I = 0;
       I < Agents_.size() &&
       (Fitting < MaxCandidates || !W.Rack_.empty() || W.PreferredAgent_);
       ++I) {
    if (It == Agents_.end())
      It = Agents_.begin();
    AgentView &A = (It++)->second;
    if (A.Report_.Service_ != W.Service_ || !A.ready())
      continue;
    const bool Avoided = W.AvoidedAgent_ && A.Peer_.Name_ == *W.AvoidedAgent_;
    HasOther = HasOther || !Avoided;
    HasUnreserved = HasUnreserved || A.ReservedFor_.empty();
    if (!hasRoom(A, W.Need_))
      continue;
    if (Avoided) {
      AvoidedFit = &A;
      continue;
    }
    if (A.Ejected_ && A.OutstandingRuns_ > 0)
      continue;
    if (W.PreferredAgent_ && A.Peer_.Name_ == *W.PreferredAgent_)
      return &A;
    if (!A.ReservedFor_.empty()) {
      Reserved = &A;
      continue;
    }
    ++Fitting;
    const double Score = score(A, W);
    if (!Best || Score > BestScore) {
      Best = &A;
      BestScore = Score;
    }
  }
  if (W.OnlyPreferred_)
    return nullptr;
  if (!Best && !HasUnreserved)
    Best = Reserved;
  return Best || HasOther ? Best : AvoidedFit;
}

AgentPool::OpenCpu AgentPool::openCpu(const ServiceName &Service) const {
  OpenCpu Result;
  for (const auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service || !A.isOpen() ||
        A.Report_.Isolation_ != Isolation::Any)
      continue;
    const Resources Offered = offeredResources(A);
    Result.Used_ += minus(Offered, A.Report_.Free_).Cpu_;
    if (A.ReservedFor_.empty())
      Result.Capacity_ += Offered.Cpu_;
  }
  return Result;
}

// Reserves endpoints that crashed lately first, because they return empty,
// while others idle in part until the last of their runs has ended. Among
// equals the smallest come first, since each crash costs a whole one, then a
// hash decides. An endpoint that is down keeps its reservation, but the CPU of
// others is needed the more. For the sake of stability, a reservation ends only
// once a whole endpoint is reserved too much. A cordoned endpoint loses its
// reservation: it may be out of use for hours.
void AgentPool::reserveFor(const ServiceName &Service,
                           const std::vector<std::string> &Routes,
                           double NeededCpu, Time Now) {
  std::vector<std::tuple<bool, std::uint32_t, std::size_t, AgentView *>> Fleet;
  double Usable = 0;
  for (auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service)
      continue;
    if (A.Cordoned_) {
      A.ReservedFor_.clear();
      continue;
    }
    Fleet.emplace_back(A.CrashedAt_ + CrashedPeriod < Now,
                       A.Report_.Capacity_.Cpu_,
                       std::hash<std::string>()(Peer.Name_), &A);
    Usable += A.Report_.Usable_ ? offeredResources(A).Cpu_ : 0;
  }
  std::sort(Fleet.begin(), Fleet.end());
  const double Spare = std::max(0.0, Usable - ReserveHeadroom * NeededCpu);
  const double Share = Spare / static_cast<double>(Routes.size());
  const auto End = Fleet.begin() +
                   static_cast<std::ptrdiff_t>(std::ceil(
                       MaxReservedShare * static_cast<double>(Fleet.size())));
  auto Next = Fleet.begin();
  for (const std::string &Route : Routes) {
    double Reserved = 0;
    for (auto First = Next; Next != End; ++Next) {
      const auto &[NotCrashed, Cpu, Hash, A] = *Next;
      const bool Kept = A->ReservedFor_ == Route;
      const bool Down = !A->Report_.Usable_;
      if (!Down && Next != First && Reserved + Cpu > Share + (Kept ? Cpu : 0))
        break;
      if (Down && NotCrashed && !Kept)
        continue;
      A->ReservedFor_ = Route;
      Reserved += Down ? 0 : Cpu;
    }
  }
  for (; Next != Fleet.end(); ++Next)
    std::get<AgentView *>(*Next)->ReservedFor_.clear();
}

// True if no run is there or on its way, as far as this entry knows.
bool AgentPool::isEmpty(const AgentView &A) {
  return A.UnreportedStarts_.empty() && A.Report_.Free_ == offeredResources(A);
}

// Resources for runs that tolerate only runs of this route, or of the same job,
// beside them.
Resources AgentPool::isolatedResources(const AgentView &A,
                                       const std::string &Route, Isolation I) {
  const bool Shared = I == Isolation::SameRoute && A.Report_.Route_ == Route &&
                      A.Report_.Isolation_ != Isolation::SameJob;
  return isEmpty(A) || Shared ? reportedResources(A) : Resources();
}

AgentPool::ReservedAgents
AgentPool::reservedAgents(const ServiceName &Service,
                          const std::string &Route) const {
  ReservedAgents Result;
  for (const auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service || A.ReservedFor_ != Route || !A.ready())
      continue;
    ++Result.Usable_;
    Result.Empty_ += isEmpty(A) ? 1 : 0;
  }
  return Result;
}

AgentPool::ReservedChoice AgentPool::chooseReserved(const ServiceName &Service,
                                                    const std::string &Route,
                                                    const Resources &Need,
                                                    std::uint32_t Runs,
                                                    Isolation I, bool Whole) {
  ReservedChoice Best;
  std::size_t Equal = 0;
  for (auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service || A.ReservedFor_ != Route)
      continue;
    const std::uint32_t Slots =
        std::min(Runs, slotsIn(A, isolatedResources(A, Route, I), Need));
    if (Slots == 0 || Slots < Best.Slots_ ||
        (Whole && Slots < std::min(Runs, slotsFor(offeredResources(A), Need))))
      continue;
    Equal = Slots > Best.Slots_ ? 1 : Equal + 1;
    if (std::uniform_int_distribution<std::size_t>(1, Equal)(Random_) == 1)
      Best = {&A, Slots};
  }
  return Best;
}

// Reserved agents count only if there are no others.
AgentPool::Totals AgentPool::totals(const ServiceName &Service,
                                    const Resources &Need) const {
  Totals T;
  Totals Reserved;
  for (const auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service)
      continue;
    T.LargestCpu_ = std::max(T.LargestCpu_, A.Report_.Capacity_.Cpu_);
    T.LargestMemoryMb_ =
        std::max(T.LargestMemoryMb_, A.Report_.Capacity_.MemoryMb_);
    if (!A.ready() || A.Ejected_)
      continue;
    Totals &Part = A.ReservedFor_.empty() ? T : Reserved;
    ++Part.UsableEndpoints_;
    const Resources Free = freeResources(A);
    Part.FreeCpu_ += Free.Cpu_;
    Part.Slots_ += slotsIn(A, offeredResources(A), Need);
    Part.FreeSlots_ += slotsIn(A, Free, Need);
  }
  if (T.UsableEndpoints_ > 0)
    return T;
  Reserved.LargestCpu_ = T.LargestCpu_;
  Reserved.LargestMemoryMb_ = T.LargestMemoryMb_;
  return Reserved;
}

std::vector<const AgentView *> AgentPool::updateEjections() {
  std::vector<std::uint32_t> Slowness;
  std::vector<std::uint32_t> Failed;
  std::vector<AgentView *> Usable;
  for (auto &[Peer, A] : Agents_) {
    if (!A.isOpen())
      continue;
    Slowness.push_back(A.Report_.SlownessPermille_);
    Failed.push_back(A.Report_.FailedPermille_);
    Usable.push_back(&A);
  }
  MedianSlowness_ = std::max<double>(1, median(Slowness));
  const std::uint32_t MedianFailed = median(Failed);
  const auto OutlierScore = [&](const AgentView &A) {
    const double RelativeSlowness =
        A.Report_.SlownessPermille_ / MedianSlowness_;
    const bool Fails = A.Report_.FailedPermille_ > FailedLimit &&
                       A.Report_.FailedPermille_ > MedianFailed + FailedMargin;
    return Fails ? 10 + RelativeSlowness
                 : (RelativeSlowness > SlownessLimit ? RelativeSlowness : 0);
  };
  std::sort(Usable.begin(), Usable.end(),
            [&](const AgentView *A, const AgentView *B) {
              return OutlierScore(*A) > OutlierScore(*B);
            });
  std::size_t EjectionsLeft = static_cast<std::size_t>(
      MaxEjectedShare * static_cast<double>(Usable.size()));
  std::vector<const AgentView *> Changed;
  for (AgentView *A : Usable) {
    const bool Eject = OutlierScore(*A) > 0 && EjectionsLeft > 0;
    EjectionsLeft -= Eject ? 1 : 0;
    if (A->Ejected_ != Eject)
      Changed.push_back(A);
    A->Ejected_ = Eject;
  }
  return Changed;
}

} // namespace chivelanding
