#include "caller_http.h"
#include "config_json.h"
#include "memory_store.h"
#include "persisted_endpoint.h"
#include "run_supervisor_fixture.h"
#include "store_http.h"
#include "worker_http.h"

#include <catch2/catch.hpp>

// Entries that another writer has left among good ones: nested deeply, with
// numbers that are too large, or with bytes that cannot be read. Each costs
// itself alone.
using namespace chivelanding;
using namespace chivelanding::platform;
using namespace chivelanding::test;

namespace {

std::string join(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text += Part;
  return Text;
}

// Two items of a list, the odd one first or last.
std::string both(const std::string &Good, const std::string &Odd, bool First) {
  return First ? join({Odd, ",", Good}) : join({Good, ",", Odd});
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

HttpResponse answer(std::string Body) {
  return {200, "application/json", {}, std::move(Body)};
}

// Values that no field of any reader has.
std::vector<std::string> oddValues() {
  return {"null",         "-1",          "1.5",
          "1e999",        "-1e999",      "18446744073709551616",
          "4294967298",   "01",          "true",
          "\"\xff\xfe\"", "\"\\ud800\"", "\"\\x\"",
          "{}",           "[]",          nested(50'000)};
}

Result<PollAnswer> decodeLists(const std::string &Running,
                               const std::string &Ended) {
  return decodePoll(answer(R"({"clockMs":900,"born":10,"running":[)" + Running +
                           R"(],"endedRuns":[)" + Ended + "]}"));
}

constexpr char Good[] = "0123456789abcdef";
constexpr char Odd[] = "00000000000000aa";
const TaskKey GoodTask{JobKey(Good), TaskIndex(1)};
const TaskKey OddTask{JobKey(Odd), TaskIndex(2)};

std::string quote(const std::string &Text) { return '"' + Text + '"'; }
std::string taskOf(const char *Job, int Index) {
  return quote(std::string(Job) + ".0.0." + std::to_string(Index));
}

std::vector<std::string> oddRows(const std::string &Task) {
  std::vector<std::string> Rows = {
      "[]",
      "[" + Task + "]",
      "[" + Task + ",7]",
      R"(["0123456789abcdef.0.0.4294967298",1,"",5])",
      R"(["x",1,"",5])",
      R"(["x.0.0.1",1,"",5])"};
  for (const std::string &V : oddValues()) {
    Rows.push_back(V);
    Rows.push_back("[" + V + R"(,1,"",5])");
    Rows.push_back(join({"[", Task, ",", V, R"(,"",5])"}));
    Rows.push_back(join({"[", Task, R"(,3,"",)", V, "]"}));
  }
  return Rows;
}

// A supervisor whose endpoint has accepted a run of OddTask.
struct RunAtEndpoint : RunSupervisorFixture {
  RunAtEndpoint() {
    makeUsable(at(0));
    StartRuns M = makeStartRuns(Odd, 3, at(10), 1000);
    M.Runs_ = {{OddTask.Index_, 3}};
    record(Supervisor_.onMessage(EntryA, M, at(10)));
    const auto Starts = outputs<MakeStart>();
    REQUIRE(Starts.size() == 1);
    record(Supervisor_.onStartAnswer(Starts[0].Id_, {CallAnswer::Accepted, {}},
                                     at(11)));
  }

  // Answers the poll that is due.
  void poll(const Result<PollAnswer> &A, std::int64_t Ms) {
    record(Supervisor_.onTimer(at(Ms)));
    const auto Polls = outputs<MakePoll>();
    REQUIRE(Polls.size() == 1);
    Acknowledged_ = Polls[0].Call_.Acknowledged_;
    LeaseEndMs_ = Polls[0].Call_.LeaseEndMs_;
    record(Supervisor_.onPollAnswer(Polls[0].Id_, A, at(Ms + 1)));
  }

  std::uint64_t Acknowledged_ = 0;
  std::optional<std::uint64_t> LeaseEndMs_;
};

} // namespace

// Guards against one odd row that hides the rows beside it or takes the
// endpoint out of use.
TEST_CASE("An odd row of the running runs costs itself alone", "[odd]") {
  const std::string GoodRow = "[" + taskOf(Good, 1) + R"(,2,"",41])";
  for (const std::string &Row : oddRows(taskOf(Odd, 2))) {
    INFO(Row.substr(0, 80));
    for (const bool First : {true, false}) {
      const auto A = decodeLists(both(GoodRow, Row, First), "");
      REQUIRE(ok(A));
      const auto &Rows = value(A).Running_;
      const auto It =
          std::find_if(Rows.begin(), Rows.end(), [](const RunningRun &R) {
            return R.Task_.Job_ == JobKey(Good);
          });
      REQUIRE(It != Rows.end());
      CHECK(It->Run_ == 2);
      CHECK(It->Percent_ == 41);
      // No number is cut.
      for (const RunningRun &R : Rows)
        if (R.Task_.Job_ == JobKey(Odd))
          CHECK((R.Run_ == 1 || R.Run_ == 3));
    }
  }
}

// Guards against a run that counts as ended, and whose task is started
// elsewhere, because the row that lists it cannot be read.
TEST_CASE("A run whose row is odd is not taken for ended", "[odd]") {
  for (const std::string &V : oddValues())
    for (const std::string &Row :
         {"[" + taskOf(Odd, 2) + "," + V + R"(,"",5])",
          "[" + taskOf(Odd, 2) + R"(,3,"",)" + V + "]"}) {
      INFO(Row.substr(0, 80));
      RunAtEndpoint B;
      B.poll(decodeLists(Row, ""), 20);
      CHECK_FALSE(B.ending(EntryA));
      CHECK(B.Supervisor_.runs() == 1);
      CHECK(B.Supervisor_.usable());
    }
}

// Guards against one odd row that keeps the ends beside it from being noticed
// or acknowledged.
TEST_CASE("An odd row of the ended runs costs itself alone", "[odd]") {
  std::vector<std::string> Rows = {"[]", "[58]",
                                   "[58," + taskOf(Good, 1) + "]"};
  for (const std::string &V : oddValues()) {
    Rows.push_back(V);
    Rows.push_back("[" + V + "," + taskOf(Good, 1) + R"(,1,"done",""])");
    Rows.push_back("[58," + V + R"(,1,"done",""])");
    Rows.push_back("[58," + taskOf(Good, 1) + "," + V + R"(,"done",""])");
    Rows.push_back("[58," + taskOf(Good, 1) + ",1," + V + R"(,""])");
  }
  const std::string GoodRow = "[59," + taskOf(Odd, 2) + R"(,3,"done",""])";
  for (const std::string &Row : Rows) {
    INFO(Row.substr(0, 80));
    for (const bool First : {true, false}) {
      RunAtEndpoint B;
      B.poll(decodeLists("", both(GoodRow, Row, First)), 20);
      CHECK(B.ending(EntryA) == RunEnding::Done);
      B.poll(decodeLists("", ""), 40);
      CHECK(B.Acknowledged_ == 59);
    }
  }
}

// Guards against ends that are never noticed again because the number of an odd
// row was acknowledged in their place.
TEST_CASE("A number far above the others is not acknowledged", "[odd]") {
  for (const char *Number : {"4294967298", "9007199254740993",
                             "9223372036854775807", "18446744073709551615"}) {
    INFO(Number);
    RunAtEndpoint B;
    const std::string Running = "[" + taskOf(Odd, 2) + R"(,3,"",5])";
    const std::string OddRow =
        std::string("[") + Number + "," + taskOf(Good, 1) + R"(,1,"done",""])";
    B.poll(decodeLists(Running,
                       "[58," + taskOf(Good, 7) + R"(,1,"done",""],)" + OddRow),
           20);
    B.poll(
        decodeLists("", "[59," + taskOf(Odd, 2) + R"(,3,"done",""],)" + OddRow),
        40);
    CHECK(B.Acknowledged_ == 58);
    CHECK(B.ending(EntryA) == RunEnding::Done);
    B.poll(decodeLists("", OddRow), 60);
    CHECK(B.Acknowledged_ == 59);
  }
}

// Guards against a lease that is longer than planned because an odd heartbeat
// named a clock far ahead.
TEST_CASE("The clock of a heartbeat yields to that of the endpoint's answers",
          "[odd]") {
  RunSupervisorFixture B;
  EndpointIncarnation L = endpoint(10);
  L.ClockMs_ = 9'000'000'000'000'000;
  B.record(B.Supervisor_.onAnnounced(L, at(0)));
  B.record(B.Supervisor_.onTimer(at(0)));
  B.answerPoll({}, {}, at(0)); // Clock 100.
  L.Sequence_ = 2;
  B.record(B.Supervisor_.onAnnounced(L, at(10)));
  B.record(B.Supervisor_.onTimer(at(20)));
  const auto Polls = B.outputs<MakePoll>();
  REQUIRE(Polls.size() == 1);
  CHECK(Polls[0].Call_.LeaseEndMs_ == 100 + 20 + 590);
}

// Guards against an agent that ends or believes an odd heartbeat.
TEST_CASE("An odd heartbeat names no endpoint", "[odd]") {
  const WorkerHeartbeat Codec({"10.0.0.1", 8165}, ServiceName("s1"));
  const auto Decode = [&](const std::string &Field, const std::string &Value) {
    std::map<std::string, std::string> Fields = {
        {"service", "\"s1\""},
        {"address", "\"10.0.0.1:8165\""},
        {"zone", "\"z1\""},
        {"state", "\"ready\""},
        {"clockMs", "482113"},
        {"born", "1700000000000"},
        {"seq", "4"},
        {"labels", R"(["a","r1-3"])"},
        {"capacity", R"({"cpu":64000,"memMb":262144,"gpu":0})"}};
    if (!Field.empty())
      Fields[Field] = Value;
    std::string Body = "{";
    for (const auto &[Name, Text] : Fields)
      Body += join({Body.size() > 1 ? ",\"" : "\"", Name, "\":", Text});
    HttpRequest R{"POST", "/Instances.Heartbeat/i-1", {}, Body + "}"};
    return Codec.decode(R);
  };
  CHECK(std::holds_alternative<EndpointIncarnation>(Decode("", "")));
  for (const std::string &V : oddValues())
    for (const char *Field :
         {"service", "address", "zone", "state", "capacity"}) {
      INFO(Field << " " << V.substr(0, 80));
      CHECK(std::holds_alternative<Error>(Decode(Field, V)));
    }
  for (const char *V :
       {"\"10.0.0.1:99999\"", "\"10.0.0.1:-1\"", "\"10.0.0.1\""})
    CHECK(std::holds_alternative<Error>(Decode("address", V)));
  for (const char *Amount : {"4294967296", "1e999", "-1", "\"1\""}) {
    const std::string Text(Amount);
    for (const std::string &C : {R"({"cpu":)" + Text + R"(,"memMb":1,"gpu":0})",
                                 R"({"cpu":1,"memMb":)" + Text + R"(,"gpu":0})",
                                 R"({"cpu":1,"memMb":1,"gpu":)" + Text + "}"}) {
      INFO(C);
      CHECK(std::holds_alternative<Error>(Decode("capacity", C)));
    }
  }
}

// Guards against one odd item that hides a configuration or cordon beside it,
// and against pages that are not read to the end because of it.
TEST_CASE("An odd item of a page of the store costs itself alone", "[odd]") {
  std::vector<std::string> Items = {
      R"({"key":"x"})", R"({"value":"eA=="})", R"({"key":"x","value":"*"})",
      R"({"key":"x","value":"eA","offset":)" + nested(50'000) + "}"};
  for (const std::string &V : oddValues()) {
    Items.push_back(V);
    Items.push_back(R"({"key":)" + V + R"(,"value":"eA=="})");
    Items.push_back(R"({"key":"x","value":)" + V + "}");
  }
  const std::string GoodItem = R"({"key":"config","value":"dGV4dA=="})";
  for (const std::string &Item : Items) {
    INFO(Item.substr(0, 80));
    for (const bool First : {true, false}) {
      const auto Page =
          decodeNewest(answer(R"({"items":[)" + both(GoodItem, Item, First) +
                              R"(],"morePages":true,"end":6})"));
      REQUIRE(ok(Page));
      const auto &Records = value(Page).Records_.Records_;
      CHECK(
          std::any_of(Records.begin(), Records.end(), [](const StoreRecord &R) {
            return R.Key_ == "config" && R.Value_ == "text";
          }));
      CHECK(value(Page).Records_.Next_ == 6);
      CHECK(value(Page).After_);
    }
  }
}

// Guards against a record that stops the reading of all later ones.
TEST_CASE("An odd record of a stream costs itself alone", "[odd]") {
  const std::string Header =
      std::string(7, '\0') + char(10) + std::string(7, '\0') + char(2);
  const std::string Empty(4, '\0');
  const std::string CutKey = std::string(3, '\0') + char(2) + char(9) + "k";
  for (const std::string &Record : {Empty, CutKey})
    for (const bool First : {true, false}) {
      const std::string GoodRecord = encodeRecord({"config", "text"});
      const auto R =
          decodeRead(answer(First ? join({Header, Record, GoodRecord})
                                  : join({Header, GoodRecord, Record})),
                     8);
      REQUIRE(ok(R));
      REQUIRE(value(R).Records_.size() == 1);
      CHECK(value(R).Records_[0].Key_ == "config");
      CHECK(value(R).Next_ == 10);
    }
}

// Guards against a number of a configuration that is replaced by a default, and
// against a field that nobody reads and that makes a version unreadable.
TEST_CASE("Odd numbers of a configuration are not replaced", "[odd]") {
  const auto Decode = [](const std::string &Field, const std::string &Limits) {
    return ConfigJson().decode(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
        R"("service":"s")" +
        Field + R"(}],"services":[{"name":"s"}],"limits":)" + Limits + "}");
  };
  REQUIRE(ok(Decode("", "{}")));
  for (const std::string &V : oddValues()) {
    INFO(V.substr(0, 80));
    CHECK(ok(Decode("", V)));
    for (const char *Field : {"priority", "attempts"})
      if (V != "null" && V != "4294967298") // An unset field has a default.
        CHECK_FALSE(ok(Decode(",\"" + std::string(Field) + "\":" + V, "{}")));
  }
  for (const char *Field : {"stretch", "targetLatencyMs"})
    for (const char *V : {"-1", "1e999", "1e300", "\"1\"", "[]"}) {
      INFO(Field << " " << V);
      CHECK_FALSE(ok(Decode(",\"" + std::string(Field) + "\":" + V, "{}")));
    }
  CHECK_FALSE(ok(ConfigJson().decode(
      R"({"version":18446744073709551616,"routes":[],"services":[]})")));
  CHECK_FALSE(ok(ConfigJson().decode(nested(50'000))));
}

// Guards against numbers of a job that are replaced by zero, so that its tasks
// run without the resources they need.
TEST_CASE("A job with odd numbers is refused", "[odd]") {
  const auto Config = ConfigJson().decode(
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
      R"("service":"s"}],"services":[{"name":"s"}]})");
  REQUIRE(ok(Config));
  const auto Decode = [&](const std::string &Fields, const char *Deadline) {
    HttpRequest R{"POST",
                  "/0123456789abcdef",
                  {{"Host", "h"}, {"X-Deadline-Ms", Deadline}},
                  R"({"spec":"x","bestEffort":true,"steps":[{"count":1)" +
                      Fields + "}]}"};
    const auto Decoded = CallerHttp().decode(std::move(R), &value(Config));
    const auto *Refused = std::get_if<RefusedRequest>(&Decoded);
    return Refused ? Refused->Response_.Status_ : 0;
  };
  CHECK(Decode("", "1800") == 0);
  for (const char *Field : {"cpu", "memMb", "gpu", "estRuntimeMs"})
    for (const std::string &V : oddValues()) {
      INFO(Field << " " << V.substr(0, 80));
      if (V != "null")
        CHECK(Decode(",\"" + std::string(Field) + "\":" + V, "1800") == 400);
    }
  for (const char *Deadline : {"x", "-1", "0", "1e9", "99999999999999999999"}) {
    INFO(Deadline);
    CHECK(Decode("", Deadline) == 400);
  }
}

// Guards against an agent that continues with the wrong capacity after a
// restart.
TEST_CASE("An odd stored endpoint is not restored", "[odd]") {
  EndpointIncarnation L = endpoint(10);
  const std::string Text = encodeIncarnation(L);
  REQUIRE(parseIncarnation(Text));
  for (const std::string &V : oddValues())
    for (const char *Field : {"id", "born", "zone", "cpu", "leaving"}) {
      if (std::string(Field) == "leaving" && V == "true")
        continue;
      if (std::string(Field) == "born" && V == "4294967298")
        continue;
      const std::string Name = std::string("\"") + Field + "\":";
      const auto From = Text.find(Name) + Name.size();
      const auto To = Text.find_first_of(",}", From);
      INFO(Field << " " << V.substr(0, 80));
      CHECK_FALSE(parseIncarnation(Text.substr(0, From) + V + Text.substr(To)));
    }
}
