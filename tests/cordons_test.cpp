#include "admin_cordons.h"
#include "config_check.h"
#include "config_policy.h"
#include "digest.h"
#include "job_owner.h"
#include "start_controller.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chivelanding;

namespace {

const Time T0{};

std::string cordonToml(const std::string &Name, const std::string &Zone) {
  return "[[cordon]]\nname = \"" + Name + "\"\nzone = \"" + Zone + "\"\n";
}

std::string operatorsToml() {
  const auto Operator = [](const char *Name, const char *Role) {
    return "[[operator]]\nname = \"" + std::string(Name) + "\"\nrole = \"" +
           Role + "\"\ntoken_sha256 = \"" +
           sha256Hex(Name + std::string("-token")) + "\"\n";
  };
  return Operator("ada", "publisher") + Operator("bob", "reader");
}

ChangeRecord change(const char *Id, std::uint64_t Base, std::string Toml) {
  ChangeRecord Change{Id, ConfigVersion(Base), "eve", "test", std::move(Toml)};
  Change.UnixMs_ = 1700000000000;
  return Change;
}

// An entry's follower and view, with a log that the test feeds.
struct AdminFixture {
  ConfigFollower Follower_{FollowerOptions()};
  std::vector<std::string> Log_;
  std::uint64_t Read_ = 1;

  AdminFixture() {
    Follower_.start(T0);
    append(encodeRecord(change("first", 0, operatorsToml())));
  }
  static std::uint64_t readSequence(const FollowerOutputs &Out) {
    std::uint64_t Sequence = 0;
    for (const FollowerOutput &O : Out)
      if (const auto *Read = std::get_if<ReadLog>(&O))
        Sequence = Read->Sequence_;
    return Sequence;
  }
  // Answers the outstanding read with every record not read yet.
  FollowerOutputs read() {
    const std::uint64_t From = Follower_.stateMachine().nextOffset();
    const auto First = Log_.begin() + static_cast<std::ptrdiff_t>(From);
    FollowerOutputs Out = Follower_.onRead(
        Read_, {0, Log_.size(), From, {First, Log_.end()}}, T0);
    Read_ = readSequence(Out);
    return Out;
  }
  FollowerOutputs append(const std::string &Data) {
    Log_.push_back(Data);
    return read();
  }
  AdminView view() const {
    return {Follower_.stateMachine().state(), {}, &Follower_};
  }
  AdminResult call(const char *Method, const char *Target, const char *Token,
                   const std::string &Body = "") const {
    HttpRequest R;
    R.Method_ = Method;
    R.Target_ = Target;
    R.Headers_.push_back({"Authorization", std::string("Bearer ") + Token});
    R.Body_ = Body;
    return handleAdminRequest(R, view(), "new-id");
  }
  unsigned status(const AdminResult &R) const {
    REQUIRE(std::holds_alternative<HttpResponse>(R.Action_));
    return std::get<HttpResponse>(R.Action_).Status_;
  }
  AdminPublish publication(const AdminResult &R) const {
    REQUIRE(std::holds_alternative<AdminPublish>(R.Action_));
    return std::get<AdminPublish>(R.Action_);
  }
};

const PublishEnded *ended(const FollowerOutputs &Out) {
  for (const FollowerOutput &O : Out)
    if (const auto *End = std::get_if<PublishEnded>(&O))
      return End;
  return nullptr;
}

std::string appended(const FollowerOutputs &Out) {
  for (const FollowerOutput &O : Out)
    if (const auto *Append = std::get_if<AppendLog>(&O))
      return Append->Data_;
  return {};
}

} // namespace

// Guards against cordons without a zone, and against a refusal of two cordons
// of one zone, of which each operator lifts his own.
TEST_CASE("A cordon needs a zone, and a zone may have several", "[cordon]") {
  const auto Problem = [](const std::string &Toml) {
    const ParsedConfig Config = checkConfig({{"set", Toml}});
    return Config.Problems_.empty() ? "" : Config.Problems_[0].str();
  };
  const std::string Two = cordonToml("a", "z1") + "\n" + cordonToml("b", "z1");
  CHECK(Problem(Two).empty());
  CHECK(checkConfig({{"set", Two}}).Set_.toml() == Two);
  CHECK_THAT(Problem("[[cordon]]\nname = \"a\"\n"), Catch::Contains("zone"));
  CHECK_THAT(Problem(cordonToml("a", "Z 1")), Catch::Contains("bad name"));
  CHECK_THAT(Problem(cordonToml("a", "z") + "until = 1\n"),
             Catch::Contains("until"));
  CHECK(cordonedZones(checkConfig({{"set", Two}}).Set_).size() == 1);
}

