#include "fuzz_simulation.h"

namespace chivelanding::fuzz {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
// Time until the platform starts a new process in place of one that exited.
constexpr Duration ReplacementDelay = std::chrono::seconds(2);
// Longest time until an entry has read a record from the log.
constexpr Duration MaxLogDelay = std::chrono::milliseconds(500);
constexpr Duration DrainTimeout = std::chrono::seconds(30);
// Longest time for open requests to be answered once all faults are over:
// several times the sum of the lost time, the wait of a recovery and the
// longest run.
constexpr Duration SettleTimeout = std::chrono::seconds(60);

} // namespace

/// Receives from the network for one VM; defers what arrives during a pause.
class FuzzSimulation::MachineReceiver : public Receiver {
public:
  MachineReceiver(FuzzSimulation &Owner, std::size_t M)
      : Owner_(Owner), Machine_(M) {}
  void onDialled(ConnectionId C) override {
    pass([C](Node &N) { N.onDialled(C); });
  }
  void onAccepted(ConnectionId C) override {
    pass([C](Node &N) { N.onAccepted(C); });
  }
  void onBytes(ConnectionId C, const std::string &Bytes) override {
    pass([C, Bytes](Node &N) { N.onBytes(C, Bytes); });
  }
  void onClosed(ConnectionId C) override {
    pass([C](Node &N) { N.onClosed(C); });
  }

private:
  void pass(std::function<void(Node &)> Do) {
    Machine &M = *Owner_.Machines_[Machine_];
    Owner_.runOrDefer(Machine_, M.Generation_, [&M, Do = std::move(Do)] {
      if (M.Node_ && !M.Node_->hasExited())
        Do(*M.Node_);
    });
  }

  FuzzSimulation &Owner_;
  std::size_t Machine_;
};

FuzzSimulation::FuzzSimulation(SimulationConfig Config)
    : Config_(Config), Random_(Config.Seed_), LogRandom_(Config.Seed_ + 2),
      Network_(Scheduler_, Config.Seed_ + 1, Config.Delays_) {
  for (std::size_t I = 0; I < Config.Entries_ + Config.Agents_; ++I) {
    auto M = std::make_unique<Machine>();
    const bool IsEntry = I < Config.Entries_;
    const std::size_t Number = IsEntry ? I : I - Config.Entries_;
    M->Name_ = (IsEntry ? "entry" : "agent") + std::to_string(Number);
    M->Role_ = IsEntry ? Role::Entry : Role::Agent;
    M->Zone_ = "zone" + std::to_string(Number % Config.Zones_);
    M->Rack_ = "rack" + std::to_string(Number / Config.AgentsPerRack_);
    Machines_.push_back(std::move(M));
    Receivers_.push_back(std::make_unique<MachineReceiver>(*this, I));
  }
  for (std::size_t I = 0; I < Machines_.size(); ++I)
    start(I);
}

FuzzSimulation::~FuzzSimulation() = default;

EntryNode *FuzzSimulation::entry(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->hasExited() || Vm.Role_ != Role::Entry)
    return nullptr;
  return static_cast<EntryNode *>(Vm.Node_.get());
}

AgentNode *FuzzSimulation::agent(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->hasExited() || Vm.Role_ != Role::Agent)
    return nullptr;
  return static_cast<AgentNode *>(Vm.Node_.get());
}

std::size_t FuzzSimulation::indexOf(const std::string &Name) const {
  for (std::size_t I = 0; I < Machines_.size(); ++I)
    if (Machines_[I]->Name_ == Name)
      return I;
  return Machines_.size();
}

void FuzzSimulation::runOrDefer(std::size_t M, std::uint64_t Generation,
                                std::function<void()> Do) {
  Machine &Vm = *Machines_[M];
  if (Vm.Generation_ != Generation || !Vm.Node_)
    return;
  if (Vm.Paused_)
    Vm.Deferred_.push_back(std::move(Do));
  else
    Do();
}

void FuzzSimulation::post(std::size_t M, Duration Delay,
                          std::function<void()> Do) {
  const std::uint64_t Generation = Machines_[M]->Generation_;
  Scheduler_.after(Delay, [this, M, Generation, Do = std::move(Do)] {
    runOrDefer(M, Generation, Do);
  });
}

