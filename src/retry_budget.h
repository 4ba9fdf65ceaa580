#ifndef CHIVELANDING_RETRY_BUDGET_H
#define CHIVELANDING_RETRY_BUDGET_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <random>

namespace chivelanding {

/// How much of a service's traffic may be retries, and how long they wait.
struct RetryLimits {
  /// Retries that each request adds to the budget.
  double PerRequest_ = 0.1;
  /// Largest budget, which is also the budget at the start.
  double MaxBudget_ = 10;
  /// Retries of one request.
  std::uint32_t MaxRetries_ = 3;
  Duration FirstDelay_ = std::chrono::milliseconds(20);
  Duration MaxDelay_ = std::chrono::seconds(2);
};

/// The retry budget of one service: a token bucket that requests fill and
/// retries empty, so that retries stay a bounded part of the traffic when a
/// whole zone is lost.
class RetryBudget {
public:
  explicit RetryBudget(RetryLimits Limits);

  /// A request was sent for the first time.
  void onRequest();
  /// Takes one retry from the budget and returns the time to wait before it,
  /// or nothing if the budget or the request's own count is used up.
  /// RetriesBefore counts the request's earlier retries.
  std::optional<Duration> takeRetry(std::uint32_t RetriesBefore,
                                    std::mt19937_64 &Random);

  double left() const { return Budget_; }

private:
  RetryLimits Limits_;
  double Budget_;
};

} // namespace chivelanding

#endif
