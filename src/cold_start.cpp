#include "cold_start.h"

#include <algorithm>

namespace chivelanding {
namespace {

// Smallest share that is offered: without some work an endpoint does not become
// warm, and its zone would be of no use for the whole cold time.
constexpr std::uint32_t MinSharePermille = 250;
// An announcement that exceeds the countdown by no more than this is one that
// was delayed on its way, not a new cold period. Without a tolerance, each
// delayed announcement would reduce the share to its minimum.
constexpr Duration AnnouncementDelay = std::chrono::milliseconds(500);

} // namespace

// An endpoint with few accelerators offers at least one: a quarter of one would
// be none until it is warm.
Resources shareOfCapacity(const Resources &Capacity, std::uint32_t Permille) {
  const auto Scale = [Permille](std::uint32_t Amount, std::uint32_t RoundUp) {
    return static_cast<std::uint32_t>(
        (static_cast<std::uint64_t>(Amount) * Permille + RoundUp) /
        WholeSharePermille);
  };
  return {Scale(Capacity.Cpu_, 0), Scale(Capacity.MemoryMb_, 0),
          Scale(Capacity.Accelerators_, WholeSharePermille - 1)};
}

// An announcement never arrives early, so of two that describe the same cold
// period, the one with the earlier end is closer to the truth.
void ColdStart::onAnnounced(Duration Remaining, Time Now) {
  const Time End = Now + Remaining;
  if (Remaining <= Duration(0)) {
    Whole_ = Duration(0);
  } else if (Whole_ == Duration(0) || End > EndsAt_ + AnnouncementDelay) {
    Whole_ = Remaining;
    EndsAt_ = End;
  } else {
    EndsAt_ = std::min(EndsAt_, End);
  }
}

Duration ColdStart::remaining(Time Now) const {
  return Whole_ > Duration(0) ? std::max(Duration(0), EndsAt_ - Now)
                              : Duration(0);
}

std::uint32_t ColdStart::sharePermille(Time Now) const {
  const Duration Left = std::min(remaining(Now), Whole_);
  if (Left <= Duration(0))
    return WholeSharePermille;
  const auto Share = static_cast<std::uint32_t>(
      (Whole_ - Left).count() * WholeSharePermille / Whole_.count());
  return std::max(MinSharePermille, Share);
}

} // namespace chivelanding
