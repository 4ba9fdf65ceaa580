#ifndef CHIVELANDING_BENCH_FIGURES_H
#define CHIVELANDING_BENCH_FIGURES_H

#include "bench.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chivelanding {

/// One line of a bench.
struct BenchMetric {
  std::string Name_;
  double Value_ = 0;
  const char *Unit_ = "-";
  Target Target_;
};

/// Figures of one run and the hash over its decisions.
struct ScenarioResult {
  std::vector<BenchMetric> Metrics_;
  std::uint64_t Signature_ = 0;
};

/// Runs the parts on up to Threads threads and returns their results in the
/// order of the parts.
std::vector<ScenarioResult>
runScenarios(const std::vector<std::function<ScenarioResult()>> &Scenarios,
             unsigned Threads);

/// Value below which the given part of the values lies; 0 if there is none.
double quantile(std::vector<double> Values, double Fraction);

} // namespace chivelanding

#endif
