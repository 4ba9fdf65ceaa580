#include "run_supervisor.h"

#include "durations.h"

#include <algorithm>

// Polls of the endpoint: lists of runs, its clock and its lease.
namespace chivelanding {
namespace {

// Added to the expiry of the endpoint lease for the granularity of both clocks.
constexpr Duration ClockSlack = std::chrono::milliseconds(20);
// A run is slow if its predicted time is at least this many times its estimate.
// Estimates are off by up to a half, slow endpoints by a factor of 4 or more.
constexpr double SlowFactor = 2.5;
// Age of a run before which its time is not predicted, since the percentage is
// too coarse.
constexpr Duration FirstPrediction = std::chrono::milliseconds(40);
// Shortest interval between two predictions for one run that are sent to its
// owner.
constexpr Duration SlowPause = std::chrono::milliseconds(200);
// Timed-out polls in a row after which the endpoint is unreachable.
constexpr std::uint32_t UnreachableAfterPolls = 2;
// Age of the last renewal of the endpoint lease that is due to a run that
// cannot be stopped, from which on no run is started.
constexpr Duration MaxRenewalLag = std::chrono::milliseconds(100);
// Largest step from one acknowledged end to the next, and largest number of an
// end: far more than an endpoint lists at once, and than it ends in a year.
constexpr std::uint64_t MaxEndNumberStep = 1'000'000;
constexpr std::uint64_t MaxEndNumber = std::uint64_t(1) << 40;
// Latest clock of an endpoint that is believed: 30,000 years.
constexpr std::uint64_t MaxClockMs = std::uint64_t(1) << 50;
// Pause between two stop calls for the same orphaned run.
constexpr Duration OrphanStopPause = std::chrono::milliseconds(150);

std::string taskText(const TaskKey &K) {
  return K.Job_.str() + "/" + std::to_string(K.Index_.value());
}

} // namespace

// The endpoint read its clock before the answer was sent, so its clock is at
// least at this value now. Answers may overtake each other; an older value is
// ignored.
void RunSupervisor::syncClock(std::uint64_t ClockMs, Time Now) {
  if (ClockMs <= ClockMs_ || ClockMs > MaxClockMs)
    return;
  ClockMs_ = ClockMs;
  ClockAt_ = Now;
}

// No start was called in this incarnation before its first answer to a poll, so
// a lease that the endpoint may have now is one that the same id was given
// before.
void RunSupervisor::confirmClock(std::uint64_t ClockMs, Time Now) {
  if (!ClockConfirmed_) {
    ClockConfirmed_ = true;
    ClockMs_ = 0;
    if (LastLeaseEndMs_ > 0)
      LastLeaseEndMs_ = ClockMs + static_cast<std::uint64_t>(
                                      Limits_.Leases_.MaxEndpoint_.count()) /
                                      1000;
  }
  syncClock(ClockMs, Now);
}

std::uint64_t RunSupervisor::leaseEnd(Time Now) const {
  const Duration Since = renewableUntil(Now) - ClockAt_;
  const std::int64_t End = static_cast<std::int64_t>(ClockMs_) +
                           (Since + Limits_.Leases_.Endpoint_).count() / 1000;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, End));
}

// The stop of a run that its owner has given up may stay unanswered. Then only
// the expiry of the endpoint lease ends the run in time, although it ends all
// other runs as well: the task may be started elsewhere once both leases have
// expired since the owner's last renewal.
Time RunSupervisor::renewableUntil(Time Now) const {
  Time Until = Now;
  for (const auto &[Key, R] : Runs_)
    if (R.RenewableUntil_ && !R.StopAccepted_)
      Until = std::min(Until, *R.RenewableUntil_);
  // The timer gives up the runs of an expired owner up to one period later.
  for (const auto &[Id, O] : Owners_)
    if (O.LeaseEnd_ < Until &&
        std::any_of(Runs_.begin(), Runs_.end(), [&Id = Id](const auto &Item) {
          return Item.second.Owner_ == Id && !Item.second.StopAccepted_;
        }))
      Until = O.LeaseEnd_;
  for (const auto &[Key, O] : Orphans_)
    if (O.Stays_)
      Until = std::min(Until, O.FoundAt_);
  return Until;
}

