#include "crash_ledger.h"

#include <catch2/catch.hpp>

using namespace chivelanding;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

CrashedRun run(const char *Job, const char *Route, std::int64_t AgeMs = 10) {
  return {JobKey(Job), TaskIndex(0), Route, milliseconds(AgeMs)};
}

EndpointCrashed crash(const char *Endpoint, std::vector<CrashedRun> Runs) {
  return {Endpoint, 1, Duration(0), std::move(Runs)};
}

} // namespace

// Guards against a task that crashes endpoint after endpoint, and against a
// neighbour that is given up with it.
TEST_CASE("A task is given up after it crashed endpoints alone",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("bad", "r"), run("good", "r")}), at(0));
  CHECK(L.isSuspect(JobKey("bad")));
  CHECK(L.isSuspect(JobKey("good")));
  CHECK_FALSE(L.isGivenUp(JobKey("bad"), TaskIndex(0)));
  L.onCrash(crash("w2", {run("bad", "r")}), at(700));
  CHECK(L.isGivenUp(JobKey("bad"), TaskIndex(0)));
  CHECK_FALSE(L.isGivenUp(JobKey("good"), TaskIndex(0)));
}

TEST_CASE("Two shared crashes do not prove a task guilty, three do",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r"), run("b", "r")}), at(0));
  L.onCrash(crash("w2", {run("a", "r"), run("c", "r")}), at(700));
  CHECK_FALSE(L.isGivenUp(JobKey("a"), TaskIndex(0)));
  L.onCrash(crash("w3", {run("a", "r"), run("d", "r")}), at(1400));
  CHECK(L.isGivenUp(JobKey("a"), TaskIndex(0)));
}

// Guards against endpoints that are lost to one route without end.
TEST_CASE("A route is confined once a task of it met two crashes",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r"), run("b", "s")}), at(0));
  CHECK_FALSE(L.isConfined("r"));
  L.onCrash(crash("w2", {run("a", "r"), run("c", "s")}), at(700));
  CHECK(L.isConfined("r"));
  CHECK_FALSE(L.isConfined("s"));
  // Neighbours of the confined route are no suspects any more.
  CHECK_FALSE(L.isSuspect(JobKey("c")));
}

// A neighbour may meet the culprit twice. Guards against the confinement of its
// route: it was at any point of its run at the first crash.
TEST_CASE("Of two tasks in two crashes the younger one is the cause",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "long", 400), run("b", "short", 20)}), at(0));
  L.onCrash(crash("w2", {run("a", "long", 22), run("b", "short", 20)}),
            at(700));
  CHECK(L.isConfined("short"));
  CHECK_FALSE(L.isConfined("long"));
}

// Guards against the loss of most endpoints before any task has met its second
// crash, and against a route that is released before its jobs ran alone.
TEST_CASE("A series of crashes under one route confines it", "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r", 20), run("x", "s", 90)}), at(0));
  L.onCrash(crash("w2", {run("b", "r", 20), run("y", "s", 30)}), at(200));
  CHECK_FALSE(L.isConfined("r"));
  L.onCrash(crash("w3", {run("c", "r", 20), run("z", "s", 50)}), at(400));
  CHECK(L.isConfined("r"));
  CHECK(L.provedRoutes(at(500)).empty());
  CHECK(L.onCompleted(JobKey("a"), TaskIndex(0), at(2000)));
  L.onTimer(at(5300));
  CHECK(L.isConfined("r"));
  L.onTimer(at(5400));
  CHECK_FALSE(L.isConfined("r"));
}

// Guards against a route that is blamed for the loss of a rack.
TEST_CASE("Crashes at the same time are no series", "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r")}), at(0));
  L.onCrash(crash("w2", {run("b", "r")}), at(20));
  L.onCrash(crash("w3", {run("c", "r")}), at(40));
  CHECK_FALSE(L.isConfined("r"));
}

// Guards against an innocent route that stays confined.
TEST_CASE("A route is acquitted when its suspect completes", "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "long", 10), run("b", "short", 20)}), at(0));
  L.onCrash(crash("w2", {run("a", "long", 10), run("b", "short", 20)}),
            at(700));
  REQUIRE(L.isConfined("long"));
  CHECK(L.onCompleted(JobKey("a"), TaskIndex(0), at(900)));
  CHECK_FALSE(L.isConfined("long"));
  CHECK(L.isConfined("short"));
  CHECK_FALSE(L.onCompleted(JobKey("a"), TaskIndex(0), at(950)));
}

// Guards against a cut-off endpoint that is taken for a crashed one.
TEST_CASE("A crash is withdrawn when the endpoint answers again",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r")}), at(0));
  L.onCrash(crash("w2", {run("a", "r")}), at(700));
  REQUIRE(L.isConfined("r"));
  REQUIRE(L.isGivenUp(JobKey("a"), TaskIndex(0)));
  CHECK(L.onAlive({"w1", 1}, at(800)));
  CHECK_FALSE(L.isConfined("r"));
  CHECK_FALSE(L.isGivenUp(JobKey("a"), TaskIndex(0)));
}

// Guards against a crash that counts twice, because several agents or a later
// link report it.
TEST_CASE("A crash is recorded once", "[crash-ledger]") {
  CrashLedger L;
  CHECK(L.onCrash(crash("w1", {run("a", "r")}), at(0)));
  CHECK_FALSE(L.onCrash(crash("w1", {run("a", "r")}), at(10)));
  CHECK_FALSE(L.isConfined("r"));
}

// Guards against a route that is confined for good, and against one that comes
// and goes while its tasks go on crashing endpoints.
TEST_CASE("A route is released after a quiet time that grows with relapses",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r")}), at(0));
  L.onCrash(crash("w2", {run("a", "r")}), at(700));
  L.onTimer(at(5600));
  CHECK(L.isConfined("r"));
  L.onTimer(at(5700));
  CHECK_FALSE(L.isConfined("r"));
  // The old crashes do not confine it again.
  L.onCrash(crash("w3", {run("a", "r")}), at(5800));
  CHECK_FALSE(L.isConfined("r"));
  L.onCrash(crash("w4", {run("b", "r")}), at(6000));
  L.onCrash(crash("w5", {run("b", "r")}), at(6700));
  REQUIRE(L.isConfined("r"));
  L.onTimer(at(16600));
  CHECK(L.isConfined("r"));
  L.onTimer(at(16700));
  CHECK_FALSE(L.isConfined("r"));
}

// Guards against an entry that restarts and sends the route everywhere again.
TEST_CASE("A proved confinement is passed on to an entry that connects",
          "[crash-ledger]") {
  CrashLedger L;
  L.onCrash(crash("w1", {run("a", "r"), run("b", "s")}), at(0));
  L.onCrash(crash("w2", {run("a", "r"), run("c", "s")}), at(700));
  CHECK(L.provedRoutes(at(800)).empty());
  L.onCrash(crash("w3", {run("d", "r")}), at(1000));
  const auto Proved = L.provedRoutes(at(1500));
  REQUIRE(Proved.size() == 1);
  CrashLedger Other;
  Other.onConfined(Proved.front(), at(1500));
  CHECK(Other.isConfined("r"));
  Other.onTimer(at(6000));
  CHECK_FALSE(Other.isConfined("r"));
}
