#include "dispatcher_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;
using std::chrono::milliseconds;

// Guards against an answer before the last task, or none after it.
TEST_CASE("A job is completed with its last task", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.addAgent("b", 4, at(0));
  B.Dispatcher_.submit(B.job("j", 3), at(1));
  B.take();
  REQUIRE(B.Starts_.size() == 3);
  B.end(B.Starts_[0], RunEnding::Done, at(100));
  B.end(B.Starts_[1], RunEnding::Done, at(110));
  CHECK(B.Answers_.empty());
  B.end(B.Starts_[2], RunEnding::Done, at(120));
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Ending_ == JobEnding::Completed);
  CHECK(B.Dispatcher_.jobs() == 0);
}

// Guards against too many starts at an endpoint whose last report does not
// account for the latest ones yet.
TEST_CASE("Orders on their way count against the room", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 3, at(0));
  B.addAgent("b", 3, at(0));
  for (int I = 0; I < 8; ++I)
    B.Dispatcher_.submit(B.job("j" + std::to_string(I), 1), at(1));
  B.take();
  CHECK(B.Starts_.size() == 6);
}

// Guards against a refusal that comes late or without a Retry-After time, and
// against a Refused answer for a job that may have run.
TEST_CASE("A job without room is refused while it has not run",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 2, at(0));
  B.Dispatcher_.submit(B.job("first", 2), at(1));
  B.Dispatcher_.submit(B.job("second", 1), at(1));
  B.take();
  REQUIRE(B.Starts_.size() == 2);
  // The job may wait for 60 % of its slack of 180 ms; the objective is 380 ms.
  B.Dispatcher_.onTimer(at(150));
  B.take();
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Ending_ == JobEnding::Refused);
  REQUIRE(B.Answers_[0].RetryAfter_);
  CHECK(*B.Answers_[0].RetryAfter_ >= std::chrono::seconds(1));
  // The first job has dispatched runs, so the answer at its deadline is
  // Unknown.
  for (std::int64_t Ms = 100; Ms < 1900; Ms += 100) {
    B.report("a", 2, 0, at(Ms));
    B.Dispatcher_.onTimer(at(Ms));
  }
  B.Dispatcher_.onTimer(at(2000));
  B.take();
  REQUIRE(B.Answers_.size() == 2);
  CHECK(B.Answers_[1].Ending_ == JobEnding::Unknown);
  CHECK(B.Stops_.size() == 2);
}

// Guards against callers that wait until their timeout for a service without an
// endpoint.
TEST_CASE("A job of a service without endpoints is refused at once",
          "[dispatcher]") {
  DispatcherFixture B;
  B.Dispatcher_.submit(B.job("j", 1), at(1));
  B.take();
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Code_ == "no_endpoint");
}

// Guards against refusing, after a loss of all power, every job that arrives in
// the moment between the start of the entry and its first link to an agent.
TEST_CASE("A job waits for the first endpoint after the start of the entry",
          "[dispatcher]") {
  DispatcherFixture B;
  B.Dispatcher_.onTimer(at(0));
  B.Dispatcher_.submit(B.job("a", 1), at(20));
  B.take();
  CHECK(B.Answers_.empty());
  B.addAgent("w1", 4, at(60));
  B.take();
  CHECK(B.Starts_.size() == 1);

  DispatcherFixture Late;
  Late.Dispatcher_.onTimer(at(0));
  Late.Dispatcher_.submit(Late.job("a", 1), at(501));
  Late.take();
  REQUIRE(Late.Answers_.size() == 1);
  CHECK(Late.Answers_[0].Code_ == "no_endpoint");
}

// Guards against refusals after a single missed answer of the only endpoint.
TEST_CASE("A job waits for an endpoint that was there a moment ago",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 2, at(0));
  B.Dispatcher_.submit(B.job("first", 1), at(1));
  B.Dispatcher_.onAgentSuspected(agentId("a"), true, at(10));
  B.Dispatcher_.submit(B.job("second", 1), at(20));
  B.take();
  CHECK(B.Answers_.empty());
  B.report("a", 2, 1, at(60));
  B.take();
  CHECK(B.Starts_.size() == 2);
}

