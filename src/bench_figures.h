#ifndef CHIVELANDING_BENCH_FIGURES_H
#define CHIVELANDING_BENCH_FIGURES_H

#include "bench.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chivelanding {

/// One line of a bench's output.
struct BenchMetric {
  std::string Name_;
  double Value_ = 0;
  const char *Unit_ = "-";
  Target Target_;
};

/// Metrics of one scenario and the hash of its decisions.
struct ScenarioResult {
  std::vector<BenchMetric> Metrics_;
  std::uint64_t Signature_ = 0;
};

/// Runs the scenarios on Threads threads and returns their results in the order
/// of the scenarios.
std::vector<ScenarioResult>
runScenarios(const std::vector<std::function<ScenarioResult()>> &Scenarios,
             unsigned Threads);

/// Returns the quantile for Fraction (0 to 1) by nearest rank; 0 if Values is
/// empty.
double quantile(std::vector<double> Values, double Fraction);

} // namespace chivelanding

#endif
