#include "simulated_endpoint.h"

#include <algorithm>

namespace chivelanding::test {
namespace {

// Longest time between a stop call and the end of its run.
constexpr Duration StopTime = std::chrono::milliseconds(50);
// Longer leases are cut to this.
constexpr std::uint64_t LongestLeaseMs = 1000;

} // namespace

void SimulatedEndpoint::startIncarnation(const std::string &Id,
                                         std::uint64_t StartedMs,
                                         double ClockRate, Resources Capacity,
                                         Observer O, Time Now) {
  *this = SimulatedEndpoint();
  Alive_ = true;
  Id_ = Id;
  StartedMs_ = StartedMs;
  ClockRate_ = ClockRate;
  Capacity_ = Capacity;
  Observer_ = std::move(O);
  StartedAt_ = Now;
}

std::uint64_t SimulatedEndpoint::clockMs(Time Now) const {
  return 5000 + static_cast<std::uint64_t>(
                    static_cast<double>((Now - StartedAt_).count()) / 1000 *
                    ClockRate_);
}

EndpointIncarnation SimulatedEndpoint::announcement(std::uint64_t Sequence,
                                                    Time Now) const {
  EndpointIncarnation L;
  L.Id_ = Id_;
  L.StartedMs_ = StartedMs_;
  L.Service_ = ServiceName("tasks");
  L.Zone_ = ZoneName("z");
  L.Capacity_ = Capacity_;
  L.Sequence_ = Sequence;
  L.ClockMs_ = clockMs(Now);
  return L;
}

void SimulatedEndpoint::end(std::map<TaskKey, Run>::iterator It,
                            RunEnding Ending) {
  auto &LastEnded = LastEndedRun_[It->first];
  LastEnded = std::max(LastEnded, It->second.Number_);
  Used_ = minus(Used_, It->second.Need_);
  Ends_.push_back({NextEnd_++, It->first, It->second.Number_, Ending});
  Observer_.OnEnded_(It->first, Ending);
  Runs_.erase(It);
}

void SimulatedEndpoint::crash(Time) {
  while (!Runs_.empty())
    end(Runs_.begin(), RunEnding::Lost);
  Alive_ = false;
}

void SimulatedEndpoint::advance(Time Now) {
  if (!Alive_)
    return;
  const bool LeaseExpired = clockMs(Now) >= LeaseEndMs_;
  for (auto It = Runs_.begin(); It != Runs_.end();) {
    const auto Next = std::next(It);
    const Run &R = It->second;
    if (LeaseExpired)
      end(It, RunEnding::Lost);
    else if (R.Stopping_ && R.StopAt_ <= Now)
      end(It, RunEnding::Stopped);
    else if (R.Started_ + R.Length_ <= Now)
      end(It, R.Ending_);
    It = Next;
  }
}

bool SimulatedEndpoint::tokenTooLow(std::uint64_t Token) {
  if (Token < Token_)
    return true;
  Token_ = Token;
  return false;
}

CallAnswer SimulatedEndpoint::start(const StartCall &C, const Resources &Need,
                                    Time Now) {
  advance(Now);
  if (!Alive_)
    return CallAnswer::NotSent;
  if (C.Endpoint_ != Id_)
    return CallAnswer::OtherLife;
  if (tokenTooLow(C.Token_))
    return CallAnswer::StaleToken;
  if (C.LeaseEndMs_ <= clockMs(Now))
    return CallAnswer::LeaseOver;
  LeaseEndMs_ = std::max(
      LeaseEndMs_, std::min(C.LeaseEndMs_, clockMs(Now) + LongestLeaseMs));
  const auto Known = Runs_.find(C.Task_);
  if (Known != Runs_.end())
    return Known->second.Number_ == C.Run_ ? CallAnswer::Accepted
                                           : CallAnswer::StaleRun;
  const auto LastEnded = LastEndedRun_.find(C.Task_);
  if (LastEnded != LastEndedRun_.end() && C.Run_ <= LastEnded->second)
    return CallAnswer::StaleRun;
  if (!fits(Need, minus(Capacity_, Used_)))
    return CallAnswer::NoRoom;
  const auto [Length, Ending] = Observer_.DrawOutcome_(C.Task_);
  Used_ += Need;
  Runs_[C.Task_] = {C.Run_, Need, Now, Length, Ending, false, Now};
  Observer_.OnStarted_(C.Task_);
  return CallAnswer::Accepted;
}

CallAnswer SimulatedEndpoint::stop(const StopCall &C, Time Now) {
  advance(Now);
  if (!Alive_)
    return CallAnswer::NotSent;
  if (C.Endpoint_ != Id_)
    return CallAnswer::OtherLife;
  if (tokenTooLow(C.Token_))
    return CallAnswer::StaleToken;
  auto &LastEnded = LastEndedRun_[C.Task_];
  LastEnded = std::max(LastEnded, C.Run_);
  const auto It = Runs_.find(C.Task_);
  if (It != Runs_.end() && It->second.Number_ <= C.Run_ &&
      !It->second.Stopping_) {
    It->second.Stopping_ = true;
    It->second.StopAt_ = Now + StopTime;
  }
  return CallAnswer::Accepted;
}

bool SimulatedEndpoint::hasEnds(const PollCall &C) const {
  return !Ends_.empty() && Ends_.back().Number_ > C.Acknowledged_;
}

Result<PollAnswer> SimulatedEndpoint::poll(const PollCall &C, Time Now) {
  advance(Now);
  if (!Alive_)
    return Error{"connect_failed", "hold", Id_, ""};
  if (C.Endpoint_ != Id_)
    return Error{"other_life", "hold", Id_, ""};
  if (tokenTooLow(C.Token_))
    return Error{"stale_token", "hold", Id_, ""};
  if (C.LeaseEndMs_)
    LeaseEndMs_ = std::max(
        LeaseEndMs_, std::min(*C.LeaseEndMs_, clockMs(Now) + LongestLeaseMs));
  PollAnswer A;
  A.ClockMs_ = clockMs(Now);
  A.StartedMs_ = StartedMs_;
  for (const auto &[Key, R] : Runs_)
    A.Running_.push_back({Key, R.Number_,
                          static_cast<std::uint32_t>(
                              100 * (Now - R.Started_).count() /
                              std::max<std::int64_t>(1, R.Length_.count()))});
  Ends_.erase(std::remove_if(Ends_.begin(), Ends_.end(),
                             [&](const ListedEnd &E) {
                               return E.Number_ <= C.Acknowledged_;
                             }),
              Ends_.end());
  A.Ended_.assign(Ends_.begin(),
                  Ends_.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(Ends_.size(), EndsPerAnswer_)));
  return A;
}

} // namespace chivelanding::test
