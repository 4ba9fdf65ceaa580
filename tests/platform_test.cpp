#include "caller_http.h"
#include "config_json.h"
#include "names.h"
#include "store_http.h"
#include "worker_http.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace chivelanding;
using namespace chivelanding::platform;
using nlohmann::json;

namespace {

const char *const Config = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"x",
  "timeoutMs":1500,"targetLatencyMs":60,"priority":2,"service":"s1",
  "attempts":3,"stretch":1.6},
 {"name":"r2","host":"h.example","pathPrefix":"/a/b/","priority":0,
  "service":"s1","attempts":4}],
 "services":[{"name":"s1"}],"limits":{}})";

DispatchConfig config() {
  const auto Decoded = ConfigJson().decode(Config);
  REQUIRE(ok(Decoded));
  return value(Decoded);
}

HttpRequest request(const char *Method, const char *Target,
                    const std::string &Body = "") {
  HttpRequest R;
  R.Method_ = Method;
  R.Target_ = Target;
  R.Headers_ = {{"Host", "h.example:8161"}, {"X-Deadline-Ms", "1800"}};
  R.Body_ = Body;
  return R;
}

const char *const Job =
    R"({"spec":"text","bestEffort":true,"steps":[{"count":4,"cpu":6200,)"
    R"("memMb":64,"estRuntimeMs":900}]})";

CallerRequest decodeRequest(HttpRequest R) {
  const DispatchConfig C = config();
  return CallerHttp().decode(std::move(R), &C);
}

unsigned refusalStatus(const CallerRequest &R) {
  const auto *Refused = std::get_if<RefusedRequest>(&R);
  return Refused ? Refused->Response_.Status_ : 0;
}

json heartbeat() {
  return {{"service", "s1"},
          {"address", "10.0.0.1:8165"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldRemainingMs", 0},
          {"capacity", {{"cpu", 64000}, {"memMb", 262144}, {"gpu", 0}}},
          {"labels", {"a", "r1-3"}},
          {"clockMs", 482113},
          {"born", 1700000000000},
          {"seq", 4}};
}

Announcement decodeHeartbeat(const json &Body,
                             const char *Path = "/Instances.Heartbeat/i-1") {
  HttpRequest R;
  R.Method_ = "POST";
  R.Target_ = Path;
  R.Body_ = Body.dump();
  return WorkerHeartbeat({"10.0.0.1", 8165}, ServiceName("s1")).decode(R);
}

HttpResponse response(unsigned Status, const json &Body) {
  HttpResponse R;
  R.Status_ = Status;
  R.Body_ = Body.dump();
  return R;
}

} // namespace

// Guards against fields of a job or of its route that are decoded into the
// wrong member or unit.
TEST_CASE("A job is decoded with its route", "[platform]") {
  const auto R = decodeRequest(request("POST", "/a/0123456789abcdef", Job));
  const auto *Submit = std::get_if<SubmitRequest>(&R);
  REQUIRE(Submit);
  const IdempotentJob &J = Submit->Job_;
  CHECK(J.Key_ == JobKey("0123456789abcdef"));
  CHECK(J.Route_.Name_ == "r1");
  CHECK(J.Route_.Class_ == PriorityClass(2));
  CHECK(J.Route_.Attempts_ == 3);
  CHECK(J.Tasks_ == 4);
  CHECK(J.Need_ == Resources{6200, 64, 0});
  CHECK(J.Estimate_ == std::chrono::milliseconds(900));
  CHECK(J.CallerTimeout_ == std::chrono::milliseconds(1800));
}

// Guards against a route whose shorter prefix shadows a longer one.
TEST_CASE("The longest prefix selects the route", "[platform]") {
  const auto R = decodeRequest(request("POST", "/a/b/0123456789abcdef", Job));
  REQUIRE(std::get_if<SubmitRequest>(&R));
  CHECK(std::get<SubmitRequest>(R).Job_.Route_.Name_ == "r2");
}

