#ifndef CHIVELANDING_RUN_SUPERVISOR_H
#define CHIVELANDING_RUN_SUPERVISOR_H

#include "cold_start.h"
#include "cordon_table.h"
#include "endpoint_port.h"
#include "events.h"
#include "lease_plan.h"
#include "message.h"
#include "run_health.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chivelanding {

/// Identifies a call of the endpoint that the supervisor asked for.
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
  /// Longest wait of a poll for an end; bounds the age of the progress.
  Duration PollWait_ = std::chrono::milliseconds(150);
  /// Pause before an unanswered stop call is repeated.
  Duration StopRetryPause_ = std::chrono::milliseconds(40);
  /// Pause before the next poll while the endpoint is unreachable.
  Duration PollRetryPause_ = std::chrono::milliseconds(40);
  /// Period of reports to each entry that uses this agent. They renew the owner
  /// lease, so the period is well below it. A large change is reported sooner.
  Duration ReportPeriod_ = std::chrono::milliseconds(240);
  /// Period of reports to entries that have this agent on standby, which only
  /// need to know whether the endpoint is usable.
  Duration StandbyReportPeriod_ = std::chrono::seconds(5);
  /// Shortest interval between two reports that carry no ended runs, multiplied
  /// by one plus the number of entries, since each entry gets such reports from
  /// all agents that it uses.
  Duration MinReportInterval_ = std::chrono::milliseconds(6);
  /// No run starts before an entry has sent which zones are cordoned.
  bool NeedsCordons_ = false;
};

/// Decides for an agent whose tasks run under leases and may be started again
/// elsewhere once they have ended: which runs may start at the endpoint, when
/// they are stopped, and when they are over. Makes no I/O; the caller carries
/// out the outputs.
///
/// A run keeps its resources until the endpoint has refused its start or listed
/// its end, a poll after a confirmed start or stop no longer lists it, the
/// endpoint lease has expired, or a new incarnation of the endpoint has begun.
/// Its owner is notified only then.
class RunSupervisor {
public:
  /// Token is the fencing token: a later process of this agent has a higher
  /// one.
  RunSupervisor(RunSupervisorLimits Limits, std::uint64_t Token);

  RunSupervisorOutputs onAnnounced(const EndpointIncarnation &Endpoint,
                                   Time Now);
  /// Takes the incarnation of the endpoint that an earlier process saved,
  /// unless the endpoint has announced itself already. Runs are started only
  /// after the endpoint has confirmed it in a poll.
  RunSupervisorOutputs onRestored(const EndpointIncarnation &Endpoint,
                                  Time Now);
  /// The endpoint incarnation with this id shuts down in an orderly way and
  /// takes no new runs.
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
  /// This VM was suspended for this time, which the clock of the endpoint may
  /// not have counted.
  void onSuspended(Duration Length) { ClockAt_ += Length; }
  /// Refuses further starts; running tasks go on.
  RunSupervisorOutputs onDrain(Time Now);

  std::size_t runs() const { return Runs_.size(); }
  const std::optional<EndpointIncarnation> &endpoint() const {
    return Endpoint_;
  }
  /// True if runs may start here.
  bool usable() const;
  /// True if runs may start here or might but for a cordon of the zone.
  bool ready() const;
  /// The zone of the endpoint is cordoned.
  bool cordoned() const;
  /// Revision of the cordons that are in force here; zero if none is known.
  std::uint64_t cordonRevision() const { return Cordons_.current().Revision_; }
  /// Share of the endpoint's capacity that is offered, in thousandths; less
  /// than 1000 while it is cold.
  std::uint32_t offeredPermille() const { return OfferedPermille_; }
  Resources held() const { return Held_; }

private:
  /// Increment of the fencing token after the endpoint has seen a higher one,
  /// in milliseconds of Unix time: more than any clock step that was observed.
  static constexpr std::uint64_t TokenStep = 60'000;

