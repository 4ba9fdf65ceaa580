#include "caller_http.h"
#include "config_json.h"
#include "persisted_endpoint.h"
#include "store_http.h"
#include "worker_http.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

// Random odd entries beside good ones, for every reader of the platform's
// formats. CHIVELANDING_READER_SEEDS names a range "FROM-TO" of seeds in place
// of the fixed ones.
using namespace chivelanding;
using namespace chivelanding::platform;

namespace {

constexpr int Rounds = 300;

// Texts with a place for an odd value, and values for it.
struct OddTexts {
  explicit OddTexts(std::uint64_t Seed) : Random_(Seed) {}

  std::size_t pick(std::size_t Below) { return Random_() % Below; }

  std::string value(int Depth = 0) {
    static const char *const Simple[] = {"null",
                                         "true",
                                         "-0",
                                         "1e999",
                                         "-1e308",
                                         "1.5",
                                         "01",
                                         "-",
                                         "1e",
                                         "18446744073709551615",
                                         "18446744073709551616",
                                         "4294967296",
                                         "9223372036854775808",
                                         "\"\"",
                                         "\"\xff\xfe\"",
                                         "\"\\ud800\"",
                                         "\"\\q\"",
                                         "\"a\nb\"",
                                         "{}",
                                         "[]"};
    const std::size_t Kind = pick(Depth > 3 ? 20 : 26);
    if (Kind < 20)
      return Simple[Kind];
    if (Kind < 22)
      return std::to_string(Random_());
    if (Kind == 22) {
      const std::size_t Deep = pick(5000);
      return std::string(Deep, '[') + std::string(Deep, ']');
    }
    std::string Text = Kind < 25 ? "[" : "{";
    for (std::size_t I = pick(6); I > 0; --I) {
      Text += Kind < 25 ? "" : "\"k" + std::to_string(I) + "\":";
      Text += value(Depth + 1) + (I > 1 ? "," : "");
    }
    return Text + (Kind < 25 ? "]" : "}");
  }

  // One of the fields of a list or object is replaced or left out.
  std::string fields(std::vector<std::string> Fields) {
    const std::size_t At = pick(Fields.size());
    if (pick(4) == 0) {
      Fields.erase(Fields.begin() + static_cast<std::ptrdiff_t>(At));
    } else {
      const auto Colon = Fields[At][0] == '"' ? Fields[At].find("\":") + 2 : 0;
      const bool IsNamed = Colon != std::string::npos + 2 && Colon > 0;
      Fields[At] = (IsNamed ? Fields[At].substr(0, Colon) : "") + value();
    }
    std::string Text;
    for (const std::string &F : Fields)
      Text += (Text.empty() ? "" : ",") + F;
    return Text;
  }

  std::string bytes(std::string Text) {
    for (std::size_t I = 1 + pick(4); I > 0 && !Text.empty(); --I) {
      const std::size_t At = pick(Text.size());
      if (pick(3) == 0)
        Text.erase(At, 1 + pick(4));
      else
        Text[At] = static_cast<char>(Random_());
    }
    return Text;
  }

  std::string beside(const std::string &Good, const std::string &Odd) {
    return pick(2) == 0 ? Good + "," + Odd : Odd + "," + Good;
  }

