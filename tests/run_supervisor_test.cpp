#include "run_supervisor_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

// Guards against starts while runs of an earlier process of this agent still
// use the endpoint.
TEST_CASE("Orphaned runs are stopped before the endpoint is used",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.record(B.Supervisor_.onEntryUp(EntryA, at(0)));
  B.record(B.Supervisor_.onAnnounced(endpoint(10), at(0)));
  B.record(B.Supervisor_.onTimer(at(0)));
  // No lease is renewed while there are orphaned runs.
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

// Guards against starts beyond the capacity, which cost a call that the
// endpoint rejects.
TEST_CASE("A run that exceeds the free resources is refused", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  for (const char *Job : {"a", "b", "c", "d"})
    B.startRun(EntryA, Job, at(10));
  CHECK(B.dispatch(EntryB, "e", 1, at(11)).Id_.value() == 0);
  CHECK(B.ending(EntryB) == RunEnding::NoRoom);
  CHECK(B.Supervisor_.held().Cpu_ == 4000);
}

// Guards against a task that runs twice because its start request was delayed
// until its entry had started it elsewhere.
TEST_CASE("A start request older than the owner lease is refused",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Late = RunSupervisorFixture::makeStartRuns("a", 1, at(100), 1000);
  B.record(B.Supervisor_.onMessage(EntryA, Late, at(100 + 601)));
  CHECK(B.outputs<MakeStart>().empty());
  CHECK(B.ending(EntryA) == RunEnding::Expired);
}

// Guards against runs that go on after their entry has died, while the caller
// submits the job to another entry.
TEST_CASE("Runs are stopped when the owner lease expires", "[run_gate]") {
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

// Guards against an owner lease that a delayed or repeated renewal prolongs.
TEST_CASE("A late renewal does not prolong the owner lease", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onMessage(EntryA, HoldRuns{clockAt(20)}, at(600)));
  B.record(B.Supervisor_.onTimer(at(640)));
  CHECK(B.outputs<MakeStop>().size() == 1);
}

// Guards against an end that is reported while the endpoint still runs the
// task, which would then be started elsewhere at the same time.
TEST_CASE("A stopped run ends only when a poll no longer lists it",
          "[run_gate]") {
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
// later, while the task runs again elsewhere. The run is kept until a stop of
// it is confirmed, after which the endpoint refuses the late start.
TEST_CASE("A run with an unanswered start ends only after a stop",
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

// Guards against a job that is late because one answer was lost. The same run
// is started again, which the endpoint carries out at most once.
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

// Guards against a rerun elsewhere while an unreachable endpoint still runs the
// task under its lease.
TEST_CASE("Runs of an unreachable endpoint end with its lease", "[run_gate]") {
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
  // The lease lasts until 820 ms on a clock that may be 2 % slow.
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

// Guards against a late announcement of an earlier incarnation, and against
// waiting for the ends of its runs.
TEST_CASE("A new incarnation ends the runs of the previous one", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onAnnounced(endpoint(20, "worker-2"), at(50)));
  CHECK(B.ending(EntryA) == RunEnding::Lost);
  CHECK(!B.Supervisor_.usable());
  EndpointIncarnation Previous = endpoint(10);
  Previous.Sequence_ = 99;
  B.record(B.Supervisor_.onAnnounced(Previous, at(60)));
  CHECK(B.Supervisor_.endpoint()->Id_ == "worker-2");
}

// Guards against a start call for the previous incarnation that the new one,
// which has the same id, carries out late.
TEST_CASE("An unanswered start stays pending if an incarnation keeps its id",
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

// Guards against starts at an endpoint that shuts down.
TEST_CASE("A leaving endpoint gets no runs", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  EndpointIncarnation Leaving = endpoint(10);
  Leaving.Sequence_ = 2;
  Leaving.Leaving_ = true;
  B.record(B.Supervisor_.onAnnounced(Leaving, at(5)));
  CHECK(B.dispatch(EntryA, "a", 1, at(6)).Id_.value() == 0);
  CHECK(B.ending(EntryA) == RunEnding::Unavailable);
}

// Guards against a task that can never start at an endpoint where a run of it
// was stopped under a number that its new owner does not know.
TEST_CASE("A start is repeated with a higher number after stale_run",
          "[run_gate]") {
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

// Guards against a clock that was set back before this process started, so that
// its fencing token is lower than that of the process before.
TEST_CASE("A start is repeated with a higher token after stale_token",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Start = B.dispatch(EntryA, "a", 1, at(10));
  CHECK(Start.Call_.Token_ == 7);
  B.record(B.Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::StaleToken, {}},
                                       at(11)));
  REQUIRE(B.outputs<MakeStart>().size() == 1);
  CHECK(B.outputs<MakeStart>()[0].Call_.Token_ > 7);
}

// Guards against slow or stalled runs that are not reported, and against runs
// that are reported as slow because their estimate was slightly low.
TEST_CASE("Only a run far behind its estimate is reported", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.startRun(EntryA, "b", at(10));
  B.startRun(EntryA, "c", at(10));
  B.record(B.Supervisor_.onMessage(EntryA, HoldRuns{clockAt(15)}, at(20)));
  B.record(B.Supervisor_.onTimer(at(200)));
  // Predicted times: 320 ms for a, 1,600 ms for b. c has made no progress, but
  // its estimate of 200 ms has not passed.
  B.answerPoll(
      {listedRun("a", 1, 50), listedRun("b", 1, 10), listedRun("c", 1, 0)}, {},
      at(170));
  const auto Slow = B.messages<SlowRuns>(EntryA);
  REQUIRE(Slow.size() == 1);
  REQUIRE(Slow[0].Runs_.size() == 1);
  CHECK(Slow[0].Runs_[0].Run_.Job_ == JobKey("b"));
  CHECK(Slow[0].Runs_[0].Remaining_ > milliseconds(1400));
}

// Guards against ends that are processed twice when the endpoint lists them
// again, and against acknowledgements of ends that were not processed yet.
TEST_CASE("Ends are processed once and then acknowledged", "[run_gate]") {
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

// Guards against new runs after SIGTERM, and against a process that exits while
// runs go on.
TEST_CASE("A draining agent starts no runs and keeps its own", "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "a", at(10));
  B.record(B.Supervisor_.onDrain(at(20)));
  CHECK(B.dispatch(EntryB, "b", 1, at(21)).Id_.value() == 0);
  CHECK(B.Supervisor_.runs() == 1);
}

// Guards against frequent reports to entries that do not use this agent; the
// number of entries grows with the deployment.
TEST_CASE("An entry with the agent on standby gets few reports", "[run_gate]") {
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

// Guards against an entry that learns seconds later that an endpoint is
// unusable, when it starts to use the agent.
TEST_CASE("Entries are notified at once of an unusable endpoint",
          "[run_gate]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.record(B.Supervisor_.onMessage(EntryB, SetStandby{true}, at(0)));
  B.record(B.Supervisor_.onWithdrawn("worker-1", at(500)));
  const auto Reports = B.messages<EndpointReport>(EntryB);
  REQUIRE(Reports.size() == 1);
  CHECK_FALSE(Reports.front().Usable_);
}

// The VM of the agent was suspended: the agent's time line has gone on, the
// endpoint's clock has not. Guards against runs that are counted as ended
// although the endpoint's lease has not expired.
TEST_CASE("Suspension does not shorten the lease of an endpoint",
          "[run-supervisor]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "1", at(10));
  B.Supervisor_.onSuspended(milliseconds(3000));
  B.record(B.Supervisor_.onTimer(at(3020)));
  // Two polls fail: the endpoint is unreachable.
  for (const std::int64_t Ms : {3030, 3080}) {
    B.record(B.Supervisor_.onTimer(at(Ms)));
    const auto Polls = B.outputs<MakePoll>();
    if (!Polls.empty())
      B.record(B.Supervisor_.onPollAnswer(
          Polls.back().Id_, Error{"timeout", "poll", "", ""}, at(Ms + 40)));
  }
  CHECK(B.Supervisor_.runs() == 1);
}

// Guards against a crash of which the entries learn only when the lease has
// expired, and as single lost runs.
TEST_CASE("A refused connection reports the runs of a crash at once",
          "[run-supervisor]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "1", at(10));
  B.startRun(EntryB, "2", at(12));
  B.record(B.Supervisor_.onTimer(at(20)));
  B.record(B.Supervisor_.onPollAnswer(B.outputs<MakePoll>().back().Id_,
                                      Error{"connect_failed", "poll", "", ""},
                                      at(30)));
  for (const EntryId &E : {EntryA, EntryB}) {
    const auto Crashes = B.messages<EndpointCrashed>(E);
    REQUIRE(Crashes.size() == 1);
    CHECK(Crashes.front().Endpoint_ == "worker-1");
    CHECK(Crashes.front().Runs_.size() == 2);
  }
  // The runs have not ended: the endpoint may only be cut off.
  CHECK(B.Supervisor_.runs() == 2);
  // An entry that connects later learns of it as well.
  const EntryId Later{"entry-c", Incarnation(3)};
  B.record(B.Supervisor_.onEntryUp(Later, at(2030)));
  const auto Crashes = B.messages<EndpointCrashed>(Later);
  REQUIRE(Crashes.size() == 1);
  CHECK(Crashes.front().Age_ == milliseconds(2000));
}

// Guards against a cut-off endpoint that counts as crashed after it has come
// back.
TEST_CASE("A crash is withdrawn when the same incarnation answers",
          "[run-supervisor]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "1", at(10));
  B.record(B.Supervisor_.onTimer(at(20)));
  B.record(B.Supervisor_.onPollAnswer(B.outputs<MakePoll>().back().Id_,
                                      Error{"connect_failed", "poll", "", ""},
                                      at(30)));
  REQUIRE(B.messages<EndpointCrashed>(EntryA).size() == 1);
  B.record(B.Supervisor_.onTimer(at(80)));
  B.answerPoll({listedRun("1", 1)}, {}, at(90));
  CHECK(B.messages<EndpointAlive>(EntryA).size() == 1);
  CHECK(B.Supervisor_.runs() == 1);
}

// Guards against a leaving endpoint that counts as crashed.
TEST_CASE("The end of a leaving endpoint is no crash", "[run-supervisor]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "1", at(10));
  B.record(B.Supervisor_.onWithdrawn("worker-1", at(15)));
  B.record(B.Supervisor_.onTimer(at(20)));
  B.record(B.Supervisor_.onPollAnswer(B.outputs<MakePoll>().back().Id_,
                                      Error{"connect_failed", "poll", "", ""},
                                      at(30)));
  CHECK(B.messages<EndpointCrashed>(EntryA).empty());
}

// Guards against a neighbour that a crash would take along.
TEST_CASE("Isolated runs tolerate only their route", "[run-supervisor]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  const auto Start = [&](const char *Job, const char *Route, Isolation I) {
    StartRuns M = RunSupervisorFixture::makeStartRuns(Job, 1, at(10), 1000);
    M.Route_ = Route;
    M.Isolation_ = I;
    B.record(B.Supervisor_.onMessage(EntryA, M, at(10)));
    return !B.outputs<MakeStart>().empty();
  };
  CHECK(Start("1", "r", Isolation::SameRoute));
  CHECK_FALSE(Start("2", "s", Isolation::Any));
  CHECK(B.ending(EntryA) == RunEnding::NoRoom);
  CHECK_FALSE(Start("3", "s", Isolation::SameRoute));
  CHECK(Start("4", "r", Isolation::SameRoute));
  CHECK_FALSE(Start("5", "r", Isolation::SameJob));
}

// Guards against starts beyond a capacity that has shrunk under running work in
// the same incarnation.
TEST_CASE("A shrunk capacity stops further starts at once",
          "[run-supervisor]") {
  RunSupervisorFixture B;
  B.makeUsable(at(0));
  B.startRun(EntryA, "1", at(10));
  B.startRun(EntryA, "2", at(10));
  EndpointIncarnation Shrunk = endpoint(10);
  Shrunk.Sequence_ = 2;
  Shrunk.Capacity_ = {2500, 4096, 0};
  B.record(B.Supervisor_.onAnnounced(Shrunk, at(100)));
  CHECK(B.Supervisor_.runs() == 2);
  const auto Reports = B.messages<EndpointReport>(EntryA);
  REQUIRE_FALSE(Reports.empty());
  CHECK(Reports.back().Free_.Cpu_ == 500);
  B.dispatch(EntryA, "3", 1, at(110));
  CHECK(B.outputs<MakeStart>().empty());
  CHECK(B.ending(EntryA) == RunEnding::NoRoom);
  // Less than what runs: nothing is free until it has ended.
  Shrunk.Sequence_ = 3;
  Shrunk.Capacity_ = {1000, 4096, 0};
  B.record(B.Supervisor_.onAnnounced(Shrunk, at(200)));
  const auto Later = B.messages<EndpointReport>(EntryA);
  REQUIRE_FALSE(Later.empty());
  CHECK(Later.back().Free_.Cpu_ == 0);
}
