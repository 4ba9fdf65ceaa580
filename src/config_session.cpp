#include "config_session.h"
#include "clock.h"

#include <random>

namespace chivelanding {

ConfigSession::ConfigSession(SocketAddress Log)
    : Transport_(Context_, std::move(Log)) {
  FollowerOptions Options;
  Options.Name_ = "command";
  Options.Seed_ = std::random_device()();
  Options.WritesSnapshots_ = false;
  ConfigFollowerDriver::Callbacks Handlers;
  Handlers.OnAccepted_ = [this](const AcceptedPtr &State) {
    States_[State->Version_] = State;
  };
  Handlers.OnEvaluated_ = [this](const EvaluatedRecord &Evaluated) {
    if (Evaluated.Outcome_ <= RecordOutcome::RefusedInvalid)
      History_.push_back(Evaluated);
  };
  Handlers.OnPublishEnded_ = [this](const PublishEnded &End) {
    PublishEnd_ = End;
  };
  Handlers.OnReachable_ = [this](const LogReachable &R) {
    LogError_ = R.Reachable_ ? "" : R.Detail_;
  };
  Driver_ = std::make_unique<ConfigFollowerDriver>(
      Context_, Transport_, std::move(Options), Handlers);
}

Result<Done> ConfigSession::readToEnd(Duration Timeout) {
  const Time Deadline = steadyNow() + Timeout;
  Driver_->start();
  const ConfigFollower &F = Driver_->follower();
  while (!F.caughtUp() && !F.stateMachine().stalled() && steadyNow() < Deadline)
    Context_.run_one_for(Deadline - steadyNow());
  const std::string Step = "read configuration";
  if (F.stateMachine().stalled())
    return Error{"newer_rules", Step, "log",
                 "the log has a change that needs newer validation rules than "
                 "this program has; update chivelanding"};
  if (!F.caughtUp())
    return Error{"log_unavailable", Step, "log",
                 (LogError_.empty() ? "no answer in time" : LogError_) +
                     "; the configuration in force stays, try again later"};
  if (!F.stateMachine().isStateKnown())
    return Error{"no_state", Step, "log",
                 "the oldest records have expired and no snapshot is usable; "
                 "an entry that has the configuration writes one within a "
                 "minute"};
  return Done();
}

PublishEnded ConfigSession::publish(ChangeRecord Change) {
  Driver_->publish(std::move(Change));
  while (!PublishEnd_)
    Context_.run_one();
  return *PublishEnd_;
}

} // namespace chivelanding
