#include "run_supervisor_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

// Guards against starts beside the runs of a former process of this agent.
TEST_CASE("A gate stops foreign runs before it is usable", "[run_gate]") {
  RunSupervisorFixture B;
  B.record(B.Supervisor_.onEntryUp(EntryA, at(0)));
  B.record(B.Supervisor_.onAnnounced(endpoint(10), at(0)));
  B.record(B.Supervisor_.onTimer(at(0)));
  // Nothing is renewed while foreign runs are there.
  CHECK(!B.outputs<MakePoll>().front().Call_.LeaseEndMs_);
  B.answerPoll({listedRun("old", 3)}, {}, at(2));
  REQUIRE(B.outputs<MakeStop>().size() == 1);
  CHECK(B.outputs<MakeStop>().front().Call_.Run_ == 3);
  CHECK(!B.Supervisor_.usable());
  CHECK(B.dispatch(EntryA, "new", 1, at(3)).Id_.value() == 0);
  CHECK(B.ending(EntryA) == RunEnding::Unavailable);
  B.record(B.Supervisor_.onTimer(at(20)));
  B.answerPoll({}, {}, at(22));
  CHECK(B.Supervisor_.usable());
}

// Guards against starts beyond the room, which the endpoint rejects at a price.
TEST_CASE("A gate refuses a run without room for it", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  for (const char *Job : {"a", "b", "c", "d"})
    B.startRun(EntryA, Job, at(10));
  CHECK(B.dispatch(EntryB, "e", 1, at(11)).Id_.value() == 0);
  CHECK(B.ending(EntryB) == RunEnding::NoRoom);
  CHECK(B.Supervisor_.held().Cpu_ == 4000);
}

// Guards against a task that runs twice because its order was delayed until
// after its entry had started it elsewhere.
TEST_CASE("A gate refuses an order older than the owner lease", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Late = RunSupervisorFixture::makeStartRuns("a", 1, at(100), 1000);
  B.record(B.Supervisor_.onMessage(EntryA, Late, at(100 + 601)));
  CHECK(B.outputs<MakeStart>().empty());
  CHECK(B.ending(EntryA) == RunEnding::Expired);
}

// Guards against runs that go on after their entry has died, while the caller
// submits the job to another one.
TEST_CASE("Runs of a silent owner are stopped", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.startRun(EntryB, "b", at(10));
  B.record(B.Supervisor_.onMessage(EntryB, HoldRuns{clockAt(400)}, at(410)));
  B.record(B.Supervisor_.onTimer(at(640)));
  const auto Stops = B.outputs<MakeStop>();
  REQUIRE(Stops.size() == 1);
  CHECK(Stops.front().Call_.Task_.Job_ == JobKey("a"));
}

// Guards against a lease that a delayed or repeated renewal prolongs.
TEST_CASE("A late renewal does not lengthen the owner lease", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onMessage(EntryA, HoldRuns{clockAt(20)}, at(600)));
  B.record(B.Supervisor_.onTimer(at(640)));
  CHECK(B.outputs<MakeStop>().size() == 1);
}

// Guards against a report of an end while the endpoint still works: the task
// would be started elsewhere beside its first run.
TEST_CASE("A stopped run ends only when the endpoint shows it", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onMessage(
      EntryA, StopRuns{{{JobKey("a"), TaskIndex(0), 1}}}, at(100)));
  const auto Stop = B.outputs<MakeStop>();
  REQUIRE(Stop.size() == 1);
  CHECK(!B.ending(EntryA));
  B.record(B.Supervisor_.onStopAnswer(Stop[0].Id_, {CallAnswer::Accepted, {}},
                                      at(101)));
  CHECK(!B.ending(EntryA));
  B.record(B.Supervisor_.onTimer(at(110)));
  B.answerPoll({listedRun("a", 1)}, {}, at(112));
  CHECK(!B.ending(EntryA));
  CHECK(B.Supervisor_.held().Cpu_ == 1000);
  B.record(B.Supervisor_.onTimer(at(160)));
  B.answerPoll({}, {{1, {JobKey("a"), TaskIndex(0)}, 1, RunEnding::Stopped}},
               at(162));
  CHECK(B.ending(EntryA) == RunEnding::Stopped);
  CHECK(B.Supervisor_.held().Cpu_ == 0);
}

