#include "load_replay.h"

#include "durations.h"
#include "lease_plan.h"

namespace chivelanding::test {
namespace {

constexpr Duration Tick = std::chrono::milliseconds(10);
constexpr Duration EndpointStep = std::chrono::milliseconds(1);
// Each way, between an agent and its endpoint.
constexpr Duration CallDelay = std::chrono::microseconds(300);
// Time before the first job, in which all reports arrive.
constexpr Duration WarmUp = std::chrono::milliseconds(600);
// Time after the last job, in which all jobs are answered.
constexpr Duration CoolDown = std::chrono::seconds(3);
constexpr Duration CallerTimeout = std::chrono::seconds(2);
// Pause of a caller before it submits a job of unknown outcome again.
constexpr Duration ResubmitPause = std::chrono::milliseconds(1300);
// Period of the announcements of a cold endpoint.
constexpr Duration AnnouncementPeriod = std::chrono::milliseconds(500);
// Time after which no start call made before a cordon is on its way.
constexpr Duration CordonDelay = std::chrono::milliseconds(100);
constexpr double ObjectiveFactor = 1.6;
constexpr double LateWorth = 0.2;
constexpr Duration Target = std::chrono::milliseconds(60);

} // namespace

double LoadPattern::utilization() const {
  double Used = 0;
  for (const JobPattern &P : Jobs_)
    Used += P.JobsPerSecond_ * P.Tasks_ * P.Cpu_ * seconds(P.Length_);
  double Capacity = 0;
  for (std::size_t A = 0; A < Agents_; ++A)
    Capacity += cpuOf(A);
  return Used / Capacity;
}

Duration LoadPattern::callerTimeout(const JobPattern &P) const {
  return WaitBeyondRun_ > Duration(0) ? P.Length_ + WaitBeyondRun_
                                      : CallerTimeout;
}

LoadReplay::LoadReplay(LoadPattern Pattern)
    : Pattern_(std::move(Pattern)), Random_(Pattern_.Seed_),
      Entries_(Pattern_.Entries_), Agents_(Pattern_.Agents_),
      WindowCredits_(Pattern_.Windows_.size()) {}

void LoadReplay::at(Time When, std::function<void()> Do) {
  Events_.emplace(When, std::move(Do));
}

void LoadReplay::atEntry(std::size_t E, Time Arrival,
                         std::function<void()> Do) {
  at(Arrival, [this, E, Do = std::move(Do)] {
    const Duration Handling = Pattern_.handlingTime(E);
    if (Handling == Duration(0)) {
      Do();
      return;
    }
    Time &Busy = Entries_[E].BusyUntil_;
    Busy = std::max(Busy, Now_) + Handling;
    at(Busy, Do);
  });
}

PeerId LoadReplay::agentPeer(std::size_t A) const {
  return {Role::Agent, "agent-" + std::to_string(A), Incarnation(1)};
}

EntryId LoadReplay::entryId(std::size_t E) const {
  return {"entry-" + std::to_string(E), Incarnation(1)};
}

void LoadReplay::startEndpoint(std::size_t A) {
  Agent &X = Agents_[A];
  const std::uint64_t Number = ++X.Incarnation_;
  SimulatedEndpoint::Observer O;
  O.OnStarted_ = [this, A, Number](const TaskKey &K) {
    ++Result_.Runs_;
    recordStart(A);
    const JobSpec &Spec = Specs_.at(K.Job_);
    if (Spec.CrashDelay_ && K.Index_ == TaskIndex(0))
      at(Now_ + *Spec.CrashDelay_, [this, A, Number, Job = K.Job_] {
        if (Agents_[A].Incarnation_ != Number || !Agents_[A].Endpoint_.alive())
          return;
        Result_.MostCrashesOfTask_ =
            std::max(Result_.MostCrashesOfTask_, ++CrashesByJob_[Job]);
        crashEndpoint(A, Number);
      });
    const auto It = Unstarted_.find(K.Job_);
    if (It == Unstarted_.end())
      return;
    Result_.FirstStartMs_.push_back(seconds(Now_ - It->second) * 1000);
    Unstarted_.erase(It);
  };
  O.OnEnded_ = [](const TaskKey &, RunEnding) {};
  O.DrawOutcome_ = [this, A](const TaskKey &K) {
    std::uniform_real_distribution<double> Spread(0.6, 1.4);
    const double Slow =
        coldRemaining(A) > Duration(0) ? Pattern_.Cordon_->SlowFactor_ : 1;
    const Duration Length =
        scaled(Specs_.at(K.Job_).Pattern_.Length_, Slow * Spread(Random_));
    return std::pair(Length, RunEnding::Done);
  };
  O.Fail_ = [](const std::string &) {};
  X.Endpoint_.startIncarnation(
      "w" + std::to_string(A) + "-" + std::to_string(Number), Number, 1,
      {Pattern_.cpuOf(A), 1u << 20, 0}, O, Now_);
  X.Announcements_ = 0;
  announce(A);
}

void LoadReplay::announce(std::size_t A) {
  Agent &X = Agents_[A];
  EndpointIncarnation I = X.Endpoint_.announcement(++X.Announcements_, Now_);
  if (Pattern_.Zones_ > 1)
    I.Zone_ = ZoneName("z" + std::to_string(zoneOf(A)));
  I.ColdRemaining_ = coldRemaining(A);
  applyAgent(A, X.Supervisor_->onAnnounced(I, Now_));
}

// Entries learn it from the store at the same time and tell all agents.
void LoadReplay::publishCordons(std::uint64_t Revision, bool Cordoned) {
  ZoneCordons C{Revision, {}};
  if (Cordoned)
    C.Zones_.push_back(ZoneName("z0"));
  for (std::size_t E = 0; E < Entries_.size(); ++E) {
    Entries_[E].Dispatcher_->setCordons(C, Now_);
    applyEntry(E);
    for (std::size_t A = 0; A < Agents_.size(); ++A)
      at(Now_ + Pattern_.LinkDelay_, [this, E, A, C] {
        applyAgent(A, Agents_[A].Supervisor_->onMessage(entryId(E), C, Now_));
      });
  }
  for (std::size_t A = 0; A < Agents_.size(); ++A)
    if (zoneOf(A) == 0 && Revision > 1 && !Cordoned)
      for (Duration Age(0); Age <= Pattern_.Cordon_->ColdTime_;
           Age += AnnouncementPeriod)
        at(Now_ + Age, [this, A] { announce(A); });
}

Duration LoadReplay::coldRemaining(std::size_t A) const {
  const auto &C = Pattern_.Cordon_;
  if (!C || zoneOf(A) != 0 || Now_ < C->To_)
    return Duration(0);
  return std::max(Duration(0), C->To_ + C->ColdTime_ - Now_);
}

void LoadReplay::recordStart(std::size_t A) {
  const auto &C = Pattern_.Cordon_;
  Result_.ColdStarts_ += coldRemaining(A) > Duration(0) ? 1 : 0;
  if (C && zoneOf(A) == 0 && C->From_ + CordonDelay <= Now_ && Now_ < C->To_)
    ++Result_.StartsWhileCordoned_;
}

void LoadReplay::measureColdShare(std::size_t A) {
  const Duration Remaining = coldRemaining(A);
  if (Remaining == Duration(0))
    return;
  const double Share = std::max(
      0.25, 1 - seconds(Remaining) / seconds(Pattern_.Cordon_->ColdTime_));
  const auto Offered =
      std::max(static_cast<std::int64_t>(Share * Pattern_.cpuOf(A)),
               static_cast<std::int64_t>(Pattern_.Jobs_.front().Cpu_));
  Result_.MostCpuAboveColdShare_ = std::max(
      Result_.MostCpuAboveColdShare_,
      static_cast<std::int64_t>(Agents_[A].Supervisor_->held().Cpu_) - Offered);
}

void LoadReplay::crashEndpoint(std::size_t A, std::uint64_t Incarnation) {
  Agent &X = Agents_[A];
  if (X.Incarnation_ != Incarnation || !X.Endpoint_.alive())
    return;
  ++Result_.Crashes_;
  X.Endpoint_.crash(Now_);
  at(Now_ + Pattern_.RestartTime_, [this, A] { startEndpoint(A); });
}

void LoadReplay::loseEndpoint(std::size_t A, Time Return) {
  Agent &X = Agents_[A];
  if (!X.Endpoint_.alive())
    return;
  X.Endpoint_.crash(Now_);
  at(Return, [this, A] { startEndpoint(A); });
}

void LoadReplay::startAgent(std::size_t A) {
  RunSupervisorLimits Limits;
  Limits.NeedsCordons_ = Pattern_.Cordon_.has_value();
  Agents_[A].Supervisor_ = std::make_unique<RunSupervisor>(Limits, 1);
  startEndpoint(A);
  for (std::size_t E = 0; E < Entries_.size(); ++E) {
    applyAgent(A, Agents_[A].Supervisor_->onEntryUp(entryId(E), Now_));
    Entries_[E].Dispatcher_->onAgentUp(agentPeer(A), Now_);
  }
}

void LoadReplay::applyAgent(std::size_t A, const RunSupervisorOutputs &Out) {
  Agent &X = Agents_[A];
  for (const RunSupervisorOutput &O : Out) {
    if (const auto *M = std::get_if<MessageToEntry>(&O)) {
      for (std::size_t E = 0; E < Entries_.size(); ++E)
        if (M->To_ == entryId(E))
          atEntry(E, Now_ + Pattern_.LinkDelay_,
                  [this, A, E, Message = M->Message_] {
                    Entries_[E].Dispatcher_->onMessage(agentPeer(A), Message,
                                                       Now_);
                    applyEntry(E);
                  });
    } else if (const auto *Start = std::get_if<MakeStart>(&O)) {
      at(Now_ + CallDelay, [this, A, S = *Start] {
        const JobPattern &P = Specs_.at(S.Call_.Task_.Job_).Pattern_;
        Agent &Y = Agents_[A];
        const CallAnswer Answer =
            Y.Endpoint_.start(S.Call_, {P.Cpu_, 64, 0}, Now_);
        const std::uint64_t Clock = Y.Endpoint_.clockMs(Now_);
        at(Now_ + CallDelay, [this, A, Id = S.Id_, Answer, Clock] {
          applyAgent(A, Agents_[A].Supervisor_->onStartAnswer(
                            Id, {Answer, Clock}, Now_));
        });
      });
    } else if (const auto *Stop = std::get_if<MakeStop>(&O)) {
      const CallAnswer Answer = X.Endpoint_.stop(Stop->Call_, Now_);
      at(Now_ + CallDelay, [this, A, Id = Stop->Id_, Answer] {
        applyAgent(
            A, Agents_[A].Supervisor_->onStopAnswer(Id, {Answer, {}}, Now_));
      });
    } else if (const auto *Poll = std::get_if<MakePoll>(&O)) {
      X.Poll_ = {*Poll, Now_ + Poll->Call_.Wait_};
    } else if (const auto *L = std::get_if<LogEvent>(&O)) {
      if (L->Event_.Type_ == &events::RunRefused)
        for (const EventField &F : L->Event_.Fields_)
          Result_.RefusedRuns_ +=
              std::string("reason") == F.first &&
                      F.second == runEndingName(RunEnding::NoRoom)
                  ? 1
                  : 0;
    }
  }
}

void LoadReplay::applyEntry(std::size_t E) {
  Entry &X = Entries_[E];
  for (DispatchOutput &O : X.Dispatcher_->take()) {
    if (auto *M = std::get_if<MessageToAgent>(&O)) {
      std::size_t A = 0;
      while (!(M->To_ == agentPeer(A)))
        ++A;
      at(Now_ + Pattern_.LinkDelay_,
         [this, A, E, Message = std::move(M->Message_)] {
           applyAgent(
               A, Agents_[A].Supervisor_->onMessage(entryId(E), Message, Now_));
         });
    } else if (const auto *ToEntries = std::get_if<MessageToEntries>(&O)) {
      for (std::size_t Other = 0; Other < Entries_.size(); ++Other)
        if (Other != E)
          atEntry(Other, Now_ + Pattern_.LinkDelay_,
                  [this, Other, M = ToEntries->Message_] {
                    Entries_[Other].Dispatcher_->onEntryMessage(M, Now_);
                    applyEntry(Other);
                  });
    } else if (const auto *Answer = std::get_if<AnswerJob>(&O)) {
      onAnswer(E, *Answer);
    }
  }
}

void LoadReplay::onAnswer(std::size_t E, const AnswerJob &Answer) {
  auto &Waiting = Entries_[E].Waiting_;
  const auto It = Waiting.find(Answer.Job_);
  if (It == Waiting.end())
    return;
  const Submission S = It->second;
  Waiting.erase(It);
  const JobSpec &Spec = Specs_.at(S.Key_);
  const double Worth = Spec.Pattern_.Worth_;
  const bool InTime = Now_ - Spec.Sent_ <= S.Objective_;
  JobCounts &OfRoute = Result_.ByRoute_[Spec.Pattern_.Route_];
  JobCounts &OfEntry = Result_.ByEntry_[E];
  if (Answer.Ending_ == JobEnding::Completed) {
    ++(InTime ? Result_.InTime_ : Result_.Late_);
    OfRoute.InTime_ += InTime ? 1 : 0;
    OfEntry.InTime_ += InTime ? 1 : 0;
    const double Earned = Worth * (InTime ? 1 : LateWorth);
    Credits_[Spec.Pattern_.Route_].Earned_ += Earned;
    for (std::size_t W = 0; W < WindowCredits_.size(); ++W)
      if (isInWindow(Spec.Sent_, W))
        WindowCredits_[W].Earned_ += Earned;
  } else if (Answer.Ending_ == JobEnding::Unknown &&
             Now_ + ResubmitPause <
                 Spec.Sent_ + Pattern_.callerTimeout(Spec.Pattern_)) {
    at(Now_ + ResubmitPause, [this, Key = S.Key_] { submit(Key); });
  } else {
    ++Result_.Refused_;
    ++OfRoute.Refused_;
    ++OfEntry.Refused_;
    Result_.RefusedAgeMs_.push_back(seconds(Now_ - S.Sent_) * 1000);
    Result_.WronglyFailed_ +=
        Answer.Ending_ == JobEnding::Failed && !Spec.CrashDelay_ ? 1 : 0;
  }
}

void LoadReplay::createJob(const JobPattern &P) {
  const JobKey Key("job-" + std::to_string(NextJob_++));
  JobSpec &Spec = Specs_[Key];
  Spec.Pattern_ = P;
  Spec.Sent_ = Now_;
  for (const CrashingJobs &C : Pattern_.Crashing_) {
    std::bernoulli_distribution Crashes(C.Share_);
    if (C.Route_ == P.Route_ && C.From_ <= Now_ && Now_ < C.To_ &&
        Crashes(Random_))
      Spec.CrashDelay_ = C.Delay_;
  }
  Unstarted_[Key] = Now_;
  ++Result_.Jobs_;
  if (!Spec.CrashDelay_)
    Credits_[P.Route_].Owed_ += P.Worth_;
  for (std::size_t W = 0; W < WindowCredits_.size(); ++W)
    if (isInWindow(Now_, W))
      WindowCredits_[W].Owed_ += P.Worth_;
  submit(Key);
}

void LoadReplay::submit(const JobKey &Key) {
  const JobSpec &Spec = Specs_.at(Key);
  const JobPattern &P = Spec.Pattern_;
  IdempotentJob J;
  J.Key_ = Key;
  J.Route_.Name_ = P.Route_;
  J.Route_.Service_ = ServiceName("tasks");
  J.Route_.Class_ = P.Class_;
  J.Route_.Attempts_ = 4;
  J.Route_.ObjectiveFactor_ = ObjectiveFactor;
  J.Route_.Target_ = Target;
  J.Tasks_ = P.Tasks_;
  J.Need_ = {P.Cpu_, 64, 0};
  J.Estimate_ = P.Length_;
  J.CallerTimeout_ = Pattern_.callerTimeout(P) - (Now_ - Spec.Sent_);
  std::uniform_int_distribution<std::size_t> Pick(0, Entries_.size() - 1);
  const std::size_t E = Pick(Random_);
  const Duration Objective = J.objective(P.Length_);
  ++Result_.ByRoute_[P.Route_].Jobs_;
  ++Result_.ByEntry_[E].Jobs_;
  atEntry(E, Now_, [this, E, Key, Objective, Sent = Now_, Job = std::move(J)] {
    Entry &X = Entries_[E];
    const JobNumber Number = X.Dispatcher_->submit(Job, Now_);
    X.Waiting_[Number] = {Key, Sent, Objective};
    applyEntry(E);
  });
}

void LoadReplay::scheduleArrivals() {
  std::exponential_distribution<double> Gap(1);
  const Time Begin = Time(WarmUp);
  for (const JobPattern &P : Pattern_.Jobs_) {
    Time T = Begin;
    while (T < Begin + Pattern_.Length_) {
      double Rate = P.JobsPerSecond_;
      for (const Burst &B : Pattern_.Bursts_)
        Rate *=
            B.Route_ == P.Route_ && B.From_ <= T && T < B.To_ ? B.Factor_ : 1;
      T += Duration(static_cast<std::int64_t>(Gap(Random_) / Rate * 1e6));
      at(T, [this, &P] { createJob(P); });
    }
  }
}

void LoadReplay::tick() {
  for (std::size_t A = 0; A < Agents_.size(); ++A) {
    applyAgent(A, Agents_[A].Supervisor_->onTimer(Now_));
    measureColdShare(A);
  }
  for (std::size_t E = 0; E < Entries_.size(); ++E) {
    Entries_[E].Dispatcher_->onTimer(Now_);
    applyEntry(E);
  }
  measureIdle();
  at(Now_ + Tick, [this] { tick(); });
}

void LoadReplay::stepEndpoint(std::size_t A) {
  Agent &X = Agents_[A];
  X.Endpoint_.advance(Now_);
  if (X.Poll_ &&
      (X.Endpoint_.hasEnds(X.Poll_->first.Call_) || X.Poll_->second <= Now_)) {
    const MakePoll Poll = X.Poll_->first;
    X.Poll_.reset();
    const auto Answer = X.Endpoint_.poll(Poll.Call_, Now_);
    at(Now_ + CallDelay, [this, A, Id = Poll.Id_, Answer] {
      applyAgent(A, Agents_[A].Supervisor_->onPollAnswer(Id, Answer, Now_));
    });
  }
  at(Now_ + EndpointStep, [this, A] { stepEndpoint(A); });
}

// Free slots count as idle only as far as tasks wait for them.
void LoadReplay::measureIdle() {
  if (Now_ < Time(WarmUp) || Now_ > Time(WarmUp + Pattern_.Length_))
    return;
  std::size_t Waiting = 0;
  for (const Entry &E : Entries_)
    Waiting += E.Dispatcher_->waiting();
  const std::uint32_t Need = Pattern_.Jobs_.front().Cpu_;
  std::size_t Free = 0;
  std::size_t Slots = 0;
  for (std::size_t A = 0; A < Agents_.size(); ++A) {
    Slots += Pattern_.cpuOf(A) / Need;
    if (Agents_[A].Endpoint_.alive() && Agents_[A].Supervisor_->usable())
      Free += (Pattern_.cpuOf(A) - Agents_[A].Supervisor_->held().Cpu_) / Need;
  }
  Result_.IdleWhileWaiting_ +=
      static_cast<double>(std::min(Free, Waiting)) / static_cast<double>(Slots);
  ++IdleSamples_;
}

LoadResult LoadReplay::run() {
  DispatchLimits Limits;
  for (std::size_t E = 0; E < Entries_.size(); ++E)
    Entries_[E].Dispatcher_ = std::make_unique<Dispatcher>(
        entryId(E).Name_, ZoneName("z"), Limits, Pattern_.Seed_ + E);
  for (std::size_t A = 0; A < Agents_.size(); ++A) {
    startAgent(A);
    at(Now_ + EndpointStep, [this, A] { stepEndpoint(A); });
  }
  if (const auto &C = Pattern_.Cordon_) {
    publishCordons(1, false);
    at(C->From_, [this] { publishCordons(2, true); });
    at(C->To_, [this] { publishCordons(3, false); });
  }
  for (const EndpointLoss &L : Pattern_.Losses_)
    for (std::size_t A = 0; A < Agents_.size(); A += L.Every_)
      at(L.From_, [this, A, To = L.To_] { loseEndpoint(A, To); });
  scheduleArrivals();
  at(Now_ + Tick, [this] { tick(); });
  const Time End = Time(WarmUp + Pattern_.Length_ + CoolDown);
  while (!Events_.empty() && Events_.begin()->first <= End) {
    const auto It = Events_.begin();
    Now_ = It->first;
    const auto Do = std::move(It->second);
    Events_.erase(It);
    Do();
  }
  Result_.IdleWhileWaiting_ /=
      static_cast<double>(std::max<std::size_t>(1, IdleSamples_));
  Credit All;
  for (const auto &[Route, C] : Credits_) {
    Result_.RouteWorth_[Route] = C.Earned_ / C.Owed_;
    All.Earned_ += C.Earned_;
    All.Owed_ += C.Owed_;
  }
  for (const Credit &C : WindowCredits_)
    Result_.WindowWorth_.push_back(C.Earned_ / std::max(1.0, C.Owed_));
  Result_.Worth_ = All.Earned_ / std::max(1.0, All.Owed_);
  return Result_;
}

} // namespace chivelanding::test
