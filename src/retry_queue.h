#ifndef CHIVELANDING_RETRY_QUEUE_H
#define CHIVELANDING_RETRY_QUEUE_H

#include "retry_budget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace chivelanding {

/// Identifies a task at its owner: the number of its job, and its index in the
/// job.
using TaskKey = std::pair<std::uint64_t, std::uint32_t>;

/// Tasks that wait for the delay before a retry, limited by the retry budget of
/// their service.
class RetryQueue {
public:
  explicit RetryQueue(std::uint64_t Seed) : Random_(Seed) {}

  /// Replaces the limits of a service and fills its budget.
  void setLimits(const ServiceName &Service, const RetryLimits &Limits);
  /// A request was sent to the service for the first time.
  void onRequest(const ServiceName &Service);
  /// Schedules a retry. Returns its time, or nothing if the budget does not
  /// allow it or the deadline passes first.
  std::optional<Time> add(TaskKey Task, const ServiceName &Service,
                          std::uint32_t RetriesBefore,
                          std::optional<Time> Deadline, Time Now);
  /// Cancels the retry that is scheduled for At.
  void remove(TaskKey Task, Time At) { Tasks_.erase({At, Task}); }
  std::vector<TaskKey> takeDue(Time Now);
  void clear() { Tasks_.clear(); }

private:
  RetryBudget &budget(const ServiceName &Service);

  std::mt19937_64 Random_;
  std::map<ServiceName, RetryBudget> Budgets_;
  std::set<std::pair<Time, TaskKey>> Tasks_;
};

} // namespace chivelanding

#endif
