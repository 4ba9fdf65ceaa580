#include "fuzz_simulation.h"

namespace chivelanding::fuzz {
namespace {

constexpr Duration TickEvery = std::chrono::milliseconds(100);
// A platform replaces a VM that ended within about this time.
constexpr Duration ReplaceAfter = std::chrono::seconds(2);
constexpr Duration DrainLimit = std::chrono::seconds(30);
// Time for open requests to be answered once all faults are over: the lost
// time, the wait of a recovery, and the longest run, several times over.
constexpr Duration SettleLimit = std::chrono::seconds(60);

} // namespace

/// A machine's interface to the network; it holds back what arrives in a pause.
class World::Port : public Receiver {
public:
  Port(World &Owner, std::size_t M) : Owner_(Owner), Machine_(M) {}
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
    Owner_.runOrHold(Machine_, M.Generation_, [&M, Do = std::move(Do)] {
      if (M.Node_ && !M.Node_->ended())
        Do(*M.Node_);
    });
  }

  World &Owner_;
  std::size_t Machine_;
};

World::World(WorldConfig Config)
    : Config_(Config), Random_(Config.Seed_),
      Network_(Line_, Config.Seed_ + 1, Config.Delays_) {
  for (std::size_t I = 0; I < Config.Entries_ + Config.Agents_; ++I) {
    auto M = std::make_unique<Machine>();
    const bool IsEntry = I < Config.Entries_;
    const std::size_t Number = IsEntry ? I : I - Config.Entries_;
    M->Name_ = (IsEntry ? "entry" : "agent") + std::to_string(Number);
    M->Role_ = IsEntry ? Role::Entry : Role::Agent;
    M->Zone_ = "zone" + std::to_string(Number % Config.Zones_);
    M->Rack_ = "rack" + std::to_string(Number / Config.AgentsPerRack_);
    Machines_.push_back(std::move(M));
    Ports_.push_back(std::make_unique<Port>(*this, I));
  }
  for (std::size_t I = 0; I < Machines_.size(); ++I)
    start(I);
}

World::~World() = default;

EntryNode *World::entry(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->ended() || Vm.Role_ != Role::Entry)
    return nullptr;
  return static_cast<EntryNode *>(Vm.Node_.get());
}

AgentNode *World::agent(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->ended() || Vm.Role_ != Role::Agent)
    return nullptr;
  return static_cast<AgentNode *>(Vm.Node_.get());
}

std::size_t World::indexOf(const std::string &Name) const {
  for (std::size_t I = 0; I < Machines_.size(); ++I)
    if (Machines_[I]->Name_ == Name)
      return I;
  return Machines_.size();
}

void World::runOrHold(std::size_t M, std::uint64_t Generation,
                      std::function<void()> Do) {
  Machine &Vm = *Machines_[M];
  if (Vm.Generation_ != Generation || !Vm.Node_)
    return;
  if (Vm.Paused_)
    Vm.Backlog_.push_back(std::move(Do));
  else
    Do();
}

void World::post(std::size_t M, Duration Delay, std::function<void()> Do) {
  const std::uint64_t Generation = Machines_[M]->Generation_;
  Line_.after(Delay, [this, M, Generation, Do = std::move(Do)] {
    runOrHold(M, Generation, Do);
  });
}

void World::tick(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->ended())
    return;
  Vm.Node_->onTimer();
  post(M, TickEvery, [this, M] { tick(M); });
}

void World::start(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (Vm.Node_)
    return;
  ++Vm.Generation_;
  Vm.Paused_ = false;
  Vm.Backlog_.clear();
  Vm.DrainedAt_.reset();
  std::vector<std::string> Seeds;
  for (std::size_t I = 0; I < Config_.Entries_; ++I)
    Seeds.push_back(Machines_[I]->Name_);
  const Incarnation Number(Random_() | 1);
  const PeerId Self{Vm.Role_, Vm.Name_, Number};
  Network_.attach(Vm.Name_, Vm.Zone_, Ports_[M].get());
  if (Vm.Role_ == Role::Entry) {
    Vm.Node_ = std::make_unique<EntryNode>(*this, Self, Vm.Zone_, Seeds);
  } else {
    Oracle_.onReplaced(Vm.Name_);
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
      random(static_cast<std::uint64_t>(TickEvery.count())));
  post(M, Duration(Phase), [this, M] { tick(M); });
}

// Callers of an entry that ends see their connections break; what the endpoint
// still runs is never reported.
void World::remove(std::size_t M, bool Abrupt) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_)
    return;
  Network_.detach(Vm.Name_, Abrupt);
  ++Vm.Generation_;
  Vm.Backlog_.clear();
  // The process may be on the stack; it is destroyed when the turn is over.
  std::shared_ptr<Node> Old = std::move(Vm.Node_);
  Line_.after(Duration(0), [Old] {});
  for (auto It = Open_.begin(); It != Open_.end();)
    It = It->second.Entry_ == M ? Open_.erase(It) : std::next(It);
  for (auto It = Runs_.begin(); It != Runs_.end();)
    It = std::get<0>(It->first) == M ? Runs_.erase(It) : std::next(It);
}

void World::kill(std::size_t M, bool Abrupt) { remove(M, Abrupt); }

