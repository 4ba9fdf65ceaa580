#include "run_supervisor_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

namespace {

ListedEnd listedEnd(std::uint64_t Number, const char *Job) {
  return {Number, {JobKey(Job), TaskIndex(0)}, 1, RunEnding::Done};
}

// Three runs of EntryA, of which a poll sent at 20 ms may list the ends.
struct ThreeRuns : RunSupervisorFixture {
  ThreeRuns() {
    makeUsable(at(0));
    for (const char *Job : {"a", "b", "c"})
      startRun(EntryA, Job, at(10));
    sendPoll(20);
  }

  PollCall sendPoll(std::int64_t Ms) {
    record(Supervisor_.onTimer(at(Ms)));
    const auto Polls = outputs<MakePoll>();
    REQUIRE(Polls.size() == 1);
    return Polls.front().Call_;
  }
};

} // namespace

// Guards against a run that counts as lost, and is started again elsewhere,
// because its end did not fit into one answer of the endpoint.
TEST_CASE("A run whose end is not listed yet is not lost", "[run_gate]") {
  ThreeRuns B;
  B.answerPoll({}, {listedEnd(1, "a")}, at(30));
  CHECK(B.ending(EntryA) == RunEnding::Done);
  CHECK(B.Supervisor_.runs() == 2);
  // The remaining ends are there already, so the poll does not wait for one.
  const PollCall Next = B.sendPoll(40);
  CHECK(Next.Acknowledged_ == 1);
  CHECK(Next.Wait_ == Duration(0));
  B.answerPoll({}, {listedEnd(2, "b")}, at(50));
  CHECK(B.ending(EntryA) == RunEnding::Done);
  B.sendPoll(60);
  B.answerPoll({}, {listedEnd(3, "c")}, at(70));
  CHECK(B.ending(EntryA) == RunEnding::Done);
  CHECK(B.Supervisor_.runs() == 0);
  CHECK(B.sendPoll(80).Wait_ > Duration(0));
}

// Guards against a run that is never given up although the endpoint has
// forgotten it: its job would wait until its deadline.
TEST_CASE("A run without an end is lost once all ends are listed",
          "[run_gate]") {
  ThreeRuns B;
  B.answerPoll({listedRun("c", 1)}, {listedEnd(1, "a")}, at(30));
  CHECK(B.Supervisor_.runs() == 2);
  B.sendPoll(40);
  B.answerPoll({listedRun("c", 1)}, {}, at(50));
  CHECK(B.ending(EntryA) == RunEnding::Lost);
  CHECK(B.Supervisor_.runs() == 1);
}

// Guards against the same at an endpoint that lists new ends in each answer.
TEST_CASE("A run without an end is lost once a later run has ended",
          "[run_gate]") {
  ThreeRuns B;
  B.answerPoll({listedRun("c", 1)}, {listedEnd(1, "a")}, at(30));
  B.startRun(EntryA, "d", at(35));
  B.sendPoll(40);
  B.answerPoll({listedRun("d", 1)}, {listedEnd(2, "c")}, at(50));
  CHECK(B.Supervisor_.runs() == 2);
  B.sendPoll(60);
  B.answerPoll({}, {listedEnd(3, "d")}, at(70));
  CHECK(B.Supervisor_.runs() == 0);
}

// Guards against an answer to an older poll that repeats acknowledged ends and
// is taken for the last one.
TEST_CASE("An answer that repeats ends does not show that none follow",
          "[run_gate]") {
  ThreeRuns B;
  const auto First = B.outputs<MakePoll>().front();
  PollAnswer A;
  A.ClockMs_ = 130;
  A.StartedMs_ = 10;
  A.Ended_ = {listedEnd(1, "a")};
  // A stop is confirmed and takes long, so a second poll is sent.
  B.record(B.Supervisor_.onMessage(
      EntryA, StopRuns{{{JobKey("b"), TaskIndex(0), 1, 0}}}, at(21)));
  for (const auto &Stop : B.outputs<MakeStop>())
    B.record(B.Supervisor_.onStopAnswer(Stop.Id_, {CallAnswer::Accepted, {}},
                                        at(22)));
  B.record(B.Supervisor_.onTimer(at(200)));
  const auto Second = B.outputs<MakePoll>();
  REQUIRE(Second.size() == 1);
  B.record(B.Supervisor_.onPollAnswer(First.Id_, A, at(201)));
  B.record(B.Supervisor_.onPollAnswer(Second[0].Id_, A, at(202)));
  CHECK(B.Supervisor_.runs() == 2);
}
