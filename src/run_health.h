#ifndef CHIVELANDING_RUN_HEALTH_H
#define CHIVELANDING_RUN_HEALTH_H

#include "types.h"

#include <cstdint>

namespace chivelanding {

/// Moving averages of how well an endpoint runs tasks: ratio of run time to
/// estimate, and share of failed runs. Both decay to their neutral value while
/// nothing is observed, so that an endpoint that got no runs is tried again.
class RunHealth {
public:
  /// A run completed in Length, or is predicted to take it. Ignored if there is
  /// no estimate.
  void onLength(Duration Length, Duration Estimate, Time Now);
  void onSuccess(Time Now);
  void onFailure(Time Now);

  /// Run time over estimate in thousandths; 1000 is neutral.
  std::uint32_t slownessPermille(Time Now) const;
  /// Share of failed runs in thousandths; 0 is neutral.
  std::uint32_t failedPermille(Time Now) const;

private:
  void observeOutcome(double Failed, Time Now);

  double Slowness_ = 1;
  double FailedShare_ = 0;
  Time LastLength_;
  Time LastOutcome_;
};

} // namespace chivelanding

#endif
