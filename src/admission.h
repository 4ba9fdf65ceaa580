#ifndef CHIVELANDING_ADMISSION_H
#define CHIVELANDING_ADMISSION_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chivelanding {

/// The refusal of a whole job at submission.
struct AdmissionRefusal {
  std::string Code_;
  std::string Detail_;
  Duration RetryAfter_{0};
};

/// Inputs to the admission decision for one job.
struct AdmissionInput {
  std::uint32_t Tasks_ = 0;
  /// Waiting tasks of all kinds, and their limit.
  std::uint32_t Waiting_ = 0;
  std::uint32_t MaxWaiting_ = 0;
  /// Waiting tasks of the job's kind, and the starts per second that the kind
  /// is expected to get.
  std::uint32_t KindWaiting_ = 0;
  double KindRate_ = 0;
  Duration MaxWait_{0};
  /// Time from now after which no task of the job may start.
  std::optional<Duration> Deadline_;
  /// How long the service has had no endpoint; not set if it has one.
  std::optional<Duration> NoEndpointFor_;
  Duration NoEndpointWait_{0};
  /// Endpoints of the service are ready, but all of them in cordoned zones.
  bool IsCordoned_ = false;
};

/// The refusal of a job whose service has endpoints only in cordoned zones.
AdmissionRefusal makeCordonRefusal();

/// Returns the refusal of a job that would wait too long, or nothing if the job
/// is admitted. Codes: zones_cordoned, no_endpoint, queue_full, overloaded,
/// deadline_unreachable.
std::optional<AdmissionRefusal> admit(const AdmissionInput &In);

} // namespace chivelanding

#endif
