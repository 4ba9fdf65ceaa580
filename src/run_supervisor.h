#ifndef CHIVELANDING_RUN_SUPERVISOR_H
#define CHIVELANDING_RUN_SUPERVISOR_H

#include "endpoint_port.h"
#include "events.h"
#include "lease_plan.h"
#include "message.h"
#include "run_health.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// Numbers a call that the gate asked for.
using EndpointCallId = Number<struct EndpointCallIdTag>;

/// Output: make this call and report its answer under Id_.
struct MakeStart {
  EndpointCallId Id_;
  StartCall Call_;
};
struct MakeStop {
  EndpointCallId Id_;
  StopCall Call_;
};
struct MakePoll {
  EndpointCallId Id_;
  PollCall Call_;
};
/// Output: send a message to an entry.
struct MessageToEntry {
  EntryId To_;
  Message Message_;
};

using RunSupervisorOutput =
    std::variant<MakeStart, MakeStop, MakePoll, MessageToEntry, LogEvent>;
using RunSupervisorOutputs = std::vector<RunSupervisorOutput>;

/// Leases and periods of an agent that runs tasks under leases.
struct RunSupervisorLimits {
  RunLeases Leases_;
  /// Longest wait of a list call for an end; bounds the age of the progress.
  Duration PollWait_ = std::chrono::milliseconds(150);
  /// Pause before an unanswered stop call is repeated.
  Duration StopRetryPause_ = std::chrono::milliseconds(120);
  /// Pause between list calls that fail.
  Duration PollRetryPause_ = std::chrono::milliseconds(40);
  /// Period of reports without a large change; well below the owner lease,
  /// which they renew. Each entry that uses this agent gets them.
  Duration ReportPeriod_ = std::chrono::milliseconds(240);
  /// The same for entries that have this agent on standby. They need no more
  /// than to know that the endpoint is usable.
  Duration StandbyReportPeriod_ = std::chrono::seconds(5);
  /// Shortest time between two reports that no end goes with: this and as much
  /// again for each entry, which gets such reports from all agents it uses.
  Duration ReportPause_ = std::chrono::milliseconds(6);
};

/// The agent's decisions for tasks that run under leases and may be started
/// again elsewhere after they ended: which runs may start at the endpoint, when
/// they are stopped, and when nothing of them is left. Decides without I/O.
///
/// A run keeps its resources until the endpoint has listed its end, confirmed a
/// stop, lost its lease or begun another life; only then is its owner told.
class RunSupervisor {
public:
  /// Token orders the processes of this agent: a later one has a higher token.
  RunSupervisor(RunSupervisorLimits Limits, std::uint64_t Token);

  RunSupervisorOutputs onAnnounced(const EndpointIncarnation &Endpoint,
                                   Time Now);
  /// The endpoint's life as kept from before this process, unless it has
  /// announced itself already. It is used only if the endpoint confirms it.
  RunSupervisorOutputs onRestored(const EndpointIncarnation &Endpoint,
                                  Time Now);
  /// The endpoint's life of this id has ended in an orderly way.
  RunSupervisorOutputs onWithdrawn(const std::string &Id, Time Now);
  RunSupervisorOutputs onEntryUp(const EntryId &Entry, Time Now);
  RunSupervisorOutputs onEntryLost(const EntryId &Entry, Time Now);
  RunSupervisorOutputs onMessage(const EntryId &From, const Message &M,
                                 Time Now);
  RunSupervisorOutputs onStartAnswer(EndpointCallId Id,
                                     const StartStopAnswer &A, Time Now);
  RunSupervisorOutputs onStopAnswer(EndpointCallId Id, const StartStopAnswer &A,
                                    Time Now);
  RunSupervisorOutputs onPollAnswer(EndpointCallId Id,
                                    const Result<PollAnswer> &A, Time Now);
  RunSupervisorOutputs onTimer(Time Now);
  /// Starts nothing more; the runs at work go on.
  RunSupervisorOutputs onDrain(Time Now);

  std::size_t runs() const { return Runs_.size(); }
  const std::optional<EndpointIncarnation> &endpoint() const {
    return Endpoint_;
  }
  bool usable() const;
  Resources held() const { return Held_; }

private:
  /// Step of the fencing token when the endpoint has seen a higher one, in
  /// milliseconds of time of day: more than any step of a clock that was
  /// observed.
  static constexpr std::uint64_t TokenStep = 60'000;

