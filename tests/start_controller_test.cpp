#include "start_controller.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

const EntryId A{"a", Incarnation(1)};
const EntryId B{"b", Incarnation(2)};
const EntryId C{"c", Incarnation(3)};
const AgentId Self{"agent", Incarnation(4)};
const Time T0{};

EndpointInfo endpoint(std::uint32_t Slots) {
  EndpointInfo Info;
  Info.Service_ = ServiceName("service");
  Info.Slots_ = Slots;
  return Info;
}

JobId jobId(const EntryId &Owner, const char *Key, std::uint64_t E = 0) {
  return {TeamName("team"), {Owner, Epoch(E)}, JobKey(Key)};
}

StartTasks start(const JobId &Job, std::uint32_t First, std::uint32_t Count,
                 std::uint32_t Attempt = 1) {
  StartTasks S;
  S.Job_ = Job;
  for (std::uint32_t I = First; I < First + Count; ++I)
    S.Tasks_.push_back({TaskIndex(I), "payload", Attempt});
  return S;
}

template <typename T>
std::vector<T> outputs(const StartControllerOutputs &Out) {
  std::vector<T> Found;
  for (const auto &O : Out)
    if (const auto *F = std::get_if<T>(&O))
      Found.push_back(*F);
  return Found;
}

template <typename T>
std::vector<T> sent(const StartControllerOutputs &Out, const EntryId &To) {
  std::vector<T> Found;
  for (const SendToEntry &S : outputs<SendToEntry>(Out))
    if (S.To_ == To)
      if (const auto *M = std::get_if<T>(&S.Message_))
        Found.push_back(*M);
  return Found;
}

std::size_t startCount(const StartControllerOutputs &Out) {
  return outputs<RunTask>(Out).size();
}

// A start controller with an announced endpoint and three connected entries.
struct Fixture {
  StartController Controller_;
  explicit Fixture(std::uint32_t Slots = 4, StartControllerLimits Limits = {})
      : Controller_(Self, Limits) {
    Controller_.onEndpointAnnounced(endpoint(Slots), T0);
    for (const EntryId &E : {A, B, C})
      Controller_.onEntryConnected(E, T0);
  }
  StartControllerOutputs from(const EntryId &E, const Message &M,
                              Time Now = T0) {
    return Controller_.onMessage(E, M, Now);
  }
  StartControllerOutputs endRun(std::uint64_t Run, std::string Result = "r") {
    return Controller_.onRunFinished(RunId(Run), RunOutcome::Success,
                                     std::move(Result), {}, T0);
  }
};

} // namespace

// Guards against a second run of a task: a late duplicate of a rejected start
// arrives after the owner has started the task at another agent. Also guards
// against rejection of the owner's new attempt.
TEST_CASE("A rejected attempt stays rejected and a new attempt runs",
          "[gate]") {
  Fixture F(1, {0, 1000, std::chrono::minutes(10)});
  const JobId Job = jobId(A, "j");
  CHECK(startCount(F.from(A, start(Job, 0, 1))) == 1);
  const auto Full = F.from(A, start(Job, 1, 1));
  REQUIRE(sent<TasksRejected>(Full, A).size() == 1);
  CHECK(sent<TasksRejected>(Full, A)[0].Reason_ == RejectReason::NoRoom);
  F.endRun(1);
  const auto Late = F.from(A, start(Job, 1, 1));
  CHECK(startCount(Late) == 0);
  CHECK(sent<TasksRejected>(Late, A).at(0).Attempt_ == 1);
  CHECK(startCount(F.from(A, start(Job, 1, 1, 2))) == 1);
  CHECK(startCount(F.from(A, start(Job, 1, 1, 3))) == 0);
}

// Guards against starts by an entry that this agent considers lost, whose jobs
// another entry may have resumed.
TEST_CASE("A start from an entry that is not connected is rejected", "[gate]") {
  Fixture F(4);
  F.Controller_.onEntryLost(A, T0);
  CHECK(startCount(F.from(A, start(jobId(A, "j"), 0, 1))) == 0);
  F.Controller_.onEntryConnected(A, T0);
  CHECK(startCount(F.from(A, start(jobId(A, "j"), 0, 1))) == 0);
  CHECK(startCount(F.from(A, start(jobId(A, "j"), 0, 1, 2))) == 1);
}