void RunSupervisor::updateLeaseWithheld(Time Now) {
  const Time Until = renewableUntil(Now);
  const bool Withheld = Until + MaxRenewalLag < Now;
  if (Withheld == LeaseWithheld_)
    return;
  LeaseWithheld_ = Withheld;
  log(Withheld ? events::EndpointLeaseWithheld : events::EndpointLeaseRenewed,
      {{"endpoint", Endpoint_ ? Endpoint_->Id_ : ""},
       {"runs", std::to_string(Runs_.size())},
       {"orphans", std::to_string(Orphans_.size())},
       {"lapsed_in_ms",
        millisecondsText(
            std::max(Duration(0), Until + Limits_.Leases_.Endpoint_ - Now))}});
  markReportsDue();
}

// Time by which the endpoint has ended every run if no renewal is sent from now
// on. Its clock may be slow, and a call that is still outstanding may have
// renewed the lease.
Time RunSupervisor::leaseExpiredBy() const {
  std::uint64_t End = LastLeaseEndMs_;
  for (const auto &[Id, C] : Calls_)
    if (C.LeaseEndMs_)
      End = std::max(End, *C.LeaseEndMs_);
  const std::uint64_t LeftMs = End > ClockMs_ ? End - ClockMs_ : 0;
  const auto Left = Duration(static_cast<std::int64_t>(
      static_cast<double>(LeftMs) * 1000 / MinEndpointClockRate));
  return ClockAt_ + Left + Limits_.Leases_.StopTime_ + ClockSlack;
}

void RunSupervisor::setReachable(bool Reachable, const char *Reason, Time Now) {
  if (Reachable_ == Reachable)
    return;
  Reachable_ = Reachable;
  if (Reachable)
    log(events::EndpointReachable,
        {{"endpoint", Endpoint_ ? Endpoint_->Id_ : ""},
         {"runs", std::to_string(Runs_.size())}});
  else
    log(events::EndpointUnreachable,
        {{"endpoint", Endpoint_ ? Endpoint_->Id_ : ""},
         {"reason", Reason},
         {"runs", std::to_string(Runs_.size())},
         {"lapsed_in_ms", millisecondsText(leaseExpiredBy() - Now)}});
  markReportsDue();
}

bool RunSupervisor::mayPollWait() const {
  return Reachable_ && NoOrphans_ && !HasUnlistedRuns_ && FailedPolls_ == 0;
}

void RunSupervisor::makePoll(Duration Wait, Time Now) {
  std::optional<std::uint64_t> End;
  // A renewal for an endpoint that does not answer would only delay the time at
  // which its runs are known to have ended.
  if (Reachable_ && NoOrphans_ && FailedPolls_ == 0)
    End = leaseEnd(Now);
  const EndpointCallId Id = recordCall({{}, 0, Now, End, Acknowledged_});
  Polls_.insert(Id);
  Out_.push_back(
      MakePoll{Id, {Endpoint_->Id_, End, Token_, Acknowledged_, Wait}});
}

