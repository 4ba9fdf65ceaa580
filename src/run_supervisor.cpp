#include "run_supervisor.h"

#include "durations.h"

#include <algorithm>

namespace chivelanding {
namespace {

// A change of the free processor by more than one part in this many of the
// capacity is reported before the next period; smaller ones matter little to a
// choice among several endpoints. The first slot that becomes free is reported
// early as well, since jobs may wait for it.
constexpr std::uint32_t LargeChangeDivisor = 4;

// Longest estimate that is believed; estimates are seconds.
constexpr Duration MaxEstimate = std::chrono::hours(24);

// A value that this process never had is far in the future, however large.
Time clockTime(std::uint64_t Clock) {
  constexpr std::uint64_t Latest = std::uint64_t(1) << 62;
  return Time(Duration(static_cast<std::int64_t>(std::min(Clock, Latest))));
}

std::uint64_t microseconds(Time T) {
  return static_cast<std::uint64_t>(T.time_since_epoch().count());
}

} // namespace

RunSupervisor::RunSupervisor(RunSupervisorLimits Limits, std::uint64_t Token)
    : Limits_(Limits), Token_(Token), WasClosed_(Limits.NeedsCordons_) {}

void RunSupervisor::log(const EventType &Type, std::vector<EventField> Fields) {
  Out_.push_back(LogEvent{{&Type, std::move(Fields)}});
}

void RunSupervisor::markReportsDue() {
  for (auto &[Id, O] : Owners_)
    O.ReportDue_ = true;
}

void RunSupervisor::markReportsDueIfFreeChanged() {
  if (!Endpoint_)
    return;
  const std::uint32_t Free = freeResources().Cpu_;
  const std::uint32_t Large = Endpoint_->Capacity_.Cpu_ / LargeChangeDivisor;
  for (auto &[Id, O] : Owners_)
    if (O.Standby_)
      continue;
    else if (Free > O.ReportedCpu_ + Large || Free + Large < O.ReportedCpu_ ||
             (O.ReportedCpu_ < LastNeedCpu_ && LastNeedCpu_ <= Free))
      O.ReportDue_ = true;
}

RunSupervisorOutputs
RunSupervisor::onAnnounced(const EndpointIncarnation &Endpoint, Time Now) {
  const bool Same = Endpoint_ && Endpoint_->Id_ == Endpoint.Id_ &&
                    Endpoint_->StartedMs_ == Endpoint.StartedMs_;
  // Ignores an announcement of an earlier incarnation that arrives late, and
  // one that a later announcement has overtaken.
  if (Endpoint_ && !Same && Endpoint.StartedMs_ <= Endpoint_->StartedMs_ &&
      (Endpoint.StartedMs_ != 0 || Endpoint_->StartedMs_ != 0))
    return takeOutputs(Now);
  if (Same && Endpoint.Sequence_ <= Endpoint_->Sequence_)
    return takeOutputs(Now);
  if (!Same)
    beginIncarnation(Endpoint, Now);
  const bool Changed = !Same || Endpoint_->Leaving_ != Endpoint.Leaving_ ||
                       !(Endpoint_->Capacity_ == Endpoint.Capacity_);
  if (Same && Endpoint.Leaving_ && !Endpoint_->Leaving_)
    log(events::EndpointLeaving,
        {{"endpoint", Endpoint.Id_}, {"runs", std::to_string(Runs_.size())}});
  Restored_ = false;
  Endpoint_ = Endpoint;
  if (!ClockConfirmed_)
    syncClock(Endpoint.ClockMs_, Now);
  Cold_.onAnnounced(Endpoint.ColdRemaining_, Now);
  updateOffered(Now);
  updateCordoned();
  if (Changed)
    markReportsDue();
  return takeOutputs(Now);
}

RunSupervisorOutputs
RunSupervisor::onRestored(const EndpointIncarnation &Endpoint, Time Now) {
  if (!Endpoint_) {
    EndpointIncarnation Restored = Endpoint;
    Restored.Sequence_ = 0;
    Restored.ClockMs_ = 0;
    beginIncarnation(Restored, Now);
    Restored_ = true;
  }
  return takeOutputs(Now);
}

// A new incarnation has none of the runs of the previous one. If it has the
// same id, start calls that were never answered can still reach it; their runs
// stay until the new incarnation has confirmed a stop of them.
void RunSupervisor::beginIncarnation(const EndpointIncarnation &Endpoint,
                                     Time Now) {
  const bool SameId = Endpoint_ && Endpoint_->Id_ == Endpoint.Id_;
  log(events::EndpointIncarnationStarted,
      {{"endpoint", Endpoint.Id_},
       {"born", std::to_string(Endpoint.StartedMs_)},
       {"service", Endpoint.Service_.str()},
       {"rack", Endpoint.Rack_.str()},
       {"cpu", std::to_string(Endpoint.Capacity_.Cpu_)},
       {"former", Endpoint_ ? Endpoint_->Id_ : ""},
       {"runs", std::to_string(Runs_.size())}});
  // The new incarnation has seen no fencing token and would accept a late start
  // from before. The first call with a higher token makes it refuse those.
  Token_ += SameId ? 1 : 0;
  if (Endpoint_)
    reportCrash("new_incarnation", Now);
  CrashReported_ = false;
  ClockMs_ = 0;
  // The new incarnation may have accepted a start already, which gave it a
  // lease of at most this length.
  LastLeaseEndMs_ =
      SameId ? Endpoint.ClockMs_ + static_cast<std::uint64_t>(
                                       Limits_.Leases_.MaxEndpoint_.count()) /
                                       1000
             : 0;
  Acknowledged_ = 0;
  ClockConfirmed_ = false;
  Orphans_.clear();
  Endpoint_ = Endpoint;
  Cold_ = ColdStart();
  OfferedPermille_ = WholeSharePermille;
  updateCordoned();
  ClockAt_ = Now;
  syncClock(Endpoint.ClockMs_, Now);
  for (auto It = Runs_.begin(); It != Runs_.end();) {
    Run &R = It->second;
    if (!SameId || (R.Listed_ && !startOutcomeUnknown(R))) {
      It = finishRun(It, RunEnding::Lost, Now);
      continue;
    }
    // A start that was accepted but never listed may belong to the new
    // incarnation. The first poll shows whether it does.
    const bool OutcomeKnown = !startOutcomeUnknown(R);
    R.Listed_ = false;
    if (OutcomeKnown) {
      ++It;
      continue;
    }
    R.StartUnanswered_ = true;
    R.StopAccepted_.reset();
    R.StopSent_ = Time();
    stopRun(It->first, R, "new_life", Now);
    ++It;
  }
  NoOrphans_ = false;
  HasUnlistedRuns_ = false;
  NextPoll_ = Now;
}

RunSupervisorOutputs RunSupervisor::onWithdrawn(const std::string &Id,
                                                Time Now) {
  if (Endpoint_ && Endpoint_->Id_ == Id && !Endpoint_->Leaving_) {
    Endpoint_->Leaving_ = true;
    log(events::EndpointLeaving,
        {{"endpoint", Id}, {"runs", std::to_string(Runs_.size())}});
    markReportsDue();
  }
  return takeOutputs(Now);
}

RunSupervisorOutputs RunSupervisor::onEntryUp(const EntryId &Entry, Time Now) {
  Owner &O = Owners_[Entry];
  O.LeaseEnd_ = Now + Limits_.Leases_.Owner_;
  O.ReportDue_ = true;
  reportEarlierCrashes(Entry, Now);
  return takeOutputs(Now);
}

// A lost entry does not accept the ends of its runs from this process any more,
// so the runs are stopped.
RunSupervisorOutputs RunSupervisor::onEntryLost(const EntryId &Entry,
                                                Time Now) {
  const auto O = Owners_.find(Entry);
  if (O == Owners_.end())
    return takeOutputs(Now);
  for (auto &[Key, R] : Runs_)
    if (R.Owner_ == Entry)
      giveUpRun(Key, R, O->second.LeaseEnd_, "owner_lost", Now);
  Owners_.erase(O);
  return takeOutputs(Now);
}

RunSupervisorOutputs RunSupervisor::onMessage(const EntryId &From,
                                              const Message &M, Time Now) {
  const auto Known = Owners_.find(From);
  if (Known == Owners_.end())
    return takeOutputs(Now);
  Owner &O = Known->second;
  const auto Renew = [&](std::uint64_t AgentClock) {
    const Time Until = clockTime(AgentClock) + Limits_.Leases_.Owner_;
    // A clock value ahead of this process can only come from a faulty peer.
    if (Until <= Now + Limits_.Leases_.Owner_)
      O.LeaseEnd_ = std::max(O.LeaseEnd_, Until);
  };
  if (const auto *Start = std::get_if<StartRuns>(&M)) {
    Renew(Start->AgentClock_);
    O.SeenSequence_ = std::max(O.SeenSequence_, Start->Sequence_);
    startRuns(From, *Start, Now);
  } else if (const auto *Stop = std::get_if<StopRuns>(&M)) {
    for (const RunRef &Ref : Stop->Runs_) {
      const auto It = Runs_.find({Ref.Job_, Ref.Index_});
      if (It != Runs_.end() && It->second.Owner_ == From &&
          It->second.Attempt_ == Ref.Attempt_ &&
          It->second.Submission_ == Ref.Submission_)
        giveUpRun(It->first, It->second, O.LeaseEnd_, "owner_request", Now);
    }
  } else if (const auto *Renewal = std::get_if<HoldRuns>(&M)) {
    Renew(Renewal->AgentClock_);
  } else if (const auto *Standby = std::get_if<SetStandby>(&M)) {
    O.Standby_ = Standby->Standby_;
    O.ReportDue_ = !O.Standby_;
  } else if (const auto *Cordons = std::get_if<ZoneCordons>(&M)) {
    if (Cordons_.adopt(*Cordons))
      updateCordoned();
  }
  return takeOutputs(Now);
}

void RunSupervisor::refuseRun(const EntryId &To, RunRef Ref, RunEnding Ending,
                              const EventType &Event) {
  log(Event, {{"job", Ref.Job_.str()},
              {"task", std::to_string(Ref.Index_.value())},
              {"attempt", std::to_string(Ref.Attempt_)},
              {"entry", To.str()},
              {"reason", runEndingName(Ending)},
              {"free_cpu", std::to_string(freeResources().Cpu_)}});
  const auto It = Owners_.find(To);
  if (It == Owners_.end())
    return;
  It->second.Ended_.push_back({std::move(Ref), Ending, Duration(0)});
}

// Isolated runs are started all or none: those that are left over would wait
// for the others, since their entry uses one endpoint at a time for them.
void RunSupervisor::startRuns(const EntryId &From, const StartRuns &M,
                              Time Now) {
  updateOffered(Now);
  updateLeaseWithheld(Now);
  Resources Need;
  for (std::size_t I = 0; I < M.Runs_.size(); ++I)
    Need += M.Need_;
  if (M.Isolation_ != Isolation::Any && usable() &&
      !hasRoom(Need, M.Runs_.size())) {
    for (const RunStart &R : M.Runs_)
      refuseRun(From, {M.Job_, R.Index_, R.Attempt_, M.Submission_},
                RunEnding::NoRoom);
    return;
  }
  for (const RunStart &R : M.Runs_)
    startRun(From, M, R, Now);
}

void RunSupervisor::startRun(const EntryId &From, const StartRuns &M,
                             const RunStart &Start, Time Now) {
  const RunRef Ref{M.Job_, Start.Index_, Start.Attempt_, M.Submission_};
  const TaskKey Key{M.Job_, Start.Index_};
  const Time DispatchClock = clockTime(M.AgentClock_);
  const auto Known = Runs_.find(Key);
  if (Known != Runs_.end()) {
    // A run of the same task under another owner, attempt or submission must
    // end first.
    if (!(Known->second.Owner_ == From) ||
        Known->second.Attempt_ != Start.Attempt_ ||
        Known->second.Submission_ != M.Submission_) {
      giveUpRun(Key, Known->second, Now, "superseded", Now);
      refuseRun(From, Ref, RunEnding::Unavailable);
    }
    return;
  }
  // Refuses a start request that arrives after its owner lease has expired: the
  // entry may have counted the run as lost and started the task elsewhere. A
  // clock ahead of this process says nothing about that.
  if (DispatchClock + Limits_.Leases_.Owner_ < Now || DispatchClock > Now) {
    refuseRun(From, Ref, RunEnding::Expired);
    return;
  }
  const bool HasEstimate =
      M.Estimate_ >= Duration(0) && M.Estimate_ <= MaxEstimate;
  if (!usable() || !HasEstimate) {
    refuseRun(From, Ref, RunEnding::Unavailable,
              zoneClosed() ? events::RunRefusedByCordon : events::RunRefused);
    return;
  }
  if (!hasRoom(M.Need_, 1) || !mayShareEndpoint(M)) {
    refuseRun(From, Ref, RunEnding::NoRoom);
    return;
  }
  LastNeedCpu_ = M.Need_.Cpu_;
  Run R;
  R.Owner_ = From;
  R.Route_ = M.Route_;
  R.Isolation_ = M.Isolation_;
  R.Attempt_ = Start.Attempt_;
  R.Submission_ = M.Submission_;
  R.Number_ = Start.Attempt_;
  R.Need_ = M.Need_;
  R.Estimate_ = M.Estimate_;
  R.Payload_ = M.Payload_;
  R.Dispatched_ = Now;
  Held_ += R.Need_;
  IsolationChanged_ =
      IsolationChanged_ || (Runs_.empty() && R.Isolation_ != Isolation::Any);
  makeStart(Key, Runs_.emplace(Key, std::move(R)).first->second, Now);
  markReportsDueIfFreeChanged();
}

bool RunSupervisor::mayShareEndpoint(const StartRuns &M) const {
  return std::all_of(Runs_.begin(), Runs_.end(), [&M](const auto &Item) {
    const auto &[Key, R] = Item;
    if (Key.Job_ == M.Job_)
      return true;
    const Isolation Strictest = std::max(R.Isolation_, M.Isolation_);
    return Strictest == Isolation::Any ||
           (Strictest == Isolation::SameRoute && R.Route_ == M.Route_);
  });
}

RunSupervisor::Runs::iterator
RunSupervisor::finishRun(Runs::iterator It, RunEnding Ending, Time Now) {
  Run &R = It->second;
  const Duration Length = Now - R.Dispatched_;
  if (Ending == RunEnding::Done) {
    Health_.onSuccess(Now);
    Health_.onLength(Length, R.Estimate_, Now);
  } else if (Ending == RunEnding::Failed) {
    Health_.onFailure(Now);
  }
  Held_ = minus(Held_, R.Need_);
  log(events::RunEnded, {{"job", It->first.Job_.str()},
                         {"task", std::to_string(It->first.Index_.value())},
                         {"attempt", std::to_string(R.Attempt_)},
                         {"entry", R.Owner_.str()},
                         {"ending", runEndingName(Ending)},
                         {"length_ms", millisecondsText(Length)},
                         {"estimate_ms", millisecondsText(R.Estimate_)}});
  const auto O = Owners_.find(R.Owner_);
  if (O != Owners_.end())
    O->second.Ended_.push_back(
        {{It->first.Job_, It->first.Index_, R.Attempt_, R.Submission_},
         Ending,
         Length});
  markReportsDueIfFreeChanged();
  IsolationChanged_ = IsolationChanged_ ||
                      (Runs_.size() == 1 && R.Isolation_ != Isolation::Any);
  return Runs_.erase(It);
}

// The expired endpoint lease has ended every run whose start was answered, but
// not the starts that were never answered: an endpoint that restarts under the
// same id has a new clock, on which the lease end of such a start is still to
// come. Those runs stay until a stop is confirmed.
void RunSupervisor::endRunsAfterLease(Time Now) {
  std::vector<TaskKey> Expired;
  for (auto &[Key, R] : Runs_)
    if (startOutcomeUnknown(R))
      stopRun(Key, R, "lease_over", Now);
    else
      Expired.push_back(Key);
  if (Expired.empty())
    return;
  log(events::EndpointLeaseExpired,
      {{"endpoint", Endpoint_ ? Endpoint_->Id_ : ""},
       {"reason", "lease_over"},
       {"runs", std::to_string(Expired.size())},
       {"unanswered", std::to_string(Runs_.size() - Expired.size())}});
  for (const TaskKey &Key : Expired)
    finishRun(Runs_.find(Key), RunEnding::Lost, Now);
}

void RunSupervisor::stopRunsOfExpiredOwners(Time Now) {
  for (const auto &[Id, O] : Owners_) {
    if (O.LeaseEnd_ >= Now)
      continue;
    for (auto &[Key, R] : Runs_)
      if (R.Owner_ == Id)
        giveUpRun(Key, R, O.LeaseEnd_, "owner_silent", Now);
  }
}

RunSupervisorOutputs RunSupervisor::onTimer(Time Now) {
  stopRunsOfExpiredOwners(Now);
  updateOffered(Now);
  updateLeaseWithheld(Now);
  bool PollDue = false;
  for (auto &[Key, R] : Runs_) {
    if (R.State_ != State::Stopping)
      continue;
    if (!R.StopAccepted_)
      stopRun(Key, R, "repeated", Now);
    else if (*R.StopAccepted_ + Limits_.Leases_.StopTime_ <= Now)
      PollDue = true;
  }
  if (!Reachable_ && !Runs_.empty() && leaseExpiredBy() <= Now) {
    reportCrash("lease_over", Now);
    endRunsAfterLease(Now);
  }
  if (Endpoint_ && Polls_.empty() && NextPoll_ <= Now)
    makePoll(mayPollWait() ? Limits_.PollWait_ : Duration(0), Now);
  else if (Endpoint_ && PollDue && Polls_.size() == 1)
    makePoll(Duration(0), Now);
  return takeOutputs(Now);
}

RunSupervisorOutputs RunSupervisor::onDrain(Time Now) {
  Draining_ = true;
  markReportsDue();
  return takeOutputs(Now);
}

EndpointReport RunSupervisor::report(const Owner &O, Time Now) const {
  EndpointReport R;
  if (Endpoint_) {
    R.Endpoint_ = Endpoint_->Id_;
    R.Service_ = Endpoint_->Service_;
    R.Zone_ = Endpoint_->Zone_;
    R.Rack_ = Endpoint_->Rack_;
    R.Capacity_ = Endpoint_->Capacity_;
  }
  R.Usable_ = usable();
  R.CordonOnly_ = !R.Usable_ && operable();
  R.CordonRevision_ = Cordons_.current().Revision_;
  R.Cordoned_ = cordoned();
  R.OfferedPermille_ = OfferedPermille_;
  R.Free_ = R.Usable_ ? freeResources() : Resources();
  R.AgentClock_ = microseconds(Now);
  R.SeenSequence_ = O.SeenSequence_;
  R.SlownessPermille_ = Health_.slownessPermille(Now);
  R.FailedPermille_ = Health_.failedPermille(Now);
  if (!Runs_.empty())
    R.Route_ = Runs_.begin()->second.Route_;
  for (const auto &[Key, Run] : Runs_) {
    R.Isolation_ = std::max(R.Isolation_, Run.Isolation_);
    if (Run.Route_ != R.Route_)
      R.Route_.clear();
  }
  return R;
}

// Ended runs are sent at once, together with a report, so that the owner knows
// the free resources before it places a task again. Reports without ended runs
// are sent at a minimum interval, but for the begin and the end of isolation,
// which decide whether an entry may use the endpoint at all. Begin and end of a
// cordon are also reported at once, including to entries that have the agent on
// standby.
RunSupervisorOutputs RunSupervisor::takeOutputs(Time Now) {
  const Duration Pause = Limits_.MinReportInterval_ *
                         static_cast<std::int64_t>(1 + Owners_.size());
  for (auto &[Id, O] : Owners_) {
    const bool Urgent = !O.Ended_.empty();
    const Duration Since = Now - O.LastReport_;
    const Duration Period =
        O.Standby_ ? Limits_.StandbyReportPeriod_ : Limits_.ReportPeriod_;
    if (Urgent || Since >= Period || (O.ReportDue_ && Since >= Pause) ||
        (IsolationChanged_ && !O.Standby_) || CordonChanged_) {
      EndpointReport Report = report(O, Now);
      O.ReportedCpu_ = Report.Free_.Cpu_;
      Out_.push_back(MessageToEntry{Id, std::move(Report)});
      O.LastReport_ = Now;
      O.ReportDue_ = false;
    }
    if (Urgent)
      Out_.push_back(MessageToEntry{Id, RunsEnded{std::move(O.Ended_)}});
    if (!O.Slow_.empty())
      Out_.push_back(MessageToEntry{Id, SlowRuns{std::move(O.Slow_)}});
    O.Ended_.clear();
    O.Slow_.clear();
  }
  IsolationChanged_ = false;
  CordonChanged_ = false;
  RunSupervisorOutputs Result = std::move(Out_);
  Out_.clear();
  return Result;
}

} // namespace chivelanding
