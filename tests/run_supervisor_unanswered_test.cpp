#include "run_supervisor_fixture.h"

// Start calls and polls whose answers are lost or late.
using namespace chivelanding;
using namespace chivelanding::test;

// Guards against a second run at an endpoint that restarts under the same id: a
// start call from before the restart has a lease end that is still to come on
// the new clock. Found by "Runs keep their promises under faults", seed 33.
TEST_CASE("The expiry of the lease does not end an unanswered start",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "answered", at(10));
  const MakeStart Start = B.dispatch(EntryA, "unanswered", 1, at(10));
  B.record(B.Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::Unanswered, {}},
                                       at(90)));
  // The endpoint is down: every call fails, and the lease expires.
  std::vector<EndedRun> Ended;
  for (int Ms = 100; Ms <= 3000; Ms += 20) {
    B.record(B.Supervisor_.onTimer(at(Ms)));
    for (const auto &M : B.messages<RunsEnded>(EntryA))
      Ended.insert(Ended.end(), M.Runs_.begin(), M.Runs_.end());
    for (const auto &H : B.outputs<MakePoll>())
      B.Supervisor_.onPollAnswer(H.Id_, Error{"connect_failed", "hold", "", ""},
                                 at(Ms));
  }
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Run_.Job_ == JobKey("answered"));
  CHECK(B.Supervisor_.runs() == 1);
  // The next incarnation with this id confirms the stop.
  B.record(B.Supervisor_.onAnnounced(endpoint(20), at(3010)));
  const auto Stops = B.outputs<MakeStop>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops[0].Call_.Token_ > 7);
  B.record(B.Supervisor_.onStopAnswer(Stops[0].Id_, {CallAnswer::Accepted, {}},
                                      at(3012)));
  B.record(B.Supervisor_.onTimer(at(3080)));
  B.answerPoll({}, {}, at(3085), 20);
  CHECK(B.ending(EntryA) == RunEnding::Stopped);
  CHECK(B.Supervisor_.runs() == 0);
}

// Guards against a run that is reported as never started although the earlier,
// unanswered start call may have been carried out. The job would be refused
// wrongly and could run twice. Found by "Runs keep their promises under
// faults", seed 156.
TEST_CASE("A refused repetition does not settle the unanswered start",
          "[run_gate]") {
  for (const CallAnswer Second :
       {CallAnswer::NotSent, CallAnswer::NoRoom, CallAnswer::Unhealthy}) {
    RunSupervisorFixture B;
    B.makeUsable(at(0));
    const MakeStart Repeated = B.dispatchAndResend(EntryA, "job");
    B.record(B.Supervisor_.onStartAnswer(Repeated.Id_, {Second, {}}, at(92)));
    CHECK_FALSE(B.ending(EntryA));
    CHECK(B.Supervisor_.runs() == 1);
    const auto Stops = B.outputs<MakeStop>();
    REQUIRE(Stops.size() == 1);
    B.record(B.Supervisor_.onStopAnswer(Stops[0].Id_,
                                        {CallAnswer::Accepted, {}}, at(94)));
    B.record(B.Supervisor_.onTimer(at(160)));
    B.answerPoll({}, {}, at(162));
    CHECK(B.ending(EntryA) == RunEnding::Stopped);
  }
}

// Guards against a task that runs again after its end, which the next poll
// lists.
TEST_CASE("A repetition answered with stale_run has run already",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const MakeStart Repeated = B.dispatchAndResend(EntryA, "job");
  B.record(B.Supervisor_.onStartAnswer(Repeated.Id_, {CallAnswer::StaleRun, {}},
                                       at(92)));
  CHECK(B.outputs<MakeStart>().empty());
  B.record(B.Supervisor_.onTimer(at(100)));
  B.answerPoll({}, {{1, {JobKey("job"), TaskIndex(0)}, 1, RunEnding::Done}},
               at(102));
  CHECK(B.ending(EntryA) == RunEnding::Done);
}

