#include "service_times.h"

#include <algorithm>
#include <cmath>

namespace chivelanding {

namespace {

constexpr Duration DefaultRunTime = std::chrono::milliseconds(250);
/// Number of runs that the running mean of a kind covers.
constexpr double MeanWindowRuns = 256;
/// Half-life of the run times recorded for an endpoint.
constexpr double HalfLifeUs = 10e6;
/// Runs at the usual speed that every endpoint is credited with. With fewer,
/// one long task makes an idle endpoint look slow: with 6 and a limit of 2.5,
/// healthy endpoints filled the limit on ejections and a failing one was not
/// ejected.
constexpr double PriorRuns = 8;
/// A single run counts as at most this many expected run times, so that the
/// tail of the distribution does not look like a slow endpoint.
constexpr double MaxRunRatio = 4;

/// Expected run times below this are raised to it. A run is measured from the
/// moment it is sent, so that for shorter tasks the ratio would reflect the
/// network delay rather than the speed of the endpoint.
constexpr double MinExpectedUs = 10e3;

} // namespace

void ServiceTimes::onHint(const KindName &Kind, Duration Hint) {
  if (Hint.count() > 0)
    Kinds_[Kind].Hint_ = Hint;
}

Duration ServiceTimes::expected(const KindName &Kind) const {
  const auto It = Kinds_.find(Kind);
  if (It == Kinds_.end())
    return DefaultRunTime;
  if (It->second.Runs_ > 0)
    return Duration(static_cast<std::int64_t>(It->second.MeanUs_));
  return It->second.Hint_.count() > 0 ? It->second.Hint_ : DefaultRunTime;
}

// The expected run time is recorded at the start of a run: a later change of
// the mean must not make earlier runs look slow.
void ServiceTimes::onStarted(std::uint32_t Agent, const KindName &Kind,
                             std::uint64_t Task, Time Now) {
  const auto It = Kinds_.find(Kind);
  const bool HasMean = It != Kinds_.end() && It->second.Runs_ > 0;
  Agents_[Agent].Running_.push_back(
      {Task, Now, HasMean ? std::max(It->second.MeanUs_, MinExpectedUs) : 0});
}

void ServiceTimes::decay(AgentTimes &Agent, Time Now) {
  const auto Us = static_cast<double>((Now - Agent.DecayedAt_).count());
  const double Factor = std::exp2(-Us / HalfLifeUs);
  Agent.RelativeTimeSum_ *= Factor;
  Agent.EndedRuns_ *= Factor;
  Agent.DecayedAt_ = Now;
}

void ServiceTimes::onFinished(std::uint32_t Agent, const KindName &Kind,
                              std::uint64_t Task, Duration RunTime,
                              bool IsSample, Time Now) {
  AgentTimes &A = Agents_[Agent];
  const auto It =
      std::find_if(A.Running_.begin(), A.Running_.end(),
                   [&](const Running &R) { return R.Task_ == Task; });
  const auto Us = static_cast<double>(RunTime.count());
  if (It != A.Running_.end()) {
    if (It->ExpectedUs_ > 0) {
      decay(A, Now);
      A.RelativeTimeSum_ += std::min(Us / It->ExpectedUs_, MaxRunRatio);
      A.EndedRuns_ += 1;
    }
    *It = A.Running_.back();
    A.Running_.pop_back();
  }
  if (!IsSample)
    return;
  KindTimes &K = Kinds_[Kind];
  ++K.Runs_;
  const double Runs = std::min(static_cast<double>(K.Runs_), MeanWindowRuns);
  K.MeanUs_ += (Us - K.MeanUs_) / Runs;
}

void ServiceTimes::onLost(std::uint32_t Agent, std::uint64_t Task) {
  const auto A = Agents_.find(Agent);
  if (A == Agents_.end())
    return;
  auto &List = A->second.Running_;
  List.erase(std::remove_if(List.begin(), List.end(),
                            [&](const Running &R) { return R.Task_ == Task; }),
             List.end());
}

void ServiceTimes::removeAgent(std::uint32_t Agent) { Agents_.erase(Agent); }

double ServiceTimes::slowness(std::uint32_t Agent, Time Now) const {
  const auto It = Agents_.find(Agent);
  if (It == Agents_.end())
    return 1;
  AgentTimes A = It->second;
  decay(A, Now);
  for (const Running &R : A.Running_)
    if (R.ExpectedUs_ > 0)
      A.RelativeTimeSum_ += std::min(
          static_cast<double>((Now - R.Start_).count()) / R.ExpectedUs_,
          MaxRunRatio);
  return (A.RelativeTimeSum_ + PriorRuns) / (A.EndedRuns_ + PriorRuns);
}

} // namespace chivelanding
