#ifndef CHIVELANDING_DRAIN_PLAN_H
#define CHIVELANDING_DRAIN_PLAN_H

#include "types.h"

#include <cstddef>

namespace chivelanding {

/// Decides which jobs an entry still accepts after a shutdown request, and when
/// its process exits. Performs no I/O.
class DrainPlan {
public:
  /// Grace is the time from Start until the process is killed.
  DrainPlan(Time Start, Duration Grace);

  /// True if a job whose tasks take about this long can be answered before the
  /// process exits.
  bool mayAcceptJob(Duration Estimate, Time Now) const;
  /// True if the process may exit.
  bool mayExit(std::size_t Jobs, std::size_t Connections, Time Now) const;
  /// True if every remaining job has to be answered now.
  bool mustExit(Time Now) const { return Now >= ExitDeadline_; }

private:
  Time Start_;
  Time ExitDeadline_;
};

} // namespace chivelanding

#endif
