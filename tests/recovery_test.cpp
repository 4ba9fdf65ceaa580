#include "recovery_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;
using namespace std::chrono_literals;

// Guards against lost results, duplicate starts and tasks that never start when
// the owner of a job is lost while one task has finished, one runs and two
// wait.
TEST_CASE("A lost owner's job is resumed and completed", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 4));
  Sim.deliver();
  Sim.lose(Owner);
  Sim.finishRun(P, "by p");
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 4));
  CHECK(Sim.entry(X).Recovery_.waiting() == 1);
  Sim.deliver();
  const ReplyId Again = Sim.submit(X, Sim.makeSpec("j", 4));
  Sim.finishAllRuns();
  CHECK(Sim.answer(R).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(R).Tasks_.at(0).Result_ == "by p");
  CHECK(Sim.answer(Again).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
  CHECK(Sim.Starts_.size() == 4);
}

// Guards against starting a task that may have run at an agent that does not
// report within RecoveryTimeout.
TEST_CASE("Tasks at an agent that does not report are unknown", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.lose(Owner);
  Sim.Agents_.at(Q).Alive_ = false;
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.advance(4s);
  CHECK(Sim.Answers_.empty());
  Sim.advance(1s);
  Sim.finishRun(P);
  Sim.deliver();
  const JobAnswer A = Sim.answer(R);
  CHECK(A.Outcome_ == Outcome::Unknown);
  CHECK(A.Tasks_.at(0).State_ == TaskState::Finished);
  CHECK(A.Tasks_.at(1).State_ == TaskState::Unknown);
  CHECK(A.Tasks_.at(2).State_ == TaskState::Unknown);
  CHECK(Sim.Starts_.size() == 2);
}

// Guards against starting a task again that ran at an agent that is lost before
// or after its report.
TEST_CASE("A running task is unknown after its owner and agent are lost",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 2));
  Sim.deliver();
  Sim.lose(Owner);
  SECTION("during recovery") {
    const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 2));
    Sim.lose(Q);
    Sim.finishAllRuns();
    CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  }
  SECTION("after recovery") {
    const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 2));
    Sim.deliver();
    Sim.lose(Q);
    Sim.finishAllRuns();
    CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
    CHECK(Sim.answer(R).Tasks_.at(0).State_ == TaskState::Finished);
  }
  SECTION("between the report and the resubmission of another job") {
    Sim.submit(X, Sim.makeSpec("other", 1));
    Sim.deliver();
    Sim.lose(Q);
    const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 2));
    Sim.finishAllRuns();
    CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  }
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against a recoverer that starts tasks without records although it may
// not know every agent that the owner used.
TEST_CASE("Without synchronization only reported tasks are resumed",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("whole", 1));
  Sim.submit(Owner, Sim.makeSpec("part", 2));
  Sim.deliver();
  Sim.lose(Owner);
  const ReplyId Whole = Sim.submit(X, Sim.makeSpec("whole", 1), {}, false);
  const ReplyId Part = Sim.submit(X, Sim.makeSpec("part", 2), {}, false);
  Sim.finishAllRuns();
  CHECK(Sim.answer(Whole).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(Part).Outcome_ == Outcome::Unknown);
  CHECK(Sim.Starts_.size() == 2);
}

// Guards against running a job again that ran and was answered: the agents keep
// only tombstones of its records.
TEST_CASE("An ended job is not run again", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 1));
  Sim.finishAllRuns();
  Sim.lose(Owner);
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 1));
  Sim.finishAllRuns();
  CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  CHECK(Sim.Starts_.size() == 1);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against running an idempotent request again although its owner may
