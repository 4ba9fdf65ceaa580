#include "clock.h"

#include <ctime>

namespace chivelanding {

namespace {

Duration readClock(clockid_t Clock) {
  timespec T{};
  clock_gettime(Clock, &T);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec));
}

} // namespace

// CLOCK_MONOTONIC, which std::chrono::steady_clock reads, stands still while
// the VM is suspended. Leases and deadlines run on meanwhile at other VMs, so
// times are taken from CLOCK_BOOTTIME.
Time steadyNow() { return Time(readClock(CLOCK_BOOTTIME)); }

std::int64_t unixMs() { return readClock(CLOCK_REALTIME).count() / 1000; }

Duration suspendedTime() {
  return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace chivelanding
