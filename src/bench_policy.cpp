#include "bench_figures.h"
#include "bench_world.h"

#include <algorithm>
#include <cstdio>

namespace chivelanding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Urgent = 0;
constexpr std::uint32_t Normal = 1;
constexpr std::uint32_t Batch = 2;
constexpr unsigned BenchThreads = 4;
/// Response time ratio that stands for a job that was not answered or did not
/// complete.
constexpr double FailedRatio = 1000;

const FleetShape Shapes[] = {
    {"A", Duration(1500), milliseconds(1)},
    {"B", milliseconds(1), milliseconds(3)},
};

struct Setup {
  FleetShape Shape_;
  BenchVariant Variant_;
  std::string Suffix_;
  std::uint64_t Seed_;

  std::string metricName(const std::string &Text) const {
    return std::string(Shape_.Name_) + "." + Text + Suffix_;
  }
};

// Loads are fractions of the fleet's slots. The weights are not proportional to
// the loads, so that the guaranteed shares differ from the demand of the kinds.
std::vector<BenchKind> makeKinds(double UrgentLoad, double NormalLoad,
                                 double BatchLoad) {
  return {{"urgent", 0, 30, UrgentLoad, 1, 8},
          {"normal", 1, 35, NormalLoad, 1, 20},
          {"batch", 2, 35, BatchLoad, 10, 60}};
}

std::vector<BenchKind> makeMixedKinds(double Load) {
  return makeKinds(0.25 * Load, 0.35 * Load, 0.40 * Load);
}

Time timeAt(Duration Since) { return Time(Since); }

// Ratios of response time to ideal time of the jobs of kinds 0 to LastKind that
// were submitted in [From, To).
std::vector<double> responseTimeRatios(const PolicySimulation &Simulation,
                                       const Workload &Work,
                                       std::uint32_t LastKind, Duration From,
                                       Duration To) {
  std::vector<double> Ratios;
  for (std::size_t J = 0; J < Work.Jobs_.size(); ++J) {
    const BenchJob &Job = Work.Jobs_[J];
    if (Job.Kind_ > LastKind || Job.At_ < timeAt(From) || Job.At_ >= timeAt(To))
      continue;
    const BenchResult &R = Simulation.Results_[J];
    if (!R.Answered_ || R.Outcome_ != Outcome::Completed)
      Ratios.push_back(FailedRatio);
    else
      Ratios.push_back(static_cast<double>((R.Done_ - Job.At_).count()) /
                       static_cast<double>(R.Ideal_.count()));
  }
  return Ratios;
}

struct WindowTotals {
  double BusyUs_ = 0;
  double AliveUs_ = 0;
  double IdleWithWorkUs_ = 0;
  double Starts_ = 0;
  double StartMessages_ = 0;
  std::vector<double> KindBusyUs_;
};

WindowTotals windowTotals(const PolicySimulation &Simulation, Duration From,
                          Duration To) {
  WindowTotals S;
  const auto Last =
      std::min<std::size_t>(To / milliseconds(100), Simulation.Buckets_.size());
  for (std::size_t I = From / milliseconds(100); I < Last; ++I) {
    const BenchBucket &B = Simulation.Buckets_[I];
    S.BusyUs_ += B.BusyUs_;
    S.AliveUs_ += B.AliveUs_;
    S.IdleWithWorkUs_ += B.IdleWithWorkUs_;
    S.Starts_ += static_cast<double>(B.Starts_);
    S.StartMessages_ += static_cast<double>(B.StartMessages_);
    S.KindBusyUs_.resize(B.KindBusyUs_.size());
    for (std::size_t K = 0; K < B.KindBusyUs_.size(); ++K)
      S.KindBusyUs_[K] += B.KindBusyUs_[K];
  }
  return S;
}

double perTask(double Count, const PolicySimulation &Simulation) {
  return Count /
         static_cast<double>(std::max<std::uint64_t>(Simulation.Starts_, 1));
}

constexpr Duration RunLength = seconds(120);
constexpr Duration WarmUp = seconds(10);
constexpr Duration WindowEnd = seconds(110);

