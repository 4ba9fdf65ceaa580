#ifndef CHIVELANDING_START_CONTROLLER_H
#define CHIVELANDING_START_CONTROLLER_H

#include "credit.h"
#include "events.h"
#include "job.h"
#include "message.h"
#include "start_records.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace chivelanding {

/// Output: deliver a message to an entry.
struct SendToEntry {
  EntryId To_;
  Message Message_;
};

/// Output: start a task at the endpoint. onRunFinished must follow exactly
/// once.
struct RunTask {
  RunId Run_;
  JobId Job_;
  TaskIndex Index_;
  KindName Kind_;
  std::string Payload_;
};

/// Output: ask the endpoint to stop a run. Its end is still reported by
/// onRunFinished.
struct StopTask {
  RunId Run_;
};

using StartControllerOutput =
    std::variant<SendToEntry, RunTask, StopTask, LogEvent>;
using StartControllerOutputs = std::vector<StartControllerOutput>;

/// Limits of a gate.
struct StartControllerLimits {
  /// Tasks that may wait here beyond the endpoint's slots.
  std::uint32_t MaxQueuedTasks_ = 4;
  /// Bytes of results kept for jobs that are not ended.
  std::uint64_t ResultBytes_ = 64u << 20;
  /// How long records of closed or unconnected owners are kept.
  Duration Retention_ = std::chrono::minutes(10);
  /// Tasks of more urgent classes are not queued here but returned, because
  /// their owner can use the first free slot of the whole fleet for them.
  PriorityClass QueueFrom_;
};

/// The last gate before a task starts at an endpoint. It starts each (job,
/// task) at most once, accepts starts only from the job's owner or the holder
/// of a grant, and never again from an incarnation that it closed.
class StartController {
public:
  StartController(AgentId Self, StartControllerLimits Limits);

  StartControllerOutputs onEntryConnected(const EntryId &Entry, Time Now);
  StartControllerOutputs onEntryLost(const EntryId &Entry, Time Now);
  /// A silent entry holds no room of the endpoint until it is heard again.
  StartControllerOutputs onEntryUnreachable(const EntryId &Entry,
                                            bool IsUnreachable, Time Now);
  StartControllerOutputs onMessage(const EntryId &From, const Message &M,
                                   Time Now);
  StartControllerOutputs onRunFinished(RunId Run, RunOutcome Outcome,
                                       std::string Result, Duration RunTime,
                                       Time Now);
  /// The endpoint announced itself, or changed its attributes.
  StartControllerOutputs onEndpointAnnounced(const EndpointInfo &Info,
                                             Time Now);
  /// The endpoint no longer responds: its runs end as failures, and it has no
  /// slots until it is announced again.
  StartControllerOutputs onEndpointFailed(Time Now);
  /// No new work from now on; tasks that have not started are returned.
  StartControllerOutputs onLeaving(Time Now);
  StartControllerOutputs onTimer(Time Now);

  /// True once leaving, with nothing running or queued.
  bool drained() const;
  std::size_t running() const { return Runs_.size(); }
  std::size_t queued() const { return Queue_.size(); }
  /// Records of jobs, ended ones included.
  std::size_t records() const { return Records_.jobs(); }
  std::uint64_t resultBytes() const { return Records_.resultBytes(); }

private:
  struct QueuedTask {
    JobId Job_;
    TaskIndex Index_;
    KindName Kind_;
    std::optional<Time> Deadline_;
    std::string Payload_;
    EntryId Sender_;
    std::uint32_t Attempt_ = 0;
  };
  struct Run {
    JobId Job_;
    TaskIndex Index_;
  };
  struct EntryState {
    std::uint64_t StartsSeen_ = 0;
    std::optional<AgentReport> LastReport_;
  };

  void connect(const EntryId &Entry, Time Now);
  void onStarts(const EntryId &From, const StartTasks &Start, Time Now,
                StartControllerOutputs &Out);
  void acceptStart(const EntryId &From, const StartTasks &Start,
                   const TaskStart &Task, Time Now,
                   StartControllerOutputs &Out);
  bool answerFromRecords(const EntryId &From, const JobId &Job,
                         const TaskStart &Task, StartControllerOutputs &Out);
  std::optional<RejectReason> checkStart(const EntryId &From, const JobId &Job,
                                         PriorityClass Class) const;
  void onCancel(const EntryId &From, const CancelTasks &Cancel, Time Now,
                StartControllerOutputs &Out);
  void onJobEnded(const EntryId &From, const JobEnded &Ended);
  void onWithdraw(const EntryId &From, const WithdrawJobs &Withdraw, Time Now,
                  StartControllerOutputs &Out);
  void onEpochsExpired(const EntryId &From, const EpochsExpired &Expired);
  void onClose(const EntryId &From, const EntryId &Entry, Time Now,
               StartControllerOutputs &Out);
  void fence(const EntryId &From, const EntryId &Entry, Time Now,
             StartControllerOutputs &Out);
  void onTransfer(const EntryId &From, const TransferGrant &Transfer, Time Now,
                  StartControllerOutputs &Out);

  std::uint32_t slots() const;
  bool isLeaving() const;
  void queueRejection(const EntryId &To, const JobId &Job, TaskIndex Index,
                      std::uint32_t Attempt, RejectReason Reason);
  void rejectAndRecord(const EntryId &From, const JobId &Job, TaskIndex Index,
                       std::uint32_t Attempt, RejectReason Reason, Time Now);
  void returnQueued(const std::function<bool(const QueuedTask &)> &Wanted,
                    RejectReason Reason, Time Now);
  void startQueued(Time Now, StartControllerOutputs &Out);
  void endRun(RunId Run, RunOutcome Outcome, std::string Result,
              Duration RunTime, StartControllerOutputs &Out);
  void finishInput(Time Now, StartControllerOutputs &Out);
  void sendReports(StartControllerOutputs &Out);
  void sendEndpoint(const EntryId &To, StartControllerOutputs &Out) const;
  void send(const EntryId &To, Message M, StartControllerOutputs &Out) const;
  void sendHoldings(const EntryId &Owner, const EntryId &To,
                    StartControllerOutputs &Out) const;

  AgentId Self_;
  StartControllerLimits Limits_;
  std::optional<EndpointInfo> Endpoint_;
  bool Leaving_ = false;
  std::uint64_t NextRun_ = 1;
  std::uint64_t NextArrival_ = 1;
  /// Connected entries.
  std::map<EntryId, EntryState> Entries_;
  CreditDivider Credit_;
  StartRecords Records_;
  std::map<QueueKey, QueuedTask> Queue_;
  std::map<RunId, Run> Runs_;
  /// Rejections of the input in hand, one message per job and reason.
  std::vector<std::pair<EntryId, TasksRejected>> Rejections_;
};

} // namespace chivelanding

#endif