// Guards against a second run of a task whose start was accepted by the next
// incarnation with the same id before this process knew of that incarnation.
// Found by "Runs keep their promises under faults", seed 443.
TEST_CASE("A run that was never listed may be of the next incarnation",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "old", at(10));
  B.record(B.Supervisor_.onTimer(at(20)));
  const TaskKey Old{JobKey("old"), TaskIndex(0)};
  B.answerPoll({{Old, 1, 10}}, {}, at(30));
  B.startRun(EntryA, "recent", at(40));
  const TaskKey Recent{JobKey("recent"), TaskIndex(0)};
  B.record(B.Supervisor_.onAnnounced(endpoint(20), at(60)));
  const auto Ended = B.messages<RunsEnded>(EntryA);
  REQUIRE(Ended.size() == 1);
  REQUIRE(Ended[0].Runs_.size() == 1);
  CHECK(Ended[0].Runs_[0].Run_.Job_ == JobKey("old"));
  CHECK(B.Supervisor_.runs() == 1);
  // Until a poll of the new incarnation is answered, only the longest lease
  // proves that the run has ended.
  B.record(B.Supervisor_.onTimer(at(61)));
  for (const auto &H : B.outputs<MakePoll>())
    B.record(B.Supervisor_.onPollAnswer(
        H.Id_, Error{"connect_failed", "hold", "", ""}, at(62)));
  B.record(B.Supervisor_.onTimer(at(900)));
  CHECK(B.Supervisor_.runs() == 1);
  B.answerPoll({{Recent, 1, 50}}, {}, at(910), 20);
  CHECK(B.Supervisor_.runs() == 1);
  B.record(B.Supervisor_.onTimer(at(930)));
  B.answerPoll({}, {{1, Recent, 1, RunEnding::Done}}, at(950), 20);
  CHECK(B.ending(EntryA) == RunEnding::Done);
}

// Guards against a start call that is repeated after the process was suspended,
// when the owner has had the task run elsewhere. Found by "Runs keep their
// promises under faults", seed 1509.
TEST_CASE("A start is not repeated after the owner lease expired",
          "[run_gate]") {
  for (const CallAnswer Answer :
       {CallAnswer::Unanswered, CallAnswer::StaleRun}) {
    RunSupervisorFixture B;
    B.makeUsable(at(0));
    const MakeStart Start = B.dispatch(EntryA, "job", 1, at(10));
    B.record(B.Supervisor_.onStartAnswer(Start.Id_, {Answer, {}}, at(2400)));
    CHECK(B.outputs<MakeStart>().empty());
  }
}

// Guards against an endpoint that takes no runs for a third of a second because
// one answer was lost, and against a lease that is renewed for an endpoint that
// is down.
TEST_CASE("One unanswered poll does not make an endpoint unusable",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.record(B.Supervisor_.onTimer(at(20)));
  const auto First = B.outputs<MakePoll>();
  REQUIRE(First.size() == 1);
  B.record(B.Supervisor_.onPollAnswer(
      First[0].Id_, Error{"timeout", "hold", "", ""}, at(320)));
  CHECK(B.Supervisor_.usable());
  B.record(B.Supervisor_.onTimer(at(320)));
  const auto Second = B.outputs<MakePoll>();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Call_.Wait_ == Duration(0));
  CHECK_FALSE(Second[0].Call_.LeaseEndMs_);

  SECTION("if the next poll is answered") {
    B.answerPoll({}, {}, at(325));
    CHECK(B.Supervisor_.usable());
    B.record(B.Supervisor_.onTimer(at(340)));
    CHECK(B.outputs<MakePoll>().at(0).Call_.LeaseEndMs_);
  }
  SECTION("unless the next poll times out as well") {
    B.record(B.Supervisor_.onPollAnswer(
        Second[0].Id_, Error{"timeout", "hold", "", ""}, at(470)));
    CHECK_FALSE(B.Supervisor_.usable());
  }
  SECTION("unless the next connection is refused") {
    B.record(B.Supervisor_.onPollAnswer(
        Second[0].Id_, Error{"connect_failed", "hold", "", ""}, at(321)));
    CHECK_FALSE(B.Supervisor_.usable());
  }
}
