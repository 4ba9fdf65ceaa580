#ifndef CHIVELANDING_AGENT_GATE_H
#define CHIVELANDING_AGENT_GATE_H

#include "events.h"
#include "job.h"
#include "message.h"

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace chivelanding {

/// Number of one run of a task at this agent.
using RunId = Number<struct RunIdTag>;

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

using GateOutput = std::variant<SendToEntry, RunTask, StopTask, LogEvent>;
using GateOutputs = std::vector<GateOutput>;

/// Limits of a gate.
struct GateLimits {
  /// Tasks that may wait here beyond the endpoint's slots.
  std::uint32_t QueueRoom_ = 4;
  /// Bytes of results kept for jobs that are not ended.
  std::uint64_t ResultBytes_ = 64u << 20;
  /// How long records of closed or lost owners are kept.
  Duration Retention_ = std::chrono::minutes(10);
};

/// The last gate before a task starts at an endpoint. It starts each (job,
/// task) at most once, accepts starts only from the job's owner or the holder
/// of a grant, and never again from an incarnation that it closed.
class AgentGate {
public:
  AgentGate(AgentId Self, GateLimits Limits);

  GateOutputs onEntryConnected(const EntryId &Entry, Time Now);
  GateOutputs onEntryLost(const EntryId &Entry, Time Now);
  GateOutputs onMessage(const EntryId &From, const Message &M, Time Now);
  GateOutputs onRunFinished(RunId Run, RunOutcome Outcome, std::string Result,
                            Duration RunTime, Time Now);
  /// The endpoint announced itself, or changed its attributes.
  GateOutputs onEndpointAnnounced(const EndpointInfo &Info, Time Now);
  /// The endpoint no longer responds: its runs end as failures, and it has no
  /// slots until it is announced again.
  GateOutputs onEndpointFailed(Time Now);
  /// No new work from now on; tasks that have not started are returned.
  GateOutputs onLeaving(Time Now);
  GateOutputs onTimer(Time Now);

  /// True once leaving, with nothing running or queued.
  bool drained() const;
  std::size_t running() const { return Runs_.size(); }
  std::size_t queued() const { return Queue_.size(); }

private:
  enum class State : std::uint8_t { Queued, Running, Finished, Refused };
  struct TaskRecord {
    State State_ = State::Queued;
    RunOutcome Outcome_ = RunOutcome::Failure;
    std::string Result_;
    RunId Run_;
  };
  struct JobRecord {
    EntryId Sender_;
    bool Ended_ = false;
    std::map<TaskIndex, TaskRecord> Tasks_;
  };
  struct QueuedTask {
    JobId Job_;
    TaskIndex Index_;
    KindName Kind_;
    PriorityClass Class_;
    std::optional<Time> Deadline_;
    std::string Payload_;
  };
  struct Run {
    JobId Job_;
    TaskIndex Index_;
  };
  struct EntryState {
    std::uint64_t StartsSeen_ = 0;
  };

  void onStart(const EntryId &From, const StartTasks &Start, Time Now,
               GateOutputs &Out);
  void onCancel(const EntryId &From, const CancelTasks &Cancel,
                GateOutputs &Out);
  void onClose(const EntryId &From, const CloseIncarnation &Close, Time Now,
               GateOutputs &Out);
  void onTransfer(const EntryId &From, const TransferGrant &Transfer);
  bool mayStart(const EntryId &From, const JobId &Job) const;
  void reject(const EntryId &To, const JobId &Job, TaskIndex Index,
              RejectReason Reason, GateOutputs &Out);
  void dropQueued(const EntryId &Sender);
  void startQueued(Time Now, GateOutputs &Out);
  void report(GateOutputs &Out);
  void announce(const EntryId &To, GateOutputs &Out);

  AgentId Self_;
  GateLimits Limits_;
  std::optional<EndpointInfo> Endpoint_;
  bool Leaving_ = false;
  std::uint64_t NextRun_ = 1;
  std::map<EntryId, EntryState> Entries_;
  /// Closed incarnations and the holders of the grants for their jobs.
  std::map<EntryId, EntryId> Closed_;
  std::map<JobId, JobRecord> Jobs_;
  std::vector<QueuedTask> Queue_;
  std::map<RunId, Run> Runs_;
};

} // namespace chivelanding

#endif
