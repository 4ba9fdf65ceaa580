#include "job_owner.h"

#include <catch2/catch.hpp>

using namespace chivelanding;
using namespace std::chrono_literals;

namespace {

const EntryId Self{"entry", Incarnation(1)};
const EntryId Lost{"lost", Incarnation(9)};
const AgentId A{"a", Incarnation(2)};
const AgentId B{"b", Incarnation(3)};
const Time T0{};

template <typename T> std::vector<T> outputs(const OwnerOutputs &Out) {
  std::vector<T> Found;
  for (const auto &O : Out)
    if (const auto *F = std::get_if<T>(&O))
      Found.push_back(*F);
  return Found;
}

template <typename T>
std::vector<T> sent(const OwnerOutputs &Out, const AgentId &To) {
  std::vector<T> Found;
  for (const SendToAgent &S : outputs<SendToAgent>(Out))
    if (S.To_ == To)
      if (const auto *M = std::get_if<T>(&S.Message_))
        Found.push_back(*M);
  return Found;
}

bool logged(const OwnerOutputs &Out, const EventType &Type) {
  for (const LogEvent &L : outputs<LogEvent>(Out))
    if (L.Event_.Type_ == &Type)
      return true;
  return false;
}

JobAnswer answer(const OwnerOutputs &Out) {
  const auto Answers = outputs<SendAnswer>(Out);
  REQUIRE(Answers.size() == 1);
  return Answers[0].Answer_;
}

JobSpec spec(const OwnerToken &Token, const char *Key, int Tasks) {
  JobSpec Spec;
  Spec.Id_ = {TeamName("team"), Token, JobKey(Key)};
  Spec.Service_ = ServiceName("service");
  Spec.Kind_ = KindName("kind");
  for (int I = 0; I < Tasks; ++I)
    Spec.Tasks_.push_back({"t" + std::to_string(I), "payload", {}});
  return Spec;
}

// A job owner whose agents have the free capacity that the test sets.
struct Fixture {
  Scheduler Sched_;
  JobOwner Owner_;
  explicit Fixture(OwnerLimits Limits = {})
      : Owner_(Self, Limits, Sched_, T0, 42) {}

  OwnerOutputs addAgent(const AgentId &Agent, std::uint32_t Credit) {
    EndpointInfo Info;
    Info.Service_ = ServiceName("service");
    Info.Slots_ = Credit;
    Owner_.onAgentUp(Agent, Info, T0);
    return Owner_.onAgentMessage(Agent, AgentReport{Credit, 0, Credit, 0}, T0);
  }
  JobSpec spec(const char *Key, int Tasks) {
    return ::spec(Owner_.token(T0), Key, Tasks);
  }
  OwnerOutputs submit(JobSpec Spec, std::uint64_t Reply = 1, Time Now = T0) {
    return Owner_.onSubmit(std::move(Spec), ReplyId(Reply), Now);
  }
  OwnerOutputs endTask(const JobId &Job, std::uint32_t Index,
                       const AgentId &Agent,
                       RunOutcome Outcome = RunOutcome::Success,
                       std::string Result = "r") {
    return Owner_.onAgentMessage(
        Agent,
        TaskFinished{Job, TaskIndex(Index), Outcome, std::move(Result), {}},
        T0);
  }
  OwnerOutputs reject(const JobId &Job, std::uint32_t Index,
                      const AgentId &Agent, std::uint32_t Attempt,
                      RejectReason Reason = RejectReason::NoRoom) {
    return Owner_.onAgentMessage(
        Agent, TasksRejected{Job, {TaskIndex(Index)}, Reason, Attempt}, T0);
  }
  // Checks that a withdrawal was sent instead of an answer, and confirms it.
  OwnerOutputs confirmWithdrawal(const OwnerOutputs &Out, const JobId &Job,
                                 const AgentId &Agent) {
    CHECK(outputs<SendAnswer>(Out).empty());
    REQUIRE(sent<WithdrawJobs>(Out, Agent).size() == 1);
    CHECK(sent<WithdrawJobs>(Out, Agent)[0].Jobs_ == std::vector<JobId>{Job});
    return Owner_.onAgentMessage(Agent, JobsWithdrawn{{Job}}, T0);
  }
};

} // namespace

