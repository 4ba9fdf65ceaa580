#include "config_check.h"
#include "config_policy.h"
#include "entry_core.h"
#include "start_controller.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

const Time T0{};

std::string cordonToml(const std::string &Name, const std::string &Zone) {
  return "[[cordon]]\nname = \"" + Name + "\"\nzone = \"" + Zone + "\"\n";
}

const EntryId Entry{"entry", Incarnation(1)};

AgentId agent(const char *Zone) { return {Zone, Incarnation(1)}; }

PolicyConfig policy(const std::vector<std::string> &Zones) {
  std::string Toml;
  for (const std::string &Zone : Zones)
    Toml += cordonToml(Zone, Zone);
  return makePolicy(checkConfig({{"set", Toml}}).Set_);
}

template <typename T, typename Output>
std::vector<T> outputs(const std::vector<Output> &Out) {
  std::vector<T> Found;
  for (const auto &O : Out)
    if (const auto *F = std::get_if<T>(&O))
      Found.push_back(*F);
  return Found;
}

// A job owner with an agent of four slots in each of two zones.
struct OwnerFixture {
  Scheduler Sched_;
  JobOwner Owner_{Entry, OwnerLimits(), Sched_, T0, 42};

  OwnerFixture() {
    for (const char *Zone : {"z1", "z2"}) {
      EndpointInfo Info;
      Info.Service_ = ServiceName("service");
      Info.Zone_ = ZoneName(Zone);
      Info.Slots_ = 4;
      Owner_.onAgentUp(agent(Zone), Info, T0);
      Owner_.onAgentMessage(agent(Zone), AgentReport{4, 0, 4, 0}, T0);
    }
  }
  JobSpec spec(const char *Key, int Tasks) {
    JobSpec Spec;
    Spec.Id_ = {TeamName("team"), Owner_.token(T0), JobKey(Key)};
    Spec.Service_ = ServiceName("service");
    Spec.Kind_ = KindName("kind");
    for (int I = 0; I < Tasks; ++I)
      Spec.Tasks_.push_back({"t" + std::to_string(I), "payload", {}});
    return Spec;
  }
  // Starts of the job by agent.
  static std::map<AgentId, std::size_t> starts(const OwnerOutputs &Out) {
    std::map<AgentId, std::size_t> Counts;
    for (const SendToAgent &S : outputs<SendToAgent>(Out))
      if (const auto *Start = std::get_if<StartTasks>(&S.Message_))
        Counts[S.To_] += Start->Tasks_.size();
    return Counts;
  }
};

} // namespace

// Guards against placements in a cordoned zone and against capacity that is
// counted there.
TEST_CASE_METHOD(OwnerFixture, "Nothing is placed in a cordoned zone",
                 "[cordon]") {
  Sched_.setConfig(policy({"z1"}), T0);
  const auto Cordoned = starts(Owner_.onSubmit(spec("a", 8), ReplyId(1), T0));
  CHECK(Cordoned == std::map<AgentId, std::size_t>{{agent("z2"), 4}});
  Sched_.setConfig(policy({}), T0);
  const auto Lifted = starts(Owner_.onTimer(T0));
  CHECK(Lifted == std::map<AgentId, std::size_t>{{agent("z1"), 4}});
}

// Guards against jobs that wait although every endpoint is cordoned, and
// against a refusal after the cordon was lifted.
TEST_CASE_METHOD(OwnerFixture, "With all zones cordoned new jobs are refused",
                 "[cordon]") {
  Sched_.setConfig(policy({"z1", "z2"}), T0);
  const auto Answers =
      outputs<SendAnswer>(Owner_.onSubmit(spec("a", 1), ReplyId(1), T0));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Answer_.Code_ == "zones_cordoned");
  CHECK(Answers[0].Answer_.Outcome_ == Outcome::NotRun);
  CHECK(Answers[0].Answer_.RetryAfter_);
  Sched_.setConfig(policy({"z2"}), T0);
  CHECK(starts(Owner_.onSubmit(spec("b", 1), ReplyId(2), T0)).size() == 1);
}