// Guards against an unanswered start that the endpoint carries out seconds
// later, beside a rerun elsewhere: the task stays here until a stop of the same
// run, which forbids that start, is confirmed.
TEST_CASE("An unanswered start is stopped before it is given back",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Start = B.dispatch(EntryA, "a", 1, at(10));
  B.record(B.Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::Unanswered, {}},
                                       at(60)));
  for (const int Ms : {110, 160}) {
    const auto Repeated = B.outputs<MakeStart>();
    REQUIRE(Repeated.size() == 1);
    CHECK(B.outputs<MakeStop>().empty());
    B.record(B.Supervisor_.onStartAnswer(Repeated[0].Id_,
                                         {CallAnswer::Unanswered, {}}, at(Ms)));
  }
  const auto Stop = B.outputs<MakeStop>();
  REQUIRE(Stop.size() == 1);
  CHECK(Stop[0].Call_.Run_ == 1);
  CHECK(!B.ending(EntryA));
  // The stop is not answered either, and is repeated.
  B.record(B.Supervisor_.onStopAnswer(Stop[0].Id_, {CallAnswer::Unanswered, {}},
                                      at(310)));
  B.record(B.Supervisor_.onTimer(at(320)));
  const auto Again = B.outputs<MakeStop>();
  REQUIRE(Again.size() == 1);
  B.answerPoll({}, {}, at(321));
  CHECK(!B.ending(EntryA));
  B.record(B.Supervisor_.onStopAnswer(Again[0].Id_, {CallAnswer::Accepted, {}},
                                      at(322)));
  B.record(B.Supervisor_.onTimer(at(340)));
  B.answerPoll({}, {}, at(341));
  CHECK(B.ending(EntryA) == RunEnding::Stopped);
}

// Guards against a job that is late because one answer was lost: the same run
// is ordered again, which the endpoint carries out at most once.
TEST_CASE("An unanswered start is repeated as the same run", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const MakeStart Repeated = B.dispatchAndResend(EntryA, "a");
  CHECK(Repeated.Call_.Payload_ == "payload");
  B.record(B.Supervisor_.onStartAnswer(Repeated.Id_, {CallAnswer::Accepted, {}},
                                       at(91)));
  CHECK(!B.ending(EntryA));
  CHECK(B.Supervisor_.runs() == 1);
}

// Guards against a rerun while a silent endpoint still works on its lease.
TEST_CASE("Runs of a silent endpoint end with its lease", "[run_gate]") {
  RunSupervisorLimits Limits;
  Limits.Leases_.Endpoint_ = milliseconds(800);
  RunSupervisorFixture B(Limits);
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onMessage(EntryA, HoldRuns{clockAt(15)}, at(20)));
  B.record(B.Supervisor_.onTimer(at(20)));
  const auto Poll = B.outputs<MakePoll>();
  REQUIRE(Poll.size() == 1);
  REQUIRE(Poll[0].Call_.LeaseEndMs_);
  B.record(B.Supervisor_.onPollAnswer(
      Poll[0].Id_, Error{"timeout", "list the runs", "worker", ""}, at(170)));
  B.record(B.Supervisor_.onTimer(at(170)));
  const auto Second = B.outputs<MakePoll>();
  REQUIRE(Second.size() == 1);
  CHECK(!Second[0].Call_.LeaseEndMs_);
  B.record(B.Supervisor_.onPollAnswer(
      Second[0].Id_, Error{"timeout", "list the runs", "worker", ""}, at(320)));
  CHECK(!B.Supervisor_.usable());
  // The lease may last until 820 ms on a clock that is 2 % slow.
  for (int Ms = 340; Ms <= 860; Ms += 20) {
    B.record(B.Supervisor_.onTimer(at(Ms)));
    for (const auto &Retry : B.outputs<MakePoll>()) {
      CHECK(!Retry.Call_.LeaseEndMs_);
      B.record(B.Supervisor_.onPollAnswer(
          Retry.Id_, Error{"timeout", "list the runs", "worker", ""}, at(Ms)));
    }
    CHECK(B.Supervisor_.runs() == 1);
  }
  B.record(B.Supervisor_.onTimer(at(920)));
  CHECK(B.Supervisor_.runs() == 0);
  CHECK(B.ending(EntryA) == RunEnding::Lost);
}

// Guards against a late announcement of a former life, and against runs of that
// life that are waited for.
TEST_CASE("A new life ends the runs of the former one", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onAnnounced(endpoint(20, "worker-2"), at(50)));
  CHECK(B.ending(EntryA) == RunEnding::Lost);
  CHECK(!B.Supervisor_.usable());
  EndpointIncarnation Former = endpoint(10);
  Former.Sequence_ = 99;
  B.record(B.Supervisor_.onAnnounced(Former, at(60)));
  CHECK(B.Supervisor_.endpoint()->Id_ == "worker-2");
}

// Guards against an order to the former life that the new one, which kept the
// id, carries out late.
TEST_CASE("An unanswered order outlives a life with the same id",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.dispatch(EntryA, "a", 1, at(10));
  B.record(B.Supervisor_.onAnnounced(endpoint(20), at(50)));
  CHECK(!B.ending(EntryA));
  const auto Stop = B.outputs<MakeStop>();
  REQUIRE(Stop.size() == 1);
  B.record(B.Supervisor_.onStopAnswer(Stop[0].Id_, {CallAnswer::Accepted, {}},
                                      at(52)));
  B.record(B.Supervisor_.onTimer(at(60)));
  B.answerPoll({}, {}, at(62), 20);
  CHECK(B.ending(EntryA) == RunEnding::Stopped);
}

