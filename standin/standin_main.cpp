#include "standin.h"

#include <cstdio>

using namespace chivelanding;

namespace {

constexpr Command Commands[] = {
    {"endpoint", "an endpoint that runs tasks", runEndpointStandin},
    {"load", "a load driver", runLoad},
    {"log", "the platform's log, in memory", runLogStandin},
};

int usage() {
  std::fprintf(stderr, "usage: chivelanding-standin COMMAND [OPTIONS]\n\n");
  for (const Command &C : Commands)
    std::fprintf(stderr, "  %-10s %s\n", C.Name_, C.Summary_);
  return ExitUsage;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 2)
    return usage();
  for (const Command &C : Commands)
    if (std::string(Argv[1]) == C.Name_)
      return C.Run_(Arguments(Argv + 2, Argv + Argc));
  return usage();
}
