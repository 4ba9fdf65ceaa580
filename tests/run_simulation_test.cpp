#include "run_simulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace chivelanding;
using namespace chivelanding::test;

namespace {

// Seeds that are run for each defect. The oracle must detect the defect with at
// least one of them.
constexpr std::uint64_t DefectSeeds = 60;

RunSimulationOptions cordonOptions() {
  RunSimulationOptions Options;
  Options.Entries_ = 3;
  Options.Agents_ = 6;
  Options.Zones_ = 3;
  return Options;
}

std::string firstFailure(RunSimulationOptions Options, std::uint64_t From = 1) {
  for (std::uint64_t Seed = From; Seed < From + DefectSeeds; ++Seed) {
    Options.Seed_ = Seed;
    std::string Failure = RunSimulation(Options).run();
    if (!Failure.empty())
      return Failure;
  }
  return "";
}

} // namespace

// Guards the guarantees of docs/platform.md against combinations of faults: one
// run of a task at a time, no run of a refused job, complete answers in time,
// no resources held at the end, and service after the last fault.
//
// CHIVELANDING_RUN_SEEDS names a range "FROM-TO" in place of the fixed one;
// CHIVELANDING_RUN_TRACE a job whose log lines are printed.
TEST_CASE("Runs keep their promises under faults", "[run-world]") {
  std::uint64_t From = 1;
  std::uint64_t To = 40;
  std::size_t Completed = 0;
  std::size_t Faults = 0;
  if (const char *Range = std::getenv("CHIVELANDING_RUN_SEEDS"))
    REQUIRE(std::sscanf(Range, "%lu-%lu", &From, &To) == 2);
  for (std::uint64_t Seed = From; Seed <= To; ++Seed) {
    RunSimulationOptions Options;
    Options.Seed_ = Seed;
    if (const char *Job = std::getenv("CHIVELANDING_RUN_TRACE"))
      Options.Trace_ = Job;
    RunSimulation Simulation(Options);
    INFO("seed " << Seed);
    const std::string Failure = Simulation.run();
    CHECK_THAT(Failure, Catch::Equals(""));
    Completed += Simulation.completed();
    Faults += Simulation.faults();
  }
  // Simulations that complete few jobs or inject few faults would prove
  // nothing.
  CHECK(Completed > 50 * (To - From + 1));
  CHECK(Faults > 20 * (To - From + 1));
}

// The same guarantees where each entry uses half of the agents, which therefore
// change between use and standby all the time.
TEST_CASE("Runs keep their promises with agents on standby", "[run-world]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    RunSimulationOptions Options;
    Options.Seed_ = Seed;
    Options.Agents_ = 6;
    Options.Dispatch_.Subset_ = {2, 3, std::chrono::seconds(1)};
    RunSimulation Simulation(Options);
    INFO("seed " << Seed);
    const std::string Failure = Simulation.run();
    CHECK_THAT(Failure, Catch::Equals(""));
    CHECK(Simulation.completed() > 50);
  }
}

// The same guarantees with endpoints that leave half of the calls unanswered
// and carry them out seconds later. Guards against runs of a killed or silent
// entry that cannot be stopped before its callers submit their jobs again.
TEST_CASE("Runs keep their promises with unanswered calls", "[run-world]") {
  std::uint64_t From = 1;
  std::uint64_t To = 40;
  if (const char *Range = std::getenv("CHIVELANDING_RUN_SEEDS"))
    REQUIRE(std::sscanf(Range, "%lu-%lu", &From, &To) == 2);
  for (std::uint64_t Seed = From; Seed <= To; ++Seed) {
    RunSimulationOptions Options;
    Options.Seed_ = Seed;
    Options.UnansweredCalls_ = true;
    if (const char *Job = std::getenv("CHIVELANDING_RUN_TRACE"))
      Options.Trace_ = Job;
    RunSimulation Simulation(Options);
    INFO("seed " << Seed);
    const std::string Failure = Simulation.run();
    CHECK_THAT(Failure, Catch::Equals(""));
    CHECK(Simulation.completed() > 30);
  }
}

