#include "run_simulation.h"

#include <algorithm>
#include <iterator>

// Links of the simulation, incarnations of the endpoints, and the faults.
namespace chivelanding::test {
namespace {

using std::chrono::milliseconds;

constexpr Duration LinkTick = milliseconds(50);
// Times without messages on a link after which a peer is suspected and lost, as
// in the settings of the real processes.
constexpr Duration SuspectAfter = milliseconds(700);
constexpr Duration LostAfter = milliseconds(2500);
// Time after a freeze in which an entry places no runs.
constexpr Duration CallerCheckDelay = milliseconds(20);
// Time for which endpoints leave calls unanswered.
constexpr Duration UnansweredPeriod = std::chrono::seconds(5);
const Resources Capacity{8000, 8000, 0};
// Ends that an endpoint lists in one answer. With the few, most answers lack
// some of them.
constexpr std::size_t FewEnds = 2;
constexpr std::size_t ManyEnds = 500;

} // namespace

void RunSimulation::startEndpoint(std::size_t A) {
  Agent &X = Agents_[A];
  SimulatedEndpoint::Observer O;
  O.OnStarted_ = [this, A](const TaskKey &K) {
    if (K.Job_.str() == Options_.Trace_)
      traceLine("endpoint " + std::to_string(A) + " starts task " +
                std::to_string(K.Index_.value()));
    Job &J = Jobs_[ByKey_.at(K.Job_)];
    J.EverRan_ = true;
    if (J.Refused_)
      fail("a task of a refused job starts: " + K.Job_.str());
    if (++Running_[K] > 1)
      fail("two runs of one task at a time: " + K.Job_.str() + "/" +
           std::to_string(K.Index_.value()));
  };
  O.OnEnded_ = [this, A](const TaskKey &K, RunEnding Ending) {
    if (K.Job_.str() == Options_.Trace_)
      traceLine("endpoint " + std::to_string(A) + " ends task " +
                std::to_string(K.Index_.value()) + " " + runEndingName(Ending));
    --Running_[K];
    if (Ending == RunEnding::Done)
      Jobs_[ByKey_.at(K.Job_)].Done_.insert(K.Index_.value());
  };
  O.DrawOutcome_ = [this](const TaskKey &K) {
    const Duration Declared = Jobs_[ByKey_.at(K.Job_)].Spec_.Estimate_;
    const double Factor = Now_ < FaultsEnd_ && chance(0.05) ? 4 : 1;
    return std::make_pair(scaled(Declared, Factor),
                          Now_ < FaultsEnd_ && chance(0.03) ? RunEnding::Failed
                                                            : RunEnding::Done);
  };
  const std::string Id = X.Endpoint_.id().empty() || chance(0.5)
                             ? "endpoint-" + std::to_string(A) + "-" +
                                   std::to_string(NextIncarnation_++)
                             : X.Endpoint_.id();
  const auto StartedMs =
      static_cast<std::uint64_t>(Now_.time_since_epoch().count() / 1000);
  // The endpoint's clock may be 2 % slow.
  const double Rate = 1 - 0.02 * static_cast<double>(Random_() % 100) / 100;
  X.Endpoint_.startIncarnation(Id, StartedMs, Rate, Capacity, std::move(O),
                               Now_);
  X.Endpoint_.setEndsPerAnswer(Options_.Seed_ % 3 == 0 ? FewEnds : ManyEnds);
}

void RunSimulation::send(std::size_t E, std::size_t A, int Direction,
                         Message M) {
  Link &L = Links_[{E, A}];
  if (!(Direction == 0 ? L.UpAtEntry_ : L.UpAtAgent_))
    return;
  L.Queue_[Direction].emplace_back(L.Session_, std::move(M));
  Time &Last = L.LastDelivery_[Direction];
  Last = std::max(Last, Now_ + drawDuration(0, 3));
  at(Last, [this, E, A, Direction] { deliver(E, A, Direction); });
}

// Messages arrive in order, and only within the session in which they were
// sent.
void RunSimulation::deliver(std::size_t E, std::size_t A, int Direction) {
  Link &L = Links_[{E, A}];
  if (L.Queue_[Direction].empty())
    return;
  Entry &X = Entries_[E];
  Agent &Y = Agents_[A];
  const Time Free = std::max(L.BlockedUntil_[Direction],
                             Direction == 0 ? Y.FrozenUntil_ : X.FrozenUntil_);
  if (Free > Now_) {
    at(Free, [this, E, A, Direction] { deliver(E, A, Direction); });
    return;
  }
  const auto [Session, M] = std::move(L.Queue_[Direction].front());
  L.Queue_[Direction].pop_front();
  if (Session != L.Session_ || !(Direction == 0 ? L.UpAtAgent_ : L.UpAtEntry_))
    return;
  if (Direction == 0 && Y.Alive_ && Options_.AgentsIgnoreCordons_ &&
      std::holds_alternative<ZoneCordons>(M))
    return;
  if (Direction == 0 && Y.Alive_) {
    if (const auto *Start = std::get_if<StartRuns>(&M))
      if (Start->Job_.str() == Options_.Trace_)
        traceLine("agent-" + std::to_string(A) +
                  " receives StartRuns, clock age " +
                  std::to_string(
                      (Now_ + Y.Offset_).time_since_epoch().count() / 1000 -
                      static_cast<std::int64_t>(Start->AgentClock_) / 1000));
    applyAgentOutputs(
        A, Y.Supervisor_->onMessage(L.EntryPeer_, M, Now_ + Y.Offset_));
  } else if (Direction == 1 && X.Alive_) {
    X.Dispatcher_->onMessage(L.AgentPeer_, M, Now_ + X.Offset_);
    applyEntryOutputs(E);
    if (const auto *Report = std::get_if<EndpointReport>(&M)) {
      X.Cordons_.onReport(L.AgentPeer_, *Report, Now_ + X.Offset_);
      applyCordons(E);
    }
  }
}

void RunSimulation::disconnectEntry(std::size_t E, std::size_t A) {
  Link &L = Links_[{E, A}];
  if (!L.UpAtEntry_)
    return;
  L.UpAtEntry_ = false;
  if (Entries_[E].Alive_) {
    Entries_[E].Cordons_.onPeerLost(L.AgentPeer_);
    Entries_[E].Dispatcher_->onAgentLost(L.AgentPeer_,
                                         Now_ + Entries_[E].Offset_);
    applyEntryOutputs(E);
  }
}

void RunSimulation::disconnectAgent(std::size_t E, std::size_t A) {
  Link &L = Links_[{E, A}];
  if (!L.UpAtAgent_)
    return;
  L.UpAtAgent_ = false;
  Agent &Y = Agents_[A];
  if (Y.Alive_)
    applyAgentOutputs(
        A, Y.Supervisor_->onEntryLost(L.EntryPeer_, Now_ + Y.Offset_));
}

// Starts a new session at both ends. An end that still is in the previous
// session is disconnected from that first.
void RunSimulation::connect(std::size_t E, std::size_t A) {
  Link &L = Links_[{E, A}];
  L.Connecting_ = false;
  Entry &X = Entries_[E];
  Agent &Y = Agents_[A];
  if (!X.Alive_ || !Y.Alive_ || X.FrozenUntil_ > Now_ ||
      Y.FrozenUntil_ > Now_ || L.BlockedUntil_[0] > Now_ ||
      L.BlockedUntil_[1] > Now_)
    return;
  disconnectEntry(E, A);
  disconnectAgent(E, A);
  ++L.Session_;
  for (auto &Queue : L.Queue_)
    Queue.clear();
  L.AgentPeer_ = {Role::Agent, "agent-" + std::to_string(A),
                  Incarnation(Y.Incarnation_)};
  L.EntryPeer_ = {"entry-" + std::to_string(E), Incarnation(X.Incarnation_)};
  L.UpAtEntry_ = L.UpAtAgent_ = true;
  L.Suspected_ = false;
  for (Time &Since : L.LastReachable_)
    Since = Now_;
  X.Cordons_.onPeerUp(L.AgentPeer_, Now_ + X.Offset_);
  applyCordons(E);
  X.Dispatcher_->onAgentUp(L.AgentPeer_, Now_ + X.Offset_);
  applyEntryOutputs(E);
  applyAgentOutputs(A,
                    Y.Supervisor_->onEntryUp(L.EntryPeer_, Now_ + Y.Offset_));
}

void RunSimulation::checkLink(std::size_t E, std::size_t A) {
  at(Now_ + LinkTick, [this, E, A] { checkLink(E, A); });
  Link &L = Links_[{E, A}];
  Entry &X = Entries_[E];
  Agent &Y = Agents_[A];
  const bool SameEntry =
      X.Alive_ && L.EntryPeer_.Incarnation_ == Incarnation(X.Incarnation_);
  const bool SameAgent =
      Y.Alive_ && L.AgentPeer_.Incarnation_ == Incarnation(Y.Incarnation_);
  // A sender reaches the receiver of a direction if it is alive, is not frozen,
  // is in the session, and the direction is not blocked.
  const bool ReachesAgent = SameEntry && X.FrozenUntil_ <= Now_ &&
                            L.BlockedUntil_[0] <= Now_ && L.UpAtEntry_;
  const bool ReachesEntry = SameAgent && Y.FrozenUntil_ <= Now_ &&
                            L.BlockedUntil_[1] <= Now_ && L.UpAtAgent_;
  // While a process is frozen, its peers do not count as unreachable.
  if (ReachesAgent || Y.FrozenUntil_ > Now_)
    L.LastReachable_[0] = Now_;
  if (ReachesEntry || X.FrozenUntil_ > Now_)
    L.LastReachable_[1] = Now_;
  if (L.UpAtEntry_ && SameEntry) {
    const bool Unreachable = L.LastReachable_[1] + SuspectAfter <= Now_;
    if (Unreachable != L.Suspected_) {
      L.Suspected_ = Unreachable;
      X.Dispatcher_->onAgentSuspected(L.AgentPeer_, Unreachable,
                                      Now_ + X.Offset_);
    }
    if (L.LastReachable_[1] + LostAfter <= Now_)
      disconnectEntry(E, A);
  }
  if (L.UpAtAgent_ && SameAgent && L.LastReachable_[0] + LostAfter <= Now_)
    disconnectAgent(E, A);
  const bool Connected = L.UpAtEntry_ && L.UpAtAgent_ && SameEntry && SameAgent;
  trackCordonKnowledge(E, A, Connected && ReachesAgent && ReachesEntry);
  if (!Connected && !L.Connecting_) {
    L.Connecting_ = true;
    at(Now_ + drawDuration(50, 250), [this, E, A] { connect(E, A); });
  }
}

// The entry notices what DispatchEntry does after a pause, before any message
// that waits for it: runs are held until the callers have been checked.
void RunSimulation::leaveFrozenEntry(std::size_t E, Duration Freeze) {
  Entry &X = Entries_[E];
  std::vector<JobNumber> Left;
  for (auto It = X.Waiting_.begin(); It != X.Waiting_.end();) {
    if (!chance(0.5)) {
      ++It;
      continue;
    }
    const Time LeavesAt = Now_ + drawDuration(0, Freeze.count() / 1000);
    at(LeavesAt + Options_.CallerRetry_,
       [this, J = It->second.Job_] { resubmit(J); });
    releaseHeldRuns(It->second.Job_);
    Left.push_back(It->first);
    It = X.Waiting_.erase(It);
  }
  const auto Cancel = [this, E, Left] {
    Entry &Y = Entries_[E];
    for (const JobNumber Number : Left)
      Y.Dispatcher_->cancel(Number, "caller_gone", Now_ + Y.Offset_);
    applyEntryOutputs(E);
  };
  runAtProcess(X, X.FrozenUntil_, [this, E, Cancel] {
    Entry &Y = Entries_[E];
    if (!Options_.LeavingNoticedLate_) {
      Y.Dispatcher_->holdPlacement();
      Cancel();
    }
    runAtProcess(Y, Now_ + CallerCheckDelay, [this, E, Cancel] {
      Cancel();
      Entries_[E].Dispatcher_->releasePlacement(Now_ + Entries_[E].Offset_);
      applyEntryOutputs(E);
    });
  });
}

// Injects one fault after the other, most of them before the previous one is
// over.
void RunSimulation::injectFault() {
  if (Now_ >= FaultsEnd_ - milliseconds(2000))
    return;
  ++Faults_;
  const std::size_t E = Random_() % Entries_.size();
  const std::size_t A = Random_() % Agents_.size();
  const auto Kind = Random_() % (Options_.UnansweredCalls_ ? 7 : 6);
  static constexpr const char *Names[] = {
      "entry killed", "agent killed",     "agent frozen",    "entry frozen",
      "link cut",     "endpoint crashed", "calls unanswered"};
  traceLine(std::string(Names[Kind]) + ", entry " + std::to_string(E) +
            " agent " + std::to_string(A));
  switch (Kind) {
  case 0:
    if (Entries_[E].Alive_) {
      killEntry(E);
      at(Now_ + drawDuration(300, 3000), [this, E] { startEntry(E); });
    }
    break;
  case 1:
    if (Agents_[A].Alive_) {
      Agents_[A].Alive_ = false;
      Agents_[A].Supervisor_.reset();
      at(Now_ + drawDuration(200, 3000), [this, A] { startAgent(A); });
    }
    break;
  case 2:
    if (Agents_[A].Alive_)
      Agents_[A].FrozenUntil_ = Now_ + drawDuration(100, 2500);
    break;
  case 3:
    if (Entries_[E].Alive_) {
      const bool WasFrozen = Entries_[E].FrozenUntil_ > Now_;
      const Duration Freeze = drawDuration(100, 2500);
      Entries_[E].FrozenUntil_ = Now_ + Freeze;
      if (Options_.CallersLeave_ && !WasFrozen)
        leaveFrozenEntry(E, Freeze);
    }
    break;
  case 4: {
    Link &L = Links_[{E, A}];
    const Time Until = Now_ + drawDuration(50, 4000);
    const auto Which = Random_() % 3;
    if (Which != 1)
      L.BlockedUntil_[0] = Until;
    if (Which != 2)
      L.BlockedUntil_[1] = Until;
    break;
  }
  case 5:
    if (Agents_[A].Endpoint_.alive()) {
      Agents_[A].Endpoint_.crash(Now_);
      at(Now_ + drawDuration(100, 2500), [this, A] { startEndpoint(A); });
    }
    break;
  case 6:
    for (Agent &X : Agents_)
      X.CallsUnansweredUntil_ = Now_ + UnansweredPeriod;
    break;
  }
  at(Now_ + drawDuration(20, 600), [this] { injectFault(); });
}

} // namespace chivelanding::test
