#ifndef CHIVELANDING_POLICY_CONFIG_H
#define CHIVELANDING_POLICY_CONFIG_H

#include "types.h"

#include <cstdint>
#include <map>
#include <string>

namespace chivelanding {

/// Bounds of one team. Zero means no bound.
struct TeamPolicy {
  /// Concurrent tasks over all entries.
  std::uint32_t Quota_ = 0;
  /// Task starts per second over all entries.
  double Rate_ = 0;
};

/// Order and bounds of one kind of work.
struct KindPolicy {
  PriorityClass Class_;
  /// The kind's guaranteed share is its weight by the sum of all weights.
  double Weight_ = 1;
  /// Concurrent tasks over all entries; zero means no bound.
  std::uint32_t Limit_ = 0;
};

/// Bounds of one service.
struct ServicePolicy {
  /// Concurrent tasks over all entries; zero means no bound.
  std::uint32_t Limit_ = 0;
  /// Retries by first attempts, read by the retry budget.
  double RetryBudget_ = 0.1;
};

/// Everything about order, bounds and placement that operators may set.
struct PolicyConfig {
  std::map<TeamName, TeamPolicy> Teams_;
  std::map<KindName, KindPolicy> Kinds_;
  std::map<ServiceName, ServicePolicy> Services_;
  /// One of placementNames().
  std::string Placement_ = "credits";
  /// "fair_share", or "fifo" for order of arrival without any bound.
  std::string Order_ = "fair_share";
  /// Tasks that may wait at this entry.
  std::uint32_t MaxWaiting_ = 200000;
  /// Longest expected wait for which a job is still accepted.
  Duration MaxWait_ = std::chrono::seconds(30);
  /// Time that a job waits for a service without any endpoint.
  Duration NoEndpointWait_ = std::chrono::seconds(10);
  /// Largest part of a service's endpoints that may be set aside.
  double MaxEjectedShare_ = 0.25;
};

} // namespace chivelanding

#endif
