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
