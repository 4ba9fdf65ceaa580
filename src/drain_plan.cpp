#include "drain_plan.h"

#include "durations.h"

namespace chivelanding {
namespace {

// Fraction of the grace period that is used. The rest allows for sending the
// last answers and for a process that is short of CPU time.
constexpr double UsableGraceShare = 0.9;
// The load balancer opens new connections until two readiness checks, one per
// second, have failed.
constexpr Duration BalancerDelay = std::chrono::milliseconds(2600);
// Factor and margin that turn the estimated run time of a job's tasks into the
// time until its answer: estimates are off by a half, the longest of several
// tasks takes longer than the mean, and some tasks wait.
constexpr double EstimateFactor = 1.7;
constexpr Duration EstimateMargin = std::chrono::milliseconds(80);
// Final part of the used time, in which no job is accepted, however short.
constexpr Duration FinalPeriod = std::chrono::milliseconds(250);

} // namespace

DrainPlan::DrainPlan(Time Start, Duration Grace)
    : Start_(Start), ExitDeadline_(Start + scaled(Grace, UsableGraceShare)) {}

bool DrainPlan::mayAcceptJob(Duration Estimate, Time Now) const {
  return Now + scaled(Estimate, EstimateFactor) + EstimateMargin +
             FinalPeriod <=
         ExitDeadline_;
}

// If the load balancer has no other process to send callers to, new jobs arrive
// until the end; the process then exits between two of them.
bool DrainPlan::mayExit(std::size_t Jobs, std::size_t Connections,
                        Time Now) const {
  if (mustExit(Now))
    return true;
  if (Jobs > 0 || Now < Start_ + BalancerDelay)
    return false;
  return Connections == 0 || Now + FinalPeriod >= ExitDeadline_;
}

} // namespace chivelanding
