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
/// Ratio to the ideal that a job without an answer or without results counts.
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

  std::string name(const std::string &Text) const {
    return std::string(Shape_.Name_) + "." + Text + Suffix_;
  }
};

// Loads are parts of the fleet; the weights do not follow the loads, so that
// the guaranteed shares differ from what the kinds ask for.
std::vector<BenchKind> kinds(double UrgentLoad, double NormalLoad,
                             double BatchLoad) {
  return {{"urgent", 0, 30, UrgentLoad, 1, 8},
          {"normal", 1, 35, NormalLoad, 1, 20},
          {"batch", 2, 35, BatchLoad, 10, 60}};
}

std::vector<BenchKind> mixed(double Load) {
  return kinds(0.25 * Load, 0.35 * Load, 0.40 * Load);
}

Time at(Duration Since) { return Time(Since); }

// Ratios of response time to ideal of the jobs of some kinds that were
// submitted between From and To.
std::vector<double> ratios(const BenchWorld &World, const Workload &Work,
                           std::uint32_t LastKind, Duration From, Duration To) {
  std::vector<double> Ratios;
  for (std::size_t J = 0; J < Work.Jobs_.size(); ++J) {
    const BenchJob &Job = Work.Jobs_[J];
    if (Job.Kind_ > LastKind || Job.At_ < at(From) || Job.At_ >= at(To))
      continue;
    const BenchResult &R = World.Results_[J];
    if (!R.Answered_ || R.Outcome_ != Outcome::Completed)
      Ratios.push_back(FailedRatio);
    else
      Ratios.push_back(static_cast<double>((R.Done_ - Job.At_).count()) /
                       static_cast<double>(R.Ideal_.count()));
  }
  return Ratios;
}

struct Sums {
  double Busy_ = 0;
  double Alive_ = 0;
  double Idle_ = 0;
  double Starts_ = 0;
  double StartMessages_ = 0;
  std::vector<double> KindBusy_;
};

Sums sums(const BenchWorld &World, Duration From, Duration To) {
  Sums S;
  const auto Last =
      std::min<std::size_t>(To / milliseconds(100), World.Buckets_.size());
  for (std::size_t I = From / milliseconds(100); I < Last; ++I) {
    const BenchBucket &B = World.Buckets_[I];
    S.Busy_ += B.BusyUs_;
    S.Alive_ += B.AliveUs_;
    S.Idle_ += B.IdleUs_;
    S.Starts_ += static_cast<double>(B.Starts_);
    S.StartMessages_ += static_cast<double>(B.StartMessages_);
    S.KindBusy_.resize(B.KindBusyUs_.size());
    for (std::size_t K = 0; K < B.KindBusyUs_.size(); ++K)
      S.KindBusy_[K] += B.KindBusyUs_[K];
  }
  return S;
}

double perTask(double Count, const BenchWorld &World) {
  return Count / static_cast<double>(std::max<std::uint64_t>(World.Starts_, 1));
}

constexpr Duration RunLength = seconds(120);
constexpr Duration WarmUp = seconds(10);
constexpr Duration WindowEnd = seconds(110);

