#include "retry_budget.h"

#include <algorithm>

namespace chivelanding {

RetryBudget::RetryBudget(RetryLimits Limits)
    : Limits_(Limits), Budget_(Limits.MaxBudget_) {}

void RetryBudget::onRequest() {
  Budget_ = std::min(Budget_ + Limits_.PerRequest_, Limits_.MaxBudget_);
}

// The delay doubles with each retry and is drawn at random from its upper half,
// so that requests that failed together are not retried together.
std::optional<Duration> RetryBudget::takeRetry(std::uint32_t RetriesBefore,
                                               std::mt19937_64 &Random) {
  if (RetriesBefore >= Limits_.MaxRetries_ || Budget_ < 1)
    return std::nullopt;
  Budget_ -= 1;
  Duration Delay = Limits_.FirstDelay_;
  for (std::uint32_t I = 0; I < RetriesBefore && Delay < Limits_.MaxDelay_; ++I)
    Delay *= 2;
  Delay = std::min(Delay, Limits_.MaxDelay_);
  const auto Half = static_cast<std::uint64_t>(Delay.count() / 2);
  return Delay - Duration(static_cast<std::int64_t>(Random() % (Half + 1)));
}

} // namespace chivelanding
