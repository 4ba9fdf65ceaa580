#include "bench_figures.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

namespace chivelanding {

std::vector<ScenarioResult>
runScenarios(const std::vector<std::function<ScenarioResult()>> &Scenarios,
             unsigned Threads) {
  std::vector<ScenarioResult> Results(Scenarios.size());
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Workers;
  for (unsigned T = 0; T < Threads; ++T)
    Workers.emplace_back([&] {
      for (std::size_t I = Next++; I < Scenarios.size(); I = Next++)
        Results[I] = Scenarios[I]();
    });
  for (std::thread &Worker : Workers)
    Worker.join();
  return Results;
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Rank),
                   Values.end());
  return Values[Rank];
}

} // namespace chivelanding
