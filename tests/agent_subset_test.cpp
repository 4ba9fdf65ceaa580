#include "agent_subset.h"
#include "dispatcher.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chivelanding;
using std::chrono::milliseconds;

namespace {

Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

// One entry with its subset of a fleet of agents, all of which are up.
struct Fleet {
  explicit Fleet(std::size_t Size) {
    for (std::size_t I = 0; I < Size; ++I) {
      AgentView A;
      A.Peer_ = {Role::Agent, "agent-" + std::to_string(I), Incarnation(1)};
      A.Report_.Endpoint_ = "endpoint";
      A.Report_.Service_ = ServiceName("tasks");
      A.Report_.Usable_ = true;
      A.Report_.Capacity_ = {8000, 8000, 0};
      A.Report_.Free_ = A.Report_.Capacity_;
      Agents_[A.Peer_] = A;
    }
  }

  // Applies the changes until there are none, as if the agents reported at
  // once.
  std::size_t applyChanges(Time Now) {
    std::size_t Changed = 0;
    for (int Round = 0; Round < 20; ++Round) {
      const auto Changes = Subset_.update(Agents_, Now);
      Changed += Changes.size();
      for (const auto &C : Changes) {
        AgentPool::setStandby(Agents_.at(C.Agent_), C.Standby_, Now);
        Agents_.at(C.Agent_).ReportedAt_ = Now;
      }
      if (Changes.empty())
        break;
    }
    return Changed;
  }

  std::size_t inUse() const {
    return static_cast<std::size_t>(
        std::count_if(Agents_.begin(), Agents_.end(),
                      [](const auto &Item) { return !Item.second.Standby_; }));
  }

  void setFree(std::uint32_t Cpu) {
    for (auto &[Peer, A] : Agents_)
      A.Report_.Free_.Cpu_ = Cpu;
  }

  std::map<PeerId, AgentView> Agents_;
  AgentSubset Subset_{"entry", SubsetLimits()};
};

} // namespace

// Guards against standby agents in small deployments, where links cost little.
TEST_CASE("A small fleet is used as a whole", "[agent-subset]") {
  Fleet F(80);
  CHECK(F.applyChanges(at(0)) == 0);
  F.setFree(0);
  CHECK(F.applyChanges(at(100)) == 0);
}

// Guards against a cost of links that grows with the fleet.
TEST_CASE("A large fleet is used in part", "[agent-subset]") {
  for (const std::size_t Size : {300u, 763u, 6100u}) {
    Fleet F(Size);
    F.applyChanges(at(0));
    CHECK(F.inUse() == 80);
    CHECK(F.applyChanges(at(1000)) == 0);
  }
}

// Guards against a subset that stays unusable after the loss of a zone or rack,
// and against a reassignment of all agents when one is lost.
TEST_CASE("Agents that turn unusable are replaced one by one",
          "[agent-subset]") {
  Fleet F(300);
  F.applyChanges(at(0));
  std::size_t Ended = 0;
  for (auto &[Peer, A] : F.Agents_)
    if (!A.Standby_ && Ended < 8) {
      A.Report_.Usable_ = false;
      ++Ended;
    }
  CHECK(F.applyChanges(at(100)) == 16);
  CHECK(F.inUse() == 80);
}

// Guards against refusals by a busy entry while agents on standby have free
// resources.
TEST_CASE("The set grows when it is short of room and shrinks later",
          "[agent-subset]") {
  Fleet F(300);
  F.applyChanges(at(0));
  F.setFree(500);
  F.applyChanges(at(100));
  CHECK(F.inUse() == 240);
  F.setFree(8000);
  F.applyChanges(at(200));
  CHECK(F.inUse() == 240);
  for (int Second = 1; Second <= 60; ++Second)
    F.applyChanges(at(200 + 1000 * Second));
  CHECK(F.inUse() == 80);
}

// Guards against a run that is stopped because its entry puts the agent on
// standby and renews its owner lease no longer.
TEST_CASE("An agent with runs of the entry stays in use", "[agent-subset]") {
  Fleet F(300);
  F.applyChanges(at(0));
  for (auto &[Peer, A] : F.Agents_)
    if (!A.Standby_) {
      A.OutstandingRuns_ = 1;
      A.Ejected_ = true;
    }
  F.applyChanges(at(100));
  CHECK(F.inUse() == 160);
}

