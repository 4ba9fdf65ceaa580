#ifndef CHIVELANDING_CLI_H
#define CHIVELANDING_CLI_H

#include <string>
#include <vector>

namespace chivelanding {

/// Exit codes of every subcommand.
enum ExitCode : int {
  ExitOk = 0,
  /// The action was attempted and failed, or was refused.
  ExitFailed = 1,
  /// The command line or a file is invalid; nothing was attempted.
  ExitUsage = 2,
  /// The outcome of the action is unknown.
  ExitUnknown = 3
};

/// Arguments after the subcommand's name.
using Arguments = std::vector<std::string>;

/// A subcommand of the binary.
struct Command {
  const char *Name_;
  const char *Summary_;
  int (*Run_)(const Arguments &Args);
};

/// Runs an entry process until SIGTERM.
int runEntry(const Arguments &Args);

/// Runs an agent process until SIGTERM.
int runAgent(const Arguments &Args);

/// Submits a job from a file or stdin and prints its answer.
int runSubmit(const Arguments &Args);

/// Prints the state of one process as JSON.
int runStatus(const Arguments &Args);

/// Asks one process to accept no new work, finish and exit.
int runDrain(const Arguments &Args);

/// Prints the version of the program and of its protocol.
int runVersion(const Arguments &Args);
/// Prints the log lines that concern one job.
int runExplain(const Arguments &Args);
/// Runs a built-in benchmark.
int runBench(const Arguments &Args);
/// Prints the reference page of all settings.
int runSettings(const Arguments &Args);
/// Prints the catalogue of log events.
int runEvents(const Arguments &Args);

/// Validates files that contain configuration objects.
int runCheck(const Arguments &Args);
/// Shows how files differ from the configuration in force or from another file.
int runDiff(const Arguments &Args);
/// Publishes a change of the configuration.
int runPublish(const Arguments &Args);
/// Lists the changes in the configuration log, including refused ones.
int runHistory(const Arguments &Args);
/// Prints a version of the configuration.
int runShow(const Arguments &Args);
/// Lists, sets and lifts the cordons of zones.
int runCordon(const Arguments &Args);
/// Shows which processes have which version of the configuration.
int runVersions(const Arguments &Args);

} // namespace chivelanding

#endif
