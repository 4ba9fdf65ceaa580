#include "clock.h"

namespace chivelanding {

Time steadyNow() {
  const auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(SinceBoot));
}

} // namespace chivelanding