// Guards against a job that waits although the queue ahead of it already makes
// it late.
TEST_CASE("A job behind a long queue is refused at once", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 2, at(0));
  B.Dispatcher_.submit(B.job("running", 2), at(1));
  B.Dispatcher_.submit(B.job("waiting", 2), at(1));
  B.Dispatcher_.submit(B.job("late", 1), at(2));
  B.take();
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Code_ == "overloaded");
}

// Guards against less urgent jobs that start before more urgent ones.
TEST_CASE("Waiting jobs start in the order of their classes", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 2, at(0));
  B.Dispatcher_.submit(B.job("running", 2), at(1));
  B.Dispatcher_.submit(B.job("later", 1, 2), at(2));
  B.Dispatcher_.submit(B.job("urgent", 1, 0), at(3));
  B.take();
  REQUIRE(B.Starts_.size() == 2);
  B.end(B.Starts_[0], RunEnding::Done, at(10));
  B.report("a", 2, 1, at(11));
  B.take();
  REQUIRE(B.Starts_.size() == 3);
  CHECK(B.Starts_[2].second.Job_ == JobKey("urgent"));
}

// Guards against wide jobs that never start because narrow ones take each free
// slot.
TEST_CASE("A wide job at the head takes places one by one", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.Dispatcher_.submit(B.job("running", 4), at(1));
  B.Dispatcher_.submit(B.job("wide", 3), at(2));
  B.Dispatcher_.submit(B.job("narrow", 1), at(3));
  B.take();
  REQUIRE(B.Starts_.size() == 4);
  for (std::uint32_t I = 0; I < 2; ++I) {
    B.end(B.Starts_[I], RunEnding::Done, at(10 + I));
    B.report("a", 4, 1, at(10 + I));
    B.take();
  }
  REQUIRE(B.Starts_.size() == 6);
  CHECK(B.Starts_[4].second.Job_ == JobKey("wide"));
  CHECK(B.Starts_[5].second.Job_ == JobKey("wide"));
}

// Guards against a failing job that is run without end, and against a job that
// fails because an endpoint rejected a run.
TEST_CASE("A task fails its job after its attempts", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.addAgent("b", 4, at(0));
  B.Dispatcher_.submit(B.job("j", 1), at(1));
  B.take();
  B.end(B.Starts_.at(0), RunEnding::NoRoom, at(2));
  B.end(B.Starts_.at(1), RunEnding::Failed, at(3));
  CHECK(B.Answers_.empty());
  // The second run goes to the other endpoint.
  REQUIRE(B.Starts_.size() == 3);
  CHECK(B.Starts_[2].first.Name_ != B.Starts_[1].first.Name_);
  B.end(B.Starts_[2], RunEnding::Failed, at(4));
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Ending_ == JobEnding::Failed);
}

// Guards against two simultaneous runs of a task: the runs of a lost agent may
// continue until both leases have expired.
TEST_CASE("Runs of a lost agent are repeated after both leases",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.Dispatcher_.submit(B.job("j", 1), at(0));
  B.take();
  REQUIRE(B.Starts_.size() == 1);
  B.addAgent("b", 4, at(10));
  B.Dispatcher_.onAgentLost(agentId("a"), at(20));
  const DispatchLimits L;
  const auto Leases = std::chrono::duration_cast<milliseconds>(
                          L.Leases_.Owner_ + L.Leases_.Endpoint_)
                          .count();
  for (std::int64_t Ms = 100; Ms <= Leases; Ms += 100) {
    B.report("b", 4, 4, at(Ms));
    B.Dispatcher_.onTimer(at(Ms));
    B.take();
    CHECK(B.Starts_.size() == 1);
  }
  B.report("b", 4, 4, at(Leases + 200));
  B.Dispatcher_.onTimer(at(Leases + 200));
  B.take();
  REQUIRE(B.Starts_.size() == 2);
  CHECK(B.Starts_[1].first.Name_ == "b");
}

