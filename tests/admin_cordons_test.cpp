#include "admin_cordons.h"
#include "config_check.h"
#include "digest.h"

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
  // The second read shows that no record follows.
  FollowerOutputs append(const std::string &Data) {
    Log_.push_back(Data);
    FollowerOutputs Out = read();
    FollowerOutputs Last = read();
    Out.insert(Out.end(), Last.begin(), Last.end());
    return Out;
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
// of one zone, of which each operator lifts their own.
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

// Guards against the answer "accepted" to an edit that was never applied,
// because its id is that of another one.
TEST_CASE_METHOD(AdminFixture, "An id is that of one edit", "[cordon]") {
  const auto Put = [&](const char *Zone) {
    return call("PUT", "/v1/cordons/a", "ada-token",
                R"({"id":"one","zone":")" + std::string(Zone) + R"("})");
  };
  append(encodeRecord(publication(Put("z1")).Change_));
  CHECK(status(Put("z1")) == 200);
  const AdminResult Other = Put("z2");
  CHECK(status(Other) == 409);
  CHECK_THAT(std::get<HttpResponse>(Other.Action_).Body_,
             Catch::Contains("id_used"));
  const AdminResult Lift =
      call("DELETE", "/v1/cordons/a", "ada-token", R"({"id":"one"})");
  CHECK(status(Lift) == 409);
  REQUIRE(Lift.Event_);
  CHECK_THAT(Lift.Event_->str(), Catch::Contains("outcome=id_used"));
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
  CHECK_FALSE(publication(Again).IsUnchanged_);
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
  const ChangeRecord Again = publication(Next).Change_;
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
  const AdminResult Repeated = applyCordonEdit(*First.Edit_, view());
  CHECK(status(Repeated) == 200);
  REQUIRE(Repeated.Event_);
  CHECK_THAT(Repeated.Event_->str(), Catch::Contains("outcome=repeated") &&
                                         Catch::Contains("version=3"));
}

// Guards against a cordon that an operator sets whose right was withdrawn by
// the change that made the first attempt stale, and against an audit event that
// names another outcome than the answer.
TEST_CASE_METHOD(AdminFixture, "A repeated attempt needs the right",
                 "[cordon]") {
  const AdminPublish First = publication(
      call("PUT", "/v1/cordons/a", "ada-token", R"({"zone":"z1"})"));
  std::string Toml = operatorsToml();
  const std::string Role = "\"publisher\"";
  Toml.replace(Toml.find(Role), Role.size(), "\"reader\"");
  Toml += "[[operator]]\nname = \"cy\"\nrole = \"publisher\"\n"
          "token_sha256 = \"" +
          sha256Hex("cy-token") + "\"\n";
  append(encodeRecord(change("demote", 1, Toml)));
  REQUIRE(Follower_.stateMachine().version() == ConfigVersion(2));
  const AdminResult Demoted = applyCordonEdit(*First.Edit_, view());
  CHECK(status(Demoted) == 403);
  REQUIRE(Demoted.Event_);
  CHECK_THAT(Demoted.Event_->str(), Catch::Contains("outcome=forbidden"));
  CordonEdit Removed = *First.Edit_;
  Removed.Author_ = "dan";
  CHECK(status(applyCordonEdit(Removed, view())) == 403);
  CordonEdit Invalid = *First.Edit_;
  Invalid.Author_ = "cy";
  Invalid.Name_ = "A";
  const AdminResult Refused = applyCordonEdit(Invalid, view());
  CHECK(status(Refused) == 422);
  REQUIRE(Refused.Event_);
  CHECK_THAT(Refused.Event_->str(), Catch::Contains("outcome=refused_invalid"));
}

// Guards against "the operator was removed" at an entry that restarted and has
// its configuration from peers, but has not read the log yet.
TEST_CASE_METHOD(AdminFixture, "A follower that is behind withdraws no right",
                 "[cordon]") {
  const AdminPublish First = publication(
      call("PUT", "/v1/cordons/a", "ada-token", R"({"zone":"z1"})"));
  const ConfigFollower Restarted{FollowerOptions()};
  AdminView View = view();
  View.Follower_ = &Restarted;
  CHECK(std::holds_alternative<AdminPublish>(
      applyCordonEdit(*First.Edit_, View).Action_));
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