// Guards against memory that grows with every job, and against a late start
// that runs because the record of its job was dropped.
TEST_CASE("Ended jobs become tombstones that are dropped by epoch", "[gate]") {
  Fixture F(4);
  const JobId Job = jobId(A, "j", 3);
  F.from(A, start(Job, 0, 1));
  F.endRun(1, "result");
  CHECK(F.Controller_.resultBytes() == 6);
  F.from(A, JobEnded{Job});
  CHECK(F.Controller_.resultBytes() == 0);
  CHECK(F.Controller_.records() == 1);
  CHECK(startCount(F.from(A, start(Job, 0, 2, 9))) == 0);
  F.from(A, EpochsExpired{Epoch(4)});
  CHECK(F.Controller_.records() == 0);
  CHECK(startCount(F.from(A, start(Job, 0, 1, 9))) == 0);
  const auto Closed =
      sent<IncarnationClosed>(F.from(B, CloseIncarnation{A}), B);
  CHECK(Closed.at(0).Oldest_ == Epoch(4));
  CHECK(Closed.at(0).Complete_);
}

// Guards against a recovering entry that waits forever for a task of an ended
// job, and against confirmation of a withdrawal of a job that has run.
TEST_CASE("A tombstone answers the recoverer and confirms withdrawals",
          "[gate]") {
  Fixture F;
  const JobId Ran = jobId(A, "ran");
  const JobId New = jobId(A, "new");
  F.from(A, start(Ran, 0, 1));
  const auto Out = F.from(A, WithdrawJobs{{Ran, New}});
  CHECK(sent<JobsWithdrawn>(Out, A).at(0).Jobs_ == std::vector<JobId>{New});
  CHECK(sent<JobsWithdrawn>(Out, A).at(0).Refused_ == std::vector<JobId>{Ran});
  CHECK(sent<TasksRejected>(F.from(A, start(New, 0, 1)), A).empty());
  const auto Closed =
      sent<IncarnationClosed>(F.from(B, CloseIncarnation{A}), B);
  CHECK(Closed.at(0).Jobs_.size() == 2);
  const auto Late = F.from(B, start(New, 0, 1));
  CHECK(sent<TasksRejected>(Late, B).at(0).Reason_ == RejectReason::Closed);
  CHECK(startCount(Late) == 0);
}

// Guards against a second run: a recovering entry would take a task whose
// record was dropped for one that did not start.
TEST_CASE("Records dropped by retention make a close incomplete", "[gate]") {
  Fixture F(4);
  F.from(A, start(jobId(A, "j", 5), 0, 1));
  F.endRun(1);
  F.Controller_.onEntryLost(A, T0);
  F.Controller_.onTimer(T0 + std::chrono::minutes(9));
  CHECK(F.Controller_.records() == 1);
  F.Controller_.onTimer(T0 + std::chrono::minutes(10));
  CHECK(F.Controller_.records() == 0);
  const auto Closed =
      sent<IncarnationClosed>(F.from(B, CloseIncarnation{A}), B);
  CHECK_FALSE(Closed.at(0).Complete_);
  CHECK(Closed.at(0).Oldest_ == Epoch(6));
  CHECK(startCount(F.from(B, start(jobId(A, "j", 5), 0, 1))) == 0);
}

// Guards against unbounded memory for results, and against an empty result in
// place of an evicted one.
TEST_CASE("Results beyond the limit are marked as evicted", "[gate]") {
  Fixture F(4, {4, 10, std::chrono::minutes(10)});
  F.from(A, start(jobId(A, "j"), 0, 2));
  F.endRun(1, "123456");
  F.endRun(2, "123456");
  CHECK(F.Controller_.resultBytes() == 6);
  CHECK(sent<TaskFinished>(F.from(A, start(jobId(A, "j"), 0, 1)), A).empty());
  const auto Closed =
      sent<IncarnationClosed>(F.from(B, CloseIncarnation{A}), B);
  const auto &Tasks = Closed.at(0).Jobs_.at(0).Tasks_;
  CHECK(Tasks.at(0).Evicted_);
  CHECK_FALSE(Tasks.at(1).Evicted_);
}

// Guards against a message that exceeds the frame limit of a link because it
// lists all records of an owner.
TEST_CASE("Large holdings are split into several messages", "[gate]") {
  Fixture F(4);
  for (int I = 0; I < 3; ++I) {
    F.from(A, start(jobId(A, std::to_string(I).c_str()), 0, 1));
    F.endRun(static_cast<std::uint64_t>(I) + 1, std::string(3u << 20, 'x'));
  }
  const auto Parts = sent<IncarnationClosed>(F.from(B, CloseIncarnation{A}), B);
  REQUIRE(Parts.size() == 3);
  CHECK_FALSE(Parts[1].Last_);
  CHECK(Parts[2].Last_);
}

