#ifndef CHIVELANDING_RUN_MESSAGE_H
#define CHIVELANDING_RUN_MESSAGE_H

#include "types.h"

#include <cstdint>
#include <limits>
#include <string>
#include <tuple>
#include <vector>

namespace chivelanding {

/// Amounts of an endpoint's resources.
struct Resources {
  /// Thousandths of a core.
  std::uint32_t Cpu_ = 0;
  /// Mebibytes.
  std::uint32_t MemoryMb_ = 0;
  std::uint32_t Accelerators_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&Resources::Cpu_, &Resources::MemoryMb_,
                           &Resources::Accelerators_);
  }
  friend bool operator==(const Resources &A, const Resources &B) {
    return A.Cpu_ == B.Cpu_ && A.MemoryMb_ == B.MemoryMb_ &&
           A.Accelerators_ == B.Accelerators_;
  }
};

/// True if Free covers Need in every resource.
inline bool fits(const Resources &Need, const Resources &Free) {
  return Need.Cpu_ <= Free.Cpu_ && Need.MemoryMb_ <= Free.MemoryMb_ &&
         Need.Accelerators_ <= Free.Accelerators_;
}

/// Sums beyond the range are the largest number.
inline Resources &operator+=(Resources &A, const Resources &B) {
  const auto Add = [](std::uint32_t &X, std::uint32_t Y) {
    X = Y > std::numeric_limits<std::uint32_t>::max() - X
            ? std::numeric_limits<std::uint32_t>::max()
            : X + Y;
  };
  Add(A.Cpu_, B.Cpu_);
  Add(A.MemoryMb_, B.MemoryMb_);
  Add(A.Accelerators_, B.Accelerators_);
  return A;
}

/// A - B, but no resource below zero.
inline Resources minus(const Resources &A, const Resources &B) {
  const auto Subtract = [](std::uint32_t X, std::uint32_t Y) {
    return X > Y ? X - Y : 0;
  };
  return {Subtract(A.Cpu_, B.Cpu_), Subtract(A.MemoryMb_, B.MemoryMb_),
          Subtract(A.Accelerators_, B.Accelerators_)};
}

/// Identifies one run: one start of one task by one entry.
struct RunRef {
  JobKey Job_;
  TaskIndex Index_;
  /// Counts the starts of this task in one submission, from 1.
  std::uint32_t Attempt_ = 0;
  /// Counts the submissions at the entry. A caller may submit the same job
  /// again.
  std::uint64_t Submission_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&RunRef::Job_, &RunRef::Index_, &RunRef::Attempt_,
                           &RunRef::Submission_);
  }
};

/// Which other runs an endpoint may have beside a run.
enum class Isolation : std::uint8_t {
  Any,
  /// Runs of the same route.
  SameRoute,
  /// Runs of the same job.
  SameJob
};

/// Name of an isolation in logs; never changes.
const char *isolationName(Isolation I);

/// Index and attempt of one run in StartRuns.
struct RunStart {
  TaskIndex Index_;
  std::uint32_t Attempt_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&RunStart::Index_, &RunStart::Attempt_);
  }
};

/// Entry to agent: start these tasks of one job, which all have the same
/// payload and needs.
struct StartRuns {
  JobKey Job_;
  /// As in RunRef.
  std::uint64_t Submission_ = 0;
  std::string Payload_;
  Resources Need_;
  /// Expected time of one run; zero if unknown.
  Duration Estimate_{0};
  /// Counts the messages of this type from this entry to this agent, from 1.
  std::uint64_t Sequence_ = 0;
  /// The agent's clock as last reported to the entry, in microseconds. The
  /// agent refuses the runs once the owner lease that starts at this time has
  /// expired.
  std::uint64_t AgentClock_ = 0;
  std::vector<RunStart> Runs_;
  /// Name of the job's route.
  std::string Route_;
  Isolation Isolation_ = Isolation::Any;
  static constexpr auto fields() {
    return std::make_tuple(&StartRuns::Job_, &StartRuns::Submission_,
                           &StartRuns::Payload_, &StartRuns::Need_,
                           &StartRuns::Estimate_, &StartRuns::Sequence_,
                           &StartRuns::AgentClock_, &StartRuns::Runs_,
                           &StartRuns::Route_, &StartRuns::Isolation_);
  }
};

