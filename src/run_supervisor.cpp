#include "run_supervisor.h"

#include "durations.h"

#include <algorithm>

namespace chivelanding {
namespace {

// The first place of an endpoint that had none is told before the next period,
// since jobs may wait for it. So is a change of the room by more than one part
// in this many is told before the next period. Smaller ones matter little to a
// choice among several endpoints.
constexpr std::uint32_t LargeChange = 4;

std::uint64_t micros(Time T) {
  return static_cast<std::uint64_t>(T.time_since_epoch().count());
}

} // namespace

RunSupervisor::RunSupervisor(RunSupervisorLimits Limits, std::uint64_t Token)
    : Limits_(Limits), Token_(Token) {}

bool RunSupervisor::usable() const {
  return Life_ && !Life_->Leaving_ && Heard_ && Clean_ && !Draining_;
}

Resources RunSupervisor::freeRoom() const {
  return Life_ ? minus(Life_->Capacity_, Held_) : Resources();
}

void RunSupervisor::log(const EventType &Type, std::vector<EventField> Fields) {
  Out_.push_back(LogEvent{{&Type, std::move(Fields)}});
}

void RunSupervisor::changed() {
  for (auto &[Id, O] : Owners_)
    O.ReportDue_ = true;
}

void RunSupervisor::roomChanged() {
  if (!Life_)
    return;
  const std::uint32_t Free = freeRoom().Cpu_;
  const std::uint32_t Large = Life_->Capacity_.Cpu_ / LargeChange;
  for (auto &[Id, O] : Owners_)
    if (O.Standby_)
      continue;
    else if (Free > O.ReportedCpu_ + Large || Free + Large < O.ReportedCpu_ ||
             (O.ReportedCpu_ < PlaceCpu_ && PlaceCpu_ <= Free))
      O.ReportDue_ = true;
}

RunSupervisorOutputs RunSupervisor::onAnnounced(const EndpointIncarnation &Life,
                                                Time Now) {
  const bool Same =
      Life_ && Life_->Id_ == Life.Id_ && Life_->StartedMs_ == Life.StartedMs_;
  // A late announcement of a former life, or one overtaken by a later one.
  if (Life_ && !Same && Life.StartedMs_ <= Life_->StartedMs_ &&
      (Life.StartedMs_ != 0 || Life_->StartedMs_ != 0))
    return take(Now);
  if (Same && Life.Sequence_ <= Life_->Sequence_)
    return take(Now);
  if (!Same)
    beginLife(Life, Now);
  const bool Changed = !Same || Life_->Leaving_ != Life.Leaving_ ||
                       !(Life_->Capacity_ == Life.Capacity_);
  if (Same && Life.Leaving_ && !Life_->Leaving_)
    log(events::EndpointLeaving,
        {{"endpoint", Life.Id_}, {"runs", std::to_string(Runs_.size())}});
  Recalled_ = false;
  Life_ = Life;
  syncClock(Life.ClockMs_, Now);
  if (Changed)
    changed();
  return take(Now);
}

RunSupervisorOutputs RunSupervisor::onRestored(const EndpointIncarnation &Life,
                                               Time Now) {
  if (!Life_) {
    EndpointIncarnation Recalled = Life;
    Recalled.Sequence_ = 0;
    Recalled.ClockMs_ = 0;
    beginLife(Recalled, Now);
    Recalled_ = true;
  }
  return take(Now);
}

// A new life has nothing of the former one. If it has the same id, orders that
// were never answered can still reach it; they stay until a stop of them is
// confirmed by the new life.
void RunSupervisor::beginLife(const EndpointIncarnation &Life, Time Now) {
  const bool SameId = Life_ && Life_->Id_ == Life.Id_;
  log(events::EndpointLifeBegan, {{"endpoint", Life.Id_},
                                  {"born", std::to_string(Life.StartedMs_)},
                                  {"service", Life.Service_.str()},
                                  {"rack", Life.Rack_.str()},
                                  {"cpu", std::to_string(Life.Capacity_.Cpu_)},
                                  {"former", Life_ ? Life_->Id_ : ""},
                                  {"runs", std::to_string(Runs_.size())}});
  // The new life has seen no token, so a late order of before would start
  // there. The first call with a higher one ends that.
  Token_ += SameId ? 1 : 0;
  ClockMs_ = 0;
  // A start that the new life has accepted already gave it a lease.
  LastLeaseEndMs_ =
      SameId ? Life.ClockMs_ + static_cast<std::uint64_t>(
                                   Limits_.Leases_.LongestEndpoint_.count()) /
                                   1000
             : 0;
  Acknowledged_ = 0;
  Foreign_.clear();
  Life_ = Life;
  ClockMs_ = Life.ClockMs_;
  ClockAt_ = Now;
  for (auto It = Runs_.begin(); It != Runs_.end();) {
    Run &R = It->second;
    if (!SameId || (R.Listed_ && !startInDoubt(R))) {
      It = finish(It, RunEnding::Lost, Now);
      continue;
    }
    // A start that was accepted and never listed may be one of the new life;
    // the first list tells.
    const bool Tells = !startInDoubt(R);
    R.Listed_ = false;
    if (Tells) {
      ++It;
      continue;
    }
    R.Doubtful_ = true;
    R.StopAccepted_.reset();
    R.StopSent_ = Time();
    stop(It->first, R, "new_life", Now);
    ++It;
  }
  Clean_ = false;
  NextHold_ = Now;
}

RunSupervisorOutputs RunSupervisor::onWithdrawn(const std::string &Id,
                                                Time Now) {
  if (Life_ && Life_->Id_ == Id && !Life_->Leaving_) {
    Life_->Leaving_ = true;
    log(events::EndpointLeaving,
        {{"endpoint", Id}, {"runs", std::to_string(Runs_.size())}});
    changed();
  }
  return take(Now);
}

RunSupervisorOutputs RunSupervisor::onEntryUp(const EntryId &Entry, Time Now) {
  Owner &O = Owners_[Entry];
  O.HeldUntil_ = Now + Limits_.Leases_.Owner_;
  O.ReportDue_ = true;
  return take(Now);
}

// An entry that is given up will never take an end from this process.
RunSupervisorOutputs RunSupervisor::onEntryLost(const EntryId &Entry,
                                                Time Now) {
  for (auto &[Key, R] : Runs_)
    if (R.Owner_ == Entry)
      stop(Key, R, "owner_lost", Now);
  Owners_.erase(Entry);
  return take(Now);
}

RunSupervisorOutputs RunSupervisor::onMessage(const EntryId &From,
                                              const Message &M, Time Now) {
  const auto Known = Owners_.find(From);
  if (Known == Owners_.end())
    return take(Now);
  Owner &O = Known->second;
  const auto Renew = [&](std::uint64_t AgentClock) {
    const Time Until = Time(Duration(static_cast<std::int64_t>(AgentClock))) +
                       Limits_.Leases_.Owner_;
    // A value from the future can only come from a faulty peer.
    if (Until <= Now + Limits_.Leases_.Owner_)
      O.HeldUntil_ = std::max(O.HeldUntil_, Until);
  };
  if (const auto *Start = std::get_if<StartRuns>(&M)) {
    Renew(Start->AgentClock_);
    O.SeenSequence_ = std::max(O.SeenSequence_, Start->Sequence_);
    for (const RunStart &R : Start->Runs_)
      startOne(From, *Start, R, Now);
  } else if (const auto *Stop = std::get_if<StopRuns>(&M)) {
    for (const RunRef &Ref : Stop->Runs_) {
      const auto It = Runs_.find({Ref.Job_, Ref.Index_});
      if (It != Runs_.end() && It->second.Owner_ == From &&
          It->second.Attempt_ == Ref.Attempt_ &&
          It->second.Submission_ == Ref.Submission_)
        stop(It->first, It->second, "owner_request", Now);
    }
  } else if (const auto *Hold = std::get_if<HoldRuns>(&M)) {
    Renew(Hold->AgentClock_);
  } else if (const auto *Standby = std::get_if<SetStandby>(&M)) {
    O.Standby_ = Standby->Standby_;
    O.ReportDue_ = !O.Standby_;
  }
  return take(Now);
}

void RunSupervisor::refuse(const EntryId &To, RunRef Ref, RunEnding Why) {
  log(events::RunRefused, {{"job", Ref.Job_.str()},
                           {"task", std::to_string(Ref.Index_.value())},
                           {"attempt", std::to_string(Ref.Attempt_)},
                           {"entry", To.str()},
                           {"reason", runEndingName(Why)},
                           {"free_cpu", std::to_string(freeRoom().Cpu_)}});
  const auto It = Owners_.find(To);
  if (It == Owners_.end())
    return;
  It->second.Ended_.push_back({std::move(Ref), Why, Duration(0)});
}

void RunSupervisor::startOne(const EntryId &From, const StartRuns &M,
                             const RunStart &Start, Time Now) {
  const RunRef Ref{M.Job_, Start.Index_, Start.Attempt_, M.Submission_};
  const TaskKey Key{M.Job_, Start.Index_};
  const Time Ordered = Time(Duration(static_cast<std::int64_t>(M.AgentClock_)));
  const auto Known = Runs_.find(Key);
  if (Known != Runs_.end()) {
    // A run of the same task under another owner or attempt must end first.
    if (!(Known->second.Owner_ == From) ||
        Known->second.Attempt_ != Start.Attempt_ ||
        Known->second.Submission_ != M.Submission_) {
      stop(Key, Known->second, "superseded", Now);
      refuse(From, Ref, RunEnding::Unavailable);
    }
    return;
  }
  // The entry may have given up on an order that arrives after its lease, and
  // may have started the task elsewhere.
  if (Ordered + Limits_.Leases_.Owner_ < Now) {
    refuse(From, Ref, RunEnding::Expired);
    return;
  }
  if (!usable()) {
    refuse(From, Ref, RunEnding::Unavailable);
    return;
  }
  if (!fits(M.Need_, freeRoom())) {
    refuse(From, Ref, RunEnding::NoRoom);
    return;
  }
  PlaceCpu_ = M.Need_.Cpu_;
  Run R;
  R.Owner_ = From;
  R.Attempt_ = Start.Attempt_;
  R.Submission_ = M.Submission_;
  R.Number_ = Start.Attempt_;
  R.Need_ = M.Need_;
  R.Estimate_ = M.Estimate_;
  R.Payload_ = M.Payload_;
  R.Ordered_ = Now;
  Held_ += R.Need_;
  makeStart(Key, Runs_.emplace(Key, std::move(R)).first->second, Now);
  roomChanged();
}

RunSupervisor::Runs::iterator
RunSupervisor::finish(Runs::iterator It, RunEnding Ending, Time Now) {
  Run &R = It->second;
  const Duration Length = Now - R.Ordered_;
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
  roomChanged();
  return Runs_.erase(It);
}

// The lease has ended every run, but not the orders that were never answered:
// an endpoint that starts again under its id has a new clock, on which the
// lease end of such an order is still to come. They stay until a stop is
// confirmed.
void RunSupervisor::endLapsed(Time Now) {
  std::vector<TaskKey> Over;
  for (auto &[Key, R] : Runs_)
    if (startInDoubt(R))
      stop(Key, R, "lease_over", Now);
    else
      Over.push_back(Key);
  if (Over.empty())
    return;
  log(events::EndpointLapsed,
      {{"endpoint", Life_ ? Life_->Id_ : ""},
       {"reason", "lease_over"},
       {"runs", std::to_string(Over.size())},
       {"unanswered", std::to_string(Runs_.size() - Over.size())}});
  for (const TaskKey &Key : Over)
    finish(Runs_.find(Key), RunEnding::Lost, Now);
}

void RunSupervisor::stopSilentOwners(Time Now) {
  for (const auto &[Id, O] : Owners_) {
    if (O.HeldUntil_ >= Now)
      continue;
    for (auto &[Key, R] : Runs_)
      if (R.Owner_ == Id && R.State_ != State::Stopping)
        stop(Key, R, "owner_silent", Now);
  }
}

RunSupervisorOutputs RunSupervisor::onTimer(Time Now) {
  stopSilentOwners(Now);
  bool LookDue = false;
  for (auto &[Key, R] : Runs_) {
    if (R.State_ != State::Stopping)
      continue;
    if (!R.StopAccepted_)
      stop(Key, R, "repeated", Now);
    else if (*R.StopAccepted_ + Limits_.Leases_.StopTime_ <= Now)
      LookDue = true;
  }
  if (!Heard_ && !Runs_.empty() && lapsedBy() <= Now)
    endLapsed(Now);
  if (Life_ && Holds_.empty() && NextHold_ <= Now)
    makeHold(Heard_ && Clean_ && HoldsFailed_ == 0 ? Limits_.PollWait_
                                                   : Duration(0),
             Now);
  else if (Life_ && LookDue && Holds_.size() == 1)
    makeHold(Duration(0), Now);
  return take(Now);
}

RunSupervisorOutputs RunSupervisor::onDrain(Time Now) {
  Draining_ = true;
  changed();
  return take(Now);
}

EndpointReport RunSupervisor::report(const Owner &O, Time Now) const {
  EndpointReport R;
  if (Life_) {
    R.Endpoint_ = Life_->Id_;
    R.Service_ = Life_->Service_;
    R.Zone_ = Life_->Zone_;
    R.Rack_ = Life_->Rack_;
    R.Capacity_ = Life_->Capacity_;
  }
  R.Usable_ = usable();
  R.Free_ = R.Usable_ ? freeRoom() : Resources();
  R.AgentClock_ = micros(Now);
  R.SeenSequence_ = O.SeenSequence_;
  R.SlownessPermille_ = Health_.slownessPermille(Now);
  R.FailedPermille_ = Health_.failedPermille(Now);
  return R;
}

// Ends leave at once; a report goes with them, so that the owner knows the room
// before it places a task again. Reports alone are spaced.
RunSupervisorOutputs RunSupervisor::take(Time Now) {
  const Duration Pause =
      Limits_.ReportPause_ * static_cast<std::int64_t>(1 + Owners_.size());
  for (auto &[Id, O] : Owners_) {
    const bool Urgent = !O.Ended_.empty();
    const Duration Since = Now - O.LastReport_;
    const Duration Period =
        O.Standby_ ? Limits_.StandbyReportPeriod_ : Limits_.ReportPeriod_;
    if (Urgent || Since >= Period || (O.ReportDue_ && Since >= Pause)) {
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
  RunSupervisorOutputs Result = std::move(Out_);
  Out_.clear();
  return Result;
}

} // namespace chivelanding
