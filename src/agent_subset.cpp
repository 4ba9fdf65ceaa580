#include "agent_subset.h"

#include <algorithm>
#include <functional>

namespace chivelanding {
namespace {

// The subset grows when less than this share of its CPU is free: below it,
// choices among nearly full endpoints seldom fit, and other entries compete for
// the same ones.
constexpr double GrowBelowFreeShare = 0.2;
// The subset may shrink when more than this share is free: even a subset of
// half the size would then have enough.
constexpr double ShrinkAboveFreeShare = 0.6;
// True if the agent may be in the subset. An agent that has not reported since
// it was taken into use is eligible too: its report is due shortly. So is one
// whose cordon was lifted and that does not know it yet.
bool isEligible(const AgentView &A) {
  return (A.isOpen() || A.awaitsLift()) && !A.Ejected_ && !A.Suspected_;
}

} // namespace

AgentSubset::AgentSubset(std::string Self, SubsetLimits Limits)
    : Self_(std::move(Self)), Limits_(Limits) {}

// std::hash of a string gives the same value in all processes of one build; an
// entry of another build only ranks the agents differently.
std::uint64_t AgentSubset::rank(const PeerId &Agent) const {
  return std::hash<std::string>()(Self_ + '\n' + Agent.Name_);
}

// Grows the subset by half at once when it is short of resources, and shrinks
// it by a third after it has had plenty for ShrinkDelay_.
void AgentSubset::resize(SubsetSize &S,
                         const std::vector<const AgentView *> &Agents,
                         Time Now) const {
  if (S.Agents_ == 0)
    S = {Limits_.UsualAgents_, Now};
  std::size_t InUse = 0;
  double Free = 0;
  double Capacity = 0;
  for (const AgentView *A : Agents) {
    if (!A->ready())
      continue;
    ++InUse;
    Free += AgentPool::freeResources(*A).Cpu_;
    Capacity += A->Report_.Capacity_.Cpu_;
  }
  // A subset that is not filled yet does not tell whether its size is right.
  const bool Full = InUse + InUse / 8 >= std::min(S.Agents_, Agents.size());
  if (Full && Free < GrowBelowFreeShare * Capacity &&
      S.Agents_ < Limits_.MaxAgents_ && S.Agents_ < Agents.size()) {
    S = {std::min(S.Agents_ + std::max<std::size_t>(1, S.Agents_ / 2),
                  Limits_.MaxAgents_),
         Now};
  } else if (Free < ShrinkAboveFreeShare * Capacity) {
    S.LastShortAt_ = Now;
  } else if (S.Agents_ > Limits_.UsualAgents_ &&
             S.LastShortAt_ + Limits_.ShrinkDelay_ <= Now) {
    S = {std::max(S.Agents_ - S.Agents_ / 3, Limits_.UsualAgents_), Now};
  }
}

// Uses the eligible agents of lowest hash. An agent that becomes unusable is
// replaced by the next one, whose rare reports on standby say that it is
// usable.
std::vector<AgentSubset::Change>
AgentSubset::update(const std::map<PeerId, AgentView> &Agents, Time Now) {
  std::map<ServiceName, std::vector<const AgentView *>> ByService;
  for (const auto &[Peer, A] : Agents)
    if (!A.Report_.Endpoint_.empty())
      ByService[A.Report_.Service_].push_back(&A);
  std::vector<Change> Changes;
  for (auto &[Service, List] : ByService) {
    SubsetSize &S = Sizes_[Service];
    resize(S, List, Now);
    const bool HasStandby =
        std::any_of(List.begin(), List.end(),
                    [](const AgentView *A) { return A->Standby_; });
    if (List.size() <= S.Agents_ && !HasStandby)
      continue;
    std::vector<std::pair<std::uint64_t, const AgentView *>> Ranked;
    Ranked.reserve(List.size());
    for (const AgentView *A : List)
      Ranked.emplace_back(rank(A->Peer_), A);
    std::sort(Ranked.begin(), Ranked.end());
    std::size_t Wanted = S.Agents_;
    for (const auto &[Rank, A] : Ranked) {
      const bool Use = Wanted > 0 && isEligible(*A);
      Wanted -= Use ? 1 : 0;
      if (Use == A->Standby_ && (Use || A->OutstandingRuns_ == 0))
        Changes.push_back({A->Peer_, !Use});
    }
  }
  return Changes;
}

} // namespace chivelanding
