#include "job_owner.h"
#include "start_controller.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

const EntryId Entry{"entry", Incarnation(1)};
const EntryId OtherEntry{"other", Incarnation(2)};
const AgentId Agent{"agent", Incarnation(3)};
const Time Start{};

EndpointInfo endpoint() {
  EndpointInfo Info;
  Info.Service_ = ServiceName("service");
  Info.Slots_ = 2;
  return Info;
}

JobSpec job(const JobOwner &Owner, const char *Key, int Tasks) {
  JobSpec Spec;
  Spec.Id_ = {TeamName("team"), Owner.token(Start), JobKey(Key)};
  Spec.Service_ = ServiceName("service");
  Spec.Kind_ = KindName("kind");
  for (int I = 0; I < Tasks; ++I)
    Spec.Tasks_.push_back({"t" + std::to_string(I), "payload", {}});
  return Spec;
}

StartTasks startOf(const EntryId &Owner, const char *Key) {
  StartTasks S;
  S.Job_ = {TeamName("team"), {Owner, Epoch(0)}, JobKey(Key)};
  S.Tasks_ = {{TaskIndex(0), "payload"}};
  return S;
}

template <typename T, typename Outputs> int count(const Outputs &Out) {
  int N = 0;
  for (const auto &O : Out)
    N += std::holds_alternative<T>(O) ? 1 : 0;
  return N;
}

// Delivers outputs between one job owner and one start controller until none is
// left. Every run succeeds at once.
struct Pair {
  Scheduler Sched_;
  JobOwner Owner_{Entry, {}, Sched_, Start};
  StartController Controller_{Agent, {}};
  int Runs_ = 0;
  std::vector<SendAnswer> Answers_;

  void apply(const OwnerOutputs &Out) {
    for (const auto &O : Out) {
      if (const auto *Send = std::get_if<SendToAgent>(&O))
        apply(Controller_.onMessage(Entry, Send->Message_, Start));
      else if (const auto *Answer = std::get_if<SendAnswer>(&O))
        Answers_.push_back(*Answer);
    }
  }
  void apply(const StartControllerOutputs &Out) {
    for (const auto &O : Out) {
      if (const auto *Send = std::get_if<SendToEntry>(&O)) {
        apply(Owner_.onAgentMessage(Agent, Send->Message_, Start));
      } else if (const auto *Run = std::get_if<RunTask>(&O)) {
        ++Runs_;
        apply(Controller_.onRunFinished(Run->Run_, RunOutcome::Success, "done",
                                        {}, Start));
      }
    }
  }
};

} // namespace

// Guards against partial answers and lost tasks without any failure.
TEST_CASE("A job of many tasks is answered completely", "[path]") {
  Pair P;
  P.apply(P.Controller_.onEndpointAnnounced(endpoint(), Start));
  P.apply(P.Controller_.onEntryConnected(Entry, Start));
  P.apply(P.Owner_.onSubmit(job(P.Owner_, "a", 20), ReplyId(1), Start));
  REQUIRE(P.Answers_.size() == 1);
  CHECK(P.Answers_[0].Answer_.Outcome_ == Outcome::Completed);
  CHECK(P.Answers_[0].Answer_.Tasks_.size() == 20);
  CHECK(P.Runs_ == 20);
}

// Guards against a second run of a job that its caller submits again because it
// got no answer.
TEST_CASE("A resubmission attaches to the same job", "[path]") {
  Pair P;
  P.apply(P.Controller_.onEndpointAnnounced(endpoint(), Start));
  P.apply(P.Controller_.onEntryConnected(Entry, Start));
  P.apply(P.Owner_.onSubmit(job(P.Owner_, "a", 3), ReplyId(1), Start));
  P.apply(P.Owner_.onSubmit(job(P.Owner_, "a", 3), ReplyId(2), Start));
  REQUIRE(P.Answers_.size() == 2);
  CHECK(P.Answers_[1].Answer_.Tasks_.size() == 3);
  CHECK(P.Runs_ == 3);
}

// Guards against a second start when a start message arrives twice.
TEST_CASE("A start controller starts a task once", "[path]") {
  StartController Controller(Agent, {});
  Controller.onEndpointAnnounced(endpoint(), Start);
  Controller.onEntryConnected(Entry, Start);
  const StartTasks S = startOf(Entry, "a");
  CHECK(count<RunTask>(Controller.onMessage(Entry, S, Start)) == 1);
  CHECK(count<RunTask>(Controller.onMessage(Entry, S, Start)) == 0);
}

// Guards against starts by an entry that does not own the job.
TEST_CASE("A start controller rejects starts from other entries", "[path]") {
  StartController Controller(Agent, {});
  Controller.onEndpointAnnounced(endpoint(), Start);
  const StartTasks S = startOf(Entry, "a");
  CHECK(count<RunTask>(Controller.onMessage(OtherEntry, S, Start)) == 0);
}

// Guards against a paused owner that continues to start tasks after another
// entry has resumed its jobs.
TEST_CASE("A closed incarnation starts nothing", "[path]") {
  StartController Controller(Agent, {});
  Controller.onEndpointAnnounced(endpoint(), Start);
  Controller.onEntryConnected(Entry, Start);
  Controller.onMessage(OtherEntry, CloseIncarnation{Entry}, Start);
  const StartTasks S = startOf(Entry, "a");
  CHECK(count<RunTask>(Controller.onMessage(Entry, S, Start)) == 0);
  CHECK(count<RunTask>(Controller.onMessage(OtherEntry, S, Start)) == 1);
}