/// Entry to agent: stop these runs. The end of each is reported as usual.
struct StopRuns {
  std::vector<RunRef> Runs_;
  static constexpr auto fields() { return std::make_tuple(&StopRuns::Runs_); }
};

/// Entry to agent: the entry still owns its runs. Renews the owner lease, which
/// counts from this value of the agent's own clock, so that a delay of the
/// message does not prolong it.
struct HoldRuns {
  std::uint64_t AgentClock_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&HoldRuns::AgentClock_);
  }
};

/// How a run ended. With the last three, it was never started.
enum class RunEnding : std::uint8_t {
  Done,
  /// Through the fault of the task or of the endpoint.
  Failed,
  Stopped,
  /// The endpoint lease expired, or the endpoint's incarnation ended.
  Lost,
  NoRoom,
  /// The endpoint refuses runs, drains or is unreachable.
  Unavailable,
  /// The owner lease had expired when the start request arrived.
  Expired
};

/// Name of an ending in logs; never changes.
const char *runEndingName(RunEnding E);

/// True if the ending says that the run never started.
inline bool neverStarted(RunEnding E) { return E >= RunEnding::NoRoom; }

struct EndedRun {
  RunRef Run_;
  RunEnding Ending_ = RunEnding::Done;
  /// Time from the start request at the agent to the end.
  Duration Length_{0};
  static constexpr auto fields() {
    return std::make_tuple(&EndedRun::Run_, &EndedRun::Ending_,
                           &EndedRun::Length_);
  }
};

/// Agent to entry: these runs have ended and hold no resources.
struct RunsEnded {
  std::vector<EndedRun> Runs_;
  static constexpr auto fields() { return std::make_tuple(&RunsEnded::Runs_); }
};

struct SlowRun {
  RunRef Run_;
  /// Predicted remaining time of the run at its present pace.
  Duration Remaining_{0};
  static constexpr auto fields() {
    return std::make_tuple(&SlowRun::Run_, &SlowRun::Remaining_);
  }
};

/// Agent to entry: these runs are predicted to exceed their estimate by far.
struct SlowRuns {
  std::vector<SlowRun> Runs_;
  static constexpr auto fields() { return std::make_tuple(&SlowRuns::Runs_); }
};

/// Agent to entry: state of the endpoint, sent on change and periodically.
struct EndpointReport {
  /// Id of the endpoint's current incarnation; empty if none is known.
  std::string Endpoint_;
  ServiceName Service_;
  ZoneName Zone_;
  RackName Rack_;
  Resources Capacity_;
  Resources Free_;
  /// The agent's clock in microseconds, to be returned in HoldRuns.
  std::uint64_t AgentClock_ = 0;
  /// Sequence_ of the last StartRuns from this entry that Free_ takes into
  /// account.
  std::uint64_t SeenSequence_ = 0;
  /// False if no run may be started here. True also means that no run of an
  /// earlier process of this agent is left at the endpoint.
  bool Usable_ = false;
  /// Run time over estimate at this endpoint, in thousandths; see RunHealth.
  std::uint32_t SlownessPermille_ = 1000;
  /// Share of recent runs at this endpoint that failed, in thousandths.
  std::uint32_t FailedPermille_ = 0;
  /// The strictest isolation of the runs at this endpoint.
  Isolation Isolation_ = Isolation::Any;
  /// Route of all runs at this endpoint; empty if there are none or several
  /// routes have some.
  std::string Route_;
  /// Revision of the agent's set of cordoned zones; 0 if it knows none.
  std::uint64_t CordonRevision_ = 0;
  /// The endpoint's zone is cordoned, as far as the agent knows.
  bool Cordoned_ = false;
  /// Usable_ is false only because the zone is cordoned, or because the agent
  /// does not know yet which zones are. Like Usable_, it means that no run of
  /// an earlier process of this agent is left at the endpoint.
  bool CordonOnly_ = false;
  /// Share of Capacity_ that the endpoint offers now, in thousandths: less than
  /// 1000 while it is cold. Free_ is what is left of this share.
  std::uint32_t OfferedPermille_ = 1000;
  static constexpr auto fields() {
    return std::make_tuple(
        &EndpointReport::Endpoint_, &EndpointReport::Service_,
        &EndpointReport::Zone_, &EndpointReport::Rack_,
        &EndpointReport::Capacity_, &EndpointReport::Free_,
        &EndpointReport::AgentClock_, &EndpointReport::SeenSequence_,
        &EndpointReport::Usable_, &EndpointReport::SlownessPermille_,
        &EndpointReport::FailedPermille_, &EndpointReport::Isolation_,
        &EndpointReport::Route_, &EndpointReport::CordonRevision_,
        &EndpointReport::Cordoned_, &EndpointReport::CordonOnly_,
        &EndpointReport::OfferedPermille_);
  }
};

