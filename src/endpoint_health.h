#ifndef CHIVELANDING_ENDPOINT_HEALTH_H
#define CHIVELANDING_ENDPOINT_HEALTH_H

#include "types.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace chivelanding {

/// Outlier ejection: compares endpoints with their peers for the same kinds.
/// Failing and slow endpoints are ejected; they get single trial tasks and are
/// reinstated step by step. At most a configured fraction of a service's
/// endpoints is ejected.
class EndpointHealth {
public:
  static constexpr std::uint32_t UnlimitedWindow =
      std::numeric_limits<std::uint32_t>::max();

  void setMaxEjectedShare(double Part) { MaxEjectedShare_ = Part; }
  void addAgent(std::uint32_t Agent, const ServiceName &Service);
  void removeAgent(std::uint32_t Agent);
  /// A cordoned agent counts neither towards the endpoints of its service nor
  /// towards those that are ejected.
  void setCordoned(std::uint32_t Agent, bool IsCordoned);

  /// Started is the time at which the task was sent.
  void onFinished(std::uint32_t Agent, const KindName &Kind, bool Success,
                  Time Started, Time Now);
  /// Slowness is the run time as a multiple of the peers'.
  void onSlowness(std::uint32_t Agent, double Slowness, Time Now);
  /// A trial task was sent.
  void onTrial(std::uint32_t Agent, Time Now);

  /// Limit of the tasks that may be at this endpoint at once: UnlimitedWindow
  /// if it is not suspected, 0 while it is ejected and no trial is due.
  std::uint32_t window(std::uint32_t Agent, Time Now) const;
  bool isEjected(std::uint32_t Agent) const;
  /// Why the endpoint is ejected, with the values; empty if it is not.
  std::string reason(std::uint32_t Agent) const;
  /// Number of endpoints of a service that are ejected and not cordoned.
  std::uint32_t ejectedCount(const ServiceName &Service) const;
  /// True if about half or more of the kind's recent outcomes, taken over all
  /// endpoints, are failures.
  bool failsEverywhere(const KindName &Kind) const;

private:
  struct Counts {
    double Success_ = 0;
    double Failure_ = 0;
    /// Number of outcomes of the kind at all endpoints up to the last one
    /// counted here.
    std::uint64_t Seen_ = 0;
  };
  struct Agent {
    ServiceName Service_;
    double FailureScore_ = 0;
    Time LastFailure_;
    bool Ejected_ = false;
    bool Cordoned_ = false;
    bool IsSlow_ = false;
    std::uint32_t Window_ = UnlimitedWindow;
    Time NextTrial_;
    Duration TrialInterval_{0};
    std::string Reason_;
    std::map<KindName, Counts> Kinds_;
  };
  /// Counts of the agents that are not cordoned.
  struct Service {
    std::uint32_t Agents_ = 0;
    std::uint32_t Ejected_ = 0;
  };

  static void decay(Counts &C, std::uint64_t Seen);
  double failureWeight(const Agent &A, const KindName &Kind) const;
  /// Adds the agent to the counts of its service, or removes it.
  void count(const Agent &A, bool Adds);
  void setEjected(Agent &A, bool IsEjected);
  void tryEject(Agent &A, Duration Interval, const std::string &Reason,
                Time Now);
  void widenWindow(Agent &A);

  double MaxEjectedShare_ = 0.25;
  std::map<std::uint32_t, Agent> Agents_;
  std::map<ServiceName, Service> Services_;
  std::map<KindName, Counts> Kinds_;
};

} // namespace chivelanding

#endif