// Guards against runs whose owner lease is not renewed, so that their agent
// stops them: the release of runs from before a lost session was subtracted
// from the runs that the same agent was given since. Seen in review/5.
TEST_CASE("Runs of a lost session do not count against the next",
          "[dispatcher]") {
  DispatcherFixture D;
  D.addAgent("a", 8, at(0));
  const JobNumber Old = D.Dispatcher_.submit(D.job("old", 2), at(0));
  D.Dispatcher_.onAgentLost(agentId("a"), at(100));
  D.addAgent("a", 8, at(200));
  D.Dispatcher_.submit(D.job("new", 1), at(210));
  D.take();
  REQUIRE(D.Starts_.size() == 3);
  D.Dispatcher_.cancel(Old, "caller_gone", at(300));
  D.report("a", 8, 7, at(500));
  D.Dispatcher_.onTimer(at(510));
  D.take();
  CHECK(D.Renewals_ == 1);
}

// Guards against a wait for both leases although a later incarnation of the
// agent has already stopped the former runs.
TEST_CASE("A usable successor of an agent frees its runs", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.Dispatcher_.submit(B.job("j", 1), at(0));
  B.take();
  B.Dispatcher_.onAgentLost(agentId("a"), at(20));
  B.addAgent("a", 4, at(200), 2);
  B.Dispatcher_.onTimer(at(210));
  B.take();
  REQUIRE(B.Starts_.size() == 2);
  CHECK(B.Starts_[1].first == agentId("a", 2));
  CHECK(B.Starts_[1].second.Attempt_ == 2);
}

// Guards against renewals of the owner lease that exceed what the agent's last
// report proves.
TEST_CASE("Holds return only a newer clock of the agent", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.Dispatcher_.submit(B.job("j", 1), at(1));
  B.Dispatcher_.onTimer(at(200));
  B.take();
  CHECK(B.Renewals_ == 0);
  B.report("a", 4, 3, at(210));
  B.Dispatcher_.onTimer(at(340));
  B.take();
  CHECK(B.Renewals_ == 1);
}

// Guards against slow runs that make their job late, against a second run
// before the first has ended, and against moves that gain nothing.
TEST_CASE("A slow run is stopped and its task run elsewhere", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.addAgent("b", 4, at(0));
  B.Dispatcher_.submit(B.job("j", 1), at(1));
  B.take();
  REQUIRE(B.Starts_.size() == 1);
  const auto First = B.Starts_[0];
  const auto Slow = [&](std::int64_t RemainingMs, Time Now) {
    B.Dispatcher_.onMessage(
        First.first, SlowRuns{{{First.second, milliseconds(RemainingMs)}}},
        Now);
    B.take();
  };
  Slow(250, at(100));
  CHECK(B.Stops_.empty());
  Slow(900, at(200));
  REQUIRE(B.Stops_.size() == 1);
  CHECK(B.Starts_.size() == 1);
  B.end(First, RunEnding::Stopped, at(260));
  REQUIRE(B.Starts_.size() == 2);
  CHECK(B.Starts_[1].first.Name_ != First.first.Name_);
}

// Guards against runs that continue after their callers have disconnected.
TEST_CASE("The runs of a cancelled job are stopped", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  const JobNumber Number = B.Dispatcher_.submit(B.job("j", 2), at(1));
  B.Dispatcher_.cancel(Number, "caller_gone", at(50));
  B.take();
  CHECK(B.Stops_.size() == 2);
  CHECK(B.Dispatcher_.jobs() == 0);
  // The ends of its runs are ignored.
  B.end(B.Starts_[0], RunEnding::Stopped, at(60));
  CHECK(B.Answers_.size() == 1);
}

// Guards against a second job when a caller repeats its request.
TEST_CASE("A repeated key joins the live job", "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  const JobNumber First = B.Dispatcher_.submit(B.job("j", 1), at(1));
  CHECK(B.Dispatcher_.submit(B.job("j", 1), at(2)) == First);
  B.take();
  CHECK(B.Starts_.size() == 1);
}

