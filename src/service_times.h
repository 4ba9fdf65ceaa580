#ifndef CHIVELANDING_SERVICE_TIMES_H
#define CHIVELANDING_SERVICE_TIMES_H

#include "types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chivelanding {

/// Learned run times per kind of task, and the slowness of each endpoint
/// relative to its peers. Declared run times are used only until the first run
/// of a kind has ended.
class ServiceTimes {
public:
  void onHint(const KindName &Kind, Duration Hint);
  void onStarted(std::uint32_t Agent, const KindName &Kind, std::uint64_t Task,
                 Time Now);
  /// IsSample is false if the run must not change the mean run time of its kind
  /// (it failed, or the endpoint is suspected).
  void onFinished(std::uint32_t Agent, const KindName &Kind, std::uint64_t Task,
                  Duration RunTime, bool IsSample, Time Now);
  /// Removes a started task whose outcome will never be known.
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
    /// Sum of the run times of ended runs, each divided by its expected run
    /// time, and the number of these runs; both decay over time.
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
