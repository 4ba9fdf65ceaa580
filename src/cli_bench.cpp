#include "bench.h"

#include <charconv>
#include <cstdio>

namespace chivelanding {
namespace {

constexpr Bench Benches[] = {
    {"capacity", "size and cost of messages and records", benchCapacity},
    {"cost", "time and memory of decisions by size", benchCost},
    {"policy", "placement, order, admission and health", benchPolicy},
    {"config", "propagation of configuration changes", benchConfig},
};

constexpr std::uint64_t DefaultSeed = 1;

int usage(FILE *Stream) {
  std::fprintf(Stream, "usage: chivelanding bench NAME [--seed N]\n\n");
  for (const Bench &B : Benches)
    std::fprintf(Stream, "  %-10s %s\n", B.Name_, B.Summary_);
  return Stream == stdout ? ExitOk : ExitUsage;
}

} // namespace

int runBench(const Arguments &Args) {
  if (Args.empty())
    return usage(stderr);
  if (Args[0] == "--help")
    return usage(stdout);
  std::uint64_t Seed = DefaultSeed;
  if (Args.size() == 3 && Args[1] == "--seed") {
    const char *End = Args[2].data() + Args[2].size();
    const auto Parsed = std::from_chars(Args[2].data(), End, Seed);
    if (Parsed.ec != std::errc() || Parsed.ptr != End)
      return usage(stderr);
  } else if (Args.size() != 1) {
    return usage(stderr);
  }
  for (const Bench &B : Benches)
    if (Args[0] == B.Name_)
      return B.Run_(Seed);
  std::fprintf(stderr, "chivelanding: unknown bench '%s'\n", Args[0].c_str());
  return usage(stderr);
}

} // namespace chivelanding
