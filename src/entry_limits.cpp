#include "entry_limits.h"

#include "resource_plan.h"

#include <algorithm>

namespace chivelanding {

HttpServerLimits callerLimits(const EntrySettings &S) {
  const ResourcePlan Plan = planResources(S.Process_.Resources_);
  HttpServerLimits Limits;
  Limits.MaxBodyBytes_ = S.MaxBodyBytes_;
  Limits.MaxConnections_ = std::min(S.MaxConnections_, Plan.CallerConnections_);
  Limits.MaxHeldBytes_ = Plan.RequestBytes_;
  return Limits;
}

HttpServerLimits adminLimits(const EntrySettings &S) {
  const ResourcePlan Plan = planResources(S.Process_.Resources_);
  HttpServerLimits Limits;
  Limits.MaxConnections_ = Plan.StatusConnections_;
  Limits.MaxHeldBytes_ = Plan.RequestBytes_;
  return Limits;
}

OwnerLimits ownerLimits(const EntrySettings &S) {
  OwnerLimits Limits;
  Limits.MaxTasksPerJob_ = S.MaxTasksPerJob_;
  Limits.TokenEpoch_ = S.TokenEpoch_;
  Limits.EpochsAccepted_ = S.TokenEpochsAccepted_;
  Limits.ResultBytes_ = S.ResultBytes_;
  Limits.OpenJobBytes_ = planResources(S.Process_.Resources_).JobBytes_;
  return Limits;
}

} // namespace chivelanding
