#include "bench_figures.h"
#include "load_replay.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chivelanding;
using namespace chivelanding::test;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Replays with entries of unequal speed, for the starts that wait at the agent.
namespace {

// The job mix and the fleet of a day of heavy load. Four of nine entries have
// half a core, the others 0.12 of a core: at 45 us of processor time for a
// message they take 90 and 375 us.
LoadPattern heavyDay(std::size_t Entries, std::size_t Agents, double Factor) {
  LoadPattern P;
  P.Entries_ = Entries;
  P.Agents_ = Agents;
  P.AgentCpus_ = {32000, 32000, 48000};
  P.HandlingTimes_ = {microseconds(90),  microseconds(375), microseconds(90),
                      microseconds(375), microseconds(90),  microseconds(375),
                      microseconds(90),  microseconds(375), microseconds(375)};
  P.Jobs_ = {
      {"short", PriorityClass(0), 8, 2600, milliseconds(60), 206, 0.00485},
      {"long", PriorityClass(2), 4, 2600, milliseconds(900), 37.5, 0.0267},
      {"middle", PriorityClass(1), 2, 2600, milliseconds(200), 600, 0.00167}};
  for (JobPattern &J : P.Jobs_)
    J.JobsPerSecond_ *= Factor;
  P.WaitBeyondRun_ = milliseconds(1500);
  return P;
}

// The same mix at this share of the fleet's capacity.
LoadPattern heavyShare(std::size_t Entries, std::size_t Agents, double Share) {
  const double Usual = heavyDay(Entries, Agents, 1).utilization();
  LoadPattern P = heavyDay(Entries, Agents, Share / Usual);
  P.Length_ = std::chrono::seconds(5);
  return P;
}

double refusedRuns(const LoadResult &R) {
  return static_cast<double>(R.RefusedRuns_) /
         static_cast<double>(R.Runs_ + R.RefusedRuns_);
}

// An entry's largest share of the refusals over its share of the jobs.
double largestRefusalRatio(const LoadResult &R) {
  double Largest = 0;
  for (const auto &[E, C] : R.ByEntry_)
    Largest = std::max(Largest, static_cast<double>(C.Refused_ * R.Jobs_) /
                                    static_cast<double>(std::max<std::size_t>(
                                        1, C.Jobs_ * R.Refused_)));
  return Largest;
}

LoadResult play(const std::string &Name, LoadPattern Pattern) {
  LoadResult R = LoadReplay(std::move(Pattern)).run();
  std::printf("%s: worth %.3f; %zu jobs, in time %zu, late %zu, refused %zu "
              "(median age %.1f ms); runs %zu, refused %.3f, idle while jobs "
              "wait %.4f\n ",
              Name.c_str(), R.Worth_, R.Jobs_, R.InTime_, R.Late_, R.Refused_,
              quantile(R.RefusedAgeMs_, 0.5), R.Runs_, refusedRuns(R),
              R.IdleWhileWaiting_);
  for (const auto &[Route, C] : R.ByRoute_)
    std::printf(" %s worth %.3f in time %zu refused %zu of %zu;", Route.c_str(),
                R.RouteWorth_[Route], C.InTime_, C.Refused_, C.Jobs_);
  std::printf(" entries");
  for (const auto &[E, C] : R.ByEntry_)
    if (E < 12)
      std::printf(" %zu/%zu", C.Refused_, C.Jobs_);
  std::printf("\n");
  return R;
}

struct Fleet {
  std::size_t Entries_;
  std::size_t Agents_;
};
constexpr Fleet Fleets[] = {{9, 55}, {12, 70}, {55, 165}};

// The same replay serves several checks.
const LoadResult &overload(const Fleet &F) {
  static std::map<std::size_t, LoadResult> Played;
  const auto Known = Played.find(F.Entries_);
  if (Known != Played.end())
    return Known->second;
  return Played[F.Entries_] =
             play("120 % with " + std::to_string(F.Entries_) + " entries",
                  heavyShare(F.Entries_, F.Agents_, 1.2));
}

} // namespace

// Load pattern: overload on 9, 12 and 55 entries of unequal speed. Guards
// against dispatches that compete for the same free resources (Q1).
TEST_CASE("Few runs are refused with entries of unequal speed",
          "[load-replay][start-queue]") {
  for (const Fleet &F : Fleets) {
    INFO(F.Entries_ << " entries");
    CHECK(refusedRuns(overload(F)) < 0.02);
  }
}

// The same load. Guards against refusals that depend on the entry to which a
// job was sent (Q2).
TEST_CASE("Slow entries refuse no more jobs than fast ones",
          "[load-replay][start-queue]") {
  for (const Fleet &F : Fleets) {
    INFO(F.Entries_ << " entries");
    CHECK(largestRefusalRatio(overload(F)) <= 1.5);
  }
}

// The same load. Guards against endpoints that idle until an entry has heard of
// their free resources and has sent a run (Q3).
TEST_CASE("No capacity idles while jobs wait", "[load-replay][start-queue]") {
  for (const Fleet &F : Fleets) {
    INFO(F.Entries_ << " entries");
    CHECK(overload(F).IdleWhileWaiting_ < 0.005);
  }
}

// The same load. Guards against jobs that wait in vain before they are refused
// (Q4).
TEST_CASE("Jobs that cannot be served are refused on arrival",
          "[load-replay][start-queue]") {
  for (const Fleet &F : Fleets) {
    INFO(F.Entries_ << " entries");
    CHECK(quantile(overload(F).RefusedAgeMs_, 0.5) < 10);
  }
}

// Load pattern: the heavy day, with a burst of long jobs and the loss of a
// seventh of the endpoints. Guards against a loss of worth in the trade-offs
// between the classes.
TEST_CASE("A heavy day with a burst and a loss keeps its worth",
          "[load-replay][start-queue]") {
  for (const Fleet &F : {Fleets[0], Fleets[1]}) {
    LoadPattern P =
        heavyDay(F.Entries_, F.Agents_, static_cast<double>(F.Agents_) / 55);
    P.Length_ = std::chrono::seconds(14);
    P.Bursts_ = {
        {"long", Time(milliseconds(3000)), Time(milliseconds(9000)), 1.8}};
    P.Losses_ = {{Time(milliseconds(5000)), Time(milliseconds(9000)), 7}};
    CHECK(play("heavy day with " + std::to_string(F.Entries_) + " entries", P)
              .Worth_ >= 0.9);
  }
}
