#include "admission.h"

#include <algorithm>

namespace chivelanding {

namespace {

constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

Duration clampRetryAfter(Duration Wait) {
  return std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
}

std::string formatMs(Duration D) {
  return std::to_string(D.count() / 1000) + " ms";
}

} // namespace

// A cordon lasts minutes, so the retry delay is that of a missing endpoint.
AdmissionRefusal makeCordonRefusal() {
  return {"zones_cordoned",
          "every endpoint of the service is in a cordoned zone",
          MaxRetryAfter / 6};
}

// The retry delay is the time in which half of the excess wait drains: a later
// retry would leave slots idle, an earlier one would only be refused again.
std::optional<AdmissionRefusal> admit(const AdmissionInput &In) {
  if (In.IsCordoned_)
    return makeCordonRefusal();
  if (In.NoEndpointFor_ && *In.NoEndpointFor_ >= In.NoEndpointWait_)
    return AdmissionRefusal{"no_endpoint",
                            "the service has had no endpoint for " +
                                formatMs(*In.NoEndpointFor_),
                            MaxRetryAfter / 6};
  const double Rate = std::max(In.KindRate_, 0.001);
  const Duration Wait(static_cast<std::int64_t>(
      std::min(1e12, 1e6 * static_cast<double>(In.KindWaiting_) / Rate)));
  if (std::uint64_t{In.Waiting_} + In.Tasks_ > In.MaxWaiting_)
    return AdmissionRefusal{"queue_full",
                            std::to_string(In.Waiting_) +
                                " tasks wait, the bound is " +
                                std::to_string(In.MaxWaiting_),
                            clampRetryAfter(Wait / 2)};
  if (Wait > In.MaxWait_)
    return AdmissionRefusal{"overloaded",
                            "expected wait " + formatMs(Wait) + " exceeds " +
                                formatMs(In.MaxWait_),
                            clampRetryAfter((Wait - In.MaxWait_) / 2)};
  if (In.Deadline_ && Wait > *In.Deadline_)
    return AdmissionRefusal{"deadline_unreachable",
                            "expected wait " + formatMs(Wait) +
                                " exceeds the deadline of " +
                                formatMs(*In.Deadline_),
                            clampRetryAfter((Wait - *In.Deadline_) / 2)};
  return {};
}

} // namespace chivelanding
