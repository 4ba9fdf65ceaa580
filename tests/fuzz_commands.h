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
  FailAll
};

/// One step of a test: an action, and numbers that choose its objects.
struct Command {
  Action Action_ = Action::Wait;
  std::uint32_t A_ = 0;
  std::uint32_t B_ = 0;
  /// Milliseconds that pass after the action.
  std::uint32_t WaitMs_ = 0;
};

/// Text in which a command can be pasted into a regression test.
std::ostream &operator<<(std::ostream &Out, const Command &C);

using Commands = std::vector<Command>;

/// What a run of commands came to.
struct RunReport {
  std::optional<Violation> Violation_;
  /// Commands that were applied, up to the one at which it failed.
  std::size_t Steps_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t Frames_ = 0;
};

void apply(FuzzSimulation &W, const Command &C);

/// Breaks a rule on purpose in a new world.
using FaultInjector = std::function<void(FuzzSimulation &)>;

/// Runs the commands in a new world of this seed, then lets it settle.
RunReport runCommands(const Commands &List, std::uint64_t Seed,
                      const FaultInjector &Inject = {});

/// Result of a search for a violation.
struct SearchReport {
  std::optional<Violation> Violation_;
  Commands Shrunk_;
  /// The seed of the world in which the shrunk commands fail.
  std::uint64_t SimulationSeed_ = 0;
  std::size_t Steps_ = 0;
  std::size_t Runs_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Completed_ = 0;
};

/// Generates command lists with RapidCheck until Steps commands were applied or
/// one fails; RapidCheck then shrinks it in at most MaxShrinks runs.
SearchReport search(std::uint64_t Seed, std::size_t Steps,
                    const FaultInjector &Inject = {},
                    std::size_t MaxShrinks = 300);

/// The commands as text, one per line.
std::string describe(const Commands &List);

} // namespace chivelanding::fuzz

#endif