void FuzzSimulation::tick(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->hasExited())
    return;
  Vm.Node_->onTimer();
  post(M, TickInterval, [this, M] { tick(M); });
}

void FuzzSimulation::start(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (Vm.Node_)
    return;
  ++Vm.Generation_;
  Vm.Paused_ = false;
  Vm.Deferred_.clear();
  Vm.DrainedAt_.reset();
  Oracle_.onReplaced(Vm.Name_);
  std::vector<std::string> Seeds;
  for (std::size_t I = 0; I < Config_.Entries_; ++I)
    Seeds.push_back(Machines_[I]->Name_);
  const Incarnation Number(Random_() | 1);
  const PeerId Self{Vm.Role_, Vm.Name_, Number};
  Network_.attach(Vm.Name_, Vm.Zone_, Receivers_[M].get());
  if (Vm.Role_ == Role::Entry) {
    Vm.Node_ = std::make_unique<EntryNode>(*this, Self, Vm.Zone_, Seeds);
    readLog(M);
  } else {
    EndpointInfo Info;
    Info.EndpointName_ = Vm.Name_;
    Info.Service_ = ServiceName("service");
    Info.Zone_ = ZoneName(Vm.Zone_);
    Info.Rack_ = RackName(Vm.Rack_);
    Info.Slots_ = Config_.Slots_;
    Info.Connections_ = 64;
    Vm.Node_ = std::make_unique<AgentNode>(*this, Self, Info, Seeds);
  }
  const auto Phase = static_cast<std::int64_t>(
      random(static_cast<std::uint64_t>(TickInterval.count())));
  post(M, Duration(Phase), [this, M] { tick(M); });
}

// The connections of the callers break with the process, so their requests are
// no longer expected to be answered. Tasks that still run at the endpoint of a
// removed agent are dropped, and their ends are never reported.
void FuzzSimulation::remove(std::size_t M, bool Abrupt) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_)
    return;
  Network_.detach(Vm.Name_, Abrupt);
  ++Vm.Generation_;
  Vm.Deferred_.clear();
  // A method of the process may be on the call stack, so the process is
  // destroyed in an event of its own.
  std::shared_ptr<Node> Old = std::move(Vm.Node_);
  Scheduler_.after(Duration(0), [Old] {});
  for (auto It = OpenRequests_.begin(); It != OpenRequests_.end();)
    It = It->second.Entry_ == M ? OpenRequests_.erase(It) : std::next(It);
  for (auto It = Runs_.begin(); It != Runs_.end();)
    It = std::get<0>(It->first) == M ? Runs_.erase(It) : std::next(It);
}

void FuzzSimulation::kill(std::size_t M, bool Abrupt) { remove(M, Abrupt); }

void FuzzSimulation::onExited(const std::string &Name, bool Rejoin) {
  const std::size_t M = indexOf(Name);
  Machine &Vm = *Machines_[M];
  const bool WithinTimeout =
      Vm.DrainedAt_ && Scheduler_.now() - *Vm.DrainedAt_ < DrainTimeout;
  if (!Rejoin && WithinTimeout) {
    for (const auto &[Id, R] : OpenRequests_)
      if (R.Entry_ == M && R.Received_)
        Oracle_.onInterrupted(Name, "request " + std::to_string(Id));
    for (const auto &[Key, R] : Runs_)
      if (std::get<0>(Key) == M)
        Oracle_.onInterrupted(Name, "a task of " + R.Job_.str());
  }
  remove(M, false);
  Scheduler_.after(ReplacementDelay, [this, M] { start(M); });
}

void FuzzSimulation::pause(std::size_t M, Duration Length) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Paused_)
    return;
  Vm.Paused_ = true;
  const std::uint64_t Generation = Vm.Generation_;
  Scheduler_.after(Length, [this, M, Generation] {
    if (Machines_[M]->Generation_ == Generation)
      resume(M);
  });
}

