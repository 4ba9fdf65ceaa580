#include "pause_monitor.h"

namespace chivelanding {
namespace {

// Time without a turn that counts as a pause. A VM with a processor quota may
// stand still for up to 100 ms at a time.
constexpr Duration MinPause = std::chrono::milliseconds(150);
// Time after a pause in which requests from the pause may still be read: a
// small VM takes this long for a backlog of two seconds.
constexpr Duration BacklogPeriod = std::chrono::milliseconds(300);

} // namespace

Duration PauseMonitor::onTurn(Time Now) {
  Duration Pause{0};
  if (Started_ && LastTurn_ + MinPause <= Now) {
    // A second pause before the backlog of the first is read extends it.
    if (PauseEnd_ == Time() || PauseEnd_ + BacklogPeriod < LastTurn_)
      PauseBegin_ = LastTurn_;
    PauseEnd_ = Now;
    Pause = Now - LastTurn_;
  }
  Started_ = true;
  LastTurn_ = Now;
  return Pause;
}

Duration PauseMonitor::onEvent(Time Now) {
  return LastTurn_ + MinPause <= Now ? onTurn(Now) : Duration(0);
}

Duration PauseMonitor::maxRequestAge(Time Now) const {
  if (PauseEnd_ == Time() || PauseEnd_ + BacklogPeriod < Now)
    return Duration(0);
  return Now - PauseBegin_;
}

} // namespace chivelanding
