#include "standin.h"

#include <cstdio>

using namespace chivelanding::standin;

namespace {

constexpr Subcommand Subcommands[] = {
    {"log", "the platform's log", runLog},
};

int usage(FILE *Stream) {
  std::fprintf(Stream, "usage: chivelanding-standin SUBCOMMAND [OPTIONS]\n\n");
  for (const Subcommand &S : Subcommands)
    std::fprintf(Stream, "  %-10s %s\n", S.Name_, S.Summary_);
  return Stream == stdout ? 0 : 2;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 2)
    return usage(stderr);
  const std::string Name = Argv[1];
  if (Name == "--help")
    return usage(stdout);
  for (const Subcommand &S : Subcommands)
    if (Name == S.Name_)
      return S.Run_(Arguments(Argv + 2, Argv + Argc));
  return usage(stderr);
}