BenchPart loadPart(const Setup &S, int Percent) {
  const Workload Work =
      makeWorkload(S.Shape_, mixed(Percent / 100.0), RunLength, S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  World.run(at(RunLength));
  const auto R = ratios(World, Work, Urgent, WarmUp, WindowEnd);
  const std::string Load = "_load" + std::to_string(Percent);
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  auto &F = Part.Figures_;
  if (Percent == 70) {
    F.push_back({S.name("urgent_p50" + Load), quantile(R, 0.5), "ideal",
                 Target::atMost(1.05)});
    F.push_back({S.name("urgent_p99" + Load), quantile(R, 0.99), "ideal",
                 Target::atMost(1.25)});
  } else if (Percent == 90) {
    F.push_back({S.name("urgent_p50" + Load), quantile(R, 0.5), "ideal", {}});
    F.push_back({S.name("urgent_p99" + Load), quantile(R, 0.99), "ideal",
                 Target::atMost(1.5)});
  } else {
    const Sums Window = sums(World, WarmUp, WindowEnd);
    F.push_back({S.name("urgent_p99" + Load), quantile(R, 0.99), "ideal", {}});
    F.push_back({S.name("idle_with_work_waiting" + Load),
                 100 * Window.Idle_ / Window.Alive_, "%", Target::atMost(1.0)});
  }
  F.push_back({S.name("wasted_messages" + Load),
               perTask(static_cast<double>(World.Wasted_), World), "per_task",
               Target::atMost(0.05)});
  F.push_back({S.name("messages" + Load),
               perTask(static_cast<double>(World.Messages_), World),
               "per_task",
               {}});
  return Part;
}

BenchPart leastUrgentFlood(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, kinds(0.25, 0.30, 4.0), seconds(60), S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  World.run(at(seconds(60)));
  const auto R = ratios(World, Work, Normal, WarmUp, seconds(50));
  const auto Kept = std::count_if(R.begin(), R.end(),
                                  [](double X) { return X < FailedRatio; });
  const Sums Window = sums(World, WarmUp, seconds(50));
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  Part.Figures_ = {
      {S.name("least_urgent_flood_others_kept"),
       100.0 * static_cast<double>(Kept) / static_cast<double>(R.size()), "%",
       Target::atLeast(98)},
      {S.name("least_urgent_flood_others_p99"), quantile(R, 0.99), "ideal",
       Target::atMost(1.5)},
      {S.name("least_urgent_flood_idle"),
       100 * Window.Idle_ / Window.Alive_,
       "%",
       {}}};
  return Part;
}

BenchPart mostUrgentFlood(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, kinds(2.5, 0.5, 0.5), seconds(60), S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  World.run(at(seconds(60)));
  const Sums Window = sums(World, seconds(15), seconds(60));
  constexpr double Share = 0.35;
  const double Least =
      std::min(Window.KindBusy_[Normal], Window.KindBusy_[Batch]);
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  Part.Figures_ = {{S.name("most_urgent_flood_share_kept"),
                    100 * Least / (Share * Window.Alive_), "%",
                    Target::atLeast(95)}};
  return Part;
}

BenchPart failingEndpoint(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, mixed(0.7), seconds(80), S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  World.at(at(seconds(10)), [&] { World.setFailing(5, true); });
  World.run(at(seconds(70)));
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  Part.Figures_ = {{S.name("failing_endpoint_tasks_lost"),
                    static_cast<double>(World.FailedAt_[5]), "tasks",
                    Target::atMost(16.0)}};
  return Part;
}

BenchPart slowEndpoint(const Setup &S) {
  const Workload Work = makeWorkload(S.Shape_, mixed(0.7), RunLength, S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  World.at(at(WarmUp), [&] { World.setSlowdown(5, 8); });
  World.run(at(RunLength));
  const auto R = ratios(World, Work, Urgent, WarmUp, WindowEnd);
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  Part.Figures_ = {{S.name("slow_endpoint_urgent_p99"), quantile(R, 0.99),
                    "ideal", Target::atMost(1.5)}};
  return Part;
}

BenchPart wrongHints(const Setup &S) {
  BenchPart Part;
  double Right = 0;
  for (const double Factor : {1.0, 10.0, 0.1}) {
    Workload Work = makeWorkload(S.Shape_, mixed(0.9), RunLength, S.Seed_);
    Work.HintFactor_ = Factor;
    BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
    World.run(at(RunLength));
    const double P99 =
        quantile(ratios(World, Work, Urgent, WarmUp, WindowEnd), 0.99);
    Part.Signature_ = Part.Signature_ * 31 + World.Signature_.value();
    if (Factor == 1.0)
      Right = P99;
    else
      Part.Figures_.push_back(
          {S.name(Factor > 1 ? "hints_tenfold_p99" : "hints_tenth_p99"),
           P99 / Right, "ratio", Target::atMost(1.1)});
  }
  return Part;
}

// Cancels every second job that has tasks in the queue, in one instant.
BenchPart cancelHalf(const Setup &S) {
  const Workload Work =
      makeWorkload(S.Shape_, kinds(0.25, 0.35, 2.4), seconds(30), S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  double Cancelled = 0;
  double Messages = 0;
  World.at(at(seconds(20)), [&] {
    const std::uint64_t Before = World.CancelMessages_;
    bool Second = false;
    for (std::uint32_t J = 0; J < Work.Jobs_.size(); ++J) {
      if (World.notStarted(J) == 0)
        continue;
      Second = !Second;
      if (!Second)
        continue;
      Cancelled += World.notStarted(J);
      World.cancelJob(J);
    }
    World.at(World.now() + seconds(1), [&, Before] {
      Messages = static_cast<double>(World.CancelMessages_ - Before);
    });
  });
  World.run(at(seconds(30)));
  const Sums Before = sums(World, seconds(15), seconds(20));
  const Sums After = sums(World, seconds(20), seconds(25));
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  Part.Figures_ = {
      {S.name("cancel_half_cancelled"), Cancelled, "tasks", {}},
      {S.name("cancel_half_messages"), Messages / std::max(Cancelled, 1.0),
       "per_task", Target::atMost(0.1)},
      {S.name("cancel_half_rest"), 100 * After.Busy_ / Before.Busy_, "%",
       Target::atLeast(98)}};
  return Part;
}

// Time from From until half a second in which the slots that live are in use.
double fullUseAfter(const BenchWorld &World, Duration From, Duration Limit) {
  constexpr double FullUse = 0.98;
  for (Duration At = From; At < From + Limit; At += milliseconds(100)) {
    const Sums Window = sums(World, At, At + milliseconds(500));
    if (Window.Busy_ >= FullUse * Window.Alive_)
      return static_cast<double>((At - From).count()) / 1e6;
  }
  return static_cast<double>(Limit.count()) / 1e6;
}

BenchPart loss(const Setup &S, bool Zone) {
  const Workload Work =
      makeWorkload(S.Shape_, mixed(1.3), seconds(60), S.Seed_);
  BenchWorld World(S.Shape_, S.Variant_, Work, S.Seed_);
  const auto IsLost = [&](std::uint32_t A) {
    return Zone ? World.zoneOf(A) == 1 : World.rackOf(A) == 1;
  };
  World.at(at(seconds(30)), [&] {
    for (std::uint32_t A = 0; A < S.Shape_.Endpoints_; ++A)
      if (IsLost(A))
        World.killAgent(A);
    if (Zone)
      World.killOwner(1);
  });
  World.at(at(seconds(45)), [&] {
    for (std::uint32_t A = 0; A < S.Shape_.Endpoints_; ++A)
      if (IsLost(A))
        World.reviveAgent(A);
  });
  World.run(at(seconds(60)));
  const Sums Steady = sums(World, seconds(20), seconds(30));
  const Sums Return = sums(World, seconds(45), seconds(50));
  const std::string What = Zone ? "zone_loss" : "rack_loss";
  BenchPart Part;
  Part.Signature_ = World.Signature_.value();
  Part.Figures_ = {
      {S.name(What + "_full_use"),
       fullUseAfter(World, seconds(30), seconds(10)), "s", Target::atMost(3.0)},
      {S.name(What + "_return_full_use"),
       fullUseAfter(World, seconds(45), seconds(10)), "s", Target::atMost(3.0)},
      {S.name(What + "_duplicate_starts"),
       static_cast<double>(World.DuplicateStarts_), "tasks",
       Target::atMost(0.0)},
      {S.name(What + "_return_traffic"),
       (Return.StartMessages_ / Return.Starts_) /
           (Steady.StartMessages_ / Steady.Starts_),
       "ratio", Target::atMost(1.1)}};
  return Part;
}

PolicyConfig realPolicy() {
  PolicyConfig Policy;
  for (const BenchKind &Kind : mixed(1))
    Policy.Kinds_[KindName(Kind.Name_)] = {PriorityClass(Kind.Class_),
                                           Kind.Weight_, 0};
  return Policy;
}

// The most urgent kind waits for the first slot of the fleet and not for one of
// eight; the queue only takes what two owners sent at the same time.
StartControllerLimits realControllerLimits() {
  StartControllerLimits Limits;
  Limits.QueueFrom_ = PriorityClass(1);
  return Limits;
}

// Random placement, first come first served, no limits: the gates queue all
// that arrives.
BenchVariant baseline() {
  BenchVariant V;
  V.Policy_.Placement_ = "random";
  V.Policy_.Order_ = "fifo";
  V.ControllerLimits_.MaxQueuedTasks_ = 1000000;
  return V;
}

using Parts = std::vector<std::function<BenchPart()>>;

void addScenarios(Parts &List, const Setup &S) {
  for (const int Percent : {70, 90, 120})
    List.push_back([S, Percent] { return loadPart(S, Percent); });
  List.push_back([S] { return leastUrgentFlood(S); });
  List.push_back([S] { return mostUrgentFlood(S); });
  List.push_back([S] { return failingEndpoint(S); });
  List.push_back([S] { return slowEndpoint(S); });
  List.push_back([S] { return wrongHints(S); });
  List.push_back([S] { return cancelHalf(S); });
  List.push_back([S] { return loss(S, false); });
  List.push_back([S] { return loss(S, true); });
}

// The same order and gates with each placement strategy, without targets.
void addStrategies(Parts &List, const Setup &Real) {
  for (const char *Name : {"most_room", "two_choices", "credits"}) {
    Setup S = Real;
    S.Variant_.Policy_.Placement_ = Name;
    S.Suffix_ = std::string("_placement_") + Name;
    for (const int Percent : {90, 120})
      List.push_back([S, Percent] {
        BenchPart Part = loadPart(S, Percent);
        for (Figure &F : Part.Figures_)
          F.Target_ = Target::none();
        return Part;
      });
  }
}

} // namespace

int benchPolicy(std::uint64_t Seed) {
  Parts List;
  for (const FleetShape &Shape : Shapes) {
    const Setup Real{Shape, {realPolicy(), realControllerLimits()}, "", Seed};
    addScenarios(List, Real);
    addScenarios(List, {Shape, baseline(), "_baseline", Seed});
    if (&Shape == &Shapes[0])
      addStrategies(List, Real);
  }
  std::uint64_t Signature = 0;
  for (const BenchPart &Part : runParts(List, BenchThreads)) {
    Signature = Signature * 31 + Part.Signature_;
    for (const Figure &F : Part.Figures_)
      printFigure(F.Name_, F.Value_, F.Unit_, F.Target_);
  }
  std::printf("signature %llu\n", static_cast<unsigned long long>(Signature));
  return 0;
}

} // namespace chivelanding
