#include "bench_figures.h"
#include "load_replay.h"

#include <catch2/catch.hpp>

using namespace chivelanding;
using namespace chivelanding::test;
using std::chrono::milliseconds;

namespace {

// Share of the worth that a day with trouble has to earn.
constexpr double TargetWorth = 0.78;

// The mix of short, middle and long jobs of a large deployment, for a fleet of
// this many entries and agents, at this share of its capacity.
LoadPattern mixedLoad(std::size_t Entries, std::size_t Agents, double Share) {
  LoadPattern P;
  P.Entries_ = Entries;
  P.Agents_ = Agents;
  P.Jobs_ = {
      {"short", PriorityClass(0), 8, 15000, milliseconds(60), 24.4, 2.9},
      {"long", PriorityClass(2), 4, 15000, milliseconds(900), 4.4, 16},
      {"middle", PriorityClass(1), 2, 15000, milliseconds(200), 71.1, 1}};
  const double Factor = Share / P.utilization();
  for (JobPattern &J : P.Jobs_)
    J.JobsPerSecond_ *= Factor;
  return P;
}

double refusedShare(const LoadResult &R) {
  return static_cast<double>(R.RefusedRuns_) /
         static_cast<double>(R.Runs_ + R.RefusedRuns_);
}

// Prints the figures, for comparisons by hand.
void print(const char *Name, const LoadResult &R) {
  const auto Share = [&R](std::size_t Count) {
    return static_cast<double>(Count) / static_cast<double>(R.Jobs_);
  };
  std::printf("%s: worth %.3f; %zu jobs, in time %.3f, late %.3f, refused "
              "%.3f; runs refused %.3f, idle while jobs wait %.4f, first start "
              "p50 %.1f p95 %.1f ms\n",
              Name, R.Worth_, R.Jobs_, Share(R.InTime_), Share(R.Late_),
              Share(R.Refused_), refusedShare(R), R.IdleWhileWaiting_,
              quantile(R.FirstStartMs_, 0.5), quantile(R.FirstStartMs_, 0.95));
}

LoadResult play(const char *Name, LoadPattern Pattern) {
  LoadResult R = LoadReplay(std::move(Pattern)).run();
  print(Name, R);
  return R;
}

// A fleet of eleven endpoints under a usual load, with jobs on one route that
// crash the endpoint.
LoadPattern crashingLoad(double Share, std::uint64_t Seed) {
  LoadPattern P;
  P.Entries_ = 3;
  P.Agents_ = 11;
  P.AgentCpu_ = 76000;
  P.Jobs_ = {
      {"short", PriorityClass(0), 8, 6200, milliseconds(60), 34.4, 0.0291},
      {"long", PriorityClass(2), 4, 6200, milliseconds(900), 6.25, 0.16},
      {"middle", PriorityClass(1), 2, 6200, milliseconds(200), 100, 0.01}};
  P.Crashing_ = {
      {"short", Time(milliseconds(5000)), Time(milliseconds(15000)), Share}};
  P.Length_ = std::chrono::seconds(34);
  P.Seed_ = Seed;
  return P;
}

LoadResult playCrashing(double Share, std::uint64_t Seed) {
  const std::string Name = "crashing share " + std::to_string(Share) +
                           " seed " + std::to_string(Seed);
  LoadResult R = play(Name.c_str(), crashingLoad(Share, Seed));
  for (const auto &[Route, Worth] : R.RouteWorth_)
    std::printf("  %s %.3f;", Route.c_str(), Worth);
  std::printf(" crashes %zu, most of one task %zu, wrongly failed %zu\n",
              R.Crashes_, R.MostCrashesOfTask_, R.WronglyFailed_);
  return R;
}

} // namespace

// Load pattern: a large fleet with many entries close to its capacity, each of
// which sees only a small share of the runs. Guards against refusals while the
// rest of the fleet frees enough room.
TEST_CASE("Many entries share a nearly full fleet", "[load-replay]") {
  CHECK(play("nearly full", mixedLoad(25, 75, 0.9)).Worth_ >= TargetWorth);
}

// Load pattern: a usual day.
TEST_CASE("A usual load is served", "[load-replay]") {
  CHECK(play("usual", mixedLoad(5, 15, 0.6)).Worth_ >= TargetWorth);
}

// Load pattern: more work than the fleet has room for, from several entries.
// Guards against entries that guess from outdated reports which agent has room:
// their runs are refused there and go on to the next.
TEST_CASE("Few runs are refused for lack of room under overload",
          "[load-replay]") {
  CHECK(refusedShare(play("overload", mixedLoad(5, 15, 1.2))) < 0.02);
}

// Load pattern: one route has jobs with a task that crashes each endpoint that
// starts it. Guards against the loss of the whole fleet to one kind of work.
TEST_CASE("Crashing tasks of one route do not take down the fleet",
          "[load-replay]") {
  for (const double Share : {0.03, 0.1, 0.3})
    for (const std::uint64_t Seed : {1, 2}) {
      const LoadResult R = playCrashing(Share, Seed);
      CHECK(R.Worth_ >= 0.8);
      CHECK(R.RouteWorth_.at("long") >= 0.95);
      CHECK(R.RouteWorth_.at("middle") >= 0.95);
      CHECK(R.MostCrashesOfTask_ <= 3);
      CHECK(R.WronglyFailed_ == 0);
    }
}
