#include "kernel.h"

namespace chivelanding {

Result<Done> Kernel::start() {
  for (; Started_ < Services_.size(); ++Started_) {
    auto R = Services_[Started_].second->start();
    if (!ok(R)) {
      stop();
      return R;
    }
  }
  return Done();
}

void Kernel::stop() {
  while (Started_ > 0)
    Services_[--Started_].second->stop();
}

void Kernel::drain() {
  for (std::size_t I = Started_; I > 0; --I)
    Services_[I - 1].second->drain();
}

// Members of a later service may refer to an earlier one, so the destruction
// runs in reverse as well.
Kernel::~Kernel() {
  stop();
  while (!Services_.empty())
    Services_.pop_back();
}

} // namespace chivelanding