  std::mt19937_64 Random_;
};

HttpResponse answer(std::string Body) {
  return {200, "application/json", {}, std::move(Body)};
}

const std::string Task = R"("0123456789abcdef.0.0.1")";
const std::string OtherTask = R"("00000000000000aa.0.0.2")";

void playLists(OddTexts &T) {
  const std::string Odd =
      T.pick(3) == 0 ? T.value()
                     : "[" + T.fields({OtherTask, "1", "\"\"", "5"}) + "]";
  const std::string Ended =
      T.pick(3) == 0
          ? T.value()
          : "[" + T.fields({"58", OtherTask, "1", "\"done\"", "\"\""}) + "]";
  const std::string Body =
      R"({"clockMs":9,"running":[)" +
      T.beside("[" + Task + R"(,2,"",41])", Odd) + R"(],"endedRuns":[)" +
      T.beside("[59," + Task + R"(,3,"done",""])", Ended) + "]}";
  INFO(Odd.substr(0, 200) << " " << Ended.substr(0, 200));
  const auto R = decodePoll(answer(Body));
  REQUIRE(ok(R));
  const PollAnswer &A = value(R);
  CHECK(std::any_of(A.Running_.begin(), A.Running_.end(),
                    [](const RunningRun &Run) { return Run.Run_ == 2; }));
  CHECK(std::any_of(A.Ended_.begin(), A.Ended_.end(), [](const ListedEnd &E) {
    return E.Number_ == 59 && E.Run_ == 3 && E.Ending_ == RunEnding::Done;
  }));
  (void)decodePoll(answer(T.bytes(Body)));
  (void)decodeStartStop(answer(T.bytes(R"({"clockMs":9,"reason":"room"})")));
}

void playPage(OddTexts &T) {
  const std::string Odd =
      T.pick(3) == 0
          ? T.value()
          : "{" + T.fields({R"("key":"x")", R"("value":"eA==")"}) + "}";
  const std::string Body =
      R"({"items":[)" +
      T.beside(R"({"key":"config","value":"dGV4dA=="})", Odd) +
      R"(],"morePages":false,"end":6})";
  INFO(Odd.substr(0, 200));
  const auto R = decodeNewest(answer(Body));
  REQUIRE(ok(R));
  const auto &Records = value(R).Records_.Records_;
  CHECK(std::any_of(
      Records.begin(), Records.end(),
      [](const StoreRecord &Record) { return Record.Value_ == "text"; }));
  (void)decodeNewest(answer(T.bytes(Body)));
  const std::string Stream =
      std::string(7, '\0') + char(9) + std::string(8, '\0') +
      encodeRecord({"config", "text"}) + encodeRecord({"x", "y"});
  (void)decodeRead(answer(T.bytes(Stream)), 7);
}

void playConfig(OddTexts &T) {
  const std::string Route = R"({"name":"r","host":"h","pathPrefix":"/",)"
                            R"("service":"s","priority":2})";
  const std::string Body = R"({"version":7,"routes":[)" + Route +
                           R"(],"services":[{"name":"s"}],"limits":)" +
                           T.value() + "}";
  INFO(Body.substr(0, 300));
  const auto R = ConfigJson().decode(Body);
  REQUIRE(ok(R));
  REQUIRE(value(R).find("h", "/x"));
  CHECK(value(R).find("h", "/x")->Class_ == PriorityClass(2));
  (void)ConfigJson().decode(T.bytes(Body));
  HttpRequest Job{"POST",
                  "/0123456789abcdef",
                  {{"Host", "h"}, {"X-Deadline-Ms", T.value()}},
                  R"({"spec":"x","bestEffort":true,"steps":[{)" +
                      T.fields({R"("count":1)", R"("cpu":2)", R"("gpu":0)",
                                R"("estRuntimeMs":5)"}) +
                      "}]}"};
  const auto Decoded = CallerHttp().decode(std::move(Job), &value(R));
  if (const auto *Submit = std::get_if<SubmitRequest>(&Decoded)) {
    CHECK(Submit->Job_.Tasks_ >= 1);
    CHECK(Submit->Job_.CallerTimeout_ > Duration(0));
  }
}

void playHeartbeat(OddTexts &T) {
  const std::string Body =
      "{" +
      T.fields({R"("service":"s")", R"("address":"10.0.0.1:8165")",
                R"("zone":"z")", R"("state":"ready")", R"("clockMs":5)",
                R"("born":7)", R"("seq":1)", R"("labels":["a","r"])",
                R"("coldRemainingMs":0)",
                R"("capacity":{"cpu":64000,"memMb":1,"gpu":0})"}) +
      "}";
  const WorkerHeartbeat Codec({"10.0.0.1", 8165}, ServiceName("s"));
  const auto A = Codec.decode({"POST", "/Instances.Heartbeat/i-1", {}, Body});
  if (const auto *E = std::get_if<EndpointIncarnation>(&A)) {
    CHECK(E->Id_ == "i-1");
    CHECK(E->Zone_.str().size() < 100);
  }
  (void)Codec.decode({"POST", "/Instances.Heartbeat/i-1", {}, T.bytes(Body)});
  EndpointIncarnation L;
  L.Id_ = "i-1";
  (void)parseIncarnation(T.bytes(encodeIncarnation(L)));
  (void)parseIncarnation(T.value());
}

} // namespace

// Guards against any odd entry that ends a process, or hides or changes the
// entries beside it.
TEST_CASE("Readers survive random odd entries", "[odd]") {
  std::uint64_t From = 1;
  std::uint64_t To = 10;
  if (const char *Range = std::getenv("CHIVELANDING_READER_SEEDS"))
    REQUIRE(std::sscanf(Range, "%lu-%lu", &From, &To) == 2);
  for (std::uint64_t Seed = From; Seed <= To; ++Seed) {
    INFO("seed " << Seed);
    OddTexts T(Seed);
    for (int I = 0; I < Rounds; ++I) {
      playLists(T);
      playPage(T);
      playConfig(T);
      playHeartbeat(T);
    }
  }
}
