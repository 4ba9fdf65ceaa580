#include "admin_api.h"
#include "digest.h"
#include "team_auth.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chivelanding;

namespace {

std::string makeSetToml(int Running) {
  return "[[operator]]\nname = \"ada\"\nrole = \"publisher\"\n"
         "token_sha256 = \"" +
         sha256Hex("ada-token") +
         "\"\n[[operator]]\nname = \"bob\"\nrole = \"reader\"\n"
         "token_sha256 = \"" +
         sha256Hex("bob-token") +
         "\"\n[[quota]]\nname = \"q\"\nrunning = " + std::to_string(Running) +
         "\n[[team]]\nname = \"t\"\nquota = \"q\"\ntoken_sha256 = \"" +
         sha256Hex("t-token") + "\"\n[[team]]\nname = \"u\"\nquota = \"q\"\n";
}

AcceptedPtr makeState() {
  const auto State = makeAcceptedConfig(ConfigVersion(4), makeSetToml(8));
  REQUIRE(ok(State));
  return value(State);
}

HttpRequest makeRequest(const std::string &Method, const std::string &Target,
                        const std::string &Token,
                        const std::string &Body = "") {
  HttpRequest R;
  R.Method_ = Method;
  R.Target_ = Target;
  if (!Token.empty())
    R.Headers_.push_back({"authorization", "Bearer " + Token});
  R.Body_ = Body;
  return R;
}

std::string makeChangeBody(const std::string &Toml) {
  return nlohmann::json({{"base", 4}, {"reason", "more room"}, {"toml", Toml}})
      .dump();
}

struct Fixture {
  ConfigFollower Follower_{FollowerOptions()};
  AdminView View_{makeState(),
                  {{"entry", "entry", ConfigVersion(4)},
                   {"agent", "agent", ConfigVersion(3)}},
                  &Follower_};

  AdminResult call(const HttpRequest &R) const {
    return handleAdminRequest(R, View_, "new-id");
  }
  HttpResponse response(const HttpRequest &R) const {
    const AdminResult Result = call(R);
    REQUIRE(std::holds_alternative<HttpResponse>(Result.Action_));
    return std::get<HttpResponse>(Result.Action_);
  }
};

} // namespace

// Guards against responses to unauthenticated requests that differ, from which
// a client could learn which paths, operators or tokens exist.
TEST_CASE_METHOD(Fixture,
                 "Without a valid token every request is refused alike",
                 "[admin]") {
  const HttpResponse First =
      response(makeRequest("GET", "/v1/config/status", ""));
  CHECK(First.Status_ == 401);
  for (const char *Token : {"", "ada", "t-token", "ada-token "})
    for (const char *Target :
         {"/v1/config/status", "/v1/config/changes", "/nothing", "/%zz"})
      for (const char *Method : {"GET", "POST", "BREW"}) {
        INFO(Method << " " << Target << " " << Token);
        const HttpResponse R = response(makeRequest(Method, Target, Token));
        CHECK(R.Status_ == 401);
        CHECK(R.Body_ == First.Body_);
      }
  HttpRequest Other = makeRequest("GET", "/v1/config/status", "");
  Other.Headers_.push_back({"Authorization", "Basic ada-token"});
  CHECK(response(Other).Status_ == 401);
}