void FuzzSimulation::resume(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Paused_)
    return;
  Vm.Paused_ = false;
  std::deque<std::function<void()>> Deferred;
  Deferred.swap(Vm.Deferred_);
  for (const auto &Do : Deferred)
    if (Vm.Node_ && !Vm.Node_->hasExited())
      Do();
}

void FuzzSimulation::drain(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->hasExited() || Vm.DrainedAt_)
    return;
  // A paused process does not read the drain request until it resumes, so the
  // drain time starts only then.
  post(M, Duration(0), [this, &Vm] {
    if (Vm.Node_->hasExited() || Vm.DrainedAt_)
      return;
    Vm.DrainedAt_ = Scheduler_.now();
    if (Vm.Role_ == Role::Agent)
      Oracle_.onLeaving(Vm.Name_, Scheduler_.now());
    if (!Defects_.IgnoresDrain_)
      Vm.Node_->drain();
    if (Defects_.ExitsAtOnce_)
      onExited(Vm.Name_, false);
  });
}

void FuzzSimulation::partition(std::size_t A, std::size_t B, bool BothWays) {
  Network_.partition(Machines_[A]->Name_, Machines_[B]->Name_);
  if (BothWays)
    Network_.partition(Machines_[B]->Name_, Machines_[A]->Name_);
}

void FuzzSimulation::dropTraffic(std::size_t A, std::size_t B, bool BothWays) {
  Network_.dropTraffic(Machines_[A]->Name_, Machines_[B]->Name_, BothWays);
}

void FuzzSimulation::run(Duration FullRunTime) {
  Scheduler_.runUntil(Scheduler_.now() + FullRunTime);
}

void FuzzSimulation::startRun(const std::string &Agent, const RunTask &Run) {
  const std::size_t M = indexOf(Agent);
  Oracle_.onStart(Run.Job_, Run.Index_, Agent, Scheduler_.now());
  const RunKey Key{M, Machines_[M]->Generation_, Run.Run_};
  Runs_[Key] = {Run.Job_, Run.Index_, Scheduler_.now()};
  const auto Span = static_cast<std::uint64_t>(
      (Config_.LongestRun_ - Config_.ShortestRun_).count() + 1);
  const Duration FullRunTime =
      Config_.ShortestRun_ + Duration(static_cast<std::int64_t>(random(Span)));
  const bool Fails =
      Machines_[M]->FailsAll_ || random(1000) < Config_.FailPermille_;
  const Duration RunTime = Fails ? std::chrono::milliseconds(5) : FullRunTime;
  post(M, RunTime, [this, Key, Fails] {
    endRun(Key, Fails ? RunOutcome::Failure : RunOutcome::Success);
  });
}

void FuzzSimulation::stopRun(const std::string &Agent, RunId Run) {
  const std::size_t M = indexOf(Agent);
  const RunKey Key{M, Machines_[M]->Generation_, Run};
  post(M, std::chrono::milliseconds(2),
       [this, Key] { endRun(Key, RunOutcome::Stopped); });
}

void FuzzSimulation::endRun(const RunKey &Key, RunOutcome Outcome) {
  const auto It = Runs_.find(Key);
  AgentNode *Process = agent(std::get<0>(Key));
  if (It == Runs_.end() || !Process)
    return;
  const Run Ended = It->second;
  Runs_.erase(It);
  const std::string Result = "result " + std::to_string(NextResult_++);
  Oracle_.onEnd(Ended.Job_, Ended.Index_, Outcome == RunOutcome::Success,
                Result);
  Process->runEnded(std::get<2>(Key), Outcome, Result,
                    Scheduler_.now() - Ended.Started_);
}

void FuzzSimulation::sendRequest(std::size_t E, const JobSpec &Spec) {
  if (!Machines_[E]->Node_)
    return;
  const RequestId Id = NextRequest_++;
  Oracle_.onSubmit(Id, Spec, Scheduler_.now());
  OpenRequests_[Id] = {E, false};
  post(E, Duration(0), [this, E, Id, Spec] {
    EntryNode *Process = entry(E);
    const auto It = OpenRequests_.find(Id);
    if (!Process || It == OpenRequests_.end())
      return;
    It->second.Received_ = true;
    Process->submit(Id, Spec);
  });
}