// Guards against acceptance of jobs that cannot be answered.
TEST_CASE("Malformed submissions are refused with an error code", "[owner]") {
  Fixture F;
  const auto Code = [&](JobSpec Spec) {
    const JobAnswer A = answer(F.submit(std::move(Spec)));
    CHECK(A.Outcome_ == Outcome::NotRun);
    return A.Code_;
  };
  CHECK(Code(F.spec("a", 1701)) == "too_many_tasks");
  CHECK(Code(F.spec("a", 0)) == "empty_job");
  JobSpec Twice = F.spec("a", 2);
  Twice.Tasks_[1].Id_ = "t0";
  CHECK(Code(Twice) == "duplicate_task_id");
  CHECK(F.Owner_.records() == 0);
  CHECK(outputs<SendAnswer>(F.submit(F.spec("a", 1700))).empty());
}

// Guards against a second run of a job whose late resubmission is taken for a
// new job, and against records that are kept forever.
TEST_CASE("Records are kept until their epoch expires", "[owner]") {
  Fixture F;
  F.addAgent(A, 4);
  const JobSpec Spec = F.spec("a", 1);
  F.submit(Spec);
  F.endTask(Spec.Id_, 0, A);
  F.Owner_.onTimer(T0 + 179s);
  CHECK(answer(F.submit(Spec, 2, T0 + 179s)).Outcome_ == Outcome::Completed);
  const auto Over = F.Owner_.onTimer(T0 + 180s);
  CHECK(sent<EpochsExpired>(Over, A).at(0).Oldest_ == Epoch(1));
  CHECK(F.Owner_.records() == 0);
  const JobAnswer Late = answer(F.submit(Spec, 3, T0 + 180s));
  CHECK(Late.Outcome_ == Outcome::Unknown);
  CHECK(Late.Code_ == "token_expired");
}

// Guards against agents that drop the records of a job that is still open.
TEST_CASE("An epoch does not expire while one of its jobs is open", "[owner]") {
  Fixture F;
  F.addAgent(A, 4);
  F.submit(F.spec("a", 1));
  CHECK(sent<EpochsExpired>(F.Owner_.onTimer(T0 + 600s), A).empty());
  CHECK(F.Owner_.records() == 1);
}

// Guards against unbounded memory for results, and against a second run of a
// job whose results were evicted.
TEST_CASE("Evicted results are answered as unknown", "[owner]") {
  OwnerLimits Limits;
  Limits.ResultBytes_ = 20;
  Fixture F(Limits);
  F.addAgent(A, 4);
  for (const char *Key : {"a", "b"}) {
    F.submit(F.spec(Key, 1));
    F.endTask(F.spec(Key, 1).Id_, 0, A, RunOutcome::Success, "0123456789");
  }
  CHECK(F.Owner_.retainedBytes() <= 20);
  CHECK(answer(F.submit(F.spec("a", 1), 2)).Code_ == "result_evicted");
  CHECK(answer(F.submit(F.spec("b", 1), 3)).Outcome_ == Outcome::Completed);
}

// Guards against an answer that belongs to another request: a caller uses one
// key for two requests. "not_run" would be wrong, as the first may have run.
TEST_CASE("A reused key with another body is refused as unknown", "[owner]") {
  Fixture F;
  F.submit(F.spec("a", 1));
  JobSpec Other = F.spec("a", 1);
  Other.Tasks_[0].Payload_ = "other";
  const auto Out = F.submit(Other, 2);
  CHECK(answer(Out).Code_ == "body_mismatch");
  CHECK(answer(Out).Outcome_ == Outcome::Unknown);
  CHECK(logged(Out, events::JobRefused));
  const auto Same = F.submit(F.spec("a", 1), 3);
  CHECK(outputs<SendAnswer>(Same).empty());
  CHECK(logged(Same, events::JobAttached));
}