// Guards against accepting a job whose request is not implemented: one that
// must be stored would be lost in a crash, and a condition would be ignored.
TEST_CASE("Jobs that need unsupported features are refused", "[platform]") {
  const auto StatusWith = [](const std::function<void(json &)> &Change) {
    json Body = json::parse(Job);
    Change(Body);
    return refusalStatus(
        decodeRequest(request("POST", "/a/0123456789abcdef", Body.dump())));
  };
  CHECK(StatusWith([](json &B) { B.erase("bestEffort"); }) == 503);
  CHECK(StatusWith([](json &B) { B["times"] = 3; }) == 503);
  CHECK(StatusWith([](json &B) { B["steps"].push_back(B["steps"][0]); }) ==
        503);
  CHECK(StatusWith([](json &B) { B["steps"][0]["gang"] = true; }) == 503);
  CHECK(StatusWith([](json &B) { B["steps"][0]["requiredLabel"] = "a"; }) ==
        503);
  CHECK(StatusWith([](json &B) { B["steps"][0]["maxPerServer"] = 1; }) == 503);
  CHECK(StatusWith([](json &B) { B["steps"][0]["longRunning"] = true; }) ==
        503);
  CHECK(StatusWith([](json &B) { B["steps"][0]["gang"] = false; }) == 0);
  CHECK(StatusWith([](json &B) { B["steps"][0]["dataRack"] = "r1"; }) == 0);
}

// Guards against texts beyond the platform's limits, which a waiting job would
// hold and each start would carry, and against a refusal of those within them.
TEST_CASE("A job's text has the platform's limit", "[platform]") {
  const auto StatusWith = [](std::size_t SpecBytes, std::size_t RackBytes) {
    json Body = json::parse(Job);
    Body["spec"] = std::string(SpecBytes, 'x');
    Body["steps"][0]["dataRack"] = std::string(RackBytes, 'r');
    return refusalStatus(
        decodeRequest(request("POST", "/a/0123456789abcdef", Body.dump())));
  };
  CHECK(StatusWith(4000, 20) == 0);
  CHECK(StatusWith(4001, 20) == 400);
  CHECK(StatusWith(4000, 257) == 400);
}

// Guards against malformed requests that crash the process or become jobs.
TEST_CASE("Malformed requests are refused", "[platform]") {
  const auto Post = [](const std::string &Body) {
    return refusalStatus(
        decodeRequest(request("POST", "/a/0123456789abcdef", Body)));
  };
  for (const char *Text :
       {"", "{", "[]", "null", R"({"spec":1,"steps":[{}]})",
        R"({"spec":"x","bestEffort":true,"steps":[]})",
        R"({"spec":"x","bestEffort":true,"steps":[7]})",
        R"({"spec":"x","bestEffort":true,"steps":[{"count":-1}]})",
        R"({"spec":"x","bestEffort":true,"steps":[{"count":1e9}]})"})
    CHECK(Post(Text) == 400);
  CHECK(refusalStatus(decodeRequest(request("POST", "/a/short", Job))) == 404);
  CHECK(refusalStatus(decodeRequest(
            request("POST", "/none/0123456789abcdef", Job))) == 404);
  CHECK(refusalStatus(CallerHttp().decode(
            request("POST", "/a/0123456789abcdef", Job), nullptr)) == 503);
}

// Guards against a status that claims that a job never ran although it may
// have: 503 and 429 claim so, 504 does not.
TEST_CASE("Each job ending maps to its HTTP status", "[platform]") {
  const CallerHttp Callers;
  const auto Status = [&](JobEnding E) {
    return Callers.answer({JobNumber(1), E, "code", {}}).Status_;
  };
  CHECK(Status(JobEnding::Completed) == 200);
  CHECK(Status(JobEnding::Failed) == 200);
  CHECK(Status(JobEnding::Refused) == 503);
  CHECK(Status(JobEnding::Unknown) == 504);
  const auto R = Callers.answer({JobNumber(1), JobEnding::Refused, "code",
                                 std::chrono::milliseconds(1200)});
  REQUIRE(R.Headers_.size() == 1);
  CHECK(R.Headers_[0].Value_ == "2");
}

// Guards against a malformed configuration of which the valid part is applied.
TEST_CASE("A malformed configuration is refused", "[platform]") {
  for (const char *Text :
       {"", "{}", R"({"version":"7","routes":[],"services":[]})",
        R"({"version":7,"routes":[{}],"services":[]})",
        R"({"version":7,"routes":[],"services":[{}]})"})
    CHECK(!ok(ConfigJson().decode(Text)));
}