void World::exited(const std::string &Name, bool Rejoin) {
  const std::size_t M = indexOf(Name);
  Machine &Vm = *Machines_[M];
  const bool WithinTimeout =
      Vm.DrainedAt_ && Line_.now() - *Vm.DrainedAt_ < DrainLimit;
  if (!Rejoin && WithinTimeout) {
    for (const auto &[Id, R] : Open_)
      if (R.Entry_ == M && R.Taken_)
        Oracle_.onInterrupted(Name, "request " + std::to_string(Id));
    for (const auto &[Key, R] : Runs_)
      if (std::get<0>(Key) == M)
        Oracle_.onInterrupted(Name, "a task of " + R.Job_.str());
  }
  remove(M, false);
  Line_.after(ReplaceAfter, [this, M] { start(M); });
}

void World::pause(std::size_t M, Duration Length) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Paused_)
    return;
  Vm.Paused_ = true;
  const std::uint64_t Generation = Vm.Generation_;
  Line_.after(Length, [this, M, Generation] {
    if (Machines_[M]->Generation_ == Generation)
      wake(M);
  });
}

void World::wake(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Paused_)
    return;
  Vm.Paused_ = false;
  std::deque<std::function<void()>> Deferred;
  Deferred.swap(Vm.Backlog_);
  for (const auto &Do : Deferred)
    if (Vm.Node_ && !Vm.Node_->ended())
      Do();
}

void World::drain(std::size_t M) {
  Machine &Vm = *Machines_[M];
  if (!Vm.Node_ || Vm.Node_->ended() || Vm.DrainedAt_)
    return;
  // The request to leave takes effect when the process reads it; a paused
  // process has not accepted it yet.
  post(M, Duration(0), [this, &Vm] {
    if (Vm.Node_->ended() || Vm.DrainedAt_)
      return;
    Vm.DrainedAt_ = Line_.now();
    if (Vm.Role_ == Role::Agent)
      Oracle_.onLeaving(Vm.Name_, Line_.now());
    if (!Defects_.IgnoresLeaving_)
      Vm.Node_->drain();
    if (Defects_.EndsEarly_)
      exited(Vm.Name_, false);
  });
}

void World::cut(std::size_t A, std::size_t B, bool BothWays) {
  Network_.cut(Machines_[A]->Name_, Machines_[B]->Name_);
  if (BothWays)
    Network_.cut(Machines_[B]->Name_, Machines_[A]->Name_);
}

void World::silence(std::size_t A, std::size_t B, bool BothWays) {
  Network_.silence(Machines_[A]->Name_, Machines_[B]->Name_, BothWays);
}

void World::run(Duration FullRunTime) { Line_.runUntil(Line_.now() + FullRunTime); }

void World::startRun(const std::string &Agent, const RunTask &Run) {
  const std::size_t M = indexOf(Agent);
  Oracle_.onStart(Run.Job_, Run.Index_, Agent, Line_.now());
  const RunKey Key{M, Machines_[M]->Generation_, Run.Run_};
  Runs_[Key] = {Run.Job_, Run.Index_, Line_.now()};
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

void World::stopRun(const std::string &Agent, RunId Run) {
  const std::size_t M = indexOf(Agent);
  const RunKey Key{M, Machines_[M]->Generation_, Run};
  post(M, std::chrono::milliseconds(2),
       [this, Key] { endRun(Key, RunOutcome::Stopped); });
}

void World::endRun(const RunKey &Key, RunOutcome Outcome) {
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
                 Line_.now() - Ended.Started_);
}

void World::sendRequest(std::size_t E, const JobSpec &Spec) {
  if (!Machines_[E]->Node_)
    return;
  const RequestId Id = NextRequest_++;
  Oracle_.onSubmit(Id, Spec, Line_.now());
  Open_[Id] = {E, false};
  post(E, Duration(0), [this, E, Id, Spec] {
    EntryNode *Process = entry(E);
    const auto It = Open_.find(Id);
    if (!Process || It == Open_.end())
      return;
    It->second.Taken_ = true;
    Process->submit(Id, Spec);
  });
}

std::optional<std::size_t> World::submit(std::size_t E, std::size_t Tasks,
                                         bool Idempotent) {
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

void World::resubmit(std::size_t Job, std::size_t E) {
  sendRequest(E, Jobs_[Job]);
}

void World::cancel(std::size_t Job, std::size_t E) {
  const JobId Id = Jobs_[Job].Id_;
  if (Machines_[E]->Node_)
    post(E, Duration(0), [this, E, Id] {
      if (EntryNode *Process = entry(E))
        Process->cancel(Id);
    });
}

void World::answer(const std::string &, RequestId Request,
                   const JobAnswer &Answer) {
  if (Open_.erase(Request) != 0)
    Oracle_.onAnswer(Request, Answer, Line_.now());
}

void World::settle() {
  Network_.heal();
  Network_.disturb(0, 0, Duration(0));
  for (std::size_t I = 0; I < Machines_.size(); ++I) {
    wake(I);
    failAll(I, false);
    if (!Machines_[I]->Node_)
      start(I);
  }
  const Time Deadline = Line_.now() + SettleLimit;
  while (Line_.now() < Deadline && !Open_.empty() && !Oracle_.violation())
    run(std::chrono::seconds(1));
  std::set<RequestId> Unanswered;
  for (const auto &[Id, R] : Open_)
    Unanswered.insert(Id);
  Oracle_.expectAnswered(Unanswered);
}

} // namespace chivelanding::fuzz
