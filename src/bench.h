#ifndef CHIVELANDING_BENCH_H
#define CHIVELANDING_BENCH_H

#include "cli.h"

#include <cstdint>
#include <string>

namespace chivelanding {

/// A bound that a figure is held against.
struct Target {
  enum class Kind : std::uint8_t { None, AtMost, AtLeast };
  Kind Kind_ = Kind::None;
  double Bound_ = 0;

  static Target none() { return {}; }
  static Target atMost(double Bound) { return {Kind::AtMost, Bound}; }
  static Target atLeast(double Bound) { return {Kind::AtLeast, Bound}; }
};

/// Prints one line "NAME VALUE UNIT TARGET ok|red"; the last two are "- -"
/// without a target.
void printMetric(const std::string &Name, double Value, const char *Unit,
                 Target Bound = Target::none());

/// Order-sensitive hash of decisions; equal runs have equal signatures.
class Signature {
public:
  void add(std::uint64_t Value);
  void add(const std::string &Text);
  std::uint64_t value() const { return Hash_; }

private:
  std::uint64_t Hash_ = 0xcbf29ce484222325ULL;
};

/// Bytes that the C library's allocator has handed out at present.
std::uint64_t allocatedBytes();

/// A built-in benchmark: `chivelanding bench NAME [--seed N]`.
struct Bench {
  const char *Name_;
  const char *Summary_;
  int (*Run_)(std::uint64_t Seed);
};

/// Size and cost of messages and records, the slopes for docs/CAPACITY.md.
int benchCapacity(std::uint64_t Seed);
/// Time and memory of decisions at 1, 10 and 100 times today's size.
int benchCost(std::uint64_t Seed);
/// Placement, order, admission and health in virtual time.
int benchPolicy(std::uint64_t Seed);
/// Spreading of configuration changes between processes.
int benchConfig(std::uint64_t Seed);

} // namespace chivelanding

#endif