// Guards against processes of the older version that stop before every change
// of a newer publisher, and against ones that go on past a set with cordons.
TEST_CASE_METHOD(AdminFixture, "Only sets with cordons need the new rules",
                 "[cordon]") {
  const auto Rules = [&](const char *Id, const std::string &Toml) {
    const auto Record =
        decodeRecord(appended(Follower_.publish(change(Id, 1, Toml), T0)));
    REQUIRE(ok(Record));
    return std::get<ChangeRecord>(value(Record)).Rules_;
  };
  CHECK(requiredRules(operatorsToml()) == 1);
  CHECK(requiredRules("[[cordon") == CheckRulesVersion);
  CHECK(Rules("cordon", operatorsToml() + cordonToml("a", "z1")) == 2);
}

// Guards against cordons that an operator without the right, or nobody, sets.
TEST_CASE_METHOD(AdminFixture, "Only a publisher changes cordons", "[cordon]") {
  const char *Body = R"({"zone":"z1"})";
  CHECK(status(call("GET", "/v1/cordons", "none")) == 401);
  CHECK(status(call("PUT", "/v1/cordons/a", "none", Body)) == 401);
  CHECK(status(call("PUT", "/v1/cordons/a", "bob-token", Body)) == 403);
  CHECK(status(call("DELETE", "/v1/cordons/a", "bob-token")) == 403);
  CHECK(status(call("GET", "/v1/cordons", "bob-token")) == 200);
  CHECK(status(call("POST", "/v1/cordons", "ada-token")) == 405);
  CHECK(status(call("GET", "/v1/cordons/a", "ada-token")) == 405);
  CHECK(status(call("PUT", "/v1/cordons/a/b", "ada-token", Body)) == 404);
  CHECK(status(call("PUT", "/v1/cordons/A", "ada-token", Body)) == 422);
  for (const char *Bad :
       {"", "[]", "{}", R"({"zone":1})", R"({"zone":""})",
        R"({"zone":"z1","note":1})", R"({"zone":"z1","note":"a\nb"})",
        R"({"zone":"z1","id":""})"})
    CHECK(status(call("PUT", "/v1/cordons/a", "ada-token", Bad)) == 400);
  const AdminResult Good = call("PUT", "/v1/cordons/a", "ada-token", Body);
  CHECK(publication(Good).Change_.Author_ == "ada");
  CHECK(publication(Good).Change_.Toml_.find(cordonToml("a", "z1")) !=
        std::string::npos);
  REQUIRE(Good.Event_);
  CHECK_THAT(Good.Event_->str(), Catch::Contains("operator=ada"));
  AdminView NoLog = view();
  NoLog.Follower_ = nullptr;
  HttpRequest R;
  R.Method_ = "DELETE";
  R.Target_ = "/v1/cordons/a";
  R.Headers_.push_back({"Authorization", "Bearer ada-token"});
  CHECK(status(handleAdminRequest(R, NoLog, "id")) == 503);
}

// Guards against a new version for a request that changes nothing, and against
// a second change for a request that is repeated after a lost answer.
TEST_CASE_METHOD(AdminFixture, "A request without effect publishes nothing",
                 "[cordon]") {
  const std::string Body = R"({"zone":"z1","note":"say \"why\"","id":"put"})";
  const auto Put = [&] {
    return call("PUT", "/v1/cordons/a", "ada-token", Body);
  };
  CHECK(publication(call("DELETE", "/v1/cordons/a", "ada-token")).IsUnchanged_);
  const AdminPublish First = publication(Put());
  CHECK_FALSE(First.IsUnchanged_);
  append(encodeRecord(First.Change_));
  REQUIRE(Follower_.stateMachine().version() == ConfigVersion(2));
  CHECK(status(Put()) == 200);
  CHECK(publication(call("PUT", "/v1/cordons/a", "ada-token",
                         R"({"zone":"z1","note":"say \"why\""})"))
            .IsUnchanged_);
  CHECK_FALSE(
      publication(call("DELETE", "/v1/cordons/a", "ada-token")).IsUnchanged_);
}

// Guards against the answer "unchanged" from an entry that has not read the
// change of another operator yet, whose cordon would then stay.
TEST_CASE_METHOD(AdminFixture, "An unchanged set is confirmed with the log",
                 "[cordon]") {
  const AdminPublish Lift =
      publication(call("DELETE", "/v1/cordons/a", "ada-token"));
  const std::uint64_t OldRead = Read_;
  const FollowerOutputs Begun = Follower_.confirm(Lift.Change_, T0);
  CHECK_FALSE(ended(Begun));
  Read_ = readSequence(Begun);
  REQUIRE(Read_ > OldRead);
  const FollowerOutputs Stale = append(encodeRecord(
      change("other", 1, operatorsToml() + cordonToml("a", "z1"))));
  REQUIRE(ended(Stale));
  CHECK(ended(Stale)->Outcome_ == PublishOutcome::RefusedStale);
  const auto Again = applyCordonEdit(*Lift.Edit_, view());
  REQUIRE(std::holds_alternative<AdminPublish>(Again));
  CHECK_FALSE(std::get<AdminPublish>(Again).IsUnchanged_);
  Read_ = readSequence(Follower_.confirm(change("id", 2, ""), T0));
  const FollowerOutputs Confirmed = read();
  REQUIRE(ended(Confirmed));
  CHECK(ended(Confirmed)->Outcome_ == PublishOutcome::Accepted);
  CHECK(Log_.size() == 2);
}

