#include "service_registry.h"

namespace chivelanding {

Result<Done> ServiceRegistry::start() {
  for (; StartedCount_ < Services_.size(); ++StartedCount_) {
    auto R = Services_[StartedCount_].second->start();
    if (!ok(R)) {
      stop();
      return R;
    }
  }
  return Done();
}

void ServiceRegistry::stop() {
  while (StartedCount_ > 0)
    Services_[--StartedCount_].second->stop();
}

void ServiceRegistry::drain() {
  for (std::size_t I = StartedCount_; I > 0; --I)
    Services_[I - 1].second->drain();
}

// A later service may hold references to an earlier one, so services are
// destroyed in reverse order too.
ServiceRegistry::~ServiceRegistry() {
  stop();
  while (!Services_.empty())
    Services_.pop_back();
}

} // namespace chivelanding