// The same guarantees with callers that leave a frozen entry and submit their
// jobs again. Guards against runs that the entry starts when it wakes.
TEST_CASE("Runs keep their promises with callers that leave", "[run-world]") {
  std::uint64_t From = 1;
  std::uint64_t To = 40;
  if (const char *Range = std::getenv("CHIVELANDING_RUN_SEEDS"))
    REQUIRE(std::sscanf(Range, "%lu-%lu", &From, &To) == 2);
  for (std::uint64_t Seed = From; Seed <= To; ++Seed) {
    RunSimulationOptions Options;
    Options.Seed_ = Seed;
    Options.CallersLeave_ = true;
    Options.UnansweredCalls_ = Seed % 2 == 0;
    if (const char *Job = std::getenv("CHIVELANDING_RUN_TRACE"))
      Options.Trace_ = Job;
    RunSimulation Simulation(Options);
    INFO("seed " << Seed);
    const std::string Failure = Simulation.run();
    CHECK_THAT(Failure, Catch::Equals(""));
    CHECK(Simulation.completed() > 30);
  }
}

// The same guarantees with three zones that operators cordon, and no start in a
// cordoned zone. Guards against sets that an agent or entry misses, forgets or
// takes from a stale peer, and against cordons that stay after their lift.
TEST_CASE("Runs keep their promises with cordoned zones", "[run-world]") {
  std::uint64_t From = 1;
  std::uint64_t To = 60;
  std::size_t Completed = 0;
  if (const char *Range = std::getenv("CHIVELANDING_RUN_SEEDS"))
    REQUIRE(std::sscanf(Range, "%lu-%lu", &From, &To) == 2);
  for (std::uint64_t Seed = From; Seed <= To; ++Seed) {
    RunSimulationOptions Options = cordonOptions();
    Options.Seed_ = Seed;
    if (Seed % 2 == 0) // With agents on standby.
      Options.Dispatch_.Subset_ = {2, 3, std::chrono::seconds(1)};
    if (const char *Job = std::getenv("CHIVELANDING_RUN_TRACE"))
      Options.Trace_ = Job;
    RunSimulation Simulation(Options);
    INFO("seed " << Seed);
    const std::string Failure = Simulation.run();
    CHECK_THAT(Failure, Catch::Equals(""));
    Completed += Simulation.completed();
  }
  CHECK(Completed > 30 * (To - From + 1));
}

// Guards the oracle itself: each defect of a decision must show as a violated
// invariant.
TEST_CASE("The oracle detects an entry that reruns too early", "[run-world]") {
  RunSimulationOptions Options;
  Options.Dispatch_.Leases_.Owner_ = Options.Dispatch_.Leases_.Endpoint_ =
      std::chrono::milliseconds(0);
  CHECK(firstFailure(Options).find("two runs") != std::string::npos);
}

TEST_CASE("The oracle detects an agent that keeps runs of a dead entry",
          "[run-world]") {
  RunSimulationOptions Options;
  Options.Supervisor_.Leases_.Owner_ = std::chrono::hours(1);
  CHECK(firstFailure(Options).find("two runs") != std::string::npos);
}

TEST_CASE("The oracle detects callers that retry before the leases expire",
          "[run-world]") {
  RunSimulationOptions Options;
  Options.CallerRetry_ = std::chrono::milliseconds(100);
  CHECK(firstFailure(Options).find("two runs") != std::string::npos);
}

TEST_CASE("The oracle detects an entry that notices late who has left",
          "[run-world]") {
  RunSimulationOptions Options;
  Options.CallersLeave_ = Options.UnansweredCalls_ = true;
  Options.LeavingNoticedLate_ = true;
  CHECK(firstFailure(Options).find("two runs") != std::string::npos);
}

TEST_CASE("The oracle detects a job without an answer", "[run-world]") {
  RunSimulationOptions Options;
  Options.Dispatch_.Leases_.Endpoint_ = std::chrono::hours(1);
  Options.Supervisor_.StopRetryPause_ = std::chrono::hours(1);
  // Otherwise the endpoint lease ends the runs that are never stopped.
  Options.Supervisor_.Leases_.Endpoint_ = std::chrono::hours(1);
  CHECK_FALSE(firstFailure(Options, 81).empty());
}

TEST_CASE("The oracle detects an agent that ignores cordons", "[run-world]") {
  RunSimulationOptions Options = cordonOptions();
  Options.AgentsIgnoreCordons_ = true;
  CHECK(firstFailure(Options).find("cordoned zone") != std::string::npos);
}
