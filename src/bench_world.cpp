#include "bench_world.h"

#include <algorithm>
#include <cmath>

namespace chivelanding {

namespace {

constexpr Duration BucketLength = std::chrono::milliseconds(100);
constexpr Duration TimerPeriod = std::chrono::milliseconds(20);
constexpr Duration LossTimeout = std::chrono::seconds(5);
constexpr Duration SuspicionTimeout = std::chrono::seconds(1);

// Computed from the generator's bits, because the distributions of the standard
// library may differ between versions.
double drawUniform(std::mt19937_64 &Random) {
  return static_cast<double>(Random() >> 11) * 0x1.0p-53;
}

std::int64_t drawRunTimeUs(std::mt19937_64 &Random) {
  constexpr double TailProbability = 0.02;
  if (drawUniform(Random) < TailProbability)
    return static_cast<std::int64_t>(2e6 + 4e6 * drawUniform(Random));
  return static_cast<std::int64_t>(5e4 * std::pow(20.0, drawUniform(Random)));
}

double meanRunTimeUs() { return 0.98 * 9.5e5 / std::log(20.0) + 0.02 * 4e6; }

std::uint32_t jobIndex(const JobId &Id) {
  return static_cast<std::uint32_t>(std::stoul(Id.Key_.str().substr(1)));
}

} // namespace

Workload makeWorkload(const FleetShape &Shape, std::vector<BenchKind> Kinds,
                      Duration Length, std::uint64_t Seed) {
  Workload Work;
  Work.Kinds_ = std::move(Kinds);
  const double Slots = Shape.Endpoints_ * Shape.Slots_;
  for (std::uint32_t K = 0; K < Work.Kinds_.size(); ++K) {
    const BenchKind &Kind = Work.Kinds_[K];
    if (Kind.Load_ <= 0)
      continue;
    std::mt19937_64 Random(Seed * 1000003 + K);
    const double MeanTasks = (Kind.MinTasks_ + Kind.MaxTasks_) / 2.0;
    const double Gap = MeanTasks * meanRunTimeUs() / (Kind.Load_ * Slots);
    double At = 0;
    while (true) {
      At -= Gap * std::log(1 - drawUniform(Random));
      if (At >= static_cast<double>(Length.count()))
        break;
      BenchJob Job;
      Job.At_ = Time(Duration(static_cast<std::int64_t>(At)));
      Job.Kind_ = K;
      Job.Owner_ = static_cast<std::uint32_t>(Random() % Shape.Owners_);
      const std::uint32_t Span = Kind.MaxTasks_ - Kind.MinTasks_ + 1;
      const std::uint64_t Tasks = Kind.MinTasks_ + Random() % Span;
      for (std::uint64_t I = 0; I < Tasks; ++I)
        Job.RunTimes_.emplace_back(drawRunTimeUs(Random));
      Work.Jobs_.push_back(std::move(Job));
    }
  }
  std::stable_sort(Work.Jobs_.begin(), Work.Jobs_.end(),
                   [](const auto &A, const auto &B) { return A.At_ < B.At_; });
  return Work;
}

PolicySimulation::PolicySimulation(const FleetShape &Shape,
                                   const BenchVariant &Variant,
                                   const Workload &Work, std::uint64_t Seed)
    : Shape_(Shape), Variant_(Variant), Work_(Work) {
  const std::size_t Jobs = Work.Jobs_.size();
  Results_.resize(Jobs);
  NotStarted_.resize(Jobs);
  StartCount_.resize(Jobs);
  Ids_.resize(Jobs);
  OwnerOf_.resize(Jobs);
  KindBusy_.resize(Work.Kinds_.size());
  FailedTasks_.resize(Shape.Endpoints_);
  for (std::uint32_t O = 0; O < Shape.Owners_; ++O) {
    Owner New;
    New.Id_ = {"entry" + std::to_string(O), Incarnation(O + 1)};
    New.Sched_ = std::make_unique<Scheduler>(
        Variant.Policy_, Seed + O, ZoneName("zone" + std::to_string(O)));
    New.Jobs_ =
        std::make_unique<JobOwner>(New.Id_, OwnerLimits(), *New.Sched_, Time());
    Owners_.push_back(std::move(New));
  }
  Agents_.resize(Shape.Endpoints_);
  for (std::uint32_t A = 0; A < Shape.Endpoints_; ++A)
    addAgent(A, NextIncarnation_++);
  for (std::uint32_t J = 0; J < Jobs; ++J)
    scheduleAt(Work.Jobs_[J].At_ + Shape.CallerDelay_,
               [this, J] { submit(J); });
  scheduleAt(Time(TimerPeriod), [this] { runTimers(); });
}

void PolicySimulation::addAgent(std::uint32_t A, std::uint64_t Inc) {
  Agent &New = Agents_[A];
  New.Id_ = {"agent" + std::to_string(A), Incarnation(Inc)};
  New.Alive_ = true;
  New.Busy_ = 0;
  New.KindBusy_.assign(Work_.Kinds_.size(), 0);
  New.Info_.EndpointName_ = "endpoint" + std::to_string(A);
  New.Info_.Service_ = ServiceName("service");
  New.Info_.Zone_ = ZoneName("zone" + std::to_string(zoneOf(A)));
  New.Info_.Rack_ = RackName("rack" + std::to_string(rackOf(A)));
  New.Info_.Slots_ = Shape_.Slots_;
  New.Info_.Connections_ = 64;
  New.Controller_ =
      std::make_unique<StartController>(New.Id_, Variant_.ControllerLimits_);
  New.GrantUnused_.assign(Shape_.Owners_, false);
  New.DemandUnused_.assign(Shape_.Owners_, false);
  connect(A);
}

void PolicySimulation::connect(std::uint32_t A) {
  Agent &To = Agents_[A];
  To.Controller_->onEndpointAnnounced(To.Info_, Now_);
  for (std::uint32_t O = 0; O < Owners_.size(); ++O) {
    if (!Owners_[O].Alive_)
      continue;
    const EndpointInfo Info = To.Info_;
    const AgentId Id = To.Id_;
    scheduleAt(Now_ + networkDelay(O, A), [this, O, Id, Info] {
      apply(O, Owners_[O].Jobs_->onAgentUp(Id, Info, Now_));
    });
    apply(A, To.Controller_->onEntryConnected(Owners_[O].Id_, Now_));
  }
}

void PolicySimulation::scheduleAt(Time When, std::function<void()> Action) {
  Events_.push_back({When, Seq_++, std::move(Action)});
  std::push_heap(Events_.begin(), Events_.end());
}

void PolicySimulation::run(Time End) {
  while (!Events_.empty() && Events_.front().At_ <= End) {
    std::pop_heap(Events_.begin(), Events_.end());
    const Event Next = std::move(Events_.back());
    Events_.pop_back();
    advanceClock(Next.At_);
    Next.Action_();
  }
  advanceClock(End);
}

BenchBucket &PolicySimulation::bucketAt(Time At) {
  const auto Index =
      static_cast<std::size_t>(At.time_since_epoch() / BucketLength);
  if (Buckets_.size() <= Index) {
    BenchBucket Empty;
    Empty.KindBusyUs_.resize(Work_.Kinds_.size());
    Buckets_.resize(Index + 1, Empty);
  }
  return Buckets_[Index];
}

// An idle slot counts as idle with work waiting while a submitted task has not
// started, also while that task is in transit.
void PolicySimulation::advanceClock(Time To) {
  std::uint64_t Alive = 0;
  for (const Agent &A : Agents_)
    Alive += A.Alive_ ? Shape_.Slots_ : 0;
  while (Now_ < To) {
    BenchBucket &B = bucketAt(Now_);
    const auto Index = Now_.time_since_epoch() / BucketLength;
    const Time Next = std::min(To, Time((Index + 1) * BucketLength));
    const auto Us = static_cast<double>((Next - Now_).count());
    const std::uint64_t Idle = Alive - std::min(Alive, BusySlots_);
    B.BusyUs_ += Us * static_cast<double>(BusySlots_);
    B.AliveUs_ += Us * static_cast<double>(Alive);
    B.IdleWithWorkUs_ += Us * static_cast<double>(std::min(Idle, Pending_));
    for (std::size_t K = 0; K < KindBusy_.size(); ++K)
      B.KindBusyUs_[K] += Us * static_cast<double>(KindBusy_[K]);
    Now_ = Next;
  }
}

Duration PolicySimulation::networkDelay(std::uint32_t O,
                                        std::uint32_t A) const {
  return zoneOf(A) == O % Shape_.Zones_ ? Shape_.IntraZoneDelay_
                                        : Shape_.InterZoneDelay_;
}

// The ideal time is a lower bound: the longest task or the sum of all tasks
// divided by all slots, whichever is longer, plus network delays. The delay
// within a zone applies if the job fits into the slots of the owner's zone.
void PolicySimulation::submit(std::uint32_t J) {
  const BenchJob &Job = Work_.Jobs_[J];
  std::uint32_t O = Job.Owner_;
  while (!Owners_[O].Alive_)
    O = (O + 1) % Shape_.Owners_;
  OwnerOf_[J] = O;
  JobSpec Spec;
  Spec.Id_ = {TeamName("team" + std::to_string(J % Work_.Teams_)),
              Owners_[O].Jobs_->token(Now_), JobKey("j" + std::to_string(J))};
  Spec.Service_ = ServiceName("service");
  Spec.Kind_ = KindName(Work_.Kinds_[Job.Kind_].Name_);
  Spec.Class_ = PriorityClass(
      Variant_.Policy_.Order_ == "fifo" ? 0 : Work_.Kinds_[Job.Kind_].Class_);
  Duration Longest{0};
  Duration Sum{0};
  for (std::size_t I = 0; I < Job.RunTimes_.size(); ++I) {
    const double Hint =
        static_cast<double>(Job.RunTimes_[I].count()) * Work_.HintFactor_;
    Spec.Tasks_.push_back(
        {std::to_string(I), "", Duration(static_cast<std::int64_t>(Hint))});
    Longest = std::max(Longest, Job.RunTimes_[I]);
    Sum += Job.RunTimes_[I];
  }
  std::size_t Near = 0;
  for (std::uint32_t A = 0; A < Shape_.Endpoints_; ++A)
    Near += zoneOf(A) == O % Shape_.Zones_ ? Shape_.Slots_ : 0;
  const Duration Delay = Job.RunTimes_.size() <= Near ? Shape_.IntraZoneDelay_
                                                      : Shape_.InterZoneDelay_;
  const std::uint64_t Slots = std::uint64_t{Shape_.Endpoints_} * Shape_.Slots_;
  const auto Spread = Sum / static_cast<std::int64_t>(Slots);
  Results_[J].Ideal_ =
      std::max(Longest, Spread) + 2 * (Delay + Shape_.CallerDelay_);
  Ids_[J] = Spec.Id_;
  const auto Tasks = static_cast<std::uint32_t>(Job.RunTimes_.size());
  NotStarted_[J] = Tasks;
  Pending_ += Tasks;
  StartCount_[J].assign(Tasks, 0);
  apply(O, Owners_[O].Jobs_->onSubmit(std::move(Spec), ReplyId(J + 1), Now_));
}

void PolicySimulation::runTimers() {
  for (std::uint32_t O = 0; O < Owners_.size(); ++O)
    if (Owners_[O].Alive_)
      apply(O, Owners_[O].Jobs_->onTimer(Now_));
  for (std::uint32_t A = 0; A < Agents_.size(); ++A)
    if (Agents_[A].Alive_)
      apply(A, Agents_[A].Controller_->onTimer(Now_));
  scheduleAt(Now_ + TimerPeriod, [this] { runTimers(); });
}

void PolicySimulation::apply(std::uint32_t O, const OwnerOutputs &Out) {
  for (const OwnerOutput &Output : Out) {
    if (const auto *Send = std::get_if<SendToAgent>(&Output))
      sendToAgent(O, *Send);
    else if (const auto *Reply = std::get_if<SendAnswer>(&Output))
      recordAnswer(*Reply);
  }
}

// A CancelTasks message is wasted if the agent has no task left to stop or to
// reject. A Demand message is wasted if no start follows it before the next
// one.
void PolicySimulation::sendToAgent(std::uint32_t O, const SendToAgent &Send) {
  const auto It =
      std::find_if(Agents_.begin(), Agents_.end(),
                   [&](const Agent &A) { return A.Id_ == Send.To_; });
  if (It == Agents_.end())
    return;
  const auto A = static_cast<std::uint32_t>(It - Agents_.begin());
  ++Messages_;
  if (const auto *Start = std::get_if<StartTasks>(&Send.Message_)) {
    ++bucketAt(Now_).StartMessages_;
    Signature_.add(A);
    Signature_.add(std::uint64_t{jobIndex(Start->Job_)} * 64 +
                   Start->Tasks_.size());
    It->GrantUnused_[O] = false;
    It->DemandUnused_[O] = false;
  } else if (std::holds_alternative<Demand>(Send.Message_)) {
    if (It->DemandUnused_[O])
      ++WastedMessages_;
    It->DemandUnused_[O] = true;
  }
  const bool IsCancel = std::holds_alternative<CancelTasks>(Send.Message_);
  CancelMessages_ += IsCancel ? 1 : 0;
  const AgentId Id = Send.To_;
  scheduleAt(
      Now_ + networkDelay(O, A), [this, O, A, Id, IsCancel, M = Send.Message_] {
        Agent &To = Agents_[A];
        if (!To.Alive_ || To.Id_ != Id)
          return;
        const StartControllerOutputs Outputs =
            To.Controller_->onMessage(Owners_[O].Id_, M, Now_);
        const bool Useful =
            std::any_of(Outputs.begin(), Outputs.end(), [](const auto &Output) {
              const auto *Reply = std::get_if<SendToEntry>(&Output);
              return !Reply ||
                     std::holds_alternative<TasksRejected>(Reply->Message_);
            });
        WastedMessages_ += IsCancel && !Useful ? 1 : 0;
        apply(A, Outputs);
      });
}

// A report sent together with a result or a rejection costs nothing. A report
// sent on its own is wasted if it grants no credit, or if no start follows it
// before the next one.
void PolicySimulation::countStandaloneReport(std::uint32_t A, std::uint32_t O,
                                             const AgentReport &Report) {
  if (Agents_[A].GrantUnused_[O])
    ++WastedMessages_;
  Agents_[A].GrantUnused_[O] = Report.Credit_ > 0;
  if (Report.Credit_ == 0)
    ++WastedMessages_;
}

void PolicySimulation::countRejection(std::uint32_t A,
                                      const TasksRejected &Rejected) {
  Signature_.add(std::uint64_t{A} * 16 +
                 static_cast<std::uint64_t>(Rejected.Reason_));
  if (Rejected.Reason_ != RejectReason::Cancelled)
    WastedMessages_ += 2;
  else
    ++CancelMessages_;
}

void PolicySimulation::apply(std::uint32_t A,
                             const StartControllerOutputs &Out) {
  std::vector<bool> HasReason(Owners_.size(), false);
  const auto OwnerIndex = [&](const EntryId &Id) {
    return static_cast<std::uint32_t>(Id.Incarnation_.value() - 1);
  };
  for (const StartControllerOutput &Output : Out) {
    const auto *Send = std::get_if<SendToEntry>(&Output);
    if (Send && !std::holds_alternative<AgentReport>(Send->Message_))
      HasReason[OwnerIndex(Send->To_)] = true;
  }
  for (const StartControllerOutput &Output : Out) {
    if (const auto *Run = std::get_if<RunTask>(&Output)) {
      startRun(A, *Run);
      continue;
    }
    const auto *Send = std::get_if<SendToEntry>(&Output);
    if (!Send)
      continue;
    const std::uint32_t O = OwnerIndex(Send->To_);
    if (!Owners_[O].Alive_)
      continue;
    ++Messages_;
    if (const auto *Rejected = std::get_if<TasksRejected>(&Send->Message_))
      countRejection(A, *Rejected);
    const auto *Report = std::get_if<AgentReport>(&Send->Message_);
    if (Report && !HasReason[O])
      countStandaloneReport(A, O, *Report);
    const AgentId Id = Agents_[A].Id_;
    scheduleAt(Now_ + networkDelay(O, A), [this, O, A, Id, M = Send->Message_] {
      if (Owners_[O].Alive_ && Agents_[A].Id_ == Id)
        receive(O, A, M);
    });
  }
}

void PolicySimulation::receive(std::uint32_t O, std::uint32_t A,
                               const Message &M) {
  apply(O, Owners_[O].Jobs_->onAgentMessage(Agents_[A].Id_, M, Now_));
}

void PolicySimulation::startRun(std::uint32_t A, const RunTask &Run) {
  Agent &RunningAgent = Agents_[A];
  const std::uint32_t J = jobIndex(Run.Job_);
  const std::uint32_t Kind = Work_.Jobs_[J].Kind_;
  std::uint8_t &Count = StartCount_[J][Run.Index_.value()];
  DuplicateStarts_ += Count > 0 ? 1 : 0;
  Count = 1;
  if (NotStarted_[J] > 0) {
    --NotStarted_[J];
    --Pending_;
  }
  ++Starts_;
  ++bucketAt(Now_).Starts_;
  ++RunningAgent.Busy_;
  ++BusySlots_;
  ++KindBusy_[Kind];
  ++RunningAgent.KindBusy_[Kind];
  Signature_.add((static_cast<std::uint64_t>(J) << 16) + Run.Index_.value());
  Signature_.add(
      static_cast<std::uint64_t>(Now_.time_since_epoch().count()) * 16 + A);
  const auto True = Work_.Jobs_[J].RunTimes_[Run.Index_.value()].count();
  Duration RunTime(static_cast<std::int64_t>(static_cast<double>(True) *
                                             RunningAgent.Slowdown_));
  const bool Failed = RunningAgent.Failing_;
  if (Failed)
    RunTime = std::chrono::milliseconds(2);
  const AgentId Id = RunningAgent.Id_;
  scheduleAt(Now_ + RunTime,
             [this, A, Id, R = Run.Run_, Kind, RunTime, Failed] {
               finishRun(A, Id, R, Kind, RunTime, Failed);
             });
}

void PolicySimulation::finishRun(std::uint32_t A, const AgentId &Id, RunId Run,
                                 std::uint32_t Kind, Duration RunTime,
                                 bool Failed) {
  Agent &RunningAgent = Agents_[A];
  if (RunningAgent.Id_ != Id || !RunningAgent.Alive_)
    return;
  --RunningAgent.Busy_;
  --BusySlots_;
  --KindBusy_[Kind];
  --RunningAgent.KindBusy_[Kind];
  FailedTasks_[A] += Failed ? 1 : 0;
  apply(A, RunningAgent.Controller_->onRunFinished(
               Run, Failed ? RunOutcome::Failure : RunOutcome::Success, "",
               RunTime, Now_));
}

void PolicySimulation::recordAnswer(const SendAnswer &Reply) {
  const auto J = static_cast<std::uint32_t>(Reply.To_.value() - 1);
  BenchResult &Result = Results_[J];
  Result.Answered_ = true;
  Result.Outcome_ = Reply.Answer_.Outcome_;
  Result.Code_ = Reply.Answer_.Code_;
  Result.Done_ = Now_ + Shape_.CallerDelay_;
  Pending_ -= NotStarted_[J];
  NotStarted_[J] = 0;
  Signature_.add((static_cast<std::uint64_t>(J) << 8) +
                 static_cast<std::uint64_t>(Reply.Answer_.Outcome_));
}

void PolicySimulation::setFailing(std::uint32_t Agent, bool Failing) {
  Agents_[Agent].Failing_ = Failing;
}

void PolicySimulation::setSlowdown(std::uint32_t Agent, double Factor) {
  Agents_[Agent].Slowdown_ = Factor;
}

void PolicySimulation::killAgent(std::uint32_t A) {
  Agents_[A].Alive_ = false;
  BusySlots_ -= Agents_[A].Busy_;
  Agents_[A].Busy_ = 0;
  for (std::size_t K = 0; K < KindBusy_.size(); ++K)
    KindBusy_[K] -= Agents_[A].KindBusy_[K];
  const AgentId Id = Agents_[A].Id_;
  scheduleAt(Now_ + LossTimeout, [this, Id] {
    for (std::uint32_t O = 0; O < Owners_.size(); ++O)
      if (Owners_[O].Alive_)
        apply(O, Owners_[O].Jobs_->onAgentLost(Id, Now_));
  });
}

void PolicySimulation::restartAgent(std::uint32_t A) {
  addAgent(A, NextIncarnation_++);
}

void PolicySimulation::killOwner(std::uint32_t Lost) {
  Owners_[Lost].Alive_ = false;
  for (std::uint32_t J = 0; J < Ids_.size(); ++J) {
    if (OwnerOf_[J] != Lost || Ids_[J].Key_.empty())
      continue;
    Pending_ -= NotStarted_[J];
    NotStarted_[J] = 0;
  }
  scheduleAt(Now_ + SuspicionTimeout, [this, Lost] {
    for (std::uint32_t A = 0; A < Agents_.size(); ++A)
      if (Agents_[A].Alive_)
        apply(A, Agents_[A].Controller_->onEntryUnreachable(Owners_[Lost].Id_,
                                                            true, Now_));
  });
  scheduleAt(Now_ + LossTimeout, [this, Lost] {
    for (std::uint32_t A = 0; A < Agents_.size(); ++A)
      if (Agents_[A].Alive_)
        apply(A, Agents_[A].Controller_->onEntryLost(Owners_[Lost].Id_, Now_));
  });
}

void PolicySimulation::cancelJob(std::uint32_t J) {
  const std::uint32_t O = OwnerOf_[J];
  if (!Ids_[J].Key_.empty() && Owners_[O].Alive_)
    apply(O, Owners_[O].Jobs_->onCancel(Ids_[J], Now_));
}

} // namespace chivelanding