// Guards against the answer "not_run" for a job one of whose tasks may have
// started.
TEST_CASE("A cancelled job is not_run only with proof for each task",
          "[owner]") {
  Fixture F;
  F.addAgent(A, 1);
  const JobSpec Spec = F.spec("a", 3);
  F.submit(Spec);
  const auto Out = F.Owner_.onCancel(Spec.Id_, T0);
  CHECK(sent<CancelTasks>(Out, A).size() == 1);
  CHECK(logged(Out, events::JobCancelled));
  CHECK(outputs<SendAnswer>(Out).empty());
  SECTION("rejected with proof") {
    const auto Done = F.confirmWithdrawal(
        F.reject(Spec.Id_, 0, A, 1, RejectReason::Cancelled), Spec.Id_, A);
    CHECK(answer(Done).Outcome_ == Outcome::NotRun);
    CHECK(answer(Done).Code_ == "cancelled");
    CHECK(sent<JobEnded>(Done, A).size() == 1);
  }
  SECTION("stopped while running") {
    const auto Done = F.endTask(Spec.Id_, 0, A, RunOutcome::Stopped);
    CHECK(answer(Done).Outcome_ == Outcome::PartlyRun);
    CHECK(answer(Done).Tasks_.at(0).State_ == TaskState::Failed);
    CHECK(answer(Done).Tasks_.at(1).State_ == TaskState::NotStarted);
  }
  SECTION("agent lost") {
    const auto Done = F.Owner_.onAgentLost(A, T0);
    CHECK(answer(Done).Outcome_ == Outcome::Unknown);
    CHECK(answer(Done).Tasks_.at(0).State_ == TaskState::Unknown);
  }
}

// Guards against the answer "not_run" from an entry that may have been closed
// without notice while another entry resumed and ran the job.
TEST_CASE("Without a confirming agent a withdrawn job is unknown", "[owner]") {
  Fixture F;
  F.addAgent(A, 0);
  const JobSpec Spec = F.spec("a", 1);
  F.submit(Spec);
  CHECK(sent<WithdrawJobs>(F.Owner_.onCancel(Spec.Id_, T0), A).size() == 1);
  SECTION("another agent confirms") {
    F.addAgent(B, 0);
    const auto Out = F.Owner_.onAgentLost(A, T0);
    CHECK(answer(F.confirmWithdrawal(Out, Spec.Id_, B)).Outcome_ ==
          Outcome::NotRun);
  }
  SECTION("no agent is left") {
    CHECK(answer(F.Owner_.onAgentLost(A, T0)).Outcome_ == Outcome::Unknown);
  }
}

// Guards against a second run of a task that a late rejection of an earlier
// attempt returns to the queue.
TEST_CASE("Only a rejection of the last attempt counts", "[owner]") {
  Fixture F;
  F.addAgent(A, 2);
  const JobSpec Spec = F.spec("a", 1);
  F.submit(Spec);
  const auto Again = F.reject(Spec.Id_, 0, A, 1);
  REQUIRE(sent<StartTasks>(Again, A).size() == 1);
  CHECK(sent<StartTasks>(Again, A)[0].Tasks_[0].Attempt_ == 2);
  CHECK(sent<StartTasks>(F.reject(Spec.Id_, 0, A, 1), A).empty());
  CHECK(answer(F.endTask(Spec.Id_, 0, A)).Outcome_ == Outcome::Completed);
}

// Guards against a deadline that is lost when a rejected task is queued again.
TEST_CASE("A deadline survives a rejection", "[owner]") {
  Fixture F;
  F.addAgent(A, 1);
  JobSpec Spec = F.spec("a", 1);
  Spec.Deadline_ = 100ms;
  const auto First = F.submit(Spec);
  CHECK(sent<StartTasks>(First, A).at(0).Deadline_ == Duration(100ms));
  CHECK(sent<StartTasks>(F.reject(Spec.Id_, 0, A, 1), A).empty());
  CHECK(outputs<SendAnswer>(F.Owner_.onTimer(T0 + 99ms)).empty());
  const auto Out =
      F.confirmWithdrawal(F.Owner_.onTimer(T0 + 100ms), Spec.Id_, A);
  CHECK(answer(Out).Code_ == "deadline");
  CHECK(answer(Out).Outcome_ == Outcome::NotRun);
}

// Guards against a second run of the tasks of a job that is not idempotent.
TEST_CASE("A lost agent makes its tasks unknown", "[owner]") {
  Fixture F;
  F.addAgent(A, 1);
  F.addAgent(B, 1);
  const JobSpec Spec = F.spec("a", 2);
  F.submit(Spec);
  CHECK(outputs<SendAnswer>(F.Owner_.onAgentLost(A, T0)).empty());
  const JobAnswer Done = answer(F.endTask(Spec.Id_, 1, B, RunOutcome::Success));
  CHECK(Done.Outcome_ == Outcome::Unknown);
  CHECK(Done.Code_ == "agent_lost");
  CHECK(Done.Tasks_.at(1).Result_.empty());
}

