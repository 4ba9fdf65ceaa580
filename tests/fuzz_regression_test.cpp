#include "fuzz_commands.h"

#include <catch2/catch.hpp>

using namespace chivelanding;
using namespace chivelanding::fuzz;

namespace {

void checkNoViolation(const Commands &List, std::uint64_t SimulationSeed) {
  const RunReport R = runCommands(List, SimulationSeed);
  INFO((R.Violation_ ? R.Violation_->Text_ : std::string()));
  CHECK_FALSE(R.Violation_);
}

} // namespace

// Guards against a job that is never answered because the frame with a result
// was lost as the last one on an open connection and was not sent again.
TEST_CASE("A lost last frame does not hold up a job", "[fuzz-regression]") {
  checkNoViolation({{Action::Disturb, 2, 11, 7},
                    {Action::SubmitSingle, 1, 0, 1084},
                    {Action::Submit, 0, 29, 73},
                    {Action::CutBothWays, 0, 0, 9},
                    {Action::Cancel, 0, 0, 402},
                    {Action::PauseLong, 2, 0, 421},
                    {Action::SubmitSingle, 0, 0, 44},
                    {Action::SubmitSingle, 0, 0, 0}},
                   12000033);
}

// Guards against jobs that stay pending forever at an entry that has lost its
// peer and all agents, while new agents wait for the lost peer to acknowledge.
TEST_CASE("A stranded entry answers and rejoins", "[fuzz-regression]") {
  checkNoViolation({{Action::PauseLong, 26, 0, 0},
                    {Action::KillAbruptly, 6, 0, 0},
                    {Action::KillAbruptly, 11, 0, 0},
                    {Action::Isolate, 24, 0, 1861},
                    {Action::Drain, 10, 0, 27},
                    {Action::Submit, 0, 0, 555},
                    {Action::KillAbruptly, 19, 0, 2215},
                    {Action::KillAbruptly, 8, 0, 39},
                    {Action::Isolate, 0, 0, 373},
                    {Action::Submit, 0, 0, 0}},
                   13000047);
}
