#ifndef CHIVELANDING_RUN_HEALTH_H
#define CHIVELANDING_RUN_HEALTH_H

#include "types.h"

#include <cstdint>

namespace chivelanding {

/// Moving figures of how well an endpoint runs tasks: length over estimate, and
/// share of failures. Both return to their neutral value while nothing is
/// observed, so that an endpoint is tried again.
class RunHealth {
public:
  /// A run ended well, or is predicted to take this long. Ignored without an
  /// estimate.
  void onLength(Duration Length, Duration Estimate, Time Now);
  void onSuccess(Time Now);
  void onFailure(Time Now);

  /// Length over estimate in thousandths; 1000 is neutral.
  std::uint32_t slownessPermille(Time Now) const;
  /// Share of failures in thousandths; 0 is neutral.
  std::uint32_t failedPermille(Time Now) const;

private:
  void observeOutcome(double Failed, Time Now);

  double Slowness_ = 1;
  double Failed_ = 0;
  Time LastLength_;
  Time LastOutcome_;
};

} // namespace chivelanding

#endif