// have answered it.
TEST_CASE("An ended idempotent request is not run again", "[recovery]") {
  RecoverySimulation Sim;
  JobSpec Spec = Sim.makeSpec("j", 1);
  Spec.Idempotent_ = true;
  Sim.submit(Owner, Spec);
  Sim.finishAllRuns();
  Sim.lose(Owner);
  Sim.lose(Q);
  const ReplyId R = Sim.submit(X, Spec);
  Sim.finishAllRuns();
  Sim.advance(RecoveryTimeout);
  Sim.advance(1s);
  CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against the answer "not run" from an owner that was paused and closed
// while its job was resumed and run elsewhere, and against a run after the
// answer "not run".
TEST_CASE("A paused owner does not answer not_run", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("first", 2));
  Sim.deliver();
  const ReplyId R = Sim.submit(Owner, Sim.makeSpec("j", 1));
  SECTION("closed before the cancel") {
    Sim.submit(X, Sim.makeSpec("j", 1));
    Sim.deliver();
    Sim.apply(Owner, Sim.entry(Owner).Owner_.onCancel(Sim.makeSpec("j", 1).Id_,
                                                      Sim.Now_));
    Sim.finishAllRuns();
    CHECK(Sim.Answers_.count(R) == 0);
    CHECK(Sim.Starts_.size() == 3);
  }
  SECTION("lost after the answer") {
    Sim.apply(Owner, Sim.entry(Owner).Owner_.onCancel(Sim.makeSpec("j", 1).Id_,
                                                      Sim.Now_));
    Sim.deliver();
    CHECK(Sim.answer(R).Outcome_ == Outcome::NotRun);
    Sim.lose(Owner);
    const ReplyId Late = Sim.submit(X, Sim.makeSpec("j", 1));
    Sim.finishAllRuns();
    CHECK(Sim.answer(Late).Outcome_ == Outcome::Unknown);
    CHECK(Sim.Starts_.size() == 2);
  }
}

