#ifndef CHIVELANDING_BENCH_H
#define CHIVELANDING_BENCH_H

#include "cli.h"

#include <cstdint>
#include <string>

namespace chivelanding {

/// Bound that a metric has to meet.
struct Target {
  enum class Kind : std::uint8_t { None, AtMost, AtLeast };
  Kind Kind_ = Kind::None;
  double Bound_ = 0;

  static Target none() { return {}; }
  static Target atMost(double Bound) { return {Kind::AtMost, Bound}; }
  static Target atLeast(double Bound) { return {Kind::AtLeast, Bound}; }
};

/// Prints the line "NAME VALUE UNIT TARGET ok|red", where red means that the
/// target is missed. Without a target the last two columns are "- -".
void printMetric(const std::string &Name, double Value, const char *Unit,
                 Target Bound = Target::none());

/// Order-sensitive hash of a run's decisions. Runs with equal decisions have
/// equal signatures.
class Signature {
public:
  void add(std::uint64_t Value);
  void add(const std::string &Text);
  std::uint64_t value() const { return Hash_; }

private:
  std::uint64_t Hash_ = 0xcbf29ce484222325ULL;
};

/// Bytes currently allocated from the heap of the C library, without blocks
/// that it maps separately.
std::uint64_t allocatedBytes();

/// A built-in benchmark: `chivelanding bench NAME [--seed N]`.
struct Bench {
  const char *Name_;
  const char *Summary_;
  int (*Run_)(std::uint64_t Seed);
};

/// Size of messages, cost of the codec and memory of records: the cost per unit
/// that docs/CAPACITY.md uses.
int benchCapacity(std::uint64_t Seed);
/// CPU time and memory of scheduling decisions at 1, 10 and 100 times the base
/// deployment (11 agents, 3 teams, 1000 tasks).
int benchCost(std::uint64_t Seed);
/// Placement, queue order, admission and outlier ejection in virtual time.
int benchPolicy(std::uint64_t Seed);
/// Propagation of configuration changes between processes in virtual time.
int benchConfig(std::uint64_t Seed);

} // namespace chivelanding

#endif