// Guards against an endpoint that leaves and still gets work.
TEST_CASE("A leaving endpoint gets no run", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  EndpointIncarnation Leaving = endpoint(10);
  Leaving.Sequence_ = 2;
  Leaving.Leaving_ = true;
  B.record(B.Supervisor_.onAnnounced(Leaving, at(5)));
  CHECK(B.dispatch(EntryA, "a", 1, at(6)).Id_.value() == 0);
  CHECK(B.ending(EntryA) == RunEnding::Unavailable);
}

// Guards against a task that can never start again where a run of it was
// stopped under a number that its new owner does not know.
TEST_CASE("A stale run number is raised", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Start = B.dispatch(EntryA, "a", 1, at(10));
  B.record(B.Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::StaleRun, {}},
                                       at(11)));
  const auto Again = B.outputs<MakeStart>();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Call_.Run_ > 1);
  CHECK(Again[0].Call_.Payload_ == "payload");
}

// Guards against a clock that went back before this process started: its token
// would be below the one of the process before.
TEST_CASE("A stale token is raised", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Start = B.dispatch(EntryA, "a", 1, at(10));
  CHECK(Start.Call_.Token_ == 7);
  B.record(B.Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::StaleToken, {}},
                                       at(11)));
  REQUIRE(B.outputs<MakeStart>().size() == 1);
  CHECK(B.outputs<MakeStart>()[0].Call_.Token_ > 7);
}

// Guards against slow or stalled runs that nobody hears of, and against runs
// that are called slow because their estimate was somewhat low.
TEST_CASE("Only a run far behind its estimate is reported", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.startRun(EntryA, "b", at(10));
  B.startRun(EntryA, "c", at(10));
  B.record(B.Supervisor_.onMessage(EntryA, HoldRuns{clockAt(15)}, at(20)));
  B.record(B.Supervisor_.onTimer(at(200)));
  // Predicted lengths: 320 ms, 1,600 ms; c has made no progress, but its
  // estimate of 200 ms is not over.
  B.answerPoll(
      {listedRun("a", 1, 50), listedRun("b", 1, 10), listedRun("c", 1, 0)}, {},
      at(170));
  const auto Slow = B.messages<SlowRuns>(EntryA);
  REQUIRE(Slow.size() == 1);
  REQUIRE(Slow[0].Runs_.size() == 1);
  CHECK(Slow[0].Runs_[0].Run_.Job_ == JobKey("b"));
  CHECK(Slow[0].Runs_[0].Remaining_ > milliseconds(1400));
}

// Guards against ends that are counted twice when the endpoint lists them
// again, and against acknowledgements that run ahead of what was taken.
TEST_CASE("Ends are taken once and acknowledged", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onTimer(at(20)));
  CHECK(B.outputs<MakePoll>()[0].Call_.Acknowledged_ == 0);
  const ListedEnd End{5, {JobKey("a"), TaskIndex(0)}, 1, RunEnding::Done};
  B.answerPoll({}, {End}, at(30));
  CHECK(B.ending(EntryA) == RunEnding::Done);
  B.record(B.Supervisor_.onTimer(at(40)));
  CHECK(B.outputs<MakePoll>()[0].Call_.Acknowledged_ == 5);
  B.answerPoll({}, {End}, at(50));
  CHECK(!B.ending(EntryA));
}

// Guards against new runs after SIGTERM, and against an end while runs work.
TEST_CASE("A draining gate finishes its runs only", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onDrain(at(20)));
  CHECK(B.dispatch(EntryB, "b", 1, at(21)).Id_.value() == 0);
  CHECK(B.Supervisor_.runs() == 1);
}

// Guards against reports to entries that do not use this agent, whose number
// grows with the deployment.
TEST_CASE("An entry that has the agent on standby gets few reports",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.record(B.Supervisor_.onMessage(EntryB, SetStandby{true}, at(0)));
  std::size_t ToA = 0;
  std::size_t ToB = 0;
  for (int Ms = 10; Ms <= 4800; Ms += 10) {
    if (Ms % 100 == 0)
      B.record(B.Supervisor_.onMessage(
          EntryA,
          RunSupervisorFixture::makeStartRuns(std::to_string(Ms).c_str(), 1,
                                              at(Ms), 1000),
          at(Ms)));
    else
      B.record(B.Supervisor_.onTimer(at(Ms)));
    ToA += B.messages<EndpointReport>(EntryA).size();
    ToB += B.messages<EndpointReport>(EntryB).size();
  }
  CHECK(ToA >= 20);
  CHECK(ToB == 0);
  B.record(B.Supervisor_.onMessage(EntryB, SetStandby{false}, at(4900)));
  CHECK(B.messages<EndpointReport>(EntryB).size() == 1);
}

// Guards against an entry that learns of the end of an endpoint seconds later,
// when it wants to take it into use.
TEST_CASE("Entries are told at once when the endpoint turns unusable",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.record(B.Supervisor_.onMessage(EntryB, SetStandby{true}, at(0)));
  B.record(B.Supervisor_.onWithdrawn("worker-1", at(500)));
  const auto Reports = B.messages<EndpointReport>(EntryB);
  REQUIRE(Reports.size() == 1);
  CHECK_FALSE(Reports.front().Usable_);
}
