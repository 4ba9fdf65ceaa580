#include "cold_start.h"

#include "run_supervisor_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

namespace {

EndpointIncarnation coldEndpoint(std::int64_t RemainingMs,
                                 std::uint64_t Sequence) {
  EndpointIncarnation E = endpoint(10);
  E.Sequence_ = Sequence;
  E.ColdRemaining_ = milliseconds(RemainingMs);
  return E;
}

} // namespace

// Guards against a share that does not follow the announced time, that stays
// reduced without need, or that rounds a single accelerator down to none.
TEST_CASE("The share of a cold endpoint rises as its cold time falls",
          "[cold-start]") {
  ColdStart C;
  CHECK(C.sharePermille(at(0)) == 1000);
  C.onAnnounced(milliseconds(8000), at(0));
  CHECK(C.sharePermille(at(0)) == 250);
  CHECK(C.sharePermille(at(4000)) == 500);
  CHECK(C.sharePermille(at(7200)) == 900);
  CHECK(C.sharePermille(at(8000)) == 1000);
  C.onAnnounced(milliseconds(2000), at(4000));
  CHECK(C.sharePermille(at(4000)) == 750);
  // A much larger value is a new cold period; zero ends one at once.
  C.onAnnounced(milliseconds(4000), at(5000));
  CHECK(C.sharePermille(at(5000)) == 250);
  CHECK(C.sharePermille(at(7000)) == 500);
  C.onAnnounced(milliseconds(0), at(7000));
  CHECK(C.sharePermille(at(7000)) == 1000);
  CHECK(shareOfCapacity({4000, 1024, 1}, 250) == Resources{1000, 256, 1});
}

// Guards against an announcement that was delayed on its way and is taken for a
// new cold period, which would reduce the share to its minimum again.
TEST_CASE("A delayed announcement does not reduce the share of a cold endpoint",
          "[cold-start]") {
  ColdStart C;
  C.onAnnounced(milliseconds(8000), at(0));
  C.onAnnounced(milliseconds(4000), at(4200));
  CHECK(C.sharePermille(at(4200)) == 525);
  C.onAnnounced(milliseconds(100), at(8200));
  CHECK(C.sharePermille(at(8200)) == 1000);
}

// Guards against a burst from several entries, each of which keeps to the
// share, and against a large run for which no cold endpoint ever has room.
TEST_CASE("All entries together keep to the share of a cold endpoint",
          "[cold-start]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.record(B.Supervisor_.onAnnounced(coldEndpoint(4000, 2), at(100)));
  const auto Reports = B.messages<EndpointReport>(EntryB);
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Free_ == Resources{1000, 1024, 0});
  CHECK(Reports[0].Capacity_.Cpu_ == 4000);
  SECTION("small runs") {
    B.startRun(EntryA, "T/o/a", at(150));
    B.dispatch(EntryB, "T/o/b", 1, at(150));
    CHECK(B.ending(EntryB) == RunEnding::NoRoom);
    // At half of the time there is room for a second one, and the entries are
    // told so before the next period.
    B.record(
        B.Supervisor_.onMessage(EntryA, HoldRuns{clockAt(1950)}, at(1990)));
    B.record(B.Supervisor_.onTimer(at(2000)));
    B.record(B.Supervisor_.onTimer(at(2100)));
    REQUIRE(B.messages<EndpointReport>(EntryA).size() == 1);
    CHECK(B.messages<EndpointReport>(EntryA)[0].Free_.Cpu_ == 1000);
    B.startRun(EntryB, "T/o/c", at(2100));
    B.dispatch(EntryA, "T/o/d", 1, at(2100));
    CHECK(B.ending(EntryA) == RunEnding::NoRoom);
  }
  SECTION("a run as large as the endpoint") {
    CHECK(B.dispatch(EntryA, "T/o/a", 1, at(150), 4000).Id_.value() != 0);
    B.dispatch(EntryB, "T/o/b", 1, at(150), 100);
    CHECK(B.ending(EntryB) == RunEnding::NoRoom);
  }
}
