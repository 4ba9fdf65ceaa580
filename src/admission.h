#ifndef CHIVELANDING_ADMISSION_H
#define CHIVELANDING_ADMISSION_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivelanding {

/// A refusal of a job before any of it is taken.
struct AdmissionRefusal {
  std::string Code_;
  std::string Detail_;
  Duration RetryAfter_{0};
};

/// What the admission of one job depends on.
struct AdmissionInput {
  std::uint32_t Tasks_ = 0;
  /// Waiting tasks of all kinds, and their bound.
  std::uint32_t Waiting_ = 0;
  std::uint32_t MaxWaiting_ = 0;
  /// Waiting tasks of the job's kind, and the starts per second that the kind
  /// gets.
  std::uint32_t KindWaiting_ = 0;
  double KindRate_ = 0;
  Duration MaxWait_{0};
  /// Time after which no task may start.
  std::optional<Duration> Deadline_;
  /// How long the service has had no endpoint; none if it has one.
  std::optional<Duration> NoEndpointFor_;
  Duration NoEndpointWait_{0};
};

/// Refuses a job that would wait too long. Codes: no_endpoint, queue_full,
/// overloaded, deadline_unreachable.
std::optional<AdmissionRefusal> admit(const AdmissionInput &In);

} // namespace chivelanding

#endif
