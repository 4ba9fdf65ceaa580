#include "dispatcher_fixture.h"

#include <algorithm>

using namespace chivelanding;
using namespace chivelanding::test;

namespace {

// Agents in several zones; the zone is the first letter of an agent's name.
struct ZonesFixture : DispatcherFixture {
  EndpointReport zoneReport(const std::string &Name, std::uint32_t Free,
                            Time Now) {
    EndpointReport R;
    R.Endpoint_ = "w-" + Name;
    R.Service_ = ServiceName("tasks");
    R.Zone_ = ZoneName(Name.substr(0, 1));
    R.Capacity_ = {4000, 100000, 0};
    R.Free_ = {Free * 1000, 100000, 0};
    R.AgentClock_ = static_cast<std::uint64_t>(Now.time_since_epoch().count());
    R.SeenSequence_ = LastSequence_[Name];
    R.Usable_ = true;
    return R;
  }

  void up(const std::string &Name, Time Now) {
    Dispatcher_.onAgentUp(agentId(Name), Now);
    Dispatcher_.onMessage(agentId(Name), zoneReport(Name, 4, Now), Now);
  }

  void cordon(std::uint64_t Revision, std::vector<ZoneName> Zones, Time Now) {
    Dispatcher_.setCordons({Revision, std::move(Zones)}, Now);
    take();
  }

  void submit(const std::string &Key, std::uint32_t Tasks, Time Now) {
    Dispatcher_.submit(job(Key, Tasks), Now);
    take();
  }

  std::size_t startsAt(const std::string &Name) const {
    return static_cast<std::size_t>(
        std::count_if(Starts_.begin(), Starts_.end(),
                      [&](const auto &S) { return S.first.Name_ == Name; }));
  }

  std::uint64_t slots() const {
    return Dispatcher_.agents()
        .totals(ServiceName("tasks"), {1000, 10, 0})
        .Slots_;
  }

  const ZoneName A_{"a"};
  const ZoneName B_{"b"};
};

} // namespace

// Guards against runs that are placed in a cordoned zone, capacity that
// admission still counts there, a set that an older one replaces, and a zone
// that gets no work after the lift.
TEST_CASE("Work goes to the zones that are not cordoned", "[cordon]") {
  ZonesFixture F;
  F.up("a1", at(0));
  F.up("b1", at(0));
  F.cordon(5, {F.A_}, at(1));
  CHECK(F.slots() == 4);
  F.cordon(4, {}, at(1));
  F.submit("T/o/1", 4, at(2));
  CHECK(F.startsAt("b1") == 4);
  F.submit("T/o/2", 1, at(3));
  CHECK(F.Starts_.size() == 4);
  F.cordon(6, {}, at(4));
  CHECK(F.startsAt("a1") == 1);
  CHECK(F.slots() == 8);
  CHECK(F.Answers_.empty());
}

// Guards against a job that counts as run, or that is not placed elsewhere,
// after an agent that knew more than its entry has refused it.
TEST_CASE("A dispatch that a cordoned agent refuses is placed elsewhere",
          "[cordon]") {
  ZonesFixture F;
  F.up("a1", at(0));
  F.submit("T/o/1", 1, at(1));
  REQUIRE(F.startsAt("a1") == 1);
  const bool OtherZone = GENERATE(true, false);
  if (OtherZone)
    F.up("b1", at(2));
  EndpointReport R = F.zoneReport("a1", 0, at(3));
  R.Usable_ = false;
  R.CordonOnly_ = R.Cordoned_ = true;
  R.CordonRevision_ = 5;
  F.Dispatcher_.onMessage(agentId("a1"), R, at(3));
  F.end(F.Starts_[0], RunEnding::Unavailable, at(3));
  if (OtherZone) {
    CHECK(F.startsAt("b1") == 1);
    return;
  }
  REQUIRE(F.Answers_.size() == 1);
  CHECK(F.Answers_[0].Ending_ == JobEnding::Refused);
  CHECK(F.Answers_[0].Code_ == "zones_cordoned");
}