// Guards against a waiting job that is not refused when the last zone is
// cordoned, and against a refusal "not run" of a job that has run in part or of
// which an agent has not answered yet.
TEST_CASE_METHOD(OwnerFixture, "Waiting jobs are refused unless they have run",
                 "[cordon]") {
  const JobSpec Sent = spec("sent", 8);
  Owner_.onSubmit(Sent, ReplyId(1), T0);
  Owner_.onSubmit(spec("queued", 8), ReplyId(2), T0);
  Owner_.onSubmit(spec("waiting", 2), ReplyId(3), T0);
  Sched_.setConfig(policy({"z1", "z2"}), T0);
  const auto Withdrawn = [](const OwnerOutputs &Out) {
    std::vector<JobId> Jobs;
    for (const SendToAgent &S : outputs<SendToAgent>(Out))
      if (const auto *W = std::get_if<WithdrawJobs>(&S.Message_))
        Jobs.insert(Jobs.end(), W->Jobs_.begin(), W->Jobs_.end());
    return Jobs;
  };
  const auto First = Withdrawn(Owner_.onTimer(T0));
  CHECK(First.size() == 2);
  for (const JobId &Job : First)
    CHECK(Job != Sent.Id_);
  for (std::uint32_t I = 0; I < 8; ++I)
    for (const char *Zone : {"z1", "z2"})
      Owner_.onAgentMessage(
          agent(Zone),
          TasksRejected{Sent.Id_, {TaskIndex(I)}, RejectReason::NoEndpoint, 1},
          T0);
  CHECK(Withdrawn(Owner_.onTimer(T0)) == std::vector<JobId>{Sent.Id_});
}

// Guards against a job that has run in part and is refused as not run, or that
// is ended, with its running tasks, as if the service had no endpoint.
TEST_CASE_METHOD(OwnerFixture, "A job that has run in part waits on",
                 "[cordon]") {
  const JobSpec Job = spec("a", 9);
  const auto Finish = [&](std::uint32_t I) {
    for (const char *Zone : {"z1", "z2"})
      Owner_.onAgentMessage(
          agent(Zone),
          TaskFinished{Job.Id_, TaskIndex(I), RunOutcome::Success, "r", {}},
          T0);
  };
  Owner_.onSubmit(Job, ReplyId(1), T0);
  Sched_.setConfig(policy({"z1", "z2"}), T0);
  for (std::uint32_t I = 0; I < 7; ++I)
    Finish(I);
  for (int Second = 0; Second <= 60; ++Second) {
    const auto Out = Owner_.onTimer(T0 + std::chrono::seconds(Second));
    CHECK(outputs<SendAnswer>(Out).empty());
    for (const SendToAgent &S : outputs<SendToAgent>(Out))
      CHECK_FALSE(std::holds_alternative<CancelTasks>(S.Message_));
  }
  CHECK(Sched_.waiting() == 1);
  Finish(7);
  CHECK(Owner_.openJobs() == 1);
  const Time Lifted = T0 + std::chrono::seconds(61);
  Sched_.setConfig(policy({"z1"}), Lifted);
  Owner_.onAgentMessage(agent("z2"), AgentReport{4, 0, 4, 8}, Lifted);
  CHECK(Sched_.waiting() == 0);
}

// Guards against a job that waits on for ever once the cordon has ended without
// an endpoint, and against a wait that counts the time of the cordon.
TEST_CASE_METHOD(OwnerFixture, "Without cordoned endpoints the wait starts",
                 "[cordon]") {
  const JobSpec Job = spec("a", 9);
  Owner_.onSubmit(Job, ReplyId(1), T0);
  Sched_.setConfig(policy({"z1", "z2"}), T0);
  const Time Gone = T0 + std::chrono::seconds(30);
  for (const char *Zone : {"z1", "z2"}) {
    EndpointInfo Info;
    Info.Service_ = ServiceName("service");
    Info.Zone_ = ZoneName(Zone);
    Info.Slots_ = 4;
    Info.Leaving_ = true;
    Owner_.onAgentUp(agent(Zone), Info, Gone);
  }
  Owner_.onTimer(Gone + std::chrono::seconds(9));
  CHECK(Sched_.waiting() == 1);
  Owner_.onTimer(Gone + std::chrono::seconds(10));
  CHECK(Sched_.waiting() == 0);
}