// Guards against idempotent jobs that are not retried after the loss of an
// agent, and against the answer "not_run" after a start of unknown outcome.
TEST_CASE("An idempotent job is sent again within the retry budget",
          "[owner]") {
  Fixture F;
  F.Owner_.setRetryLimits(ServiceName("service"), {0, 1, 3, 20ms, 2s});
  F.addAgent(A, 1);
  JobSpec Spec = F.spec("a", 1);
  Spec.Idempotent_ = true;
  F.submit(Spec);
  const auto LostOut = F.Owner_.onAgentLost(A, T0);
  CHECK(logged(LostOut, events::TaskRetried));
  F.addAgent(B, 1);
  CHECK(sent<StartTasks>(F.Owner_.onTimer(T0 + 9ms), B).empty());
  SECTION("the retry completes") {
    const auto Out = F.Owner_.onTimer(T0 + 20ms);
    CHECK(sent<StartTasks>(Out, B).at(0).Tasks_[0].Attempt_ == 2);
    CHECK(answer(F.endTask(Spec.Id_, 0, B)).Outcome_ == Outcome::Completed);
  }
  SECTION("the budget is used up") {
    F.Owner_.onTimer(T0 + 20ms);
    CHECK(answer(F.Owner_.onAgentLost(B, T0)).Outcome_ == Outcome::Unknown);
  }
  SECTION("cancelled before the retry") {
    CHECK(answer(F.Owner_.onCancel(Spec.Id_, T0)).Outcome_ == Outcome::Unknown);
    CHECK(sent<StartTasks>(F.Owner_.onTimer(T0 + 20ms), B).empty());
  }
}

// Guards against retry traffic that grows with the number of lost tasks, and
// against retries that all arrive at the same time.
TEST_CASE("A retry budget bounds and spreads retries", "[owner]") {
  RetryBudget Budget({0.5, 2, 3, 20ms, 50ms});
  std::mt19937_64 Random(7);
  const auto First = Budget.takeRetry(0, Random);
  const auto Second = Budget.takeRetry(0, Random);
  REQUIRE(First);
  REQUIRE(Second);
  CHECK(*First != *Second);
  CHECK(*First >= 10ms);
  CHECK(*First <= 20ms);
  CHECK_FALSE(Budget.takeRetry(0, Random));
  Budget.onRequest();
  Budget.onRequest();
  CHECK_FALSE(Budget.takeRetry(3, Random));
  CHECK(*Budget.takeRetry(2, Random) <= 50ms);
}

// Guards against new jobs at an entry that is about to stop.
TEST_CASE("A draining owner ends its jobs and accepts no new ones", "[owner]") {
  Fixture F;
  F.addAgent(A, 1);
  const JobSpec Spec = F.spec("a", 1);
  F.submit(Spec);
  F.Owner_.onDrain(T0);
  const JobAnswer Refused = answer(F.submit(F.spec("b", 1), 2));
  CHECK(Refused.Code_ == "draining");
  CHECK(Refused.Outcome_ == Outcome::NotRun);
  CHECK(Refused.RetryAfter_);
  CHECK(outputs<SendAnswer>(F.submit(Spec, 3)).empty());
  CHECK(F.Owner_.openJobs() == 1);
  CHECK(outputs<SendAnswer>(F.endTask(Spec.Id_, 0, A)).size() == 2);
  CHECK(F.Owner_.openJobs() == 0);
}

// Guards against agents that reserve capacity for entries without queued tasks,
// and against a demand message for every submission.
TEST_CASE("Lasting demand is sent once to each agent", "[owner]") {
  Fixture F;
  F.addAgent(A, 1);
  const JobSpec Spec = F.spec("a", 5);
  F.submit(Spec);
  CHECK(sent<Demand>(F.Owner_.onTimer(T0 + 9ms), A).empty());
  const auto Out = F.Owner_.onTimer(T0 + 10ms);
  CHECK(sent<Demand>(Out, A).at(0).Classes_.at(0).Waiting_ == 4);
  CHECK(sent<Demand>(F.Owner_.onTimer(T0 + 20ms), A).empty());
  F.Owner_.onCancel(Spec.Id_, T0 + 21ms);
  CHECK(sent<Demand>(F.Owner_.onTimer(T0 + 50ms), A).empty());
  const auto None = F.Owner_.onTimer(T0 + 110ms);
  CHECK(sent<Demand>(None, A).at(0).Classes_.empty());
}