ScenarioResult runLoad(const Setup &S, int Percent) {
  const Workload Work = makeWorkload(S.Shape_, makeMixedKinds(Percent / 100.0),
                                     RunLength, S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  Simulation.run(timeAt(RunLength));
  const auto R =
      responseTimeRatios(Simulation, Work, Urgent, WarmUp, WindowEnd);
  const std::string Load = "_load" + std::to_string(Percent);
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  auto &F = Result.Metrics_;
  if (Percent == 70) {
    F.push_back({S.metricName("urgent_p50" + Load), quantile(R, 0.5), "ideal",
                 Target::atMost(1.05)});
    F.push_back({S.metricName("urgent_p99" + Load), quantile(R, 0.99), "ideal",
                 Target::atMost(1.25)});
  } else if (Percent == 90) {
    F.push_back(
        {S.metricName("urgent_p50" + Load), quantile(R, 0.5), "ideal", {}});
    F.push_back({S.metricName("urgent_p99" + Load), quantile(R, 0.99), "ideal",
                 Target::atMost(1.5)});
  } else {
    const WindowTotals Window = windowTotals(Simulation, WarmUp, WindowEnd);
    F.push_back(
        {S.metricName("urgent_p99" + Load), quantile(R, 0.99), "ideal", {}});
    F.push_back({S.metricName("idle_with_work_waiting" + Load),
                 100 * Window.IdleWithWorkUs_ / Window.AliveUs_, "%",
                 Target::atMost(1.0)});
  }
  F.push_back(
      {S.metricName("wasted_messages" + Load),
       perTask(static_cast<double>(Simulation.WastedMessages_), Simulation),
       "per_task", Target::atMost(0.05)});
  F.push_back({S.metricName("messages" + Load),
               perTask(static_cast<double>(Simulation.Messages_), Simulation),
               "per_task",
               {}});
  return Result;
}

ScenarioResult runLeastUrgentFlood(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, makeKinds(0.25, 0.30, 4.0), seconds(60), S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  Simulation.run(timeAt(seconds(60)));
  const auto R =
      responseTimeRatios(Simulation, Work, Normal, WarmUp, seconds(50));
  const auto CompletedJobs = std::count_if(
      R.begin(), R.end(), [](double X) { return X < FailedRatio; });
  const WindowTotals Window = windowTotals(Simulation, WarmUp, seconds(50));
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  Result.Metrics_ = {{S.metricName("least_urgent_flood_others_kept"),
                      100.0 * static_cast<double>(CompletedJobs) /
                          static_cast<double>(R.size()),
                      "%", Target::atLeast(98)},
                     {S.metricName("least_urgent_flood_others_p99"),
                      quantile(R, 0.99), "ideal", Target::atMost(1.5)},
                     {S.metricName("least_urgent_flood_idle"),
                      100 * Window.IdleWithWorkUs_ / Window.AliveUs_,
                      "%",
                      {}}};
  return Result;
}

ScenarioResult runMostUrgentFlood(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, makeKinds(2.5, 0.5, 0.5), seconds(60), S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  Simulation.run(timeAt(seconds(60)));
  const WindowTotals Window =
      windowTotals(Simulation, seconds(15), seconds(60));
  constexpr double Share = 0.35;
  const double LeastKindBusyUs =
      std::min(Window.KindBusyUs_[Normal], Window.KindBusyUs_[Batch]);
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  Result.Metrics_ = {{S.metricName("most_urgent_flood_share_kept"),
                      100 * LeastKindBusyUs / (Share * Window.AliveUs_), "%",
                      Target::atLeast(95)}};
  return Result;
}

ScenarioResult runFailingEndpoint(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, makeMixedKinds(0.7), seconds(80), S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  Simulation.scheduleAt(timeAt(seconds(10)),
                        [&] { Simulation.setFailing(5, true); });
  Simulation.run(timeAt(seconds(70)));
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  Result.Metrics_ = {{S.metricName("failing_endpoint_tasks_lost"),
                      static_cast<double>(Simulation.FailedTasks_[5]), "tasks",
                      Target::atMost(16.0)}};
  return Result;
}

ScenarioResult runSlowEndpoint(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, makeMixedKinds(0.7), RunLength, S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  Simulation.scheduleAt(timeAt(WarmUp), [&] { Simulation.setSlowdown(5, 8); });
  Simulation.run(timeAt(RunLength));
  const auto R =
      responseTimeRatios(Simulation, Work, Urgent, WarmUp, WindowEnd);
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  Result.Metrics_ = {{S.metricName("slow_endpoint_urgent_p99"),
                      quantile(R, 0.99), "ideal", Target::atMost(1.5)}};
  return Result;
}

ScenarioResult runWrongHints(const Setup &S) {
  ScenarioResult Result;
  double ExactHintsP99 = 0;
  for (const double Factor : {1.0, 10.0, 0.1}) {
    Workload Work =
        makeWorkload(S.Shape_, makeMixedKinds(0.9), RunLength, S.Seed_);
    Work.HintFactor_ = Factor;
    PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
    Simulation.run(timeAt(RunLength));
    const double P99 = quantile(
        responseTimeRatios(Simulation, Work, Urgent, WarmUp, WindowEnd), 0.99);
    Result.Signature_ = Result.Signature_ * 31 + Simulation.Signature_.value();
    if (Factor == 1.0)
      ExactHintsP99 = P99;
    else
      Result.Metrics_.push_back(
          {S.metricName(Factor > 1 ? "hints_tenfold_p99" : "hints_tenth_p99"),
           P99 / ExactHintsP99, "ratio", Target::atMost(1.1)});
  }
  return Result;
}

// Cancels every second job that has tasks not yet started, all at the same
// time.
ScenarioResult runCancelHalf(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, makeKinds(0.25, 0.35, 2.4), seconds(30), S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  double Cancelled = 0;
  double Messages = 0;
  Simulation.scheduleAt(timeAt(seconds(20)), [&] {
    const std::uint64_t Before = Simulation.CancelMessages_;
    bool Second = false;
    for (std::uint32_t J = 0; J < Work.Jobs_.size(); ++J) {
      if (Simulation.notStarted(J) == 0)
        continue;
      Second = !Second;
      if (!Second)
        continue;
      Cancelled += Simulation.notStarted(J);
      Simulation.cancelJob(J);
    }
    Simulation.scheduleAt(Simulation.now() + seconds(1), [&, Before] {
      Messages = static_cast<double>(Simulation.CancelMessages_ - Before);
    });
  });
  Simulation.run(timeAt(seconds(30)));
  const WindowTotals Before =
      windowTotals(Simulation, seconds(15), seconds(20));
  const WindowTotals After = windowTotals(Simulation, seconds(20), seconds(25));
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  Result.Metrics_ = {
      {S.metricName("cancel_half_cancelled"), Cancelled, "tasks", {}},
      {S.metricName("cancel_half_messages"),
       Messages / std::max(Cancelled, 1.0), "per_task", Target::atMost(0.1)},
      {S.metricName("cancel_half_rest"), 100 * After.BusyUs_ / Before.BusyUs_,
       "%", Target::atLeast(98)}};
  return Result;
}

// Seconds from From until the start of the first 500 ms in which 98 % of the
// slots of live endpoints are busy; Limit if there is none.
double secondsToFullUse(const PolicySimulation &Simulation, Duration From,
                        Duration Limit) {
  constexpr double FullUse = 0.98;
  for (Duration At = From; At < From + Limit; At += milliseconds(100)) {
    const WindowTotals Window =
        windowTotals(Simulation, At, At + milliseconds(500));
    if (Window.BusyUs_ >= FullUse * Window.AliveUs_)
      return static_cast<double>((At - From).count()) / 1e6;
  }
  return static_cast<double>(Limit.count()) / 1e6;
}

ScenarioResult runFailureDomainLoss(const Setup &S, bool Zone) {
  const Workload Work =
      makeWorkload(S.Shape_, makeMixedKinds(1.3), seconds(60), S.Seed_);
  PolicySimulation Simulation(S.Shape_, S.Variant_, Work, S.Seed_);
  const auto IsLost = [&](std::uint32_t A) {
    return Zone ? Simulation.zoneOf(A) == 1 : Simulation.rackOf(A) == 1;
  };
  Simulation.scheduleAt(timeAt(seconds(30)), [&] {
    for (std::uint32_t A = 0; A < S.Shape_.Endpoints_; ++A)
      if (IsLost(A))
        Simulation.killAgent(A);
    if (Zone)
      Simulation.killOwner(1);
  });
  Simulation.scheduleAt(timeAt(seconds(45)), [&] {
    for (std::uint32_t A = 0; A < S.Shape_.Endpoints_; ++A)
      if (IsLost(A))
        Simulation.restartAgent(A);
  });
  Simulation.run(timeAt(seconds(60)));
  const WindowTotals Steady =
      windowTotals(Simulation, seconds(20), seconds(30));
  const WindowTotals AfterReturn =
      windowTotals(Simulation, seconds(45), seconds(50));
  const std::string Scenario = Zone ? "zone_loss" : "rack_loss";
  ScenarioResult Result;
  Result.Signature_ = Simulation.Signature_.value();
  Result.Metrics_ = {{S.metricName(Scenario + "_full_use"),
                      secondsToFullUse(Simulation, seconds(30), seconds(10)),
                      "s", Target::atMost(3.0)},
                     {S.metricName(Scenario + "_return_full_use"),
                      secondsToFullUse(Simulation, seconds(45), seconds(10)),
                      "s", Target::atMost(3.0)},
                     {S.metricName(Scenario + "_duplicate_starts"),
                      static_cast<double>(Simulation.DuplicateStarts_), "tasks",
                      Target::atMost(0.0)},
                     {S.metricName(Scenario + "_return_traffic"),
                      (AfterReturn.StartMessages_ / AfterReturn.Starts_) /
                          (Steady.StartMessages_ / Steady.Starts_),
                      "ratio", Target::atMost(1.1)}};
  return Result;
}

PolicyConfig evaluatedPolicy() {
  PolicyConfig Policy;
  for (const BenchKind &Kind : makeMixedKinds(1))
    Policy.Kinds_[KindName(Kind.Name_)] = {PriorityClass(Kind.Class_),
                                           Kind.Weight_, 0};
  return Policy;
}

// Agents do not queue the most urgent class, so that its tasks wait for the
// first free slot of the fleet and not for one of the eight of an endpoint. For
// the other classes the agent's queue only takes tasks that two owners sent at
// the same time.
StartControllerLimits evaluatedControllerLimits() {
  StartControllerLimits Limits;
  Limits.QueueFrom_ = PriorityClass(1);
  return Limits;
}

// Random placement and first come, first served, without limits: the agents
// queue all tasks that arrive.
BenchVariant makeBaseline() {
  BenchVariant V;
  V.Policy_.Placement_ = "random";
  V.Policy_.Order_ = "fifo";
  V.ControllerLimits_.MaxQueuedTasks_ = 1000000;
  return V;
}

using Scenarios = std::vector<std::function<ScenarioResult()>>;

void addScenarios(Scenarios &List, const Setup &S) {
  for (const int Percent : {70, 90, 120})
    List.push_back([S, Percent] { return runLoad(S, Percent); });
  List.push_back([S] { return runLeastUrgentFlood(S); });
  List.push_back([S] { return runMostUrgentFlood(S); });
  List.push_back([S] { return runFailingEndpoint(S); });
  List.push_back([S] { return runSlowEndpoint(S); });
  List.push_back([S] { return runWrongHints(S); });
  List.push_back([S] { return runCancelHalf(S); });
  List.push_back([S] { return runFailureDomainLoss(S, false); });
  List.push_back([S] { return runFailureDomainLoss(S, true); });
}

// The evaluated queue order and agent limits with each placement strategy,
// without targets.
void addStrategies(Scenarios &List, const Setup &Evaluated) {
  for (const char *Name : {"most_room", "two_choices", "credits"}) {
    Setup S = Evaluated;
    S.Variant_.Policy_.Placement_ = Name;
    S.Suffix_ = std::string("_placement_") + Name;
    for (const int Percent : {90, 120})
      List.push_back([S, Percent] {
        ScenarioResult Result = runLoad(S, Percent);
        for (BenchMetric &F : Result.Metrics_)
          F.Target_ = Target::none();
        return Result;
      });
  }
}

} // namespace

int benchPolicy(std::uint64_t Seed) {
  Scenarios List;
  for (const FleetShape &Shape : Shapes) {
    const Setup Evaluated{
        Shape, {evaluatedPolicy(), evaluatedControllerLimits()}, "", Seed};
    addScenarios(List, Evaluated);
    addScenarios(List, {Shape, makeBaseline(), "_baseline", Seed});
    if (&Shape == &Shapes[0])
      addStrategies(List, Evaluated);
  }
  std::uint64_t Signature = 0;
  for (const ScenarioResult &Result : runScenarios(List, BenchThreads)) {
    Signature = Signature * 31 + Result.Signature_;
    for (const BenchMetric &F : Result.Metrics_)
      printMetric(F.Name_, F.Value_, F.Unit_, F.Target_);
  }
  std::printf("signature %llu\n", static_cast<unsigned long long>(Signature));
  return 0;
}

} // namespace chivelanding
