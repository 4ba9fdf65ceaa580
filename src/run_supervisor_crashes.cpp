#include "run_supervisor.h"

#include "durations.h"

// Reports of crashes of the endpoint to the entries.
namespace chivelanding {
namespace {

// Crashes that are kept for entries that connect later, and their age limit: no
// caller submits a job again after that.
constexpr std::size_t MaxCrashes = 16;
constexpr Duration CrashRetention = std::chrono::seconds(30);
// Suspects that are named in the log line of a crash.
constexpr std::size_t MaxLoggedSuspects = 24;

} // namespace

// A refused connection, an expired lease and a later incarnation are signs of a
// crash. The first says so within milliseconds, long before the runs are known
// to have ended: the endpoint may only be cut off and answer again. The end of
// an endpoint that had announced that it leaves is no crash.
void RunSupervisor::reportCrash(const char *Reason, Time Now) {
  if (CrashReported_ || Runs_.empty() || Endpoint_->Leaving_)
    return;
  CrashReported_ = true;
  EndpointCrashed Crash{Endpoint_->Id_, Endpoint_->StartedMs_, Duration(0), {}};
  std::string Suspects;
  for (const auto &[Key, R] : Runs_) {
    Crash.Runs_.push_back(
        {Key.Job_, Key.Index_, R.Route_, Now - R.Dispatched_});
    if (Crash.Runs_.size() <= MaxLoggedSuspects)
      Suspects += (Suspects.empty() ? "" : ",") + Key.Job_.str() + "/" +
                  std::to_string(Key.Index_.value()) + ":" +
                  millisecondsText(Now - R.Dispatched_);
  }
  log(events::EndpointCrashSuspected,
      {{"endpoint", Crash.Endpoint_},
       {"reason", Reason},
       {"runs", std::to_string(Crash.Runs_.size())},
       {"suspects", Suspects}});
  for (const auto &[Id, O] : Owners_)
    Out_.push_back(MessageToEntry{Id, Crash});
  Crashes_.emplace_back(Now, std::move(Crash));
  if (Crashes_.size() > MaxCrashes)
    Crashes_.pop_front();
}

void RunSupervisor::withdrawCrash() {
  if (!CrashReported_)
    return;
  CrashReported_ = false;
  const EndpointCrashed &Crash = Crashes_.back().second;
  for (const auto &[Id, O] : Owners_)
    Out_.push_back(
        MessageToEntry{Id, EndpointAlive{Crash.Endpoint_, Crash.StartedMs_}});
  Crashes_.pop_back();
}

// An entry that has restarted learns of the crashes before it, since callers
// may submit the same jobs there again.
void RunSupervisor::reportEarlierCrashes(const EntryId &To, Time Now) {
  for (const auto &[At, Crash] : Crashes_) {
    if (At + CrashRetention <= Now)
      continue;
    EndpointCrashed Earlier = Crash;
    Earlier.Age_ = Now - At;
    Out_.push_back(MessageToEntry{To, std::move(Earlier)});
  }
}

} // namespace chivelanding