  enum class State : std::uint8_t { Starting, Running, Stopping };
  struct Run {
    EntryId Owner_;
    std::string Route_;
    Isolation Isolation_ = Isolation::Any;
    std::uint32_t Attempt_ = 0;
    std::uint64_t Submission_ = 0;
    /// Number of the run at the endpoint.
    std::uint32_t Number_ = 0;
    Resources Need_;
    Duration Estimate_{0};
    /// Kept until a start is accepted, for repetitions of the start call.
    std::string Payload_;
    State State_ = State::Starting;
    /// Arrival of the start request.
    Time Dispatched_;
    /// Answer that confirmed the start.
    Time StartAnswered_;
    std::uint32_t Percent_ = 0;
    std::uint32_t Renumberings_ = 0;
    /// Start calls repeated after one without an answer.
    std::uint32_t Resends_ = 0;
    /// A start call has not been answered and may still be carried out.
    bool StartUnanswered_ = false;
    /// The current incarnation of the endpoint has listed it as running.
    bool Listed_ = false;
    Time StopSent_;
    std::optional<Time> StopAccepted_;
    /// Set when the owner gives the run up: until this time the endpoint lease
    /// may be renewed although no stop of the run has been confirmed.
    std::optional<Time> RenewableUntil_;
    Time LastSlowReport_;
    /// First answer to a poll that listed the run neither as running nor as
    /// ended, while more ends might follow.
    std::optional<Time> UnlistedAt_;
  };
  using Runs = std::map<TaskKey, Run>;
  struct Orphan {
    Time FoundAt_;
    Time StopSent_;
    /// A poll that was sent after the first stop call lists it as well.
    bool Stays_ = false;
  };
  struct Call {
    TaskKey Task_;
    std::uint32_t Run_ = 0;
    Time Sent_;
    std::optional<std::uint64_t> LeaseEndMs_;
    /// Last end that a poll acknowledges.
    std::uint64_t Acknowledged_ = 0;
  };
  struct Owner {
    Time LeaseEnd_;
    std::uint64_t SeenSequence_ = 0;
    Time LastReport_;
    bool ReportDue_ = true;
    bool Standby_ = false;
    /// Free processor in the last report, in thousandths of a core.
    std::uint32_t ReportedCpu_ = 0;
    std::vector<EndedRun> Ended_;
    std::vector<SlowRun> Slow_;
  };

  void startRuns(const EntryId &From, const StartRuns &M, Time Now);
  void startRun(const EntryId &From, const StartRuns &M, const RunStart &R,
                Time Now);
  void makeStart(const TaskKey &Key, Run &R, Time Now);
  void stopRun(const TaskKey &Key, Run &R, const char *Reason, Time Now);
  /// Stops a run on whose end its owner or a later one counts as soon as the
  /// owner lease and then the endpoint lease have expired.
  void giveUpRun(const TaskKey &Key, Run &R, Time OwnerLeaseEnd,
                 const char *Reason, Time Now);
  void makeStop(const TaskKey &Key, std::uint32_t Number, Time Now);
  void makePoll(Duration Wait, Time Now);
  void refuseRun(const EntryId &To, RunRef Ref, RunEnding Ending,
                 const EventType &Event = events::RunRefused);
  /// The conditions of usable() other than the zone.
  bool operable() const;
  /// True if the zone is cordoned, or if a set of cordons is required and none
  /// is known.
  bool zoneClosed() const;
  /// Logs a change of the cordon and has it reported to all entries at once.
  void updateCordoned();
  /// Adapts the offered share of a cold endpoint to the time.
  void updateOffered(Time Now);
  Resources offeredResources() const;
  /// True if there is room for this number of runs that need this in total. A
  /// single run may exceed the share that a cold endpoint offers if no other is
  /// there.
  bool hasRoom(const Resources &Need, std::size_t Runs) const;
  /// True if these runs and those at the endpoint tolerate each other.
  bool mayShareEndpoint(const StartRuns &M) const;
  /// Tells every entry which runs the endpoint had when it crashed.
  void reportCrash(const char *Reason, Time Now);
  void withdrawCrash();
  void reportEarlierCrashes(const EntryId &To, Time Now);
  Runs::iterator finishRun(Runs::iterator It, RunEnding Ending, Time Now);
  void endRunsAfterLease(Time Now);
  void beginIncarnation(const EndpointIncarnation &Endpoint, Time Now);
  /// What the ends in an answer to a poll show about those that it lacks.
  struct AppliedEnds {
    /// Ends whose numbers are not acknowledged.
    SkippedItems Skipped_;
    /// The answer lists ends that its poll did not acknowledge. The endpoint
    /// lists a bounded number of them, so others may follow.
    bool MoreMayFollow_ = false;
    /// Latest dispatch of a run whose end is listed. Runs that had ended by
    /// then have been listed as well.
    Time LastDispatched_;
  };
  AppliedEnds applyEnds(const PollAnswer &A, const Call &C, Time Now);
  /// The endpoint may delay the answer to the next poll until a run ends.
  bool mayPollWait() const;
  void applyRunning(const PollAnswer &A, const AppliedEnds &Ends, Time Sent,
                    Time Now);
  void checkProgress(const TaskKey &Key, Run &R, Time Now);
  void syncClock(std::uint64_t ClockMs, Time Now);
  /// The same for a clock in the endpoint's own answer. The first one replaces
  /// what the announcement of this incarnation said.
  void confirmClock(std::uint64_t ClockMs, Time Now);
  std::uint64_t leaseEnd(Time Now) const;
  Time leaseExpiredBy() const;
  /// Now, or an earlier time if a run that has been given up goes on: the
  /// endpoint lease is not renewed beyond what was due at that time.
  Time renewableUntil(Time Now) const;
  /// Adapts LeaseWithheld_ to renewableUntil().
  void updateLeaseWithheld(Time Now);
  void setReachable(bool Reachable, const char *Reason, Time Now);
  void stopRunsOfExpiredOwners(Time Now);
  /// Has the next report sent to every entry before its period ends.
  void markReportsDue();
  /// Has the next report sent early to entries whose last report differs much
  /// from the free processor. Entries that have the agent on standby are left
  /// out.
  void markReportsDueIfFreeChanged();
  bool mayResendStart(const Run &R, Time Now) const;
  static bool startOutcomeUnknown(const Run &R);
  Resources freeResources() const;
  EndpointReport report(const Owner &O, Time Now) const;
  void log(const EventType &Type, std::vector<EventField> Fields);
  RunSupervisorOutputs takeOutputs(Time Now);
  EndpointCallId recordCall(Call C);
  /// Removes and returns the call with this id; nothing if it was answered
  /// before.
  std::optional<Call> takeCall(EndpointCallId Id);