// Guards against subsets that leave a part of the fleet without work.
TEST_CASE("Entries together use all agents", "[agent-subset]") {
  constexpr std::size_t Entries = 39;
  std::map<PeerId, std::size_t> Users;
  for (std::size_t I = 0; I < Entries; ++I) {
    Fleet F(260);
    F.Subset_ = AgentSubset("entry-" + std::to_string(I), SubsetLimits());
    F.applyChanges(at(0));
    for (const auto &[Peer, A] : F.Agents_)
      Users[Peer] += A.Standby_ ? 0 : 1;
  }
  // Each agent has 12 entries on average; 3 leaves a margin above none.
  for (const auto &[Peer, Count] : Users)
    CHECK(Count >= 3);
}

// Guards against starts that carry the clock of a report that is seconds old,
// which the agent would reject, and against runs on standby agents.
TEST_CASE("An agent gets runs only after its first report in use",
          "[agent-subset]") {
  DispatchLimits Limits;
  Limits.Subset_ = {1, 2, milliseconds(1000)};
  Dispatcher D("entry", ZoneName("z"), Limits, 1);
  EndpointReport R;
  R.Endpoint_ = "endpoint";
  R.Service_ = ServiceName("tasks");
  R.Usable_ = true;
  R.Capacity_ = R.Free_ = {1000, 1000, 0};
  const PeerId A{Role::Agent, "a", Incarnation(1)};
  const PeerId B{Role::Agent, "b", Incarnation(1)};
  for (const PeerId &P : {A, B}) {
    D.onAgentUp(P, at(0));
    D.onMessage(P, R, at(0));
  }
  D.onTimer(at(100));
  std::optional<PeerId> Standby;
  for (const DispatchOutput &O : D.take())
    if (const auto *M = std::get_if<MessageToAgent>(&O))
      if (const auto *S = std::get_if<SetStandby>(&M->Message_))
        if (S->Standby_)
          Standby = M->To_;
  REQUIRE(Standby);
  const PeerId Used = *Standby == A ? B : A;

  const auto Submit = [&](const char *Key, std::int64_t Ms) {
    IdempotentJob J;
    J.Key_ = JobKey(Key);
    J.Route_.Service_ = ServiceName("tasks");
    J.Route_.Target_ = milliseconds(1000);
    J.Need_ = {1000, 10, 0};
    J.Estimate_ = milliseconds(200);
    J.CallerTimeout_ = milliseconds(3000);
    D.submit(J, at(Ms));
  };
  const auto StartedAt = [&] {
    std::vector<PeerId> To;
    for (const DispatchOutput &O : D.take())
      if (const auto *M = std::get_if<MessageToAgent>(&O))
        if (std::holds_alternative<StartRuns>(M->Message_))
          To.push_back(M->To_);
    return To;
  };
  Submit("one", 110);
  CHECK(StartedAt() == std::vector<PeerId>{Used});
  // No resources are free for the second job; the timer takes the other agent
  // into use.
  Submit("two", 120);
  EndpointReport Full = R;
  Full.Free_ = {};
  Full.SeenSequence_ = 1;
  D.onMessage(Used, Full, at(150));
  D.onTimer(at(210));
  CHECK(StartedAt().empty());
  D.onMessage(*Standby, R, at(215));
  CHECK(StartedAt() == std::vector<PeerId>{*Standby});
}

// Guards against an agent that is ejected, goes on standby and is never used
// again although it has recovered.
TEST_CASE("An agent on standby is reinstated by its reports",
          "[agent-subset]") {
  AgentPool Agents(ZoneName("z"), 1);
  EndpointReport R;
  R.Endpoint_ = "endpoint";
  R.Service_ = ServiceName("tasks");
  R.Usable_ = true;
  R.Capacity_ = R.Free_ = {8000, 8000, 0};
  for (const char *Name : {"a", "b", "c", "d", "e"})
    Agents.onReport(Agents.onUp({Role::Agent, Name, Incarnation(1)}, at(0)), R,
                    at(0));
  AgentView &Bad = *Agents.find({Role::Agent, "c", Incarnation(1)});
  R.FailedPermille_ = 900;
  Agents.onReport(Bad, R, at(100));
  CHECK(Agents.updateEjections().size() == 1);
  REQUIRE(Bad.Ejected_);
  AgentPool::setStandby(Bad, true, at(200));
  R.FailedPermille_ = 0;
  Agents.onReport(Bad, R, at(5000));
  CHECK(Agents.updateEjections().size() == 1);
  CHECK_FALSE(Bad.Ejected_);
}