RunSupervisorOutputs RunSupervisor::onPollAnswer(EndpointCallId Id,
                                                 const Result<PollAnswer> &A,
                                                 Time Now) {
  const auto Known = takeCall(Id);
  if (!Known)
    return takeOutputs(Now);
  const Call &C = *Known;
  Polls_.erase(Id);
  if (!ok(A)) {
    if (Restored_ && error(A).Code_ == "other_life") {
      Restored_ = false;
      Endpoint_.reset();
      return takeOutputs(Now);
    }
    if (C.LeaseEndMs_ && error(A).Code_ != "connect_failed")
      LastLeaseEndMs_ = std::max(LastLeaseEndMs_, *C.LeaseEndMs_);
    if (error(A).Code_ == "stale_token")
      Token_ += TokenStep;
    // A single time-out does not make the endpoint unreachable: the next poll,
    // which does not wait for an end, shows within milliseconds whether it
    // answers. A refused connection means that no process listens.
    ++FailedPolls_;
    if (FailedPolls_ >= UnreachableAfterPolls || error(A).Code_ != "timeout") {
      setReachable(false, error(A).Code_.c_str(), Now);
      if (error(A).Code_ == "connect_failed")
        reportCrash("connect_failed", Now);
      NextPoll_ = Now + Limits_.PollRetryPause_;
    } else {
      NextPoll_ = Now;
    }
    return takeOutputs(Now);
  }
  const PollAnswer &Poll = value(A);
  if (Endpoint_ && Poll.StartedMs_ != 0 &&
      Poll.StartedMs_ != Endpoint_->StartedMs_) {
    if (Poll.StartedMs_ > Endpoint_->StartedMs_) {
      EndpointIncarnation Next = *Endpoint_;
      Next.StartedMs_ = Poll.StartedMs_;
      Next.Sequence_ = 0;
      Next.ClockMs_ = Poll.ClockMs_;
      Next.Leaving_ = false;
      // The new incarnation may have another capacity, which only its
      // announcement contains.
      Next.Capacity_ = {};
      beginIncarnation(Next, Now);
    }
    return takeOutputs(Now);
  }
  if (C.LeaseEndMs_)
    LastLeaseEndMs_ = std::max(LastLeaseEndMs_, *C.LeaseEndMs_);
  confirmClock(Poll.ClockMs_, Now);
  FailedPolls_ = 0;
  setReachable(true, "", Now);
  withdrawCrash();
  const AppliedEnds Ends = applyEnds(Poll, C, Now);
  SkippedItems Skipped = Poll.Skipped_;
  Skipped.add(Ends.Skipped_);
  if (const auto Event = SkippedItems_.onRead(Skipped, Now))
    Out_.push_back(LogEvent{*Event});
  applyRunning(Poll, Ends, C.Sent_, Now);
  NextPoll_ = Now;
  return takeOutputs(Now);
}

// Numbers rise by one from row to row. A number far above the others is not
// acknowledged: the endpoint would drop the ends up to it, unseen.
RunSupervisor::AppliedEnds RunSupervisor::applyEnds(const PollAnswer &A,
                                                    const Call &C, Time Now) {
  AppliedEnds Applied;
  std::uint64_t Base = Acknowledged_;
  if (Base == 0 && !A.Ended_.empty())
    Base = std::min_element(A.Ended_.begin(), A.Ended_.end(),
                            [](const ListedEnd &X, const ListedEnd &Y) {
                              return X.Number_ < Y.Number_;
                            })
               ->Number_;
  for (const ListedEnd &E : A.Ended_) {
    if (E.Number_ <= Acknowledged_) {
      Applied.MoreMayFollow_ |= E.Number_ > C.Acknowledged_;
      continue;
    }
    if (E.Number_ - Base <= MaxEndNumberStep && E.Number_ <= MaxEndNumber) {
      Acknowledged_ = E.Number_;
      Applied.MoreMayFollow_ = true;
    } else {
      Applied.Skipped_.add("number " + std::to_string(E.Number_) +
                           " of an ended run");
    }
    const auto It = Runs_.find(E.Task_);
    if (It == Runs_.end() || It->second.Number_ != E.Run_)
      continue;
    Applied.LastDispatched_ =
        std::max(Applied.LastDispatched_, It->second.Dispatched_);
    finishRun(It, E.Ending_, Now);
  }
  return Applied;
}

