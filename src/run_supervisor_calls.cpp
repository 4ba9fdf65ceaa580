#include "run_supervisor.h"

#include "durations.h"

#include <algorithm>

// Start and stop calls of the endpoint, and what their answers imply for runs.
namespace chivelanding {
namespace {

// Increment of the run number when the endpoint answers stale_run, and bound of
// repetitions under a higher run number or token. The increment exceeds the
// number of attempts of any entry.
constexpr std::uint32_t RunNumberStep = 16;
constexpr std::uint32_t MaxRenumberings = 4;
// Bound of repetitions of an unanswered start call. The endpoint accepts the
// same run only once, whenever the calls are carried out, so a repetition is
// safe and faster than a stop and a start elsewhere.
constexpr std::uint32_t MaxResends = 2;
} // namespace

const char *callAnswerName(CallAnswer A) {
  static constexpr const char *Names[] = {
      "accepted",  "stale_token", "stale_run", "lease_over", "no_room",
      "unhealthy", "other_life",  "malformed", "not_sent",   "unanswered"};
  return Names[static_cast<std::size_t>(A)];
}

EndpointCallId RunSupervisor::recordCall(Call C) {
  const EndpointCallId Id(NextCall_++);
  Calls_.emplace(Id, std::move(C));
  return Id;
}

std::optional<RunSupervisor::Call> RunSupervisor::takeCall(EndpointCallId Id) {
  const auto Found = Calls_.extract(Id);
  return Found.empty() ? std::nullopt : std::optional(Found.mapped());
}

// An answer may be handled long after it arrived if this process was suspended.
// By then the owner may have had the task run elsewhere, so a start is repeated
// only within the owner lease.
bool RunSupervisor::mayResendStart(const Run &R, Time Now) const {
  const auto O = Owners_.find(R.Owner_);
  return usable() && O != Owners_.end() && O->second.LeaseEnd_ >= Now;
}

// An unanswered start call may be carried out at any later time.
bool RunSupervisor::startOutcomeUnknown(const Run &R) {
  return R.State_ == State::Starting || R.StartUnanswered_ || R.Resends_ > 0;
}

void RunSupervisor::makeStart(const TaskKey &Key, Run &R, Time Now) {
  const std::uint64_t End = leaseEnd(Now);
  const EndpointCallId Id = recordCall({Key, R.Number_, Now, End});
  Out_.push_back(
      MakeStart{Id, {Endpoint_->Id_, Key, R.Number_, R.Payload_, End, Token_}});
}

void RunSupervisor::makeStop(const TaskKey &Key, std::uint32_t Number,
                             Time Now) {
  if (!Endpoint_)
    return;
  const EndpointCallId Id = recordCall({Key, Number, Now, {}});
  Out_.push_back(MakeStop{Id, {Endpoint_->Id_, Key, Number, Token_}});
}

void RunSupervisor::stopRun(const TaskKey &Key, Run &R, const char *Reason,
                            Time Now) {
  if (R.State_ == State::Stopping &&
      R.StopSent_ + Limits_.StopRetryPause_ > Now)
    return;
  if (R.State_ != State::Stopping) {
    log(events::RunStopping, {{"job", Key.Job_.str()},
                              {"task", std::to_string(Key.Index_.value())},
                              {"attempt", std::to_string(R.Attempt_)},
                              {"entry", R.Owner_.str()},
                              {"reason", Reason},
                              {"age_ms", millisecondsText(Now - R.Dispatched_)},
                              {"percent", std::to_string(R.Percent_)}});
    R.StartUnanswered_ = R.StartUnanswered_ || R.State_ == State::Starting;
    R.State_ = State::Stopping;
  }
  R.StopSent_ = Now;
  makeStop(Key, R.Number_, Now);
}

void RunSupervisor::giveUpRun(const TaskKey &Key, Run &R, Time OwnerLeaseEnd,
                              const char *Reason, Time Now) {
  R.RenewableUntil_ =
      std::min(R.RenewableUntil_.value_or(OwnerLeaseEnd), OwnerLeaseEnd);
  if (R.State_ != State::Stopping)
    stopRun(Key, R, Reason, Now);
}

RunSupervisorOutputs RunSupervisor::onStartAnswer(EndpointCallId Id,
                                                  const StartStopAnswer &A,
                                                  Time Now) {
  const auto Known = takeCall(Id);
  if (!Known)
    return takeOutputs(Now);
  const Call &C = *Known;
  if (C.LeaseEndMs_ && A.Answer_ != CallAnswer::NotSent)
    LastLeaseEndMs_ = std::max(LastLeaseEndMs_, *C.LeaseEndMs_);
  if (A.ClockMs_)
    syncClock(*A.ClockMs_, Now);
  const auto It = Runs_.find(C.Task_);
  if (It == Runs_.end() || It->second.Number_ != C.Run_)
    return takeOutputs(Now);
  Run &R = It->second;
  const bool Stopping = R.State_ == State::Stopping;
  if (A.Answer_ == CallAnswer::Accepted) {
    R.StartAnswered_ = Now;
    R.StartUnanswered_ = false;
    R.Payload_.clear();
    if (!Stopping)
      R.State_ = State::Running;
    return takeOutputs(Now);
  }
  log(events::RunRejected, {{"job", C.Task_.Job_.str()},
                            {"task", std::to_string(C.Task_.Index_.value())},
                            {"run", std::to_string(C.Run_)},
                            {"endpoint", Endpoint_ ? Endpoint_->Id_ : ""},
                            {"answer", callAnswerName(A.Answer_)},
                            {"after_ms", millisecondsText(Now - C.Sent_)}});
  if (A.Answer_ == CallAnswer::Unanswered) {
    R.StartUnanswered_ = true;
    Health_.onFailure(Now);
    if (!Stopping && mayResendStart(R, Now) && R.Resends_ < MaxResends) {
      ++R.Resends_;
      makeStart(C.Task_, R, Now);
    } else if (!Stopping) {
      stopRun(C.Task_, R, "start_unanswered", Now);
    }
    return takeOutputs(Now);
  }
  // The endpoint has refused this call, which says nothing about an earlier
  // unanswered start call of the same run. If it answers stale_run, that
  // earlier start was carried out, and the next poll lists the end of its run.
  if (R.Resends_ > 0 || R.StartUnanswered_) {
    if (!Stopping && A.Answer_ == CallAnswer::StaleRun) {
      R.StartAnswered_ = Now;
      R.State_ = State::Running;
    } else if (!Stopping) {
      stopRun(C.Task_, R, "start_refused", Now);
    }
    return takeOutputs(Now);
  }
  if (!Stopping && mayResendStart(R, Now) &&
      R.Renumberings_ < MaxRenumberings &&
      (A.Answer_ == CallAnswer::StaleRun ||
       A.Answer_ == CallAnswer::StaleToken)) {
    ++R.Renumberings_;
    if (A.Answer_ == CallAnswer::StaleRun)
      R.Number_ += RunNumberStep;
    else
      Token_ += TokenStep;
    makeStart(C.Task_, R, Now);
    return takeOutputs(Now);
  }
  if (A.Answer_ == CallAnswer::Unhealthy)
    Health_.onFailure(Now);
  finishRun(It,
            Stopping                          ? RunEnding::Stopped
            : A.Answer_ == CallAnswer::NoRoom ? RunEnding::NoRoom
                                              : RunEnding::Unavailable,
            Now);
  return takeOutputs(Now);
}

RunSupervisorOutputs RunSupervisor::onStopAnswer(EndpointCallId Id,
                                                 const StartStopAnswer &A,
                                                 Time Now) {
  const auto Known = takeCall(Id);
  if (!Known)
    return takeOutputs(Now);
  const Call &C = *Known;
  if (A.ClockMs_)
    syncClock(*A.ClockMs_, Now);
  const auto It = Runs_.find(C.Task_);
  if (It == Runs_.end() || It->second.Number_ != C.Run_)
    return takeOutputs(Now);
  Run &R = It->second;
  if (A.Answer_ == CallAnswer::StaleToken)
    Token_ += TokenStep;
  if (A.Answer_ != CallAnswer::Accepted)
    return takeOutputs(Now);
  R.StartUnanswered_ = false;
  if (!R.StopAccepted_)
    R.StopAccepted_ = Now;
  updateLeaseWithheld(Now);
  return takeOutputs(Now);
}

} // namespace chivelanding
