#ifndef CHIVELANDING_ENDPOINT_HEALTH_H
#define CHIVELANDING_ENDPOINT_HEALTH_H

#include "types.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace chivelanding {

/// Judges endpoints against their peers for the same kinds. Suspects and
/// stragglers are set aside: they get single trial tasks, and return step by
/// step. At most a capped part of a service's endpoints is set aside.
class EndpointHealth {
public:
  static constexpr std::uint32_t NoBound =
      std::numeric_limits<std::uint32_t>::max();

  void setCap(double Part) { CapPart_ = Part; }
  void addAgent(std::uint32_t Agent, const ServiceName &Service);
  void removeAgent(std::uint32_t Agent);

  void onFinished(std::uint32_t Agent, const KindName &Kind, bool Success,
                  Time Now);
  /// Slowness is the run time as a multiple of the peers'.
  void onSlowness(std::uint32_t Agent, double Slowness, Time Now);
  /// A trial task was sent.
  void onTrial(std::uint32_t Agent, Time Now);

  /// Tasks that may be at this endpoint at once: NoBound if it is not
  /// suspected, 0 while it is set aside and no trial is due.
  std::uint32_t window(std::uint32_t Agent, Time Now) const;
  bool isSetAside(std::uint32_t Agent) const;
  /// Why the endpoint is set aside, with the values; empty if it is not.
  std::string reason(std::uint32_t Agent) const;
  /// Endpoints of a service that are set aside.
  std::uint32_t setAside(const ServiceName &Service) const;
  /// True if the kind fails at most endpoints that tried it.
  bool failsEverywhere(const KindName &Kind) const;

private:
  struct Counts {
    double Success_ = 0;
    double Failure_ = 0;
  };
  struct Agent {
    ServiceName Service_;
    double Blame_ = 0;
    bool SetAside_ = false;
    bool IsSlow_ = false;
    std::uint32_t Window_ = NoBound;
    Time NextTrial_;
    Duration TrialGap_{0};
    std::string Reason_;
    std::map<KindName, Counts> Kinds_;
  };
  struct Service {
    std::uint32_t Agents_ = 0;
    std::uint32_t SetAside_ = 0;
  };

  double blame(const Agent &A, const KindName &Kind) const;
  void trySetAside(Agent &A, Duration Gap, const std::string &Reason, Time Now);
  void reinstateStep(Agent &A);

  double CapPart_ = 0.25;
  std::map<std::uint32_t, Agent> Agents_;
  std::map<ServiceName, Service> Services_;
  std::map<KindName, Counts> Kinds_;
};

} // namespace chivelanding

#endif