// Guards against jobs that are admitted at the rate of the whole fleet for some
// seconds after half of it was cordoned.
TEST_CASE_METHOD(OwnerFixture, "Admission counts the reduced fleet at once",
                 "[cordon]") {
  PolicyConfig Whole = policy({});
  Whole.MaxWaiting_ = 10000;
  Whole.MaxWait_ = std::chrono::seconds(3);
  PolicyConfig Half = Whole;
  Half.Cordons_.insert(ZoneName("z1"));
  Sched_.setConfig(Whole, T0);
  const JobSpec Job = spec("a", 1);
  // Eight slots run tasks of 10 ms for 6 s; 1600 tasks are left, for 2 s.
  for (std::uint32_t I = 0; I < 6400; ++I)
    Sched_.enqueue(
        {{Job.Id_, TaskIndex(I)}, Job.Service_, Job.Kind_, {}, {}, {}}, T0);
  Time Now = T0;
  std::uint64_t Starts = 0;
  for (int Round = 0; Round < 600;
       ++Round, Now += std::chrono::milliseconds(10)) {
    for (const char *Zone : {"z1", "z2"})
      Sched_.onReport(agent(Zone), AgentReport{4, 0, 4, Starts}, Now);
    const auto Placed = Sched_.place(Now);
    REQUIRE(Placed.size() == 8);
    Starts += 4;
    for (const Placement &P : Placed)
      Sched_.onFinished(P.Task_, P.Agent_, RunOutcome::Success,
                        std::chrono::milliseconds(10), Now);
  }
  REQUIRE(Sched_.waiting() == 1600);
  CHECK_FALSE(Sched_.admitJob(Job, Now));
  Sched_.setConfig(Half, Now);
  const auto Refused = Sched_.admitJob(Job, Now);
  REQUIRE(Refused);
  CHECK(Refused->Code_ == "overloaded");
  Sched_.setConfig(Whole, Now);
  CHECK_FALSE(Sched_.admitJob(Job, Now));
}

// Guards against the ejection of most endpoints that are left in service.
TEST_CASE("Cordoned endpoints do not count for ejections", "[cordon]") {
  EndpointHealth Health;
  const ServiceName Service("service");
  const KindName Kind("kind");
  for (std::uint32_t A = 0; A < 8; ++A)
    Health.addAgent(A, Service);
  for (std::uint32_t A = 4; A < 8; ++A)
    Health.setCordoned(A, true);
  for (int Round = 0; Round < 10; ++Round)
    for (std::uint32_t A = 0; A < 8; ++A)
      Health.onFinished(A, Kind, true, T0, T0);
  for (int Round = 0; Round < 5; ++Round)
    for (std::uint32_t A = 0; A < 2; ++A)
      Health.onFinished(A, Kind, false, T0, T0);
  CHECK(Health.ejectedCount(Service) == 1);
}

// Guards against an entry that dispatches, or accepts jobs from callers or
// other entries, before it knows the cordons.
TEST_CASE_METHOD(OwnerFixture, "Nothing is placed without a configuration",
                 "[cordon]") {
  PolicyConfig Held;
  Held.HoldsPlacements_ = true;
  Sched_.setConfig(Held, T0);
  const auto Answers =
      outputs<SendAnswer>(Owner_.onSubmit(spec("a", 1), ReplyId(1), T0));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].Answer_.Code_ == "no_configuration");
  CHECK(Answers[0].Answer_.Outcome_ == Outcome::NotRun);
  CHECK(Answers[0].Answer_.RetryAfter_);
  CHECK(Owner_.openJobs() == 0);
  AdoptedJob Adopted{spec("b", 1), {{TaskState::NotStarted, {}, {}}}, {}};
  Adopted.Spec_.Id_.Token_.Owner_ = {"lost", Incarnation(1)};
  CHECK(starts(Owner_.onAdopt(Adopted, ReplyId(2), T0)).empty());
  Sched_.setConfig(policy({}), T0);
  CHECK(starts(Owner_.onTimer(T0)).size() == 1);
}

