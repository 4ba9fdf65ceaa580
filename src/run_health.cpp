#include "run_health.h"

#include <algorithm>
#include <cmath>

namespace chivelanding {
namespace {

// Weight of one run in the average. Estimates are off by tens of per cent, so a
// single run says little; ten of them tell a slow endpoint from a wrong
// estimate.
constexpr double LengthWeight = 0.1;
// Weight of one outcome in the average. Three failures in a row exceed one
// half, which the random failures of a healthy endpoint (0.2 % of its runs)
// never do.
constexpr double OutcomeWeight = 0.25;
// Time in which the distance from the neutral value halves without
// observations. Observed disturbances of endpoints last 4 to 8 seconds.
constexpr double HalfLifeSeconds = 2;
// Upper limit of the ratio of one run, so that a single stalled task does not
// take its endpoint out of use.
constexpr double MaxRatio = 8;

double decay(Time From, Time Now) {
  const double Seconds = std::chrono::duration<double>(Now - From).count();
  return std::exp2(-std::max(0.0, Seconds) / HalfLifeSeconds);
}

} // namespace

void RunHealth::onLength(Duration Length, Duration Estimate, Time Now) {
  if (Estimate <= Duration(0))
    return;
  const double Ratio =
      std::min(MaxRatio, static_cast<double>(Length.count()) /
                             static_cast<double>(Estimate.count()));
  const double Decayed = 1 + (Slowness_ - 1) * decay(LastLength_, Now);
  Slowness_ = Decayed + LengthWeight * (Ratio - Decayed);
  LastLength_ = Now;
}

void RunHealth::observeOutcome(double Failed, Time Now) {
  const double Decayed = FailedShare_ * decay(LastOutcome_, Now);
  FailedShare_ = Decayed + OutcomeWeight * (Failed - Decayed);
  LastOutcome_ = Now;
}

void RunHealth::onSuccess(Time Now) { observeOutcome(0, Now); }
void RunHealth::onFailure(Time Now) { observeOutcome(1, Now); }

std::uint32_t RunHealth::slownessPermille(Time Now) const {
  const double Value = 1 + (Slowness_ - 1) * decay(LastLength_, Now);
  return static_cast<std::uint32_t>(std::lround(Value * 1000));
}

std::uint32_t RunHealth::failedPermille(Time Now) const {
  return static_cast<std::uint32_t>(
      std::lround(FailedShare_ * decay(LastOutcome_, Now) * 1000));
}

} // namespace chivelanding