  enum class State : std::uint8_t { Starting, Running, Stopping };
  struct Run {
    EntryId Owner_;
    std::uint32_t Attempt_ = 0;
    std::uint64_t Submission_ = 0;
    /// Number of the run at the endpoint.
    std::uint32_t Number_ = 0;
    Resources Need_;
    Duration Estimate_{0};
    /// Kept until the start is answered, for a repetition.
    std::string Payload_;
    State State_ = State::Starting;
    Time Dispatched_;
    Time StartAnswered_;
    std::uint32_t Percent_ = 0;
    std::uint32_t Renumberings_ = 0;
    /// Starts sent again after one without an answer.
    std::uint32_t Resends_ = 0;
    /// True while a start may still be carried out that was never answered.
    bool StartUnanswered_ = false;
    /// The present life of the endpoint has listed it as at work.
    bool Listed_ = false;
    Time StopSent_;
    std::optional<Time> StopAccepted_;
    Time LastSlowReport_;
  };
  using Runs = std::map<TaskKey, Run>;
  struct Call {
    TaskKey Task_;
    std::uint32_t Run_ = 0;
    Time Sent_;
    std::optional<std::uint64_t> LeaseEndMs_;
  };
  struct Owner {
    Time LeaseEnd_;
    std::uint64_t SeenSequence_ = 0;
    Time LastReport_;
    bool ReportDue_ = true;
    bool Standby_ = false;
    /// Free processor in the last report.
    std::uint32_t ReportedCpu_ = 0;
    std::vector<EndedRun> Ended_;
    std::vector<SlowRun> Slow_;
  };

  void startRun(const EntryId &From, const StartRuns &M, const RunStart &R,
                Time Now);
  void makeStart(const TaskKey &Key, Run &R, Time Now);
  void stopRun(const TaskKey &Key, Run &R, const char *Reason, Time Now);
  void makeStop(const TaskKey &Key, std::uint32_t Number, Time Now);
  void makePoll(Duration Wait, Time Now);
  void refuseRun(const EntryId &To, RunRef Ref, RunEnding Why);
  Runs::iterator finishRun(Runs::iterator It, RunEnding Ending, Time Now);
  void endRunsAfterLease(Time Now);
  void beginIncarnation(const EndpointIncarnation &Endpoint, Time Now);
  void applyEnds(const PollAnswer &A, Time Now);
  void applyRunning(const PollAnswer &A, Time Sent, Time Now);
  void checkProgress(const TaskKey &Key, Run &R, Time Now);
  void syncClock(std::uint64_t ClockMs, Time Now);
  std::uint64_t leaseEnd(Time Now) const;
  Time leaseExpiredBy() const;
  void setReachable(bool Reachable, const char *Reason, Time Now);
  void stopRunsOfExpiredOwners(Time Now);
  /// Reports to every entry soon.
  void markReportsDue();
  /// Reports soon to the entries whose last report differs much in room.
  void markReportsDueIfFreeChanged();
  bool mayResendStart(const Run &R, Time Now) const;
  static bool startOutcomeUnknown(const Run &R);
  Resources freeResources() const;
  EndpointReport report(const Owner &O, Time Now) const;
  void log(const EventType &Type, std::vector<EventField> Fields);
  RunSupervisorOutputs takeOutputs(Time Now);
  EndpointCallId record(Call C);
  /// The call of this number, which has been answered; nothing if it was
  /// before.
  std::optional<Call> takeCall(EndpointCallId Id);

  RunSupervisorLimits Limits_;
  std::uint64_t Token_;
  std::optional<EndpointIncarnation> Endpoint_;
  Runs Runs_;
  Resources Held_;
  /// Need of the last order: what a place is worth to the entries.
  std::uint32_t LastNeedCpu_ = 0;
  std::map<EntryId, Owner> Owners_;
  std::map<EndpointCallId, Call> Calls_;
  std::set<EndpointCallId> Polls_;
  std::uint64_t NextCall_ = 1;
  std::uint64_t Acknowledged_ = 0;
  /// The last known value of the endpoint's clock and when it was received.
  std::uint64_t ClockMs_ = 0;
  Time ClockAt_;
  /// Latest lease end that the endpoint may have taken.
  std::uint64_t LastLeaseEndMs_ = 0;
  /// The last list call was answered.
  bool Reachable_ = false;
  /// List calls without an answer since the last one that had one.
  std::uint32_t FailedPolls_ = 0;
  /// The endpoint lists no run that this process does not know.
  bool NoOrphans_ = false;
  bool Draining_ = false;
  /// Endpoint_ is from a former process, and the endpoint has not announced it
  /// yet.
  bool Restored_ = false;
  Time NextPoll_;
  /// Runs of former processes or of late orders, by the time of the last stop.
  std::map<TaskKey, Time> OrphanStops_;
  RunHealth Health_;
  RunSupervisorOutputs Out_;
};

} // namespace chivelanding

#endif