// Guards against a cordon that is lost because another operator's change came
// first, or that undoes this change, and against a late copy of the first
// record that ends the second attempt.
TEST_CASE_METHOD(AdminFixture, "A stale cordon is made again", "[cordon]") {
  const AdminPublish First = publication(
      call("PUT", "/v1/cordons/a", "ada-token", R"({"zone":"z1"})"));
  const std::string Copy = appended(Follower_.publish(First.Change_, T0));
  Log_.push_back(encodeRecord(
      change("other", 1, operatorsToml() + cordonToml("b", "z2"))));
  const FollowerOutputs Stale = append(Copy);
  REQUIRE(ended(Stale));
  CHECK(ended(Stale)->Outcome_ == PublishOutcome::RefusedStale);
  const auto Next = applyCordonEdit(*First.Edit_, view());
  REQUIRE(std::holds_alternative<AdminPublish>(Next));
  const ChangeRecord &Again = std::get<AdminPublish>(Next).Change_;
  CHECK(Again.Id_ == First.Change_.Id_);
  CHECK(Again.Base_ == ConfigVersion(2));
  const std::string Data = appended(Follower_.publish(Again, T0));
  CHECK_FALSE(ended(append(Copy)));
  const FollowerOutputs Done = append(Data);
  REQUIRE(ended(Done));
  CHECK(ended(Done)->Outcome_ == PublishOutcome::Accepted);
  CHECK(ended(Done)->Version_ == ConfigVersion(3));
  CHECK(cordonedZones(Follower_.stateMachine().state()->Set_).size() == 2);
  // Another operator lifts it; a repetition of the request must not set it.
  append(encodeRecord(change("lift", 3, operatorsToml())));
  CHECK(std::holds_alternative<HttpResponse>(
      applyCordonEdit(*First.Edit_, view())));
}

// Guards against a list that names the wrong author of a cordon, or invents one
// when the history no longer has it.
TEST_CASE_METHOD(AdminFixture, "The list names who set a cordon", "[cordon]") {
  append(
      encodeRecord(change("set", 1, operatorsToml() + cordonToml("a", "z1"))));
  append(encodeRecord(
      change("more", 2,
             operatorsToml() + cordonToml("a", "z1") + cordonToml("b", "z1"))));
  const auto List = [&](const AdminView &V) {
    HttpRequest R;
    R.Target_ = "/v1/cordons";
    R.Headers_.push_back({"Authorization", "Bearer bob-token"});
    const AdminResult Result = handleAdminRequest(R, V, "id");
    return nlohmann::json::parse(
        std::get<HttpResponse>(Result.Action_).Body_)["cordons"];
  };
  const auto Known = List(view());
  REQUIRE(Known.size() == 2);
  CHECK(Known[0]["version"] == 2);
  CHECK(Known[1]["version"] == 3);
  CHECK(Known[0]["author"] == "eve");
  CHECK(Known[0]["time_ms"] == 1700000000000);
  AdminView Unknown = view();
  Unknown.Follower_ = nullptr;
  CHECK(List(Unknown)[0]["author"].is_null());
}

namespace {

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

// Guards against a job that has run in part and is refused as not run.
TEST_CASE_METHOD(OwnerFixture, "A job that has run in part waits on",
                 "[cordon]") {
  const JobSpec Job = spec("a", 9);
  Owner_.onSubmit(Job, ReplyId(1), T0);
  Sched_.setConfig(policy({"z1", "z2"}), T0);
  for (std::uint32_t I = 0; I < 8; ++I)
    for (const char *Zone : {"z1", "z2"})
      Owner_.onAgentMessage(
          agent(Zone),
          TaskFinished{Job.Id_, TaskIndex(I), RunOutcome::Success, "r", {}},
          T0);
  CHECK(outputs<SendAnswer>(Owner_.onTimer(T0)).empty());
  CHECK(Owner_.openJobs() == 1);
  Sched_.setConfig(policy({"z1"}), T0);
  Owner_.onAgentMessage(agent("z2"), AgentReport{4, 0, 4, 8}, T0);
  CHECK(Sched_.waiting() == 0);
}

// Guards against an entry that dispatches before it knows the cordons.
TEST_CASE_METHOD(OwnerFixture, "Nothing is placed without a configuration",
                 "[cordon]") {
  PolicyConfig Held;
  Held.HoldsPlacements_ = true;
  Sched_.setConfig(Held, T0);
  CHECK(starts(Owner_.onSubmit(spec("a", 1), ReplyId(1), T0)).empty());
  Sched_.setConfig(policy({}), T0);
  CHECK(starts(Owner_.onTimer(T0)).size() == 1);
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
  CHECK(outputs<LogEvent>(Refused).size() == 3);
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
