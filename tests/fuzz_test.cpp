#include "fuzz_commands.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace chivelanding;
using namespace chivelanding::fuzz;

namespace {

// Prints the statistics of the search for violations. If one was found, prints
// the simulation seed and the commands with which a regression test reproduces
// it.
void report(const SearchReport &R, std::uint64_t Seed) {
  std::cout << "seed " << Seed << ": " << R.Runs_ << " runs, " << R.Steps_
            << " steps, " << R.Starts_ << " task starts, " << R.Completed_
            << " jobs completed\n";
  if (!R.Violation_)
    return;
  std::cout << "invariant " << R.Violation_->Invariant_ << ": "
            << R.Violation_->Text_ << "\nsimulation seed " << R.SimulationSeed_
            << ", commands:\n"
            << describe(R.Shrunk_);
}

std::uint64_t readEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

// Guards against violations of the invariants when several faults overlap, as
// in random lists of submissions, crashes, pauses and network faults.
TEST_CASE("Command lists generated from the fixed seeds violate no invariant",
          "[fuzz]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3);
  const SearchReport R = search(Seed, 1000);
  report(R, Seed);
  CHECK_FALSE(R.Violation_);
  CHECK(R.Completed_ > 0);
}

// Searches with other seeds than CI; scripts/fuzz.sh sets the seed and the
// number of steps.
TEST_CASE("Command lists generated from a given seed violate no invariant",
          "[.fuzz-more]") {
  const std::uint64_t Seed = readEnvironment("FUZZ_SEED", 1);
  const SearchReport R = search(Seed, readEnvironment("FUZZ_STEPS", 10000));
  report(R, Seed);
  CHECK_FALSE(R.Violation_);
}
