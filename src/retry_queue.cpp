#include "retry_queue.h"

namespace chivelanding {

void RetryQueue::setLimits(const ServiceName &Service,
                           const RetryLimits &Limits) {
  Budgets_.insert_or_assign(Service, RetryBudget(Limits));
}

RetryBudget &RetryQueue::budget(const ServiceName &Service) {
  return Budgets_.try_emplace(Service, RetryLimits()).first->second;
}

void RetryQueue::onRequest(const ServiceName &Service) {
  budget(Service).onRequest();
}

std::optional<Time> RetryQueue::add(TaskKey Task, const ServiceName &Service,
                                    std::uint32_t RetriesBefore,
                                    std::optional<Time> Deadline, Time Now) {
  const auto Delay = budget(Service).takeRetry(RetriesBefore, Random_);
  if (!Delay || (Deadline && Now + *Delay >= *Deadline))
    return std::nullopt;
  Tasks_.insert({Now + *Delay, Task});
  return Now + *Delay;
}

std::vector<TaskKey> RetryQueue::takeDue(Time Now) {
  std::vector<TaskKey> Due;
  while (!Tasks_.empty() && Tasks_.begin()->first <= Now) {
    Due.push_back(Tasks_.begin()->second);
    Tasks_.erase(Tasks_.begin());
  }
  return Due;
}

} // namespace chivelanding
