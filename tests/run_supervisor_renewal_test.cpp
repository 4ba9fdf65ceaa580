#include "run_supervisor_fixture.h"

// Renewals of the endpoint lease while an agent cannot stop a run whose owner
// counts on its end.
using namespace chivelanding;
using namespace chivelanding::test;

namespace {

const TaskKey Job{JobKey("job"), TaskIndex(0)};

// An agent with a run of EntryA. The endpoint lists the run in all its answers
// to polls, and answers stop calls only if AnswersStops_.
struct UnstoppableRun : RunSupervisorFixture {
  UnstoppableRun() {
    makeUsable(at(0));
    startRun(EntryA, "job", at(10));
    Running_ = {{Job, 1, 10}};
  }

  void recordLeaseEnds() {
    for (const MakePoll &P : outputs<MakePoll>())
      LastLeaseEndMs_ =
          std::max(LastLeaseEndMs_, P.Call_.LeaseEndMs_.value_or(0));
  }

  void advance(std::int64_t FromMs, std::int64_t ToMs) {
    for (std::int64_t Ms = FromMs; Ms < ToMs; Ms += 20) {
      record(Supervisor_.onTimer(at(Ms)));
      recordLeaseEnds();
      const auto Stops = outputs<MakeStop>();
      const auto Polls = outputs<MakePoll>();
      for (const MakeStop &S : Stops) {
        record(Supervisor_.onStopAnswer(
            S.Id_,
            {AnswersStops_ ? CallAnswer::Accepted : CallAnswer::Unanswered, {}},
            at(Ms + 1)));
        recordLeaseEnds();
      }
      for (const MakePoll &P : Polls) {
        PollAnswer A;
        A.ClockMs_ = static_cast<std::uint64_t>(101 + Ms);
        A.StartedMs_ = 10;
        A.Running_ = Running_;
        record(Supervisor_.onPollAnswer(P.Id_, A, at(Ms + 1)));
        recordLeaseEnds();
      }
      if (OwnerRenews_)
        record(Supervisor_.onMessage(EntryA, HoldRuns{clockAt(Ms)}, at(Ms)));
    }
  }

  // Clock of the endpoint at which a lease ends that is renewed at this time.
  static std::uint64_t leaseEndIfRenewedAt(std::int64_t Ms) {
    return 100 + static_cast<std::uint64_t>(Ms) + 590;
  }

  std::vector<RunningRun> Running_;
  std::uint64_t LastLeaseEndMs_ = 0;
  bool AnswersStops_ = false;
  bool OwnerRenews_ = false;
};

// The last renewal of the owner lease in UnstoppableRun is the start request.
constexpr std::int64_t OwnerLeaseEndMs = 10 + 598;

} // namespace

// Guards against a second run of a task that the callers of a killed entry
// submit again, while the endpoint leaves the stops of the first unanswered.
TEST_CASE("No lease is renewed for a run that a lost owner has left",
          "[run_gate]") {
  UnstoppableRun B;
  B.record(B.Supervisor_.onEntryLost(EntryA, at(50)));
  B.advance(60, 2000);
  CHECK(B.LastLeaseEndMs_ <= B.leaseEndIfRenewedAt(OwnerLeaseEndMs));
  CHECK(B.LastLeaseEndMs_ > B.leaseEndIfRenewedAt(OwnerLeaseEndMs - 40));
}

// The same for an entry that is frozen or cut off, and returns after its lease.
TEST_CASE("No lease is renewed for a run of a silent owner", "[run_gate]") {
  UnstoppableRun B;
  B.advance(60, 700);
  B.OwnerRenews_ = true;
  B.advance(700, 2000);
  CHECK(B.LastLeaseEndMs_ <= B.leaseEndIfRenewedAt(OwnerLeaseEndMs));
}

