#include "config_follower_driver.h"

#include <algorithm>

namespace chivelanding {

namespace {

constexpr char ConfigStream[] = "config";
// Shortest time between two ticks, so that a timer that is always due does not
// monopolize the thread.
constexpr Duration MinTickInterval = std::chrono::milliseconds(1);

} // namespace

ConfigFollowerDriver::ConfigFollowerDriver(boost::asio::io_context &Context,
                                           LogTransport &Transport,
                                           FollowerOptions Options,
                                           Callbacks Handlers)
    : Log_(Transport, ConfigStream), Follower_(std::move(Options)),
      Callbacks_(std::move(Handlers)), Timer_(Context) {}

void ConfigFollowerDriver::start() { perform(Follower_.start(steadyNow())); }

void ConfigFollowerDriver::publish(ChangeRecord Change) {
  Change.UnixMs_ = unixMs();
  perform(Follower_.publish(std::move(Change), steadyNow()));
}

void ConfigFollowerDriver::confirm(ChangeRecord Change) {
  perform(Follower_.confirm(std::move(Change), steadyNow()));
}

void ConfigFollowerDriver::setSnapshotWriters(std::vector<std::string> Names) {
  Follower_.setSnapshotWriters(std::move(Names));
}

void ConfigFollowerDriver::perform(const ReadLog &Read) {
  std::weak_ptr<int> Alive = Alive_;
  Log_.read(Read, [this, Alive,
                   Sequence = Read.Sequence_](const Result<LogBatch> &R) {
    if (Alive.expired())
      return;
    perform(ok(R) ? Follower_.onRead(Sequence, value(R), steadyNow())
                  : Follower_.onReadFailed(Sequence, error(R), steadyNow()));
    if (!Alive.expired() && Callbacks_.OnReadDone_)
      Callbacks_.OnReadDone_();
  });
}

void ConfigFollowerDriver::perform(const AppendLog &Append) {
  std::weak_ptr<int> Alive = Alive_;
  Log_.append(Append, [this, Alive, Sequence = Append.Sequence_](
                          const Result<std::uint64_t> &R) {
    if (Alive.expired())
      return;
    if (ok(R))
      return perform(Follower_.onAppended(Sequence, value(R), steadyNow()));
    perform(Follower_.onAppendFailed(Sequence, error(R), isNotWritten(error(R)),
                                     steadyNow()));
  });
}

void ConfigFollowerDriver::perform(const FollowerOutputs &Outputs) {
  const std::weak_ptr<int> Alive = Alive_;
  for (const FollowerOutput &Output : Outputs) {
    if (const auto *Read = std::get_if<ReadLog>(&Output))
      perform(*Read);
    else if (const auto *Append = std::get_if<AppendLog>(&Output))
      perform(*Append);
    else if (const auto *Evaluated = std::get_if<RecordEvaluated>(&Output))
      Callbacks_.OnEvaluated_ ? Callbacks_.OnEvaluated_(Evaluated->Record_)
                              : void();
    else if (const auto *State = std::get_if<StateAccepted>(&Output))
      Callbacks_.OnAccepted_ ? Callbacks_.OnAccepted_(State->State_) : void();
    else if (const auto *End = std::get_if<PublishEnded>(&Output))
      Callbacks_.OnPublishEnded_ ? Callbacks_.OnPublishEnded_(*End) : void();
    else if (Callbacks_.OnReachable_)
      Callbacks_.OnReachable_(std::get<LogReachable>(Output));
    if (Alive.expired())
      return;
  }
  schedule();
}

void ConfigFollowerDriver::schedule() {
  const auto At = Follower_.nextTimer();
  if (!At) {
    Timer_.cancel();
    return;
  }
  Timer_.expires_after(std::max(MinTickInterval, *At - steadyNow()));
  std::weak_ptr<int> Alive = Alive_;
  Timer_.async_wait([this, Alive](const boost::system::error_code &E) {
    if (!E && !Alive.expired())
      perform(Follower_.tick(steadyNow()));
  });
}

} // namespace chivelanding