  RunSupervisorLimits Limits_;
  std::uint64_t Token_;
  std::optional<EndpointIncarnation> Endpoint_;
  Runs Runs_;
  Resources Held_;
  /// Processor need of the last accepted start request, in thousandths of a
  /// core. Used as the size of one slot to decide whether a slot became free.
  std::uint32_t LastNeedCpu_ = 0;
  std::map<EntryId, Owner> Owners_;
  std::map<EndpointCallId, Call> Calls_;
  std::set<EndpointCallId> Polls_;
  std::uint64_t NextCall_ = 1;
  std::uint64_t Acknowledged_ = 0;
  /// The last known value of the endpoint's clock and when it was received.
  std::uint64_t ClockMs_ = 0;
  Time ClockAt_;
  /// Latest lease end that the endpoint may have accepted, on its clock.
  std::uint64_t LastLeaseEndMs_ = 0;
  /// The endpoint answers polls. Set by an answer; cleared by two polls in a
  /// row without an answer, or by one error other than a time-out.
  bool Reachable_ = false;
  /// The last answer to a poll left a run unlisted: more ends may follow.
  bool HasUnlistedRuns_ = false;
  /// Failed polls since the last answer.
  std::uint32_t FailedPolls_ = 0;
  /// The last poll listed no orphaned runs: runs that this process does not
  /// know.
  bool NoOrphans_ = false;
  bool Draining_ = false;
  /// The endpoint lease has not been renewed for a while, so that new runs
  /// would likely end with it.
  bool LeaseWithheld_ = false;
  /// ClockMs_ is from an answer of the endpoint, not from an announcement,
  /// which another process may have written.
  bool ClockConfirmed_ = false;
  /// The endpoint's first isolated run was started or its last one has ended
  /// since the last reports.
  bool IsolationChanged_ = false;
  CordonTable Cordons_;
  /// Results of cordoned() and zoneClosed() at the last check for a change.
  bool WasCordoned_ = false;
  bool WasClosed_ = false;
  /// One of them has changed since the last reports.
  bool CordonChanged_ = false;
  ColdStart Cold_;
  std::uint32_t OfferedPermille_ = WholeSharePermille;
  /// Offered processor, in thousandths of a core, when a report was last sent
  /// early because of it.
  std::uint32_t ReportedOfferCpu_ = 0;
  /// Endpoint_ was saved by an earlier process, and the endpoint has not
  /// announced it yet.
  bool Restored_ = false;
  Time NextPoll_;
  /// Crashes of the endpoint, the latest last, for entries that connect later.
  std::deque<std::pair<Time, EndpointCrashed>> Crashes_;
  /// The last of Crashes_ is that of the current incarnation.
  bool CrashReported_ = false;
  /// Orphaned runs, which an earlier process or a late start has left at the
  /// endpoint.
  std::map<TaskKey, Orphan> Orphans_;
  RunHealth Health_;
  SkippedItemLog SkippedItems_{"runs"};
  RunSupervisorOutputs Out_;
};

} // namespace chivelanding

#endif
