#ifndef CHIVELANDING_CRASH_LEDGER_H
#define CHIVELANDING_CRASH_LEDGER_H

#include "message.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelanding {

/// Times that bound what an entry remembers of crashes.
struct CrashLimits {
  /// Age at which a crash is forgotten. It exceeds the time in which a caller
  /// submits the same job again.
  Duration Retention_ = std::chrono::seconds(30);
  /// A route is released when none of its runs was on a crashed endpoint for
  /// this long. Doubles, up to MaxHold_, each time the route is confined again
  /// within RelapseTime_ of its release.
  Duration Hold_ = std::chrono::seconds(5);
  Duration MaxHold_ = std::chrono::seconds(60);
  Duration RelapseTime_ = std::chrono::seconds(60);
};

/// What an entry knows of crashes of endpoints and of the tasks that were on
/// them. Tells which tasks must not be started again, and which routes are to
/// be confined to a few endpoints because their tasks crash endpoints. A task
/// that completes is cleared. All entries get the same records and come to the
/// same conclusions. Performs no I/O.
class CrashLedger {
public:
  explicit CrashLedger(CrashLimits Limits = {}) : Limits_(Limits) {}

  /// Records the crash of an endpoint incarnation. False if it is known, too
  /// old, or no run was on it.
  bool onCrash(const EndpointCrashed &Crash, Time Now);
  /// The incarnation answers again: it had not crashed. False if nothing was
  /// recorded.
  bool onAlive(const EndpointAlive &Endpoint, Time Now);
  /// The task has completed. False if it was no suspect.
  bool onCompleted(const JobKey &Job, TaskIndex Task, Time Now);
  /// Another entry has confined the route, with proof.
  void onConfined(const RouteConfined &Confined, Time Now);
  /// The routes that are confined with proof.
  std::vector<RouteConfined> provedRoutes(Time Now) const;
  /// Forgets what has expired.
  void onTimer(Time Now);

  /// A route that is confined, or released, since the last takeChanges().
  struct Change {
    std::string Route_;
    bool Confined_ = false;
  };
  std::vector<Change> takeChanges();
  bool isConfined(const std::string &Route) const {
    return Confined_.count(Route) > 0;
  }
  /// True if the route is confined and a run of it was on an endpoint that
  /// crashed at most this long ago.
  bool crashedWithin(const std::string &Route, Duration Age, Time Now) const;

  /// True if any task of the job may have crashed an endpoint.
  bool isSuspect(const JobKey &Job) const;
  /// True if the task must not be started again.
  bool isGivenUp(const JobKey &Job, TaskIndex Task) const;
  /// The endpoint that crashed last under the task, and the position of its job
  /// among those that had runs there; nothing if the task is no suspect.
  struct Position {
    std::string Endpoint_;
    std::size_t Job_ = 0;
  };
  std::optional<Position> positionOf(const JobKey &Job, TaskIndex Task) const;
  /// True if an endpoint has crashed that ran nothing but the route.
  bool isProved(const std::string &Route) const;

private:
  struct Record {
    EndpointCrashed Crash_;
    Time At_;
    /// All runs belonged to one job, or to one route.
    bool OneJob_ = false;
    bool OneRoute_ = false;
    /// The jobs that had runs there, in the same order at all entries.
    std::vector<JobKey> Jobs_;
  };
  struct Confinement {
    Time LastCrash_;
    Duration Hold_{0};
    /// An endpoint has crashed that ran nothing but this route.
    bool Proved_ = false;
    /// Confined for a series of crashes, not for a task that met two.
    bool OfSeries_ = false;
  };
  struct Release {
    Time At_;
    Duration Hold_{0};
  };

  const std::string *explanation(const Record &R) const;
  std::deque<Record>::iterator find(const std::string &Endpoint,
                                    std::uint64_t StartedMs);
  void forget(const std::deque<Record>::iterator &R);
  void evaluate(Time Now);
  std::string routeToConfine(Time Now) const;
  std::string routeOfSeries(Time Now) const;
  bool hasRepeatedSuspect(const std::string &Route) const;
  void confine(const std::string &Route, Time Now);
  void release(const std::string &Route, Time Now);

  CrashLimits Limits_;
  /// Completed tasks are removed from the runs of a record.
  std::deque<Record> Records_;
  /// Runs in Records_ by job.
  std::unordered_map<JobKey, std::uint32_t> RunsByJob_;
  std::map<std::string, Confinement> Confined_;
  std::map<std::string, Release> Released_;
  std::vector<Change> Changes_;
};

} // namespace chivelanding

#endif
