#ifndef CHIVELANDING_POLICY_CONFIG_H
#define CHIVELANDING_POLICY_CONFIG_H

#include "types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace chivelanding {

/// Limits of one team. Zero means no limit.
struct TeamPolicy {
  /// Concurrent tasks over all entries.
  std::uint32_t Quota_ = 0;
  /// Task starts per second over all entries.
  double Rate_ = 0;
};

/// Order and limits of one kind of task.
struct KindPolicy {
  PriorityClass Class_;
  /// The kind's guaranteed share is its weight divided by the sum of all
  /// weights.
  double Weight_ = 1;
  /// Concurrent tasks over all entries; zero means no limit.
  std::uint32_t Limit_ = 0;
};

/// Limits of one service.
struct ServicePolicy {
  /// Concurrent tasks over all entries; zero means no limit.
  std::uint32_t Limit_ = 0;
  /// Retries that each first attempt adds to the retry budget.
  double RetryBudget_ = 0.1;
};

/// Scheduling policy that operators may set: order, limits and placement.
struct PolicyConfig {
  std::map<TeamName, TeamPolicy> Teams_;
  std::map<KindName, KindPolicy> Kinds_;
  std::map<ServiceName, ServicePolicy> Services_;
  /// A name that findPlacement() knows.
  std::string Placement_ = "credits";
  /// "fair_share", or "fifo" for order of arrival without any limit.
  std::string Order_ = "fair_share";
  /// Maximum number of tasks that wait at this entry.
  std::uint32_t MaxWaiting_ = 200000;
  /// Longest expected wait for which a job is still accepted.
  Duration MaxWait_ = std::chrono::seconds(30);
  /// Time for which a job waits for a service without any endpoint.
  Duration NoEndpointWait_ = std::chrono::seconds(10);
  /// Largest fraction of a service's endpoints that may be ejected.
  double MaxEjectedShare_ = 0.25;
  /// Zones in which no task is placed.
  std::set<ZoneName> Cordons_;
  /// Nothing is placed at all, because the configuration is not known yet.
  bool HoldsPlacements_ = false;
};

} // namespace chivelanding

#endif