// Guards against two recoverers that both start the tasks that the lost owner
// had not started.
TEST_CASE("A second recoverer relays to the holder", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.lose(Owner);
  const ReplyId First = Sim.submit(Sim.lowerRanked(), Sim.makeSpec("j", 3));
  Sim.deliver();
  const ReplyId Second = Sim.submit(Sim.higherRanked(), Sim.makeSpec("j", 3));
  Sim.deliver();
  REQUIRE(Sim.Relays_.size() == 1);
  CHECK(Sim.Relays_[0].To_ == Sim.lowerRanked());
  Sim.deliverRelays(Sim.higherRanked());
  Sim.finishAllRuns();
  CHECK(Sim.answer(First).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(Second).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against grants that stay divided between two entries that recover the
// same owner at once, so that neither can start the remaining tasks.
TEST_CASE("Divided grants are transferred to the higher-ranked entry",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.lose(Owner);
  const EntryId High = Sim.higherRanked();
  const EntryId Low = Sim.lowerRanked();
  Sim.apply(
      P, Sim.controller(P).onMessage(High, CloseIncarnation{Owner}, Sim.Now_));
  Sim.apply(
      Q, Sim.controller(Q).onMessage(Low, CloseIncarnation{Owner}, Sim.Now_));
  const ReplyId A = Sim.submit(High, Sim.makeSpec("j", 3));
  const ReplyId B = Sim.submit(Low, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.deliverRelays(Low);
  Sim.finishAllRuns();
  CHECK(Sim.answer(A).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(B).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against a submission that two entries relay back and forth.
TEST_CASE("A relayed submission is not relayed again", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.submit(Sim.lowerRanked(), Sim.makeSpec("i", 1));
  Sim.deliver();
  const ReplyId R =
      Sim.submit(Sim.higherRanked(), Sim.makeSpec("j", 1), Sim.lowerRanked());
  Sim.deliver();
  CHECK(Sim.Relays_.empty());
  CHECK(Sim.answer(R).Code_ == "owner_unreachable");
  CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
}

// Guards against a job that hangs or runs twice when its recoverer is lost too,
// during the recovery or after the recoverer has started tasks.
TEST_CASE("A lost recoverer is recovered with the jobs it resumed",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 4));
  Sim.deliver();
  Sim.lose(Owner);
  const ReplyId First = Sim.submit(X, Sim.makeSpec("j", 4));
  SECTION("closes are on their way") { Sim.deliverOne(); }
  SECTION("one agent has reported") {
    for (int I = 0; I < 3; ++I)
      Sim.deliverOne();
  }
  SECTION("tasks are started") {
    Sim.deliver();
    Sim.finishRun(P);
    Sim.deliver();
  }
  SECTION("the second recoverer relays to it") {
    Sim.deliver();
    Sim.submit(Y, Sim.makeSpec("j", 4));
    Sim.deliver();
  }
  Sim.lose(X);
  const ReplyId Second = Sim.submit(Y, Sim.makeSpec("j", 4));
  Sim.finishAllRuns();
  Sim.advance(5s);
  Sim.finishAllRuns();
  CHECK(Sim.Answers_.count(First) == 0);
  CHECK(Sim.answer(Second).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
  CHECK(Sim.Starts_.size() == 4);
}

// Guards against late starts and answers by an owner that was only paused and
// whose incarnation was closed meanwhile.
TEST_CASE("A paused owner starts and answers nothing once it is closed",
          "[recovery]") {
  RecoverySimulation Sim;
  const ReplyId Waiting = Sim.submit(Owner, Sim.makeSpec("j", 3));
  const auto Late = Sim.InTransit_;
  Sim.deliver();
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 3));
  Sim.deliver();
  for (const Envelope &E : Late)
    Sim.InTransit_.push_back(E);
  Sim.deliver();
  Sim.apply(Owner, Sim.entry(Owner).Owner_.onSelfClosed(X, Sim.Now_));
  REQUIRE(Sim.Relays_.size() == 1);
  Sim.deliverRelays(Owner);
  Sim.finishAllRuns();
  CHECK(Sim.answer(R).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(Waiting).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against submissions that wait forever at a closed recoverer.
TEST_CASE("A closed recoverer relays its submissions", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.submit(X, Sim.makeSpec("j", 1));
  Sim.apply(X, Sim.entry(X).Recovery_.onSelfClosed(Y, Sim.Now_));
  REQUIRE(Sim.Relays_.size() == 1);
  CHECK(Sim.Relays_[0].To_ == Y);
}

// Guards against collected task records that are used after the agents have
// dropped theirs, and against records that are never released.
TEST_CASE("Collected task records expire", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.submit(X, Sim.makeSpec("i", 1));
  Sim.finishAllRuns();
  Sim.advance(RecoveryRetention);
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 1));
  CHECK(Sim.answer(R).Code_ == "token_expired");
}

// Guards against an unknown outcome of every job because an agent of the owner
// failed long before the job was submitted.
TEST_CASE("An agent abandoned before the job's epoch needs no grant",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.lose(Q);
  JobSpec Spec = Sim.makeSpec("j", 1);
  Spec.Id_.Token_.Epoch_ = Epoch(2);
  LostEntry Known = Sim.lostEntry(Owner);
  Known.Agents_[1].AbandonedInEpoch_ = Epoch(1);
  Sim.apply(X, Sim.entry(X).Recovery_.onSubmit({Spec, ReplyId(77), {}}, Known,
                                               Sim.Now_));
  Sim.finishAllRuns();
  CHECK(Sim.answer(ReplyId(77)).Outcome_ == Outcome::Completed);
  Spec.Id_.Token_.Epoch_ = Epoch(1);
  Sim.apply(X, Sim.entry(X).Recovery_.onSubmit({Spec, ReplyId(78), {}}, Known,
                                               Sim.Now_));
  Sim.finishAllRuns();
  Sim.advance(RecoveryTimeout);
  CHECK(Sim.answer(ReplyId(78)).Outcome_ == Outcome::Unknown);
}

// Guards against two entries that each start the tasks of a job for which
// neither knows any agent.
TEST_CASE("Without a grant no task is started", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  LostEntry Known = Sim.lostEntry(Owner);
  Known.Agents_.clear();
  Sim.apply(X, Sim.entry(X).Recovery_.onSubmit(
                   {Sim.makeSpec("j", 1), ReplyId(77), {}}, Known, Sim.Now_));
  Sim.finishAllRuns();
  CHECK(Sim.answer(ReplyId(77)).Outcome_ == Outcome::Unknown);
  CHECK(Sim.Starts_.empty());
}