std::optional<std::size_t>
FuzzSimulation::submit(std::size_t E, std::size_t Tasks, bool Idempotent) {
  EntryNode *Process = entry(E);
  if (!Process || Machines_[E]->Paused_)
    return std::nullopt;
  JobSpec Spec;
  const std::string Key =
      (Tasks == 1 ? "single" : "job") + std::to_string(Jobs_.size());
  Spec.Id_ = {TeamName("team"), Process->token(), JobKey(Key)};
  Spec.Service_ = ServiceName("service");
  Spec.Kind_ = KindName("kind");
  Spec.Idempotent_ = Idempotent && Tasks == 1;
  for (std::size_t I = 0; I < Tasks; ++I)
    Spec.Tasks_.push_back({Key + "." + std::to_string(I), "payload", {}});
  Jobs_.push_back(Spec);
  sendRequest(E, Spec);
  return Jobs_.size() - 1;
}

void FuzzSimulation::resubmit(std::size_t Job, std::size_t E) {
  sendRequest(E, Jobs_[Job]);
}

void FuzzSimulation::cancel(std::size_t Job, std::size_t E) {
  const JobId Id = Jobs_[Job].Id_;
  if (Machines_[E]->Node_)
    post(E, Duration(0), [this, E, Id] {
      if (EntryNode *Process = entry(E))
        Process->cancel(Id);
    });
}

void FuzzSimulation::answer(const std::string &, RequestId Request,
                            const JobAnswer &Answer) {
  if (OpenRequests_.erase(Request) != 0)
    Oracle_.onAnswer(Request, Answer, Scheduler_.now());
}

void FuzzSimulation::readLog(std::size_t M) {
  const auto Delay = static_cast<std::int64_t>(
      LogRandom_() % static_cast<std::uint64_t>(MaxLogDelay.count()));
  post(M, Duration(Delay), [this, M, State = Published_] {
    if (EntryNode *Process = entry(M))
      Process->onLogRead(State);
  });
}

void FuzzSimulation::publishCordon(std::size_t Zone, bool IsCordoned) {
  const std::string Name = "zone" + std::to_string(Zone);
  const ConfigVersion Last =
      Published_ ? Published_->Version_ : ConfigVersion();
  std::set<std::string> Zones = Cordons_[Last];
  if (IsCordoned ? !Zones.insert(Name).second : Zones.erase(Name) == 0)
    return;
  std::string Toml;
  for (const std::string &Z : Zones)
    Toml.append("[[cordon]]\nname = \"")
        .append(Z)
        .append("\"\nzone = \"")
        .append(Z)
        .append("\"\n");
  const ConfigVersion Version(Last.value() + 1);
  Published_ = value(makeAcceptedConfig(Version, Toml));
  Cordons_[Version] = std::move(Zones);
  for (std::size_t M = 0; M < Config_.Entries_; ++M)
    readLog(M);
}

void FuzzSimulation::onInForce(const std::string &Name, ConfigVersion Version) {
  Oracle_.onConfig(Name, Version.value());
  const Machine &Vm = *Machines_[indexOf(Name)];
  if (Vm.Role_ == Role::Agent)
    Oracle_.onCordoned(Name, Cordons_[Version].count(Vm.Zone_) != 0);
}

void FuzzSimulation::settle() {
  Network_.heal();
  Network_.setFrameFaults(0, 0, Duration(0));
  for (std::size_t I = 0; I < Machines_.size(); ++I) {
    resume(I);
    failAll(I, false);
    if (!Machines_[I]->Node_)
      start(I);
  }
  for (std::size_t Zone = 0; Zone < Config_.Zones_; ++Zone)
    publishCordon(Zone, false);
  const Time Deadline = Scheduler_.now() + SettleTimeout;
  while (Scheduler_.now() < Deadline && !OpenRequests_.empty() &&
         !Oracle_.violation())
    run(std::chrono::seconds(1));
  std::set<RequestId> Unanswered;
  for (const auto &[Id, R] : OpenRequests_)
    Unanswered.insert(Id);
  Oracle_.expectAnswered(Unanswered);
}

} // namespace chivelanding::fuzz