// Guards against jobs that wait in vain or are refused for an untrue reason
// while all zones are cordoned, against "not run" for a job that has run in
// part, and against entries that all become unready.
TEST_CASE("With all zones cordoned, jobs that have not run are refused",
          "[cordon]") {
  ZonesFixture F;
  F.up("a1", at(0));
  F.up("b1", at(0));
  F.submit("T/o/part", 9, at(1));
  F.submit("T/o/waits", 1, at(1));
  REQUIRE(F.Starts_.size() == 8);
  F.cordon(5, {F.A_, F.B_}, at(2));
  REQUIRE(F.Answers_.size() == 1);
  F.submit("T/o/new", 1, at(3));
  REQUIRE(F.Answers_.size() == 2);
  for (const AnswerJob &A : F.Answers_) {
    CHECK(A.Ending_ == JobEnding::Refused);
    CHECK(A.Code_ == "zones_cordoned");
    CHECK(A.RetryAfter_);
  }
  CHECK(F.Dispatcher_.hasReadyAgent(at(3)));
  for (std::size_t I = 0; I < 8; ++I)
    F.end(F.Starts_[I], RunEnding::Done, at(100));
  F.Dispatcher_.onTimer(at(110));
  F.take();
  CHECK(F.Answers_.size() == 2);
  // After the lift, agents whose reports say that they do not know of it yet
  // are expected shortly.
  F.cordon(6, {}, at(500));
  for (const char *Name : {"a1", "b1"}) {
    EndpointReport R = F.zoneReport(Name, 0, at(500));
    R.Usable_ = false;
    R.CordonOnly_ = R.Cordoned_ = true;
    R.CordonRevision_ = 5;
    F.Dispatcher_.onMessage(agentId(Name), R, at(500));
  }
  F.submit("T/o/later", 1, at(501));
  CHECK(F.Answers_.size() == 2);
  F.Dispatcher_.onMessage(agentId("a1"), F.zoneReport("a1", 4, at(502)),
                          at(502));
  F.take();
  CHECK(F.Starts_.size() == 10);
}

// Guards against jobs that are refused because the agents outside the cordoned
// zone are suspected after a pause of the entry, or unusable for a moment.
TEST_CASE("A short gap outside the cordoned zone refuses no jobs", "[cordon]") {
  ZonesFixture F;
  F.Dispatcher_.onTimer(at(0));
  for (const char *Name : {"a1", "b1", "c1"})
    F.up(Name, at(0));
  F.cordon(5, {F.A_}, at(1));
  F.submit("T/o/running", 8, at(800));
  F.submit("T/o/waits", 1, at(800));
  REQUIRE(F.Starts_.size() == 8);
  F.Dispatcher_.onTimer(at(801));
  F.Dispatcher_.onMessage(agentId("a1"), F.zoneReport("a1", 4, at(801)),
                          at(801));
  F.take();
  CHECK(F.Answers_.empty());
  for (const char *Name : {"b1", "c1"}) {
    EndpointReport R = F.zoneReport(Name, 0, at(802));
    R.Usable_ = false;
    F.Dispatcher_.onMessage(agentId(Name), R, at(802));
  }
  F.take();
  CHECK(F.Answers_.empty());
  F.Dispatcher_.onMessage(agentId("b1"), F.zoneReport("b1", 1, at(803)),
                          at(803));
  F.take();
  CHECK(F.Starts_.size() == 9);
}

// Guards against an entry that refuses jobs after its start, because its first
// links are to agents of a cordoned zone.
TEST_CASE("A starting entry waits for agents that are not cordoned",
          "[cordon]") {
  ZonesFixture F;
  F.Dispatcher_.onTimer(at(0));
  F.cordon(5, {F.A_}, at(10));
  F.up("a1", at(20));
  CHECK_FALSE(F.Dispatcher_.hasReadyAgent(at(21)));
  F.submit("T/o/1", 1, at(450));
  CHECK(F.Answers_.empty());
  const bool Linked = GENERATE(true, false);
  if (Linked)
    F.up("b1", at(460));
  F.Dispatcher_.onTimer(at(500));
  F.take();
  CHECK(F.startsAt("b1") == (Linked ? 1 : 0));
  REQUIRE(F.Answers_.size() == (Linked ? 0 : 1));
  if (!Linked)
    CHECK(F.Answers_[0].Code_ == "zones_cordoned");
  CHECK(F.Dispatcher_.hasReadyAgent(at(500)));
}

