#ifndef CHIVELANDING_RETRY_BUDGET_H
#define CHIVELANDING_RETRY_BUDGET_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <random>

namespace chivelanding {

/// Limits on the retries of a service: their part of the traffic, and their
/// delays.
struct RetryLimits {
  /// Number of retries that each request adds to the budget.
  double PerRequest_ = 0.1;
  /// Maximum budget, which is also the initial budget.
  double MaxBudget_ = 10;
  /// Maximum number of retries of one request.
  std::uint32_t MaxRetries_ = 3;
  Duration FirstDelay_ = std::chrono::milliseconds(20);
  Duration MaxDelay_ = std::chrono::seconds(2);
};

/// The retry budget of one service: a token bucket that requests fill and
/// retries drain, so that retries stay a bounded part of the traffic when a
/// whole zone is lost.
class RetryBudget {
public:
  explicit RetryBudget(RetryLimits Limits);

  /// A request was sent for the first time.
  void onRequest();
  /// Takes one retry from the budget and returns the delay before it, or
  /// nothing if the budget is exhausted or the request has reached its maximum
  /// number of retries. RetriesBefore counts the request's earlier retries.
  std::optional<Duration> takeRetry(std::uint32_t RetriesBefore,
                                    std::mt19937_64 &Random);

  double left() const { return Budget_; }

private:
  RetryLimits Limits_;
  double Budget_;
};

} // namespace chivelanding

#endif
