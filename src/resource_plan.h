#ifndef CHIVELANDING_RESOURCE_PLAN_H
#define CHIVELANDING_RESOURCE_PLAN_H

#include "settings.h"

#include <cstdint>

namespace chivelanding {

/// Shares of a process's resources. All shares together leave room for the
/// program itself, its files and its own calls.
struct ResourcePlan {
  /// Connections of callers; of peers; of each listener for checks and metrics.
  std::uint32_t CallerConnections_;
  std::uint32_t PeerConnections_;
  std::uint32_t StatusConnections_;
  /// Jobs that keep a caller's connection. The other connections are free for
  /// new callers, if only for a refusal.
  std::uint32_t Jobs_;
  /// Bytes of callers' requests and responses; of jobs.
  std::uint64_t RequestBytes_;
  std::uint64_t JobBytes_;
  /// Bytes that wait for one peer to acknowledge them.
  std::uint64_t PeerBytes_;
};

ResourcePlan planResources(const ResourceLimits &Limits);

} // namespace chivelanding

#endif