// Guards against jobs that are refused for a rate of released CPU that cordons
// have reduced and their lifts have not restored.
TEST_CASE("Cordons that were lifted do not reduce admission", "[cordon]") {
  ZonesFixture F;
  F.up("a1", at(0));
  F.up("b1", at(0));
  F.submit("T/o/ended", 8, at(1));
  REQUIRE(F.Starts_.size() == 8);
  for (std::size_t I = 0; I < 8; ++I)
    F.end(F.Starts_[I], RunEnding::Done, at(100));
  for (const char *Name : {"a1", "b1"})
    F.Dispatcher_.onMessage(agentId(Name), F.zoneReport(Name, 4, at(100)),
                            at(100));
  F.submit("T/o/running", 8, at(101));
  F.submit("T/o/waits", 2, at(101));
  REQUIRE(F.Starts_.size() == 16);
  const bool Lifted = GENERATE(true, false);
  for (std::uint64_t Revision = 1; Revision < 20; Revision += 2) {
    F.cordon(Revision, {F.A_}, at(102));
    F.cordon(Revision + 1, {}, at(102));
  }
  if (!Lifted)
    F.cordon(21, {F.A_}, at(102));
  F.Answers_.clear();
  F.submit("T/o/next", 1, at(103));
  REQUIRE(F.Answers_.size() == (Lifted ? 0 : 1));
  if (!Lifted)
    CHECK(F.Answers_[0].Code_ == "overloaded");
}

// Guards against a cordon in the zone of a restarted agent that makes entries
// wait for the leases, although no run of its earlier process is left.
TEST_CASE("A cordon does not prolong the wait for a restarted agent",
          "[cordon]") {
  ZonesFixture F;
  F.up("a1", at(0));
  F.submit("T/o/1", 1, at(1));
  F.up("b1", at(2));
  F.cordon(5, {F.A_}, at(3));
  F.Dispatcher_.onAgentLost(agentId("a1"), at(10));
  F.Dispatcher_.onAgentUp(agentId("a1", 2), at(200));
  EndpointReport R = F.zoneReport("a1", 0, at(200));
  R.Usable_ = false;
  R.Cordoned_ = true;
  R.CordonRevision_ = 5;
  F.Dispatcher_.onMessage(agentId("a1", 2), R, at(200));
  F.Dispatcher_.onTimer(at(200));
  F.take();
  CHECK(F.startsAt("b1") == 0);
  R.CordonOnly_ = true;
  F.Dispatcher_.onMessage(agentId("a1", 2), R, at(310));
  F.Dispatcher_.onTimer(at(310));
  F.take();
  CHECK(F.startsAt("b1") == 1);
}

// Guards against an entry with a large fleet that goes on with the few agents
// of its subset that are not cordoned.
TEST_CASE("A subset takes agents of other zones into use", "[cordon]") {
  ZonesFixture F;
  for (int I = 0; I < 200; ++I)
    F.up((I % 2 == 0 ? "a" : "b") + std::to_string(I), at(0));
  const auto InUse = [&F] {
    std::size_t Count = 0;
    for (const auto &[Peer, A] : F.Dispatcher_.agents().all())
      Count += !A.Standby_ && !A.Cordoned_ ? 1 : 0;
    return Count;
  };
  F.Dispatcher_.onTimer(at(100));
  REQUIRE(InUse() == 80);
  F.cordon(5, {F.A_}, at(101));
  CHECK(InUse() == 80);
}

// Guards against more runs than a cold endpoint offers, and against a run as
// large as the endpoint that finds room on none while all are cold.
TEST_CASE("An entry keeps to the share of a cold endpoint", "[cordon]") {
  ZonesFixture F;
  F.Dispatcher_.onAgentUp(agentId("a1"), at(0));
  EndpointReport R = F.zoneReport("a1", 1, at(0));
  R.Free_.MemoryMb_ = 25000;
  R.OfferedPermille_ = 250;
  F.Dispatcher_.onMessage(agentId("a1"), R, at(0));
  F.submit("T/o/small", 2, at(1));
  CHECK(F.Starts_.size() == 1);
  F.Dispatcher_.cancelByKey(JobKey("T/o/small"), at(2));
  R.SeenSequence_ = 1;
  F.Dispatcher_.onMessage(agentId("a1"), R, at(3));
  IdempotentJob Large = F.job("T/o/large", 2);
  Large.Need_.Cpu_ = 4000;
  F.Dispatcher_.submit(Large, at(4));
  F.take();
  CHECK(F.Starts_.size() == 2);
}