// A poll answer shows the state at some time after its call was sent. A run
// whose start or stop was confirmed before the call was sent, and that is
// neither listed as running nor as ended, is over. Its end may only be missing
// because the endpoint lists a bounded number of ends: then the next answers
// contain it, before the end of any run that was dispatched later.
void RunSupervisor::applyRunning(const PollAnswer &A, const AppliedEnds &Ends,
                                 Time Sent, Time Now) {
  std::set<TaskKey> Listed(A.Unreadable_.begin(), A.Unreadable_.end());
  bool OrphanFound = false;
  for (const RunningRun &Row : A.Running_) {
    const auto It = Runs_.find(Row.Task_);
    if (It != Runs_.end() && It->second.Number_ == Row.Run_) {
      Listed.insert(Row.Task_);
      Run &R = It->second;
      R.Percent_ = Row.Percent_;
      R.Listed_ = true;
      if (R.State_ == State::Running)
        checkProgress(Row.Task_, R, Now);
      continue;
    }
    OrphanFound = true;
    Orphan &Found = Orphans_.try_emplace(Row.Task_, Orphan{Now}).first->second;
    Found.Stays_ = Found.Stays_ || Found.FoundAt_ < Sent;
    if (Found.StopSent_ != Time() && Found.StopSent_ + OrphanStopPause > Now)
      continue;
    Found.StopSent_ = Now;
    log(events::OrphanedRunStopped, {{"task", taskText(Row.Task_)},
                                     {"run", std::to_string(Row.Run_)},
                                     {"endpoint", Endpoint_->Id_}});
    makeStop(Row.Task_, Row.Run_, Now);
  }
  if (!OrphanFound) {
    Orphans_.clear();
    if (!NoOrphans_)
      markReportsDue();
    NoOrphans_ = true;
  }
  HasUnlistedRuns_ = false;
  for (auto It = Runs_.begin(); It != Runs_.end();) {
    Run &R = It->second;
    const bool StillListed = Listed.count(It->first) > 0;
    const bool Ended = R.State_ == State::Running && R.StartAnswered_ < Sent;
    const bool Stopped = R.State_ == State::Stopping && R.StopAccepted_ &&
                         *R.StopAccepted_ < Sent;
    if (StillListed || !(Ended || Stopped)) {
      R.UnlistedAt_.reset();
      ++It;
    } else if (Ends.MoreMayFollow_ &&
               (!R.UnlistedAt_ || Ends.LastDispatched_ <= *R.UnlistedAt_)) {
      if (!R.UnlistedAt_)
        R.UnlistedAt_ = Now;
      HasUnlistedRuns_ = true;
      ++It;
    } else {
      It = finishRun(It, Stopped ? RunEnding::Stopped : RunEnding::Lost, Now);
    }
  }
}

// A run without any progress after its estimate has stalled. Its remaining time
// is unknown; ten estimates in total mark it as slow.
void RunSupervisor::checkProgress(const TaskKey &Key, Run &R, Time Now) {
  const Duration Age = Now - R.Dispatched_;
  if (R.Estimate_ <= Duration(0) || Age < FirstPrediction)
    return;
  Duration Total = 10 * R.Estimate_;
  if (R.Percent_ > 0)
    Total = Age * 100 / R.Percent_;
  else if (Age < R.Estimate_ + FirstPrediction)
    return;
  if (static_cast<double>(Total.count()) <
      SlowFactor * static_cast<double>(R.Estimate_.count()))
    return;
  if (R.LastSlowReport_ != Time() && R.LastSlowReport_ + SlowPause > Now)
    return;
  R.LastSlowReport_ = Now;
  Health_.onLength(Total, R.Estimate_, Now);
  const Duration Remaining = std::max(Duration(0), Total - Age);
  log(events::RunSlow, {{"job", Key.Job_.str()},
                        {"task", std::to_string(Key.Index_.value())},
                        {"attempt", std::to_string(R.Attempt_)},
                        {"percent", std::to_string(R.Percent_)},
                        {"age_ms", millisecondsText(Age)},
                        {"estimate_ms", millisecondsText(R.Estimate_)},
                        {"remaining_ms", millisecondsText(Remaining)}});
  const auto O = Owners_.find(R.Owner_);
  if (O != Owners_.end())
    O->second.Slow_.push_back(
        {{Key.Job_, Key.Index_, R.Attempt_, R.Submission_}, Remaining});
}

} // namespace chivelanding