// The same for a job that its entry has answered with "unknown" or cancelled:
// its caller may submit it again.
TEST_CASE("No lease is renewed for a run that its owner stops", "[run_gate]") {
  UnstoppableRun B;
  B.record(B.Supervisor_.onMessage(
      EntryA, StopRuns{{{Job.Job_, Job.Index_, 1, 0}}}, at(300)));
  B.OwnerRenews_ = true;
  B.advance(300, 2000);
  CHECK(B.LastLeaseEndMs_ <= B.leaseEndIfRenewedAt(OwnerLeaseEndMs));
}

// Guards against a lease that is not renewed any more once the stop is
// confirmed, which would end the runs of all other entries.
TEST_CASE("Renewals go on after the stop of the run is confirmed",
          "[run_gate]") {
  UnstoppableRun B;
  B.startRun(EntryB, "other", at(10));
  B.Running_.push_back({{JobKey("other"), TaskIndex(0)}, 1, 10});
  B.record(B.Supervisor_.onEntryLost(EntryA, at(50)));
  B.advance(60, 900);
  CHECK(B.LastLeaseEndMs_ <= B.leaseEndIfRenewedAt(OwnerLeaseEndMs));
  B.AnswersStops_ = true;
  for (std::int64_t Ms = 900; Ms < 1500; Ms += 100) {
    B.record(B.Supervisor_.onMessage(EntryB, HoldRuns{clockAt(Ms)}, at(Ms)));
    B.advance(Ms, Ms + 100);
  }
  CHECK(B.LastLeaseEndMs_ > B.leaseEndIfRenewedAt(1400));
  CHECK(B.Supervisor_.usable());
}

// Guards against runs of other entries that end because a start call of a live
// owner was left unanswered: that owner waits for the end, however long it
// takes.
TEST_CASE("The lease is renewed while a live owner waits for a stop",
          "[run_gate]") {
  UnstoppableRun B;
  B.OwnerRenews_ = true;
  B.advance(20, 100);
  const MakeStart Start = B.dispatch(EntryA, "unanswered", 1, at(100));
  for (int Calls = 0; Calls < 3; ++Calls) {
    const auto Starts = B.outputs<MakeStart>();
    REQUIRE(Starts.size() == 1);
    B.record(B.Supervisor_.onStartAnswer(
        Starts[0].Id_, {CallAnswer::Unanswered, {}}, at(180 + 80 * Calls)));
  }
  REQUIRE(Start.Id_.value() != 0);
  REQUIRE(B.outputs<MakeStop>().size() == 1);
  B.advance(360, 2000);
  CHECK(B.LastLeaseEndMs_ > B.leaseEndIfRenewedAt(1800));
}

// Guards against a start call that renews the lease in place of the polls, and
// against runs that are started only to end with the lease.
TEST_CASE("Starts do not prolong a lease that is not renewed", "[run_gate]") {
  UnstoppableRun B;
  B.record(B.Supervisor_.onEntryLost(EntryA, at(50)));
  B.advance(60, 640);
  B.record(B.Supervisor_.onMessage(EntryB, HoldRuns{clockAt(640)}, at(640)));
  const MakeStart Start = B.dispatch(EntryB, "early", 1, at(650));
  REQUIRE(Start.Id_.value() != 0);
  CHECK(Start.Call_.LeaseEndMs_ <= B.leaseEndIfRenewedAt(OwnerLeaseEndMs));
  B.advance(660, 800);
  CHECK_FALSE(B.Supervisor_.usable());
  CHECK(B.dispatch(EntryB, "late", 1, at(810)).Id_.value() == 0);
  CHECK(B.ending(EntryB) == RunEnding::Unavailable);
}

// Guards against a run that this process does not know, goes on after its task
// was counted as ended, and whose stops the endpoint leaves unanswered.
TEST_CASE("No lease is renewed for an orphaned run that stays", "[run_gate]") {
  UnstoppableRun B;
  B.OwnerRenews_ = true;
  B.Running_.push_back({{JobKey("orphan"), TaskIndex(0)}, 1, 10});
  B.advance(300, 2000);
  CHECK(B.LastLeaseEndMs_ <= B.leaseEndIfRenewedAt(300 + 20));
}
