#include "cli.h"
#include "commands.h"

#include <cstdio>

using namespace chivelanding;

namespace {

constexpr Command Commands[] = {
    {"check", "check configuration files", runCheck},
    {"diff", "compare files with the version in force", runDiff},
    {"publish", "publish a change of the configuration", runPublish},
    {"history", "list the changes in the log", runHistory},
    {"show", "print a version of the configuration", runShow},
    {"versions", "show which processes have which version", runVersions},
    {"cordon", "list, set and lift cordons of zones", runCordon},
    {"bench", "run a built-in benchmark", runBench},
    {"settings", "print the page of all settings", runSettings},
    {"events", "print the catalogue of log events", runEvents},
    {"entry", "run an entry", runEntry},
    {"agent", "run the agent beside an endpoint", runAgent},
    {"dispatch-entry", "run an entry on the platform",
     platform::runDispatchEntry},
    {"dispatch-agent", "run the agent beside an endpoint of the platform",
     platform::runDispatchAgent},
    {"submit", "submit a job and print its answer", runSubmit},
    {"status", "print the state of a process", runStatus},
    {"drain", "make a process finish its work and exit", runDrain},
    {"explain", "print the log lines of one job", runExplain},
    {"version", "print the version", runVersion},
};

int usage(FILE *Stream) {
  std::fprintf(Stream, "usage: chivelanding COMMAND [OPTIONS]\n\n");
  for (const Command &C : Commands)
    std::fprintf(Stream, "  %-14s %s\n", C.Name_, C.Summary_);
  std::fprintf(Stream, "\nchivelanding COMMAND --help describes one command.\n"
                       "Exit codes: 0 done, 1 failed, 2 usage, 3 outcome "
                       "unknown.\n");
  return Stream == stdout ? ExitOk : ExitUsage;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 2)
    return usage(stderr);
  const std::string Name = Argv[1];
  if (Name == "--help" || Name == "help")
    return usage(stdout);
  for (const Command &C : Commands)
    if (Name == C.Name_)
      return C.Run_(Arguments(Argv + 2, Argv + Argc));
  std::fprintf(stderr, "chivelanding: unknown command '%s'\n", Name.c_str());
  return usage(stderr);
}