// Guards against a change published by an operator with the role reader, a
// change recorded under another author, and a change without an audit event.
TEST_CASE_METHOD(Fixture, "Only a publisher's valid change is published",
                 "[admin]") {
  const auto Post = [](const char *Token, const std::string &Body) {
    return makeRequest("POST", "/v1/config/changes", Token, Body);
  };
  const AdminResult Good =
      call(Post("ada-token", makeChangeBody(makeSetToml(9))));
  const auto &Change = std::get<AdminPublish>(Good.Action_).Change_;
  CHECK(Change.Author_ == "ada");
  CHECK(Change.Id_ == "new-id");
  CHECK(Change.Base_ == ConfigVersion(4));
  REQUIRE(Good.Event_);
  CHECK_THAT(Good.Event_->str(), Catch::Contains("operator=ada") &&
                                     Catch::Contains("admin_action"));
  const AdminResult Reader =
      call(Post("bob-token", makeChangeBody(makeSetToml(9))));
  CHECK(std::get<HttpResponse>(Reader.Action_).Status_ == 403);
  CHECK(Reader.Event_);
  CHECK(response(Post("ada-token", makeChangeBody("[[team]]\n"))).Status_ ==
        422);
  for (const char *Bad : {"", "[]", "{}", R"({"base":4,"toml":""})",
                          R"({"base":-1,"toml":"","reason":"r"})",
                          R"({"base":4,"toml":"","reason":"r","id":""})"})
    CHECK(response(Post("ada-token", Bad)).Status_ == 400);
}

// Guards against a refusal of a request that is repeated after its answer was
// lost. The change was accepted, and a refusal would make the operator publish
// it a second time.
TEST_CASE_METHOD(Fixture, "A repeated change has the answer of the first",
                 "[admin]") {
  Follower_.start(Time());
  ChangeRecord Change;
  Change.Id_ = "known";
  Change.Author_ = "ada";
  Change.Reason_ = "test";
  Change.Toml_ = makeSetToml(9);
  Follower_.onRead(1, {0, 1, 0, {encodeRecord(Change)}}, Time());
  REQUIRE(Follower_.stateMachine().version() == ConfigVersion(1));
  const std::string Body = nlohmann::json({{"base", 0},
                                           {"reason", "r"},
                                           {"toml", makeSetToml(9)},
                                           {"id", "known"}})
                               .dump();
  const HttpResponse R =
      response(makeRequest("POST", "/v1/config/changes", "ada-token", Body));
  CHECK(R.Status_ == 200);
  CHECK(nlohmann::json::parse(R.Body_)["version"] == 1);
}

// Guards against a status that counts processes with an older version as having
// the version in force.
TEST_CASE_METHOD(Fixture, "The status counts the processes that have a version",
                 "[admin]") {
  const HttpResponse R =
      response(makeRequest("GET", "/v1/config/status", "bob-token"));
  const auto Body = nlohmann::json::parse(R.Body_);
  CHECK(Body["version"] == 4);
  CHECK(Body["in_force"] == 1);
  CHECK(Body["of"] == 2);
  CHECK(
      response(makeRequest("POST", "/v1/config/status", "bob-token")).Status_ ==
      405);
  CHECK(response(makeRequest("GET", "/v1/config/none", "bob-token")).Status_ ==
        404);
}

// Guards against a caller that acts for another team, and against trust in the
// Chivelanding-Team header once teams have tokens.
TEST_CASE("A caller acts only for the team of its token", "[admin]") {
  const AcceptedPtr State = makeState();
  const auto TeamOf = [&](const ConfigSet &Set, const char *Token,
                          const char *Named) {
    HttpRequest R = makeRequest("POST", "/v1/jobs", Token);
    if (*Named)
      R.Headers_.push_back({"Chivelanding-Team", Named});
    const auto Team = authorizeTeam(Set, R);
    return ok(Team) ? value(Team).str() : "error " + error(Team).Code_;
  };
  CHECK(TeamOf(State->Set_, "t-token", "") == "t");
  CHECK(TeamOf(State->Set_, "t-token", "t") == "t");
  CHECK(TeamOf(State->Set_, "t-token", "u") == "error unauthorized");
  CHECK(TeamOf(State->Set_, "", "t") == "error unauthorized");
  CHECK(TeamOf(State->Set_, "", "u") == "error unauthorized");
  CHECK(TeamOf(State->Set_, "ada-token", "") == "error unauthorized");
  CHECK(TeamOf(ConfigSet(), "", "any") == "any");
  CHECK(TeamOf(ConfigSet(), "", "") == "error team_required");
}
