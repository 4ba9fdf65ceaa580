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

/// Limits of a start controller.
struct StartControllerLimits {
  /// Tasks that may be queued at the agent beyond the endpoint's slots.
  std::uint32_t MaxQueuedTasks_ = 4;
  /// Bytes of results kept for jobs that have not ended.
  std::uint64_t ResultBytes_ = 64u << 20;
  /// Time for which records of closed or disconnected owners are kept.
  Duration Retention_ = std::chrono::minutes(10);
  /// Most urgent class that is queued at the agent. Tasks of more urgent
  /// classes are rejected instead, so that their owner can send them to the
  /// first slot that becomes free at any agent.
  PriorityClass QueueFrom_;
};

/// Decides at the agent which tasks start at the endpoint. Starts each (job,
/// task) at most once. Accepts start requests only from the job's owner or,
/// once it has closed the owner, from the holder of the grant; a closed entry
/// incarnation can never start a task here again.
class StartController {
public:
  StartController(AgentId Self, StartControllerLimits Limits);

  StartControllerOutputs onEntryConnected(const EntryId &Entry, Time Now);
  StartControllerOutputs onEntryLost(const EntryId &Entry, Time Now);
  /// An unreachable entry gets no credit until it is reachable again.
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
  /// Accepts no new tasks from now on and rejects the queued ones.
  StartControllerOutputs onLeaving(Time Now);
  /// The configuration in force cordons the endpoint's zone, or no longer does:
  /// while it does, nothing starts. Running tasks are not affected.
  StartControllerOutputs onCordoned(bool IsCordoned, Time Now);
  StartControllerOutputs onTimer(Time Now);

  /// True if the agent is leaving and no task is running or queued.
  bool drained() const;
  bool cordoned() const { return Cordoned_; }
  std::size_t running() const { return Runs_.size(); }
  std::size_t queued() const { return Queue_.size(); }
  /// Number of job records, including those of ended jobs.
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
  /// Returns why the start was refused now.
  std::optional<RejectReason> acceptStart(const EntryId &From,
                                          const StartTasks &Start,
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
  bool Cordoned_ = false;
  std::uint64_t NextRun_ = 1;
  std::uint64_t NextArrival_ = 1;
  /// Connected entries.
  std::map<EntryId, EntryState> Entries_;
  CreditDivider Credit_;
  StartRecords Records_;
  std::map<QueueKey, QueuedTask> Queue_;
  std::map<RunId, Run> Runs_;
  /// Rejections caused by the current input. Consecutive ones with the same
  /// receiver, job, reason and attempt share a message.
  std::vector<std::pair<EntryId, TasksRejected>> Rejections_;
};

} // namespace chivelanding

#endif
