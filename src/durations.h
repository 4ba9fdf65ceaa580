#ifndef CHIVELANDING_DURATIONS_H
#define CHIVELANDING_DURATIONS_H

#include "types.h"

#include <cstdint>
#include <string>

namespace chivelanding {

inline double seconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

inline Duration scaled(Duration D, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(D.count()) * Factor));
}

/// Whole milliseconds, for logs.
inline std::string millisecondsText(Duration D) {
  return std::to_string(D.count() / 1000);
}

} // namespace chivelanding

#endif
