#include "membership.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

const EntryId Self{"a", Incarnation(1)};
const EntryId Other{"b", Incarnation(2)};
const AgentId First{"agent.1", Incarnation(3)};
const AgentId Second{"agent.2", Incarnation(4)};
const Time Now{std::chrono::hours(1)};

template <typename T> int count(const MembershipOutputs &Out) {
  int N = 0;
  for (const auto &O : Out)
    N += std::holds_alternative<T>(O) ? 1 : 0;
  return N;
}

MembershipOutputs announce(Membership &M, const AgentId &Agent) {
  M.onAgentUp(Agent, Now);
  return M.onAgentMessage(Agent, AnnounceEndpoint{}, Now);
}

MembershipOutputs reportReachable(Membership &M, const AgentId &Agent,
                                  std::vector<EntryId> Entries) {
  return M.onAgentMessage(Agent, EntriesHeard{std::move(Entries)}, Now);
}

// Gives an entry one usable agent and one synchronized peer.
void synchronize(Membership &M) {
  M.onEntryUp(Other, Now);
  announce(M, First);
  M.onEntryMessage(Other, AgentAnnouncedAck{First}, Now);
}

} // namespace

// Guards against starts at an agent that a recovering peer does not know.
TEST_CASE("An agent is used after every peer acknowledged it", "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  M.onEntryUp(Other, Now);
  CHECK(count<AgentUsable>(announce(M, First)) == 0);
  const auto Out = M.onEntryMessage(Other, AgentAnnouncedAck{First}, Now);
  CHECK(count<AgentUsable>(Out) == 1);
  CHECK(M.isUsable(First));
}

// Guards against ignoring the missing acknowledgement of an unreachable peer
// that may still recover the jobs of this entry.
TEST_CASE("A synchronized peer is exempted by a confirmed close",
          "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  synchronize(M);
  M.onEntryDown(Other, Now);
  announce(M, Second);
  CHECK_FALSE(M.isUsable(Second));
  // The peer does not know the second agent and will not ask it, so a close
  // confirmed by it does not count.
  M.onAgentMessage(Second, IncarnationClosed{Other, Self, true, {}}, Now);
  CHECK_FALSE(M.isUsable(Second));
  M.onAgentMessage(First, IncarnationClosed{Other, Self, true, {}}, Now);
  CHECK(M.isUsable(Second));
}

// Guards against an entry that can never use new agents because its only peer
// died before it acknowledged any.
TEST_CASE("An unreachable peer that never acknowledged is not waited for",
          "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  M.onEntryUp(Other, Now);
  announce(M, First);
  CHECK_FALSE(M.isUsable(First));
  M.onEntrySuspected(Other, Now);
  CHECK(M.isUsable(First));
}

// Guards against an entry that waits for ever for a dead peer because every
// agent that could confirm the close of the peer is lost too.
TEST_CASE("An entry without usable agents abandons its incarnation",
          "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  synchronize(M);
  M.onEntryDown(Other, Now);
  M.onAgentDown(First, Now);
  announce(M, Second);
  CHECK(count<IncarnationBlocked>(M.onTimer(Now)) == 0);
  CHECK(count<IncarnationBlocked>(M.onTimer(Now + std::chrono::seconds(15))) ==
        1);
}

// Guards against two running entries that close each other when only the link
// between them is broken.
TEST_CASE("An entry that an agent reaches is not lost", "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  synchronize(M);
  reportReachable(M, First, {Self, Other});
  CHECK(count<EntryLost>(M.onEntryDown(Other, Now)) == 0);
  CHECK(M.status(Other) == EntryStatus::Suspected);
  CHECK(count<EntryLost>(reportReachable(M, First, {Self})) == 1);
  CHECK(M.status(Other) == EntryStatus::Lost);
}

// Guards against a disconnected entry that declares its peers lost.
TEST_CASE("An entry that reaches no agent declares no peer lost",
          "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  synchronize(M);
  reportReachable(M, First, {Self});
  M.onAgentSuspected(First, Now);
  M.onEntryDown(Other, Now);
  CHECK(M.status(Other) == EntryStatus::Suspected);
}

// Guards against claiming to know all agents of an entry before it sent
// AgentsSynchronized, and against losing the agents that were announced in an
// earlier session.
TEST_CASE("Announced agents outlive the session", "[membership]") {
  Membership M(Self, std::chrono::seconds(5));
  M.onEntryUp(Other, Now);
  M.onEntryMessage(Other, AgentAnnounced{First, ServiceName("s")}, Now);
  CHECK_FALSE(M.knowsAllAgentsOf(Other));
  M.onEntryMessage(Other, AgentsSynchronized{}, Now);
  M.onEntryDown(Other, Now);
  CHECK(M.knowsAllAgentsOf(Other));
  CHECK(M.agentsOf(Other) ==
        std::vector<AnnouncedAgent>{{First, ServiceName("s")}});
}

// Guards against two entries that both wait for the other to dial, and against
// dialling entries of another region.
TEST_CASE("Of two entries the one with the smaller name dials",
          "[membership]") {
  const RegionName Here("here");
  KnownEntries Known;
  Known.Entries_ = {
      {Self, Here, "127.0.0.1", 1},
      {Other, Here, "127.0.0.1", 2},
      {{"c", Incarnation(7)}, RegionName("there"), "127.0.0.1", 3}};
  EntryDirectory BySelf(Self, Here, false);
  EntryDirectory ByOther(Other, Here, false);
  BySelf.addAddresses(Known, Now);
  ByOther.addAddresses(Known, Now);
  REQUIRE_FALSE(BySelf.entriesToDial(Now).empty());
  CHECK(BySelf.entriesToDial(Now).back().Entry_ == Other);
  CHECK(ByOther.entriesToDial(Now).empty());
  BySelf.onUp(Other, Now);
  CHECK(BySelf.entriesToDial(Now).empty());
  CHECK(BySelf.hasListenerAt("127.0.0.1", 2));
}