/// A run that was at an endpoint when it crashed.
struct CrashedRun {
  JobKey Job_;
  TaskIndex Index_;
  std::string Route_;
  /// Time from the start request to the report of the crash.
  Duration Age_{0};
  static constexpr auto fields() {
    return std::make_tuple(&CrashedRun::Job_, &CrashedRun::Index_,
                           &CrashedRun::Route_, &CrashedRun::Age_);
  }
};

/// Agent to every entry: this endpoint incarnation seems to have crashed, any
/// of these runs may be the cause. Says nothing about whether they have ended.
struct EndpointCrashed {
  std::string Endpoint_;
  /// As in EndpointIncarnation.
  std::uint64_t StartedMs_ = 0;
  /// Time since the crash was found.
  Duration Age_{0};
  std::vector<CrashedRun> Runs_;
  static constexpr auto fields() {
    return std::make_tuple(&EndpointCrashed::Endpoint_,
                           &EndpointCrashed::StartedMs_, &EndpointCrashed::Age_,
                           &EndpointCrashed::Runs_);
  }
};

/// Agent to every entry: withdraws EndpointCrashed, because the same
/// incarnation answers again.
struct EndpointAlive {
  std::string Endpoint_;
  std::uint64_t StartedMs_ = 0;
  static constexpr auto fields() {
    return std::make_tuple(&EndpointAlive::Endpoint_,
                           &EndpointAlive::StartedMs_);
  }
};

/// Entry to entry: this task, which was at an endpoint when it crashed, has
/// completed elsewhere and was not the cause.
struct SuspectCleared {
  JobKey Job_;
  TaskIndex Index_;
  static constexpr auto fields() {
    return std::make_tuple(&SuspectCleared::Job_, &SuspectCleared::Index_);
  }
};

/// Entry to an entry that connects: it is proved that tasks of this route crash
/// endpoints.
struct RouteConfined {
  std::string Route_;
  /// Time since the last crash by the route.
  Duration Age_{0};
  static constexpr auto fields() {
    return std::make_tuple(&RouteConfined::Route_, &RouteConfined::Age_);
  }
};

/// Entry to agent: on standby, the agent gets no runs from this entry for now
/// and reports to it rarely.
struct SetStandby {
  bool Standby_ = false;
  static constexpr auto fields() {
    return std::make_tuple(&SetStandby::Standby_);
  }
};

/// Entry to entry and to agent: the zones in which no run may start, as of a
/// position in the operators' stream. Of two sets, the one with the higher
/// revision holds.
struct ZoneCordons {
  /// Offset up to which the stream was considered; 0 if nothing is known.
  std::uint64_t Revision_ = 0;
  std::vector<ZoneName> Zones_;
  static constexpr auto fields() {
    return std::make_tuple(&ZoneCordons::Revision_, &ZoneCordons::Zones_);
  }
};

/// Entry to entry: text of the active configuration, as read from the store.
struct ConfigText {
  ConfigVersion Version_;
  std::string Text_;
  static constexpr auto fields() {
    return std::make_tuple(&ConfigText::Version_, &ConfigText::Text_);
  }
};

/// Entry to entry: the caller has cancelled this job.
struct CancelJob {
  JobKey Job_;
  static constexpr auto fields() { return std::make_tuple(&CancelJob::Job_); }
};

} // namespace chivelanding

#endif
