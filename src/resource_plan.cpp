#include "resource_plan.h"

#include <algorithm>

namespace chivelanding {
namespace {

constexpr std::uint64_t BytesPerMb = 1u << 20;
// The load balancer and a few metrics collectors are the only clients of these
// listeners.
constexpr std::uint32_t MinStatusConnections = 4;
constexpr std::uint32_t MaxStatusConnections = 32;
// Most that a slow peer may have to catch up with.
constexpr std::uint64_t MaxPeerBytes = 128 * BytesPerMb;

} // namespace

// 60 % of the descriptors for callers and 25 % for peers: an entry of 4,100
// descriptors can link to the 787 peers of docs/CAPACITY.md.
//
// The bytes are those that are accounted. The allocator, the copies made while
// one request is decoded and the program itself come on top, so that half of
// the memory is left to them.
ResourcePlan planResources(const ResourceLimits &Limits) {
  const std::uint32_t Descriptors = Limits.Descriptors_;
  const std::uint64_t Memory = Limits.MemoryMb_ * BytesPerMb;
  ResourcePlan Plan{};
  Plan.CallerConnections_ = Descriptors / 5 * 3;
  Plan.Jobs_ = Plan.CallerConnections_ / 4 * 3;
  Plan.PeerConnections_ = Descriptors / 4;
  Plan.StatusConnections_ =
      std::clamp(Descriptors / 64, MinStatusConnections, MaxStatusConnections);
  Plan.RequestBytes_ = Memory / 4;
  Plan.JobBytes_ = Memory / 8;
  Plan.PeerBytes_ = std::min(Memory / 8, MaxPeerBytes);
  return Plan;
}

} // namespace chivelanding
