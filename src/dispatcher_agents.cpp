#include "dispatcher.h"

#include "cold_start.h"
#include "durations.h"

#include <algorithm>

// Handles messages from agents, the loss of agents and expiry of times.
namespace chivelanding {
namespace {

// Allowance for the granularity of timers at both ends.
constexpr Duration ExpirySlack = std::chrono::milliseconds(30);
// An agent in use whose last report is older than this is suspected: it has
// missed two report periods.
constexpr Duration ReportMaxAge = std::chrono::milliseconds(600);
// Limit on the moves of one task off slow endpoints, and the factor by which
// the remaining time must exceed the cost of a move.
constexpr std::uint32_t MaxMoves = 2;
constexpr double MinMoveGain = 1.3;
// Fixed cost of a move in addition to the stop: two messages and a start.
constexpr Duration MoveCost = std::chrono::milliseconds(20);
// Runs of one task after which its job is abandoned, whatever their endings;
// bounds the runs that end without success and without a failure of the task.
constexpr std::uint32_t MaxAttempts = 24;
// A job with waiting tasks is abandoned when less than this share of the run
// time of a task is left before its deadline.
constexpr double MinRunShareLeft = 0.5;
// Period of checks for lost reports, subset changes, outliers and expired runs.
constexpr Duration AgentCheckPeriod = std::chrono::milliseconds(100);
// Weight of one run in the learned run-time ratio of a route.
constexpr double LengthWeight = 0.02;
// Largest ratio that a report may contain, in thousandths.
constexpr std::uint32_t MaxPermille = 1'000'000'000;

} // namespace

void Dispatcher::onAgentUp(const PeerId &Agent, Time Now) {
  Agents_.onUp(Agent, Now);
}

// An agent in use becomes reachable again only with its next report, which is
// due shortly.
void Dispatcher::onAgentSuspected(const PeerId &Agent, bool Suspected, Time) {
  AgentView *A = Agents_.find(Agent);
  if (A && (Suspected || A->Standby_))
    A->Suspected_ = Suspected;
}

// Returns the time at which no run that this entry dispatched is left at the
// agent: the owner lease has expired by then, and after it the endpoint lease,
// in case the agent cannot stop the runs itself.
Time Dispatcher::leasesExpireAt(const AgentView &A) const {
  return A.OwnerLeaseFrom_ +
         scaled(Limits_.Leases_.Owner_ + Limits_.Leases_.Endpoint_,
                1 / MinEndpointClockRate) +
         Limits_.Leases_.StopTime_ + ExpirySlack;
}

void Dispatcher::onAgentLost(const PeerId &Agent, Time Now) {
  const AgentView *A = Agents_.find(Agent);
  if (!A)
    return;
  const Time LeasesExpireAt = leasesExpireAt(*A);
  std::size_t Count = 0;
  for (auto &[Number, J] : Jobs_)
    for (Task &T : J.Tasks_)
      if ((T.State_ == State::Dispatched || T.State_ == State::Stopping) &&
          T.Agent_ == Agent) {
        T.LeasesExpireAt_ = LeasesExpireAt;
        ++Count;
      }
  log(events::AgentRunsUnknown,
      {{"agent", Agent.str()},
       {"runs", std::to_string(Count)},
       {"lapsed_in_ms",
        millisecondsText(std::max(Duration(0), LeasesExpireAt - Now))}});
  Agents_.remove(Agent);
}

void Dispatcher::onMessage(const PeerId &From, const Message &M, Time Now) {
  if (const auto *Report = std::get_if<EndpointReport>(&M))
    onReport(From, *Report, Now);
  else if (const auto *Ended = std::get_if<RunsEnded>(&M))
    for (const EndedRun &E : Ended->Runs_)
      onRunEnded(From, E, Now);
  else if (const auto *Slow = std::get_if<SlowRuns>(&M))
    for (const SlowRun &S : Slow->Runs_)
      onSlowRun(From, S, Now);
  else if (const auto *Crash = std::get_if<EndpointCrashed>(&M))
    onCrash(From, *Crash, Now);
  else if (const auto *Alive = std::get_if<EndpointAlive>(&M))
    onCrashWithdrawn(From, *Alive, Now);
  refuseCordonedJobs(Now);
  placeWaiting(Now);
}

// A usable report from a later incarnation of the same agent proves that no run
// of the former incarnation is left. So does a report that is unusable only
// because of a cordon.
void Dispatcher::onReport(const PeerId &From, const EndpointReport &R,
                          Time Now) {
  AgentView *A = Agents_.find(From);
  if (!A)
    return;
  if (R.OfferedPermille_ > WholeSharePermille ||
      R.SlownessPermille_ > MaxPermille || R.FailedPermille_ > MaxPermille) {
    log(events::ItemsSkipped, {{"source", From.str()},
                               {"items", "1"},
                               {"first", "report with a share out of range"}});
    return;
  }
  const auto HasNoEarlierRuns = [](const EndpointReport &Report) {
    return Report.Usable_ || Report.CordonOnly_;
  };
  const bool BecameUsable =
      HasNoEarlierRuns(R) && !HasNoEarlierRuns(A->Report_);
  Agents_.onReport(*A, R, Now);
  A->Suspected_ = false;
  if (!BecameUsable)
    return;
  for (auto &[Number, J] : Jobs_)
    for (Task &T : J.Tasks_)
      if (T.LeasesExpireAt_ && T.Agent_.Name_ == From.Name_ &&
          !(T.Agent_ == From))
        T.LeasesExpireAt_ = Now;
}

Dispatcher::Job *Dispatcher::findRun(const PeerId &From, const RunRef &Ref,
                                     Task *&T) {
  const auto Known = ByKey_.find(Ref.Job_);
  if (Known == ByKey_.end())
    return nullptr;
  Job &J = Jobs_.at(Known->second);
  if (Ref.Submission_ != J.Number_.value() ||
      Ref.Index_.value() >= J.Tasks_.size())
    return nullptr;
  T = &J.Tasks_[Ref.Index_.value()];
  const bool Active =
      T->State_ == State::Dispatched || T->State_ == State::Stopping;
  return Active && T->Attempt_ == Ref.Attempt_ && T->Agent_ == From ? &J
                                                                    : nullptr;
}

void Dispatcher::onRunEnded(const PeerId &From, const EndedRun &E, Time Now) {
  Task *T = nullptr;
  if (Job *J = findRun(From, E.Run_, T))
    handleRunEnd(*J, *T, E, Now);
}

void Dispatcher::handleRunEnd(Job &J, Task &T, const EndedRun &E, Time Now) {
  releaseRun(T, J);
  const AgentView *A = Agents_.find(T.Agent_);
  if (E.Ending_ != RunEnding::Lost && !neverStarted(E.Ending_) &&
      !(A && A->Cordoned_))
    recordReleasedCpu(A ? A->Report_.Zone_ : ZoneName(), J.Spec_.Need_.Cpu_,
                      Now);
  T.LeasesExpireAt_.reset();
  J.MayHaveRun_ = J.MayHaveRun_ || !neverStarted(E.Ending_);
  if (E.Ending_ == RunEnding::Done) {
    T.State_ = State::Done;
    clearSuspect(J, E.Run_.Index_, Now);
    if (J.Spec_.Estimate_ > Duration(0)) {
      double &Factor =
          LengthFactor_.try_emplace(J.Spec_.Route_.Name_, 1.0).first->second;
      const double LengthRatio = static_cast<double>(E.Length_.count()) /
                                 static_cast<double>(J.Spec_.Estimate_.count());
      Factor += LengthWeight * (std::clamp(LengthRatio, 0.0, 4.0) - Factor);
    }
    if (++J.DoneTasks_ == J.Tasks_.size())
      answer(J, JobEnding::Completed, "completed", {}, Now);
    return;
  }
  T.State_ = State::Waiting;
  T.FailedAt_ = Now;
  ++J.WaitingTasks_;
  T.Failures_ += E.Ending_ == RunEnding::Failed ? 1 : 0;
  if (E.Ending_ != RunEnding::NoRoom)
    T.AvoidedAgent_ = T.Agent_.Name_;
  log(events::TaskRerun, {{"job", J.Spec_.Key_.str()},
                          {"task", std::to_string(E.Run_.Index_.value())},
                          {"attempt", std::to_string(T.Attempt_)},
                          {"agent", T.Agent_.str()},
                          {"ending", runEndingName(E.Ending_)},
                          {"failures", std::to_string(T.Failures_)},
                          {"age_ms", millisecondsText(Now - J.Received_)}});
  if (T.Failures_ >= J.Spec_.Route_.Attempts_) {
    answer(J, JobEnding::Failed, "attempts_used", {}, Now);
    return;
  }
  enqueue(J);
  if (T.Attempt_ >= MaxAttempts) {
    answer(J, JobEnding::Unknown, "too_many_runs", {}, Now);
    return;
  }
  abandonIfDeadlineUnreachable(J, Now);
}

// Abandons a job that has a waiting task which cannot end before the deadline:
// the results of the other tasks are of no use then.
void Dispatcher::abandonIfDeadlineUnreachable(Job &J, Time Now) {
  if (J.WaitingTasks_ == 0 ||
      Now + scaled(J.Estimate_, MinRunShareLeft) <= J.Deadline_)
    return;
  abandon(J.Number_, "deadline_unreachable", Now);
}

// Moves a slow run to another endpoint. A move costs the stop and a whole run
// elsewhere, so the run's remaining time must be at least MinMoveGain times
// that, and the new run must end before the deadline. Runs at a cordoned
// endpoint run to completion.
void Dispatcher::onSlowRun(const PeerId &From, const SlowRun &S, Time Now) {
  Task *T = nullptr;
  Job *J = findRun(From, S.Run_, T);
  if (!J || T->State_ != State::Dispatched || T->Moves_ >= MaxMoves ||
      isConfined(*J) || Agents_.all().at(From).Cordoned_)
    return;
  const Duration MovedLength =
      J->Estimate_ + Limits_.Leases_.StopTime_ + MoveCost;
  if (S.Remaining_ < scaled(MovedLength, MinMoveGain) ||
      Now + MovedLength > J->Deadline_)
    return;
  const AgentPool::Totals Totals =
      Agents_.totals(J->Spec_.Route_.Service_, J->Spec_.Need_);
  if (Totals.FreeSlots_ == 0 || Totals.UsableEndpoints_ < 2)
    return;
  log(events::TaskMoved, {{"job", J->Spec_.Key_.str()},
                          {"task", std::to_string(S.Run_.Index_.value())},
                          {"agent", From.str()},
                          {"remaining_ms", millisecondsText(S.Remaining_)},
                          {"elsewhere_ms", millisecondsText(MovedLength)}});
  T->State_ = State::Stopping;
  T->AvoidedAgent_ = From.Name_;
  ++T->Moves_;
  Out_.push_back(MessageToAgent{From, StopRuns{{S.Run_}}});
}

void Dispatcher::renewOwnerLeases(Time Now) {
  for (auto &[Peer, A] : Agents_.all()) {
    if (A.OutstandingRuns_ == 0 || A.Report_.AgentClock_ <= A.RenewedClock_ ||
        A.OwnerLeaseFrom_ + Limits_.RenewalAge_ > Now)
      continue;
    A.RenewedClock_ = A.Report_.AgentClock_;
    A.OwnerLeaseFrom_ = A.ReportedAt_;
    Out_.push_back(MessageToAgent{Peer, HoldRuns{A.RenewedClock_}});
  }
}

// Reruns the tasks whose run cannot be left: their agent is lost, or has not
// received a renewal from this entry, for the length of both leases.
void Dispatcher::rerunExpired(JobNumber Number, Time Now) {
  Job &J = Jobs_.at(Number);
  for (std::size_t I = 0; I < J.Tasks_.size(); ++I) {
    Task &T = J.Tasks_[I];
    if (T.State_ != State::Dispatched && T.State_ != State::Stopping)
      continue;
    const AgentView *A = Agents_.find(T.Agent_);
    if (!T.LeasesExpireAt_ && !A)
      continue;
    if ((T.LeasesExpireAt_ ? *T.LeasesExpireAt_ : leasesExpireAt(*A)) > Now)
      continue;
    const RunRef Ref{J.Spec_.Key_, TaskIndex(static_cast<std::uint32_t>(I)),
                     T.Attempt_, Number.value()};
    handleRunEnd(J, T, {Ref, RunEnding::Lost, Duration(0)}, Now);
    if (Jobs_.count(Number) == 0)
      return;
  }
}

void Dispatcher::updateSubset(Time Now) {
  const auto Changes = Subset_.update(Agents_.all(), Now);
  if (Changes.empty())
    return;
  std::size_t Taken = 0;
  for (const AgentSubset::Change &C : Changes) {
    AgentPool::setStandby(*Agents_.find(C.Agent_), C.Standby_, Now);
    Taken += C.Standby_ ? 0 : 1;
    Out_.push_back(MessageToAgent{C.Agent_, SetStandby{C.Standby_}});
  }
  const auto InUse =
      std::count_if(Agents_.all().begin(), Agents_.all().end(),
                    [](const auto &Item) { return !Item.second.Standby_; });
  log(events::SubsetChanged,
      {{"agents", std::to_string(Agents_.all().size())},
       {"in_use", std::to_string(InUse)},
       {"taken", std::to_string(Taken)},
       {"left", std::to_string(Changes.size() - Taken)}});
}

void Dispatcher::checkAgents(Time Now) {
  for (auto &[Peer, A] : Agents_.all())
    if (!A.Standby_ &&
        std::max(A.ReportedAt_, A.InUseSince_) + ReportMaxAge < Now)
      A.Suspected_ = true;
  updateNeededCpu(Now);
  Crashes_.onTimer(Now);
  applyConfinements(Now);
  if (!ConfinedRoutes_.empty())
    reserveAgents(Now);
  updateSubset(Now);
  for (const AgentView *A : Agents_.updateEjections())
    log(A->Ejected_ ? events::EndpointEjected : events::EndpointReinstated,
        {{"agent", A->Peer_.str()},
         {"slowness_permille", std::to_string(A->Report_.SlownessPermille_)},
         {"failed_permille", std::to_string(A->Report_.FailedPermille_)},
         {"report_age_ms", millisecondsText(Now - A->ReportedAt_)}});
}

void Dispatcher::checkDeadlines(JobNumber Number, Time Now) {
  Job &J = Jobs_.at(Number);
  const bool NeverRan = !J.MayHaveRun_ && J.OutstandingRuns_ == 0;
  if (J.Deadline_ <= Now)
    abandon(Number, "deadline", Now);
  else if (J.StartDeadline_ <= Now && NeverRan)
    refuse(J, "no_room_in_time", Now);
  else
    abandonIfDeadlineUnreachable(J, Now);
}

void Dispatcher::onTimer(Time Now) {
  if (!StartedAt_)
    StartedAt_ = Now;
  renewOwnerLeases(Now);
  const bool CheckDue = LastAgentCheck_ + AgentCheckPeriod <= Now;
  if (CheckDue) {
    LastAgentCheck_ = Now;
    checkAgents(Now);
  }
  std::vector<JobNumber> Numbers;
  Numbers.reserve(Jobs_.size());
  for (const auto &[Number, J] : Jobs_)
    Numbers.push_back(Number);
  for (const JobNumber Number : Numbers) {
    if (CheckDue)
      rerunExpired(Number, Now);
    if (Jobs_.count(Number) > 0)
      checkDeadlines(Number, Now);
  }
  if (CheckDue)
    refuseCordonedJobs(Now);
  placeWaiting(Now);
}

} // namespace chivelanding