// Guards against an endpoint that fails every run and still gets new ones.
TEST_CASE("A failing endpoint is set aside", "[dispatcher]") {
  DispatcherFixture B;
  for (const char *Name : {"a", "b", "c", "d"})
    B.addAgent(Name, 10, at(0));
  EndpointReport R;
  R.Service_ = ServiceName("tasks");
  R.Capacity_ = R.Free_ = {10000, 100000, 0};
  R.Usable_ = true;
  R.FailedPermille_ = 900;
  R.AgentClock_ = 1000;
  B.Dispatcher_.onMessage(agentId("a"), R, at(1));
  B.Dispatcher_.onTimer(at(100));
  for (int I = 0; I < 12; ++I)
    B.Dispatcher_.submit(B.job("j" + std::to_string(I), 1), at(101));
  B.take();
  const auto AtA =
      std::count_if(B.Starts_.begin(), B.Starts_.end(),
                    [](const auto &S) { return S.first.Name_ == "a"; });
  CHECK(AtA <= 1);
  CHECK(B.Starts_.size() == 12);
}

// Guards against a kind of task that fails everywhere and ejects the whole
// fleet.
TEST_CASE("A fault of all endpoints sets none aside", "[dispatcher]") {
  DispatcherFixture B;
  for (const char *Name : {"a", "b", "c"}) {
    B.addAgent(Name, 10, at(0));
    EndpointReport R;
    R.Service_ = ServiceName("tasks");
    R.Capacity_ = R.Free_ = {10000, 100000, 0};
    R.Usable_ = true;
    R.FailedPermille_ = 800;
    R.AgentClock_ = 1000;
    B.Dispatcher_.onMessage(agentId(Name), R, at(1));
  }
  B.Dispatcher_.onTimer(at(100));
  B.Dispatcher_.submit(B.job("j", 9), at(101));
  B.take();
  CHECK(B.Starts_.size() == 9);
}

// Guards against the end of a run of a cancelled job being attributed to the
// run of its resubmission, whose task would then run a second time elsewhere.
// Found by the simulation of runs, seed 282.
TEST_CASE("The end of a run of an earlier submission says nothing",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  const JobNumber First = B.Dispatcher_.submit(B.job("j", 1), at(1));
  B.take();
  REQUIRE(B.Starts_.size() == 1);
  B.Dispatcher_.cancel(First, "caller_gone", at(100));
  B.Dispatcher_.submit(B.job("j", 1), at(200));
  B.take();
  REQUIRE(B.Starts_.size() == 2);
  B.end(B.Starts_[0], RunEnding::Stopped, at(210));
  CHECK(B.Starts_.size() == 2);
  B.end(B.Starts_[1], RunEnding::Done, at(400));
  REQUIRE(B.Answers_.size() == 2);
  CHECK(B.Answers_[1].Ending_ == JobEnding::Completed);
}

// Guards against a run for a caller that has given up while this process was
// paused, and that may have submitted the job elsewhere.
TEST_CASE("A job that its caller may have abandoned is refused",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  IdempotentJob Old = B.job("old", 1);
  Old.Age_ = milliseconds(2000);
  B.Dispatcher_.submit(Old, at(1));
  IdempotentJob Recent = B.job("recent", 1);
  Recent.Age_ = milliseconds(500);
  B.Dispatcher_.submit(Recent, at(1));
  B.take();
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Ending_ == JobEnding::Refused);
  REQUIRE(B.Starts_.size() == 1);
  CHECK(B.Starts_[0].second.Job_ == JobKey("recent"));
}

// Load pattern: an entry of a large fleet has few runs of its own, and a wide
// job finds no room at once. Guards against a refusal although the rest of the
// fleet frees enough room in time.
TEST_CASE("A wide job may wait at an entry with few runs", "[dispatcher]") {
  DispatcherFixture B;
  for (const char *Name : {"a", "b", "c", "d"})
    B.addAgent(Name, 4, at(0));
  B.Dispatcher_.submit(B.job("own", 1), at(1));
  B.take();
  for (const char *Name : {"a", "b", "c", "d"})
    B.report(Name, 4, 0, at(50));
  B.end(B.Starts_.at(0), RunEnding::Done, at(100));
  B.Dispatcher_.submit(B.job("wide", 8), at(101));
  B.take();
  CHECK(B.Dispatcher_.jobs() == 1);
  // The next ones, behind a queue, are refused.
  B.Dispatcher_.submit(B.job("second", 8), at(102));
  B.take();
  CHECK(B.Dispatcher_.jobs() == 1);
}