// Guards against heartbeats of another sender, or incomplete ones, that make
// the agent use a wrong endpoint or wrong capacity, and against a cold time
// that is not read, makes a heartbeat invalid or overflows.
TEST_CASE("Only complete heartbeats of the own worker are accepted",
          "[platform]") {
  const auto Valid = decodeHeartbeat(heartbeat());
  REQUIRE(std::get_if<EndpointIncarnation>(&Valid));
  const auto &Incarnation = std::get<EndpointIncarnation>(Valid);
  CHECK(Incarnation.Id_ == "i-1");
  CHECK(Incarnation.StartedMs_ == 1700000000000);
  CHECK(Incarnation.Rack_ == RackName("r1-3"));
  CHECK(Incarnation.Capacity_ == Resources{64000, 262144, 0});
  CHECK(!Incarnation.Leaving_);
  CHECK(Incarnation.ColdRemaining_ == Duration(0));
  const auto ColdTime = [](const json &Value) {
    json Body = heartbeat();
    Body["coldRemainingMs"] = Value;
    return std::get<EndpointIncarnation>(decodeHeartbeat(Body)).ColdRemaining_;
  };
  CHECK(ColdTime(2500) == std::chrono::milliseconds(2500));
  CHECK(ColdTime(nullptr) == Duration(0));
  CHECK(ColdTime(9'000'000'000'000'000'000u) == std::chrono::hours(1));
  const auto IsRefused = [](const std::function<void(json &)> &Change) {
    json Body = heartbeat();
    Change(Body);
    const auto A = decodeHeartbeat(Body);
    return std::holds_alternative<Error>(A);
  };
  CHECK(IsRefused([](json &B) { B.erase("seq"); }));
  CHECK(IsRefused([](json &B) { B["seq"] = "4"; }));
  CHECK(IsRefused([](json &B) { B["state"] = "resting"; }));
  CHECK(IsRefused([](json &B) { B["service"] = "s2"; }));
  CHECK(IsRefused([](json &B) { B["address"] = "10.0.0.2:8165"; }));
  CHECK(IsRefused([](json &B) { B["born"] = 1.5; }));
  CHECK(IsRefused([](json &B) { B["capacity"] = 7; }));
  CHECK(IsRefused([](json &B) { B = json::array(); }));
}

// Guards against answers from which more is concluded than they prove, such as
// a time-out counted as a call that was not sent.
TEST_CASE("Answers of a worker are distinguished", "[platform]") {
  const auto Answer = [](unsigned Status, const json &Body) {
    return decodeStartStop(response(Status, Body)).Answer_;
  };
  CHECK(Answer(200, {{"clockMs", 5}}) == CallAnswer::Accepted);
  CHECK(Answer(409, {{"reason", "fence"}}) == CallAnswer::StaleToken);
  CHECK(Answer(409, {{"reason", "old"}}) == CallAnswer::StaleRun);
  CHECK(Answer(409, {{"reason", "late"}}) == CallAnswer::LeaseOver);
  CHECK(Answer(409, {{"reason", "room"}}) == CallAnswer::NoRoom);
  CHECK(Answer(421, json::object()) == CallAnswer::OtherLife);
  CHECK(Answer(503, json::object()) == CallAnswer::Unhealthy);
  CHECK(Answer(500, json::object()) == CallAnswer::Unanswered);
  CHECK(decodeStartStop(Error{"connect_failed", "", "", ""}).Answer_ ==
        CallAnswer::NotSent);
  CHECK(decodeStartStop(Error{"timeout", "", "", ""}).Answer_ ==
        CallAnswer::Unanswered);
}

