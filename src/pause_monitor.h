#ifndef CHIVELANDING_PAUSE_MONITOR_H
#define CHIVELANDING_PAUSE_MONITOR_H

#include "types.h"

namespace chivelanding {

/// Notices that this process was paused: stopped, suspended with its VM or
/// without processor time. Performs no I/O.
class PauseMonitor {
public:
  /// Call in each turn of the event loop before its events are handled. Returns
  /// the length of the pause that this turn ends; zero if there was none.
  Duration onTurn(Time Now);
  /// The same for an event within a turn: does not begin a turn unless it ends
  /// a pause, so that a turn with many slow events counts as a pause.
  Duration onEvent(Time Now);
  /// Longest time for which a request that is read now may have waited in the
  /// socket: since the begin of a pause that has ended shortly before, or zero.
  Duration maxRequestAge(Time Now) const;

private:
  Time LastTurn_;
  Time PauseBegin_;
  Time PauseEnd_;
  bool Started_ = false;
};

} // namespace chivelanding

#endif
