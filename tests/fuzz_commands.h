#ifndef CHIVELANDING_TESTS_FUZZ_COMMANDS_H
#define CHIVELANDING_TESTS_FUZZ_COMMANDS_H

#include "fuzz_simulation.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace chivelanding::fuzz {

enum class Action : std::uint8_t {
  Submit,
  SubmitSingle,
  Resubmit,
  Cancel,
  Wait,
  Kill,
  KillAbruptly,
  Start,
  PauseShort,
  PauseLong,
  Drain,
  CutOneWay,
  CutBothWays,
  Heal,
  Silence,
  Disturb,
  Isolate,
  FailAll,
  Cordon,
  Lift
};

/// One step of a test: an action, and the numbers that choose its operands.
struct Command {
  Action Action_ = Action::Wait;
  std::uint32_t A_ = 0;
  std::uint32_t B_ = 0;
  /// Virtual time that passes after the action, in milliseconds.
  std::uint32_t WaitMs_ = 0;
};

/// Prints a command in the form in which a regression test lists it.
std::ostream &operator<<(std::ostream &Out, const Command &C);

using Commands = std::vector<Command>;

/// Result of one run of a list of commands.
struct RunReport {
  std::optional<Violation> Violation_;
  /// Number of commands applied, including the one that led to a violation.
  std::size_t Steps_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t Frames_ = 0;
};

void apply(FuzzSimulation &W, const Command &C);

/// Injects a defect into a new simulation.
using FaultInjector = std::function<void(FuzzSimulation &)>;

/// Runs the commands in a new simulation with this seed, then lets it settle
/// unless an invariant was violated.
RunReport runCommands(const Commands &List, std::uint64_t Seed,
                      const FaultInjector &Inject = {});

/// Result of a search for a violation.
struct SearchReport {
  std::optional<Violation> Violation_;
  Commands Shrunk_;
  /// Seed of the simulation in which the shrunk commands fail.
  std::uint64_t SimulationSeed_ = 0;
  std::size_t Steps_ = 0;
  std::size_t Runs_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Completed_ = 0;
};

/// Generates command lists with RapidCheck until Steps commands were applied or
/// a list violates an invariant; RapidCheck then shrinks this list in at most
/// MaxShrinks runs.
SearchReport search(std::uint64_t Seed, std::size_t Steps,
                    const FaultInjector &Inject = {},
                    std::size_t MaxShrinks = 300);

/// Returns the commands as text, one per line.
std::string describe(const Commands &List);

} // namespace chivelanding::fuzz

#endif