// Guards against running and ended runs decoded from the wrong column, and
// against an incomplete list or a refusal taken for a list.
TEST_CASE("Lists of running and ended runs are decoded", "[platform]") {
  const auto A = decodePoll(
      response(200, {{"clockMs", 9},
                     {"born", 3},
                     {"running", {{"0123456789abcdef.0.0.17", 2, "", 41}}},
                     {"endedRuns",
                      {{58, "0123456789abcdef.0.0.9", 1, "done", ""},
                       {59, "0123456789abcdef.0.0.8", 1, "lapsed", ""}}}}));
  REQUIRE(ok(A));
  REQUIRE(value(A).Running_.size() == 1);
  CHECK(value(A).Running_[0].Task_.Index_ == TaskIndex(17));
  CHECK(value(A).Running_[0].Percent_ == 41);
  REQUIRE(value(A).Ended_.size() == 2);
  CHECK(value(A).Ended_[0].Number_ == 58);
  CHECK(value(A).Ended_[0].Ending_ == RunEnding::Done);
  CHECK(value(A).Ended_[1].Ending_ == RunEnding::Lost);
  CHECK(!ok(decodePoll(response(200, {{"clockMs", 9}}))));
  CHECK(!ok(decodePoll(response(409, {{"reason", "fence"}}))));
}

// Guards against calls with missing fields or fields unknown to a worker.
TEST_CASE("Calls to a worker carry the expected fields", "[platform]") {
  const auto Start =
      json::parse(encodeStart({"i-1",
                               {JobKey("0123456789abcdef"), TaskIndex(3)},
                               2,
                               "text",
                               500,
                               7})
                      .Body_);
  CHECK(Start == json({{"task", "0123456789abcdef.0.0.3"},
                       {"run", 2},
                       {"spec", "text"},
                       {"deadlineMs", 500},
                       {"fencingToken", 7}}));
  const PollCall Call{"i-1", {}, 7, 57, Duration(0)};
  const auto PollBody = json::parse(encodePoll(Call).Body_);
  CHECK(PollBody == json({{"fencingToken", 7}, {"ackIndex", 57}}));
}

// Guards against truncated records that are accepted and against continuing at
// a wrong offset.
TEST_CASE("Records of the store are encoded and decoded unchanged",
          "[platform]") {
  const std::string Header =
      std::string(7, '\0') + char(9) + std::string(7, '\0') + char(2);
  HttpResponse R;
  R.Body_ =
      Header + encodeRecord({"config", "text"}) + encodeRecord({"wave/1", ""});
  const auto Read = decodeRead(R, 7);
  REQUIRE(ok(Read));
  REQUIRE(value(Read).Records_.size() == 2);
  CHECK(value(Read).Records_[0].Key_ == "config");
  CHECK(value(Read).Records_[0].Value_ == "text");
  CHECK(value(Read).Records_[1].Value_.empty());
  CHECK(value(Read).Next_ == 9);
  R.Body_.resize(R.Body_.size() - 1);
  CHECK(!ok(decodeRead(R, 7)));
  R.Status_ = 410;
  CHECK(error(decodeRead(R, 7)).Code_ == "deleted");
}

// Guards against records that are lost because the next page is not requested.
TEST_CASE("A page of the newest records names the key to continue after",
          "[platform]") {
  const auto Page = decodeNewest(
      response(200, {{"items", {{{"key", "config"}, {"value", "dGV4dA=="}}}},
                     {"morePages", true},
                     {"end", 6}}));
  REQUIRE(ok(Page));
  CHECK(value(Page).Records_.Records_.at(0).Value_ == "text");
  CHECK(value(Page).After_ == "config");
  CHECK(value(Page).Records_.Next_ == 6);
}

// Guards against dependencies on the platform outside of platform/.
TEST_CASE("Names of the platform occur only in platform/", "[platform]") {
  const std::regex Names(
      "run-start|run-stop|log-append|log-newest|log-read|Instances\\.|"
      "endedRuns|op/config|keyed\\.op|X-Deadline-Ms|X-Expect-Instance|"
      "bestEffort|estRuntimeMs|fencingToken|deadlineMs|ackIndex|pathPrefix|"
      "targetLatencyMs|evacuate/|CHIVELANDING_SETTINGS[^_]");
  const std::filesystem::path Root = CHIVELANDING_SOURCE_DIR;
  for (const char *Folder : {"src", "standin"})
    for (const auto &File :
         std::filesystem::directory_iterator(Root / Folder)) {
      std::ifstream In(File.path());
      std::ostringstream Text;
      Text << In.rdbuf();
      INFO(File.path().string());
      CHECK(!std::regex_search(Text.str(), Names));
    }
}