// Guards against lost results of tasks that end after their owner was closed.
TEST_CASE("Ends of a closed owner's tasks reach the grant holder", "[gate]") {
  Fixture F(4);
  F.from(A, start(jobId(A, "j"), 0, 3));
  F.Controller_.onEntryLost(A, T0);
  F.endRun(1);
  const auto Closed =
      sent<IncarnationClosed>(F.from(B, CloseIncarnation{A}), B);
  REQUIRE(Closed.at(0).Jobs_.at(0).Tasks_.size() == 3);
  CHECK(Closed[0].Jobs_[0].Tasks_[0].Finished_);
  CHECK_FALSE(Closed[0].Jobs_[0].Tasks_[1].Finished_);
  CHECK(sent<TaskFinished>(F.endRun(2), B).size() == 1);
  F.Controller_.onEntryLost(B, T0);
  F.endRun(3);
  const auto Back = F.Controller_.onEntryConnected(B, T0);
  CHECK(sent<IncarnationClosed>(Back, B).at(0).Jobs_.at(0).Tasks_[2].Finished_);
}

// Guards against a grant that is lost with its holder, and against two holders
// of one grant.
TEST_CASE("Grants pass to the entry that closes their holder", "[gate]") {
  Fixture F(1);
  F.from(A, start(jobId(A, "j"), 0, 1));
  F.from(B, CloseIncarnation{A});
  F.from(B, start(jobId(A, "k"), 0, 1));
  const auto Other = sent<IncarnationClosed>(F.from(C, CloseIncarnation{A}), C);
  CHECK(Other.at(0).Holder_ == B);
  CHECK(Other.at(0).Jobs_.empty());
  CHECK(startCount(F.from(C, start(jobId(A, "j"), 1, 1))) == 0);
  const auto Passed = F.from(C, CloseIncarnation{B});
  const auto Parts = sent<IncarnationClosed>(Passed, C);
  REQUIRE(Parts.size() == 2);
  CHECK(Parts[0].Entry_ == A);
  CHECK(Parts[0].Holder_ == C);
  // The close removed B's queued task; the running one is part of the records.
  CHECK(Parts[0].Jobs_.size() == 1);
  CHECK(F.Controller_.queued() == 0);
  CHECK(sent<YouAreClosed>(F.from(B, start(jobId(A, "k"), 0, 1)), B).size() ==
        1);
  CHECK(sent<TaskFinished>(F.endRun(1), C).size() == 1);
  CHECK(startCount(F.from(C, start(jobId(A, "k"), 0, 1))) == 1);
}

// Guards against a task that runs twice because the former and the new holder
// both start it after a transfer.
TEST_CASE("A transferred grant hands over records and rejects queued tasks",
          "[gate]") {
  Fixture F(1);
  F.from(A, start(jobId(A, "j"), 0, 1));
  F.from(B, CloseIncarnation{A});
  F.from(B, start(jobId(A, "k"), 0, 1));
  const auto Out = F.from(B, TransferGrant{A, C});
  CHECK(sent<TasksRejected>(Out, B).at(0).Reason_ == RejectReason::NotOwner);
  CHECK(sent<IncarnationClosed>(Out, C).at(0).Jobs_.size() == 1);
  CHECK(startCount(F.from(B, start(jobId(A, "k"), 0, 1, 2))) == 0);
  F.endRun(1);
  CHECK(startCount(F.from(C, start(jobId(A, "k"), 0, 1))) == 1);
  // The grant returns to B; B's rejected start must still not run.
  F.from(C, TransferGrant{A, B});
  F.endRun(2);
  CHECK(startCount(F.from(B, start(jobId(A, "l"), 0, 1))) == 1);
  CHECK(startCount(F.from(B, start(jobId(A, "k"), 0, 1, 2))) == 0);
}

// Guards against a closed incarnation that may start tasks again after the
// retention of its records.
TEST_CASE("A closed incarnation stays closed", "[gate]") {
  Fixture F(4);
  F.from(B, CloseIncarnation{A});
  const Time Later = T0 + std::chrono::hours(24);
  F.Controller_.onTimer(Later);
  CHECK(
      sent<YouAreClosed>(F.Controller_.onEntryConnected(A, Later), A).size() ==
      1);
  CHECK(startCount(F.from(A, start(jobId(A, "j"), 0, 1), Later)) == 0);
}

// Guards against a drain that aborts running tasks or accepts new ones.
TEST_CASE("A leaving agent rejects queued tasks and finishes running ones",
          "[gate]") {
  Fixture F(1);
  F.from(A, start(jobId(A, "j"), 0, 3));
  const auto Out = F.Controller_.onLeaving(T0);
  CHECK(sent<TasksRejected>(Out, A).at(0).Tasks_.size() == 2);
  CHECK(sent<AnnounceEndpoint>(Out, A).at(0).Info_.Leaving_);
  CHECK_FALSE(F.Controller_.drained());
  CHECK(sent<TasksRejected>(F.from(A, start(jobId(A, "j"), 5, 1)), A).size() ==
        1);
  CHECK(sent<TaskFinished>(F.endRun(1), A).size() == 1);
  CHECK(F.Controller_.drained());
}

