#ifndef CHIVELANDING_RECOVERY_H
#define CHIVELANDING_RECOVERY_H

#include "events.h"
#include "job_owner.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace chivelanding {

/// An agent that is asked to close the incarnation of a lost entry.
struct LostEntryAgent {
  AgentId Agent_;
  ServiceName Service_;
  /// True if the lost entry announced the agent, and so may have sent tasks to
  /// it. The report of any other agent is no evidence about tasks, but shows
  /// whether another entry recovers the same owner.
  bool Announced_ = true;
  /// Token epoch in which the lost entry stopped using the agent. Tasks of jobs
  /// of later epochs were never sent to it.
  std::optional<Epoch> AbandonedInEpoch_;
};

/// What this entry's membership knows of a lost entry incarnation.
struct LostEntry {
  EntryId Entry_;
  /// Agents that the lost entry announced to this entry, and all other agents
  /// that this entry knows.
  std::vector<LostEntryAgent> Agents_;
  /// True if this entry acknowledged every agent before the lost entry used it.
  bool Synchronized_ = false;
};

/// A submission whose owner is lost. RelayedBy_ is set if another entry relayed
/// it; such a submission is not relayed again.
struct ResumeRequest {
  JobSpec Spec_;
  ReplyId Reply_;
  std::optional<EntryId> RelayedBy_;
};

/// Output: pass the job to JobOwner::onAdopt.
struct AdoptJob {
  AdoptedJob Job_;
  ReplyId Reply_;
};

using RecoveryOutput =
    std::variant<SendToAgent, SendAnswer, AdoptJob, RelayToEntry, LogEvent>;
using RecoveryOutputs = std::vector<RecoveryOutput>;

/// Timeout for an agent's report of its task records, and for the transfer of a
/// grant by another entry. Without the report, the state of the lost owner's
/// tasks at that agent is unknown.
constexpr Duration RecoveryTimeout = std::chrono::seconds(5);
/// Time for which collected task records are kept. It is shorter than the
/// agents' own retention, so that no agent drops a record that is still used
/// here.
constexpr Duration RecoveryRetention = std::chrono::minutes(5);

/// Rendezvous hash of a recoverer for an owner. Of two recoverers that hold
/// grants, the one with the lower rank transfers its grants to the other.
std::uint64_t rendezvousRank(const EntryId &Recoverer, const EntryId &Owner);

/// Closes the incarnations of lost entries at the agents, collects the agents'
/// task records, and passes each resubmitted job to JobOwner. Messages and
/// losses of agents must be passed to both JobOwner and Recovery.
class Recovery {
public:
  explicit Recovery(EntryId Self);

  /// Handles a submission whose token names a lost entry and whose job JobOwner
  /// does not know.
  RecoveryOutputs onSubmit(ResumeRequest Request, const LostEntry &Owner,
                           Time Now);
  void onCallerDisconnected(ReplyId Reply);
  /// Handles IncarnationClosed, and TaskFinished of jobs that are not adopted
  /// yet; ignores all other messages.
  RecoveryOutputs onAgentMessage(const AgentId &Agent, const Message &M,
                                 Time Now);
  RecoveryOutputs onAgentLost(const AgentId &Agent, Time Now);
  /// Records the loss of an entry. If it holds grants that this entry waits
  /// for, its incarnation is closed too, which passes its grants on.
  RecoveryOutputs onEntryLost(const LostEntry &Entry, Time Now);
  /// The incarnation of this entry was closed; waiting and later submissions
  /// are relayed to Holder.
  RecoveryOutputs onSelfClosed(const EntryId &Holder, Time Now);
  RecoveryOutputs onTimer(Time Now);

  /// Number of submissions that wait for agents' reports.
  std::size_t waiting() const;

private:
  enum class CloseState : std::uint8_t {
    Pending,
    Granted,
    HeldByOther,
    Unreachable
  };
  struct AgentClose {
    CloseState State_ = CloseState::Pending;
    /// Services of the agent; empty if it is known from its report only.
    std::set<ServiceName> Services_;
    bool Announced_ = false;
    std::optional<Epoch> AbandonedInEpoch_;
    EntryId Holder_;
    /// Deadline of the agent's report, or of a transfer by Holder_.
    Time Deadline_;
    /// False if the agent has dropped records of the owner's jobs.
    bool Complete_ = true;
    /// The agent was lost, before or after its report.
    bool AgentLost_ = false;
  };
  struct ReportedTask {
    HeldTask Task_;
    AgentId Agent_;
    /// The agent was lost while the task ran.
    bool AgentLost_ = false;
  };
  struct ReportedJob {
    std::map<TaskIndex, ReportedTask> Tasks_;
    bool Ended_ = false;
  };
  struct OwnerState {
    bool Synchronized_ = true;
    /// The entry to which this entry yielded its grants.
    std::optional<EntryId> YieldedTo_;
    std::map<AgentId, AgentClose> Agents_;
    std::map<JobId, ReportedJob> Jobs_;
    /// Oldest epoch of which no reporting agent has dropped records.
    Epoch Oldest_;
    /// Jobs passed to JobOwner; their task records are not used again.
    std::set<JobId> Adopted_;
    std::vector<ResumeRequest> Waiting_;
    Time Started_;
    /// The task records are dropped; every job is answered as unknown.
    bool Expired_ = false;
  };

  OwnerState &ownerState(const EntryId &Owner, Time Now);
  void addAgents(const EntryId &Owner, OwnerState &S, const LostEntry &From,
                 Time Now, RecoveryOutputs &Out);
  void sendClose(const EntryId &Owner, const AgentId &Agent, AgentClose &A,
                 Time Now, RecoveryOutputs &Out);
  void onClosed(const AgentId &Agent, const IncarnationClosed &C, Time Now,
                RecoveryOutputs &Out);
  void onGrantAfterYield(const EntryId &Owner, OwnerState &S, Time Now,
                         RecoveryOutputs &Out);
  void mergeReport(OwnerState &S, const AgentId &Agent,
                   const IncarnationClosed &C);
  void onFinished(const AgentId &Agent, const TaskFinished &F);
  void closeLostHolders(const EntryId &Owner, OwnerState &S, Time Now,
                        RecoveryOutputs &Out);
  std::optional<EntryId> yieldTarget(const EntryId &Owner, const OwnerState &S,
                                     Time Now) const;
  void yieldTo(const EntryId &Owner, OwnerState &S, const EntryId &Holder,
               RecoveryOutputs &Out);
  void resolveWaiting(const EntryId &Owner, OwnerState &S, Time Now,
                      RecoveryOutputs &Out);
  AdoptedJob adopt(OwnerState &S, JobSpec Spec) const;
  void relay(ResumeRequest Request, const EntryId &To, RecoveryOutputs &Out);

  static bool isRelevant(const AgentClose &A, const JobSpec &Spec);
  static bool isReady(const OwnerState &S, const JobSpec &Spec, Time Now);
  static bool provesNotStarted(const OwnerState &S, const JobSpec &Spec);

  EntryId Self_;
  std::optional<EntryId> ClosedBy_;
  std::map<EntryId, OwnerState> Owners_;
  /// Entries that were reported lost, for the case that they hold grants.
  std::map<EntryId, LostEntry> LostEntries_;
};

} // namespace chivelanding

#endif