// Guards against answers by an incarnation whose jobs another entry resumes.
TEST_CASE("A closed owner relays its waiting submissions to the grant holder",
          "[owner]") {
  Fixture F;
  F.addAgent(A, 1);
  const JobSpec Spec = F.spec("a", 2);
  F.submit(Spec);
  F.submit(Spec, 2);
  const auto Out = F.Owner_.onSelfClosed(Lost, T0);
  CHECK(outputs<RelayToEntry>(Out).size() == 2);
  CHECK(outputs<RelayToEntry>(Out)[0].Spec_.Tasks_.size() == 2);
  CHECK(F.endTask(Spec.Id_, 0, A).empty());
  CHECK(F.Owner_.onTimer(T0 + 1s).empty());
  CHECK(outputs<RelayToEntry>(F.submit(Spec, 3)).size() == 1);
  CHECK(F.Owner_.openJobs() == 0);
}

// Guards against an adopted job that runs a task twice or does not run one.
TEST_CASE("An adopted job keeps results, awaits runs and places other tasks",
          "[owner]") {
  Fixture F;
  AdoptedJob Job;
  Job.Spec_ = spec({Lost, Epoch(5)}, "a", 3);
  Job.Tasks_ = {{TaskState::Finished, A, "one"},
                {TaskState::Running, A, ""},
                {TaskState::NotStarted, {}, ""}};
  Job.Granted_ = {A};
  F.addAgent(A, 0);
  F.addAgent(B, 1);
  const auto Out = F.Owner_.onAdopt(Job, ReplyId(1), T0);
  CHECK(logged(Out, events::JobResumed));
  CHECK(sent<StartTasks>(Out, A).empty());
  REQUIRE(sent<StartTasks>(Out, B).size() == 1);
  CHECK(sent<StartTasks>(Out, B)[0].Tasks_.at(0).Index_ == TaskIndex(2));
  CHECK(sent<CloseIncarnation>(Out, B).at(0).Entry_ == Lost);
  CHECK(F.Owner_.hasRecord(Job.Spec_.Id_));
  F.endTask(Job.Spec_.Id_, 2, B, RunOutcome::Success, "three");
  SECTION("completes") {
    const JobAnswer Done =
        answer(F.endTask(Job.Spec_.Id_, 1, A, RunOutcome::Success, "two"));
    CHECK(Done.Outcome_ == Outcome::Completed);
    CHECK(Done.Tasks_.at(0).Result_ == "one");
    CHECK(Done.Tasks_.at(2).Result_ == "three");
  }
  SECTION("the agent of the running task is lost") {
    const JobAnswer Done = answer(F.Owner_.onAgentLost(A, T0));
    CHECK(Done.Outcome_ == Outcome::Unknown);
  }
}

// Guards against the answer "not_run" for an adopted job whose grant another
// entry has taken, as that entry may start its tasks.
TEST_CASE("A lost grant makes an adopted job unknown", "[owner]") {
  Fixture F;
  AdoptedJob Job;
  Job.Spec_ = spec({Lost, Epoch(5)}, "a", 1);
  Job.Tasks_ = {{TaskState::NotStarted, {}, ""}};
  F.addAgent(B, 1);
  F.Owner_.onAdopt(Job, ReplyId(1), T0);
  const JobAnswer Done =
      answer(F.reject(Job.Spec_.Id_, 0, B, 1, RejectReason::NotOwner));
  CHECK(Done.Outcome_ == Outcome::Unknown);
  CHECK(Done.Code_ == "grant_lost");
}

// Guards against further starts, and against an answer before the running tasks
// have ended, when the outcome of one adopted task is unknown.
TEST_CASE("An unknown task fails an adopted job and cancels its other tasks",
          "[owner]") {
  Fixture F;
  AdoptedJob Job;
  Job.Spec_ = spec({Lost, Epoch(5)}, "a", 3);
  Job.Tasks_ = {{TaskState::NotStarted, {}, ""},
                {TaskState::Unknown, {}, ""},
                {TaskState::Running, A, ""}};
  F.addAgent(A, 4);
  const auto Out = F.Owner_.onAdopt(Job, ReplyId(1), T0);
  CHECK(sent<StartTasks>(Out, A).empty());
  CHECK(sent<CancelTasks>(Out, A).size() == 1);
  const JobAnswer Done = answer(F.endTask(Job.Spec_.Id_, 2, A));
  CHECK(Done.Outcome_ == Outcome::Unknown);
  CHECK(Done.Tasks_.at(0).State_ == TaskState::NotStarted);
  CHECK(Done.Tasks_.at(1).State_ == TaskState::Unknown);
  CHECK(Done.Tasks_.at(2).State_ == TaskState::Finished);
}