// Guards against the answer "not run" to a job that another entry or an earlier
// incarnation may have run, and against a cancellation that is dropped.
TEST_CASE("Without a configuration, foreign jobs are of unknown outcome",
          "[cordon]") {
  std::vector<JobAnswer> Answers;
  std::vector<Message> Sent;
  EntryActions Actions{
      [&](const PeerId &, Message M) { Sent.push_back(std::move(M)); },
      [&](ReplyId, const JobId &, const JobAnswer &A) { Answers.push_back(A); },
      [](const Event &) {}, [](const EntryId &) {}};
  PolicyConfig Held;
  Held.HoldsPlacements_ = true;
  EntryCore Core(Entry, OwnerLimits(), std::chrono::seconds(1), Held,
                 ZoneName("z1"), 42, Actions, T0);
  const EntryId Earlier{"entry", Incarnation(7)};
  const EntryId Other{"other", Incarnation(1)};
  Core.onPeerUp(PeerId::of(Other), T0);
  Sent.clear();
  JobSpec Spec;
  Spec.Service_ = ServiceName("service");
  Spec.Kind_ = KindName("kind");
  Spec.Tasks_ = {{"t0", "payload", {}}};
  std::uint64_t Reply = 0;
  for (const EntryId &Owner : {Earlier, Other, Entry}) {
    Spec.Id_ = {TeamName("team"), {Owner, Epoch(0)}, JobKey("a")};
    Core.onSubmit(Spec, ReplyId(++Reply), T0);
  }
  REQUIRE(Answers.size() == 3);
  for (const JobAnswer &A : Answers)
    CHECK(A.RetryAfter_);
  CHECK(Answers[0].Outcome_ == Outcome::Unknown);
  CHECK(Answers[1].Outcome_ == Outcome::Unknown);
  CHECK(Answers[2].Outcome_ == Outcome::NotRun);
  CHECK(Answers[2].Code_ == "no_configuration");
  CHECK(Sent.empty());
  Core.onCancel({TeamName("team"), {Other, Epoch(0)}, JobKey("a")}, T0);
  CHECK(outputs<RelayCancel>(Sent).size() == 1);
}

// Guards against starts in the agent's cordoned zone by an entry that does not
// know the cordon, and against a cordon that stops running tasks or leaves
// queued ones behind.
TEST_CASE("A cordoned agent starts nothing and ends what runs", "[cordon]") {
  StartController Controller({"agent", Incarnation(4)}, {});
  EndpointInfo Info;
  Info.Service_ = ServiceName("service");
  Info.Slots_ = 2;
  Controller.onEndpointAnnounced(Info, T0);
  Controller.onEntryConnected(Entry, T0);
  const auto Start = [&](const char *Key, std::uint32_t Attempt = 1) {
    StartTasks S;
    S.Job_ = {TeamName("team"), {Entry, Epoch(0)}, JobKey(Key)};
    for (std::uint32_t I = 0; I < 3; ++I)
      S.Tasks_.push_back({TaskIndex(I), "payload", Attempt});
    return Controller.onMessage(Entry, S, T0);
  };
  const auto Sent = [](const StartControllerOutputs &Out) {
    std::vector<Message> Messages;
    for (const SendToEntry &S : outputs<SendToEntry>(Out))
      Messages.push_back(S.Message_);
    return Messages;
  };
  REQUIRE(outputs<RunTask>(Start("a")).size() == 2);
  const auto Cordoned = Controller.onCordoned(true, T0);
  const auto Reports = outputs<AgentReport>(Sent(Cordoned));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Credit_ == 0);
  const auto Returned = outputs<TasksRejected>(Sent(Cordoned));
  REQUIRE(Returned.size() == 1);
  CHECK(Returned[0].Tasks_ == std::vector<TaskIndex>{TaskIndex(2)});
  CHECK(outputs<StopTask>(Cordoned).empty());
  CHECK(Controller.running() == 2);
  const auto Refused = Start("b");
  CHECK(outputs<RunTask>(Refused).empty());
  CHECK(outputs<TasksRejected>(Sent(Refused))[0].Tasks_.size() == 3);
  const auto Events = outputs<LogEvent>(Refused);
  REQUIRE(Events.size() == 1);
  CHECK_THAT(Events[0].Event_.str(), Catch::Contains("tasks=3"));
  const auto End =
      Controller.onRunFinished(RunId(1), RunOutcome::Success, "r", {}, T0);
  CHECK(outputs<TaskFinished>(Sent(End)).size() == 1);
  CHECK(Controller.onCordoned(true, T0).empty());
  const auto Lifted =
      outputs<AgentReport>(Sent(Controller.onCordoned(false, T0)));
  REQUIRE(Lifted.size() == 1);
  CHECK(Lifted[0].Credit_ > 0);
  CHECK(outputs<RunTask>(Start("b", 2)).size() == 1);
}
