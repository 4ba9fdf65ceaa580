#include "drain_plan.h"

#include "durations.h"

namespace chivelanding {
namespace {

// Part of the grace time that is used; the rest is for the last answers to
// leave and for a process that is short of processor time.
constexpr double UsableGraceShare = 0.9;
// The balancer sends new connections until two checks, at one a second, have
// found the process not ready.
constexpr Duration BalancerDelay = std::chrono::milliseconds(2600);
// Length of a job over the estimate of its tasks: estimates are off by a half,
// the longest of several tasks takes longer than the mean, and some wait.
constexpr double EstimateFactor = 1.7;
constexpr Duration EstimateMargin = std::chrono::milliseconds(80);
// Last part of the used time, in which no job is taken, however short.
constexpr Duration FinalPeriod = std::chrono::milliseconds(250);

} // namespace

DrainPlan::DrainPlan(Time Start, Duration Grace)
    : Start_(Start), ExitDeadline_(Start + scaled(Grace, UsableGraceShare)) {}

bool DrainPlan::mayAcceptJob(Duration Estimate, Time Now) const {
  return Now + scaled(Estimate, EstimateFactor) + EstimateMargin +
             FinalPeriod <=
         ExitDeadline_;
}

// Where the balancer has no other process to send callers to, new jobs come
// until the end; the process then ends between two of them.
bool DrainPlan::mayExit(std::size_t Jobs, std::size_t Connections,
                        Time Now) const {
  if (mustExit(Now))
    return true;
  if (Jobs > 0 || Now < Start_ + BalancerDelay)
    return false;
  return Connections == 0 || Now + FinalPeriod >= ExitDeadline_;
}

} // namespace chivelanding