// Guards against runs that never end because their endpoint failed.
TEST_CASE("A failed endpoint ends its runs and accepts no tasks", "[gate]") {
  Fixture F(2);
  F.from(A, start(jobId(A, "j"), 0, 3));
  const auto Out = F.Controller_.onEndpointFailed(T0);
  CHECK(sent<TaskFinished>(Out, A).size() == 2);
  CHECK(sent<TasksRejected>(Out, A).at(0).Reason_ == RejectReason::NoEndpoint);
  CHECK(sent<AgentReport>(Out, A).at(0).Credit_ == 0);
  CHECK(F.endRun(1).empty());
  CHECK(startCount(F.from(A, start(jobId(A, "j"), 4, 1))) == 0);
  F.Controller_.onEndpointAnnounced(endpoint(2), T0);
  CHECK(startCount(F.from(A, start(jobId(A, "j"), 4, 1, 2))) == 1);
}

// Guards against a start after the deadline, and against urgent tasks that wait
// behind tasks of lower classes.
TEST_CASE("The queue is ordered by class and checks deadlines", "[gate]") {
  Fixture F(1);
  F.from(A, start(jobId(A, "first"), 0, 1));
  StartTasks Low = start(jobId(A, "low"), 0, 1);
  Low.Class_ = PriorityClass(3);
  F.from(A, Low);
  StartTasks Dated = start(jobId(A, "dated"), 0, 1);
  Dated.Deadline_ = std::chrono::milliseconds(5);
  F.from(A, Dated);
  F.from(A, start(jobId(A, "urgent"), 0, 1));
  const Time Later = T0 + std::chrono::milliseconds(5);
  const auto Out =
      F.Controller_.onRunFinished(RunId(1), RunOutcome::Success, "", {}, Later);
  CHECK(outputs<RunTask>(Out).at(0).Job_.Key_ == JobKey("urgent"));
  CHECK(sent<TasksRejected>(Out, A).at(0).Reason_ == RejectReason::Deadline);
}

// Guards against cancelled tasks that start, and against cancellation of tasks
// of other jobs.
TEST_CASE("Cancelling a job rejects its queued and stops its running tasks",
          "[gate]") {
  Fixture F(1);
  F.from(A, start(jobId(A, "j"), 0, 3));
  F.from(A, start(jobId(A, "k"), 0, 1));
  CHECK(outputs<StopTask>(F.from(B, CancelTasks{jobId(A, "j"), {}})).empty());
  const auto Out = F.from(A, CancelTasks{jobId(A, "j"), {}});
  CHECK(outputs<StopTask>(Out).size() == 1);
  CHECK(sent<TasksRejected>(Out, A).at(0).Tasks_.size() == 2);
  CHECK(F.Controller_.queued() == 1);
}

// Guards against rejections because several entries send starts for the same
// free capacity.
TEST_CASE("Capacity is divided by demand, urgent tasks first", "[gate]") {
  Fixture F(4, {4, 1000, std::chrono::minutes(10)});
  const auto Credit = [](const StartControllerOutputs &Out, const EntryId &E) {
    return sent<AgentReport>(Out, E).at(0).Credit_;
  };
  F.from(A, Demand{{{PriorityClass(1), 30}}});
  const auto Low = F.from(B, Demand{{{PriorityClass(1), 10}}});
  CHECK(sent<AgentReport>(Low, A).empty());
  F.from(A, start(jobId(A, "j"), 0, 8));
  F.from(C, Demand{{{PriorityClass(0), 2}}});
  std::uint32_t ForA = 0;
  std::uint32_t ForB = 0;
  for (std::uint64_t Run = 1; Run <= 6; ++Run) {
    const auto Out = F.endRun(Run);
    for (const auto &R : sent<AgentReport>(Out, A))
      ForA = R.Credit_;
    for (const auto &R : sent<AgentReport>(Out, B))
      ForB = R.Credit_;
    if (Run == 2)
      CHECK(Credit(Out, C) == 2);
  }
  // The urgent class got the first two slots; the rest was divided by demand.
  CHECK(ForA + ForB == 4);
  CHECK(ForB == 1);
}

// Guards against capacity that stays idle because it is reserved for an
// unreachable entry, and against loss of the entry's demand when it is
// reachable again.
TEST_CASE("An unreachable entry reserves no capacity", "[gate]") {
  Fixture F(4, {0, 1000, std::chrono::minutes(10)});
  const auto Credit = [](const StartControllerOutputs &Out, const EntryId &E) {
    const auto Reports = sent<AgentReport>(Out, E);
    return Reports.empty() ? 0 : Reports.back().Credit_;
  };
  F.from(A, Demand{{{PriorityClass(1), 100}}});
  F.from(B, Demand{{{PriorityClass(1), 100}}});
  CHECK(Credit(F.Controller_.onEntryUnreachable(A, true, T0), B) == 4);
  F.Controller_.onEntryUnreachable(A, false, T0);
  CHECK(Credit(F.from(B, Demand{}), A) == 4);
}
