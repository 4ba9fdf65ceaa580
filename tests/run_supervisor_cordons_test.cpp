#include "run_supervisor_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

namespace {

// An agent in zone z1 whose endpoint is usable but for cordons.
struct CordonFixture : RunSupervisorFixture {
  explicit CordonFixture(RunSupervisorLimits Limits = {})
      : RunSupervisorFixture(Limits) {
    announce(10);
    for (const EntryId &E : {EntryA, EntryB})
      record(Supervisor_.onEntryUp(E, at(0)));
  }

  void announce(std::uint64_t StartedMs) {
    EndpointIncarnation E = endpoint(StartedMs);
    E.Zone_ = ZoneName("z1");
    record(Supervisor_.onAnnounced(E, at(0)));
    record(Supervisor_.onTimer(at(0)));
    answerPoll({}, {}, at(0), StartedMs);
  }

  void cordon(const EntryId &From, std::uint64_t Revision,
              std::vector<ZoneName> Zones, Time Now) {
    record(Supervisor_.onMessage(From, ZoneCordons{Revision, std::move(Zones)},
                                 Now));
  }

  // True if the run was started, false if it was refused as Unavailable.
  bool starts(const EntryId &From, const char *Job, Time Now) {
    const bool Started = dispatch(From, Job, 1, Now).Id_.value() != 0;
    if (!Started)
      CHECK(ending(From) == RunEnding::Unavailable);
    return Started;
  }

  const std::vector<ZoneName> Z1_{ZoneName("z1")};
};

} // namespace

// Guards against runs that a cordon stops or whose ends get lost, and against
// entries, on standby or not, that learn of it only with the next report.
TEST_CASE("A cordoned agent starts nothing and completes its runs",
          "[cordon]") {
  CordonFixture B;
  REQUIRE(B.Supervisor_.usable());
  B.startRun(EntryA, "T/o/a", at(10));
  B.record(B.Supervisor_.onMessage(EntryB, SetStandby{true}, at(10)));
  B.cordon(EntryA, 5, B.Z1_, at(11));
  for (const EntryId &E : {EntryA, EntryB}) {
    const auto Reports = B.messages<EndpointReport>(E);
    REQUIRE(Reports.size() == 1);
    CHECK_FALSE(Reports[0].Usable_);
    CHECK(Reports[0].CordonOnly_);
    CHECK(Reports[0].Cordoned_);
    CHECK(Reports[0].CordonRevision_ == 5);
  }
  CHECK(B.outputs<MakeStop>().empty());
  CHECK_FALSE(B.starts(EntryB, "T/o/b", at(12)));
  B.record(B.Supervisor_.onTimer(at(20)));
  REQUIRE(B.outputs<MakePoll>().size() == 1);
  CHECK(B.outputs<MakePoll>()[0].Call_.LeaseEndMs_);
  B.answerPoll({}, {{1, {JobKey("T/o/a"), TaskIndex(0)}, 1, RunEnding::Done}},
               at(100));
  CHECK(B.ending(EntryA) == RunEnding::Done);
  CHECK(B.Supervisor_.ready());
}

// Guards against a cordon that ends with the entry that sent it, with a new
// incarnation of the endpoint, by a late message or by an entry that does not
// know it; and against one that outlives its lift.
TEST_CASE("Only a later set of zones lifts a cordon at an agent", "[cordon]") {
  CordonFixture B;
  B.cordon(EntryA, 5, B.Z1_, at(10));
  B.cordon(EntryB, 4, {}, at(11));
  B.cordon(EntryB, 5, {}, at(11));
  CHECK_FALSE(B.starts(EntryB, "T/o/a", at(12)));
  B.record(B.Supervisor_.onEntryLost(EntryA, at(20)));
  CHECK_FALSE(B.starts(EntryB, "T/o/b", at(21)));
  B.announce(20);
  CHECK_FALSE(B.starts(EntryB, "T/o/c", at(22)));
  B.cordon(EntryB, 6, {ZoneName("z2")}, at(23));
  REQUIRE(B.messages<EndpointReport>(EntryB).size() == 1);
  CHECK(B.messages<EndpointReport>(EntryB)[0].Usable_);
  CHECK(B.starts(EntryB, "T/o/d", at(24)));
}

// Guards against a new agent process that starts runs before it knows whether
// its zone is cordoned, and against a change where no cordons are used.
TEST_CASE("An agent that needs the cordons starts nothing without them",
          "[cordon]") {
  RunSupervisorLimits Limits;
  Limits.NeedsCordons_ = true;
  CordonFixture B(Limits);
  CHECK_FALSE(B.starts(EntryA, "T/o/a", at(10)));
  CHECK_FALSE(B.Supervisor_.ready());
  B.cordon(EntryA, 1, {}, at(11));
  CHECK(B.starts(EntryA, "T/o/b", at(12)));

  CordonFixture Without;
  CHECK(Without.starts(EntryA, "T/o/a", at(10)));
  Without.record(Without.Supervisor_.onTimer(at(300)));
  const EndpointReport R = Without.messages<EndpointReport>(EntryA).at(0);
  CHECK(R.Usable_);
  CHECK_FALSE((R.CordonOnly_ || R.Cordoned_));
  CHECK(R.CordonRevision_ == 0);
}

// Guards against a start call that is repeated in a cordoned zone, and against
// one that nobody stops.
TEST_CASE("An unanswered start is stopped, not repeated, in a cordoned zone",
          "[cordon]") {
  CordonFixture B;
  const MakeStart Start = B.dispatch(EntryA, "T/o/a", 1, at(10));
  B.cordon(EntryA, 5, B.Z1_, at(20));
  B.record(B.Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::Unanswered, {}},
                                       at(90)));
  CHECK(B.outputs<MakeStart>().empty());
  CHECK(B.outputs<MakeStop>().size() == 1);
}

// Guards against a report that proves the end of the runs of an earlier process
// although the agent has not seen a list without them.
TEST_CASE("A cordoned agent with orphaned runs does not report their end",
          "[cordon]") {
  RunSupervisorFixture B;
  EndpointIncarnation E = endpoint(10);
  E.Zone_ = ZoneName("z1");
  B.record(B.Supervisor_.onEntryUp(EntryA, at(0)));
  B.record(B.Supervisor_.onAnnounced(E, at(0)));
  B.record(
      B.Supervisor_.onMessage(EntryA, ZoneCordons{5, {ZoneName("z1")}}, at(1)));
  CHECK_FALSE(B.messages<EndpointReport>(EntryA).at(0).CordonOnly_);
  B.record(B.Supervisor_.onTimer(at(20)));
  B.answerPoll({listedRun("T/o/old", 1)}, {}, at(21));
  B.record(B.Supervisor_.onTimer(at(300)));
  CHECK_FALSE(B.messages<EndpointReport>(EntryA).at(0).CordonOnly_);
  B.answerPoll({}, {}, at(301));
  B.record(B.Supervisor_.onTimer(at(340)));
  CHECK(B.messages<EndpointReport>(EntryA).at(0).CordonOnly_);
}
