#include "api.h"
#include "link_session.h"
#include "run_supervisor_fixture.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <random>

// Frames and messages of a faulty peer.
using namespace chivelanding;
using nlohmann::json;

namespace {

constexpr std::size_t MaxBytes = std::size_t(64) << 20;

std::string cbor(const json &Document) {
  std::string Bytes;
  json::to_cbor(Document, Bytes);
  return Bytes;
}

template <typename T> json message(json Body) {
  return json::array({Message(T()).index(), std::move(Body)});
}

json batch(json Messages) {
  return json::array({2, 1, 0, std::move(Messages)});
}

} // namespace

// Guards against a frame that ends the process by its nesting or size. The
// library's parser calls itself for each level.
TEST_CASE("Frames of absurd structure are refused", "[odd]") {
  const std::size_t Deep = 4u << 20;
  const std::string Arrays(Deep, '\x81');
  const std::string Maps(Deep, '\xa1');
  const std::string Tags(Deep, '\xc1');
  const std::string Open(Deep, '\x9f');
  const std::string Flat =
      std::string("\x9a\x00\x30\x00\x00", 5) + std::string(0x300000, '\x80');
  const std::string Huge("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9);
  const std::string HugeText("\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 9);
  for (const std::string &Bytes : {Arrays, Arrays + '\0', Maps, Tags, Open,
                                   Flat, Huge, HugeText, std::string()}) {
    const auto R = decodeFrame(Bytes, MaxBytes);
    REQUIRE_FALSE(ok(R));
    CHECK(error(R).Code_ == "bad_frame");
  }
}

// Guards against one malformed message that hides the others of its batch or
// breaks their numbering, and against one whose loss nobody would notice.
TEST_CASE("A malformed report costs itself alone", "[odd]") {
  const json Standby = message<SetStandby>(json::array({true}));
  for (const json &Body : {json(7), json::array(), json(nullptr)}) {
    const auto F =
        decodeFrame(cbor(batch(json::array(
                        {Standby, message<EndpointReport>(Body), Standby}))),
                    MaxBytes);
    REQUIRE(ok(F));
    const Batch &B = std::get<Batch>(value(F));
    LinkSession S{SessionLimits()};
    const auto New = S.receive(B);
    REQUIRE(ok(New));
    CHECK(value(New).size() == 2);
    CHECK(S.lastReceived() == 3);
    CHECK_FALSE(ok(decodeFrame(
        cbor(batch(json::array({Standby, message<StopRuns>(Body)}))),
        MaxBytes)));
  }
}

// Guards against a payload that ends the process when it is written again.
TEST_CASE("A request nested too deeply is refused", "[odd]") {
  const std::size_t Depth = 1'000'000;
  const std::string Body =
      R"({"key":"k","service":"s","kind":"k","tasks":[{"id":"a","payload":)" +
      std::string(Depth, '[') + std::string(Depth, ']') + "}]}";
  const auto Job = parseJob(Body, TeamName("t"), 10);
  REQUIRE_FALSE(ok(Job));
  CHECK(error(Job).Code_ == "bad_json");
  const auto Endpoint = parseEndpoint(std::string(Depth, '['));
  REQUIRE_FALSE(ok(Endpoint));
  CHECK(error(Endpoint).Code_ == "bad_json");
}

// Guards against numbers at the ends of their ranges that overflow in the
// decisions of an agent. The sanitizers report what does not fail here.
TEST_CASE("An agent survives messages with extreme numbers", "[odd]") {
  std::mt19937_64 Random(7);
  const std::uint64_t Values[] = {0,
                                  1,
                                  1000,
                                  0x7fffffff,
                                  0xffffffff,
                                  0x7fffffffffffffff,
                                  0x8000000000000000,
                                  0xffffffffffffffff};
  const auto Draw = [&] { return Values[Random() % std::size(Values)]; };
  const auto DrawDuration = [&] {
    return Duration(static_cast<std::int64_t>(Draw()));
  };
  const auto DrawAmount = [&] { return static_cast<std::uint32_t>(Draw()); };
  test::RunSupervisorFixture B;
  B.makeUsable(test::at(0));
  for (int I = 0; I < 3000; ++I) {
    const Time Now = test::at(10 + I);
    StartRuns Start;
    Start.Job_ = JobKey("job-" + std::to_string(I));
    Start.Submission_ = Draw();
    Start.Need_ = {DrawAmount(), DrawAmount(), DrawAmount()};
    Start.Estimate_ = DrawDuration();
    Start.Sequence_ = Draw();
    Start.AgentClock_ = I % 2 == 0 ? Draw() : test::clockAt(10 + I);
    for (int R = 0; R < 3; ++R)
      Start.Runs_.push_back({TaskIndex(DrawAmount()), DrawAmount()});
    Start.Isolation_ = static_cast<Isolation>(Random() % 3);
    B.record(B.Supervisor_.onMessage(test::EntryA, Start, Now));
    for (const MakeStart &S : B.outputs<MakeStart>())
      B.record(B.Supervisor_.onStartAnswer(
          S.Id_, {CallAnswer::Accepted, Draw()}, Now));
    B.record(B.Supervisor_.onMessage(test::EntryB, HoldRuns{Draw()}, Now));
    B.record(B.Supervisor_.onMessage(
        test::EntryA,
        StopRuns{{{Start.Job_, Start.Runs_[0].Index_, DrawAmount(), Draw()}}},
        Now));
    B.record(
        B.Supervisor_.onMessage(test::EntryA, ZoneCordons{Draw(), {}}, Now));
    B.record(B.Supervisor_.onTimer(Now));
    for (const MakePoll &P : B.outputs<MakePoll>()) {
      PollAnswer A;
      A.ClockMs_ = Draw() >> 1;
      A.StartedMs_ = 10;
      A.Running_ = {
          {{Start.Job_, Start.Runs_[0].Index_}, DrawAmount(), DrawAmount()}};
      A.Ended_ = {{Draw(),
                   {Start.Job_, Start.Runs_[1].Index_},
                   DrawAmount(),
                   RunEnding::Failed}};
      B.record(B.Supervisor_.onPollAnswer(P.Id_, A, Now));
    }
  }
  SUCCEED("no process ended");
}
