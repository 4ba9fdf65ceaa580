#ifndef CHIVELANDING_SERVICE_TIMES_H
#define CHIVELANDING_SERVICE_TIMES_H

#include "types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chivelanding {

/// Learned run times per kind, and how much slower than its peers each endpoint
/// is. Declared times only stand in until the first run of a kind has ended.
class ServiceTimes {
public:
  void onHint(const KindName &Kind, Duration Hint);
  void onStarted(std::uint32_t Agent, const KindName &Kind, std::uint64_t Task,
                 Time Now);
  /// Counts is false if the run says nothing about the kind's run time (it
  /// failed, or the endpoint is a suspect).
  void onFinished(std::uint32_t Agent, const KindName &Kind, std::uint64_t Task,
                  Duration RunTime, bool IsSample, Time Now);
  /// The outcome of a started task will never be known.
  void onLost(std::uint32_t Agent, std::uint64_t Task);
  void removeAgent(std::uint32_t Agent);

  /// Expected run time of a kind.
  Duration expected(const KindName &Kind) const;
  /// Run time at this endpoint as a multiple of the run time at its peers.
  /// Running tasks count with the time that they have taken so far.
  double slowness(std::uint32_t Agent, Time Now) const;

private:
  struct KindTimes {
    double MeanUs_ = 0;
    std::uint64_t Runs_ = 0;
    Duration Hint_{0};
  };
  struct Running {
    std::uint64_t Task_;
    Time Start_;
    double ExpectedUs_;
  };
  struct AgentTimes {
    /// Time taken and time expected of ended runs, in expected run times.
    double RelativeTimeSum_ = 0;
    double EndedRuns_ = 0;
    Time DecayedAt_;
    std::vector<Running> Running_;
  };
  static void decay(AgentTimes &Agent, Time Now);

  std::map<KindName, KindTimes> Kinds_;
  std::map<std::uint32_t, AgentTimes> Agents_;
};

} // namespace chivelanding

#endif
