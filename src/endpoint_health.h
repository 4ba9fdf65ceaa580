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
  static constexpr std::uint32_t UnlimitedWindow =
      std::numeric_limits<std::uint32_t>::max();

  void setMaxEjectedShare(double Part) { MaxEjectedShare_ = Part; }
  void addAgent(std::uint32_t Agent, const ServiceName &Service);
  void removeAgent(std::uint32_t Agent);

  /// Started is when the task was sent.
  void onFinished(std::uint32_t Agent, const KindName &Kind, bool Success,
                  Time Started, Time Now);
  /// Slowness is the run time as a multiple of the peers'.
  void onSlowness(std::uint32_t Agent, double Slowness, Time Now);
  /// A trial task was sent.
  void onTrial(std::uint32_t Agent, Time Now);

  /// Tasks that may be at this endpoint at once: UnlimitedWindow if it is not
  /// suspected, 0 while it is set aside and no trial is due.
  std::uint32_t window(std::uint32_t Agent, Time Now) const;
  bool isEjected(std::uint32_t Agent) const;
  /// Why the endpoint is set aside, with the values; empty if it is not.
  std::string reason(std::uint32_t Agent) const;
  /// Endpoints of a service that are set aside.
  std::uint32_t ejectedCount(const ServiceName &Service) const;
  /// True if the kind fails at most endpoints that tried it.
  bool failsEverywhere(const KindName &Kind) const;

private:
  struct Counts {
    double Success_ = 0;
    double Failure_ = 0;
    /// Outcomes of the kind at all endpoints up to the last one counted here.
    std::uint64_t Seen_ = 0;
  };
  struct Agent {
    ServiceName Service_;
    double FailureScore_ = 0;
    Time LastFailure_;
    bool Ejected_ = false;
    bool IsSlow_ = false;
    std::uint32_t Window_ = UnlimitedWindow;
    Time NextTrial_;
    Duration TrialInterval_{0};
    std::string Reason_;
    std::map<KindName, Counts> Kinds_;
  };
  struct Service {
    std::uint32_t Agents_ = 0;
    std::uint32_t Ejected_ = 0;
  };

  static void decay(Counts &C, std::uint64_t Seen);
  double failureWeight(const Agent &A, const KindName &Kind) const;
  void tryEject(Agent &A, Duration Gap, const std::string &Reason, Time Now);
  void widenWindow(Agent &A);

  double MaxEjectedShare_ = 0.25;
  std::map<std::uint32_t, Agent> Agents_;
  std::map<ServiceName, Service> Services_;
  std::map<KindName, Counts> Kinds_;
};

} // namespace chivelanding

#endif
