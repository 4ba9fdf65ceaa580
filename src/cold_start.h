#ifndef CHIVELANDING_COLD_START_H
#define CHIVELANDING_COLD_START_H

#include "run_message.h"

namespace chivelanding {

/// Share of a warm endpoint's capacity that is offered, in thousandths.
inline constexpr std::uint32_t WholeSharePermille = 1000;

/// This share of the capacity, in thousandths. Accelerators are rounded up.
Resources shareOfCapacity(const Resources &Capacity, std::uint32_t Permille);

/// Decides how much of its capacity an endpoint offers that announces that it
/// is cold, that is, slower for a while. Performs no I/O.
class ColdStart {
public:
  /// The endpoint announced that it remains cold for this time.
  void onAnnounced(Duration Remaining, Time Now);
  /// Time for which the endpoint remains cold; zero if it is not cold.
  Duration remaining(Time Now) const;
  /// Offered share of the capacity, in thousandths.
  std::uint32_t sharePermille(Time Now) const;

private:
  Time EndsAt_;
  /// Length of the current cold period; zero after an announcement of 0 or
  /// before the first.
  Duration Whole_{0};
};

} // namespace chivelanding

#endif
