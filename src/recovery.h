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

/// An agent that a lost entry may have used, and for which service.
struct UsedAgent {
  AgentId Agent_;
  ServiceName Service_;
  friend bool operator<(const UsedAgent &A, const UsedAgent &B) {
    return std::tie(A.Agent_, A.Service_) < std::tie(B.Agent_, B.Service_);
  }
};

/// What membership knows of a lost entry incarnation.
struct LostEntry {
  EntryId Entry_;
  /// Agents that the entry announced to this entry; if it was not a
  /// synchronized peer, every agent that this entry knows.
  std::vector<UsedAgent> Agents_;
  /// True if this entry acknowledged every agent before the lost entry used it.
  bool Synchronized_ = false;
};

/// A submission whose owner is lost. RelayedBy_ is set if a peer relayed it; it
/// is then never relayed again.
struct ResumeRequest {
  JobSpec Spec_;
  ReplyId Reply_;
  std::optional<EntryId> RelayedBy_;
};

/// Output: give the job to JobOwner::onAdopt.
struct AdoptJob {
  AdoptedJob Job_;
  ReplyId Reply_;
};

using RecoveryOutput =
    std::variant<SendToAgent, GiveAnswer, AdoptJob, RelayToEntry, LogEvent>;
using RecoveryOutputs = std::vector<RecoveryOutput>;

/// Time that an agent has to report its holdings; after it, the state of the
/// lost owner's tasks at that agent is unknown.
constexpr Duration RecoveryWait = std::chrono::seconds(5);
/// Time for which collected holdings are kept. It is shorter than the agents'
/// own retention, so an agent never forgets a record that is still used here.
constexpr Duration RecoveryRetention = std::chrono::minutes(5);

/// Closes lost entry incarnations at their agents, collects what the agents
/// hold of their jobs, and hands each resubmitted job to JobOwner.
class Recovery {
public:
  explicit Recovery(EntryId Self);

  /// A submission whose token names a lost entry and which JobOwner does not
  /// know.
  RecoveryOutputs onSubmit(ResumeRequest Request, const LostEntry &Owner,
                           Time Now);
  void onReplyGone(ReplyId Reply);
  /// Takes IncarnationClosed, and TaskFinished of jobs that are not adopted
  /// yet; ignores all other messages.
  RecoveryOutputs onAgentMessage(const AgentId &Agent, const Message &M,
                                 Time Now);
  RecoveryOutputs onAgentLost(const AgentId &Agent, Time Now);
  /// An entry is lost. If it holds grants that this entry waits for, they are
  /// taken over by closing it.
  RecoveryOutputs onEntryLost(const LostEntry &Entry, Time Now);
  /// This entry was closed; waiting submissions go to Holder.
  RecoveryOutputs onSelfClosed(const EntryId &Holder, Time Now);
  RecoveryOutputs onTimer(Time Now);

  /// Submissions that wait for holdings.
  std::size_t waiting() const;

private:
  enum class CloseState : std::uint8_t {
    Pending,
    Granted,
    HeldByOther,
    Silent
  };
  struct AgentClose {
    CloseState State_ = CloseState::Pending;
    std::set<ServiceName> Services_;
    EntryId Holder_;
    Time Deadline_;
    /// False if the agent has dropped records of the owner's jobs.
    bool Complete_ = true;
  };
  struct Held {
    HeldTask Task_;
    AgentId Agent_;
    /// The agent was lost while the task ran.
    bool Lost_ = false;
  };
  using HeldTasks = std::map<TaskIndex, Held>;
  struct OwnerState {
    bool Synchronized_ = false;
    /// The entry that was yielded to.
    std::optional<EntryId> YieldedTo_;
    std::map<AgentId, AgentClose> Agents_;
    std::map<JobId, HeldTasks> Holdings_;
    /// Jobs handed to JobOwner; their holdings are not used twice.
    std::set<JobId> Adopted_;
    std::vector<ResumeRequest> Waiting_;
    Time Started_;
    bool Expired_ = false;
  };

  void addAgents(const EntryId &Owner, OwnerState &S, const LostEntry &From,
                 Time Now, RecoveryOutputs &Out);
  void close(const EntryId &Owner, const AgentId &Agent, Time Now,
             RecoveryOutputs &Out);
  void onClosed(const AgentId &Agent, const IncarnationClosed &C, Time Now,
                RecoveryOutputs &Out);
  void onFinished(const AgentId &Agent, const TaskFinished &F);
  void yieldTo(const EntryId &Owner, OwnerState &S, const EntryId &Holder,
               RecoveryOutputs &Out);
  void resolve(const EntryId &Owner, OwnerState &S, RecoveryOutputs &Out);
  bool isReady(const OwnerState &S, const ServiceName &Service) const;
  bool isProved(const OwnerState &S, const ServiceName &Service) const;
  AdoptedJob adopt(OwnerState &S, JobSpec Spec) const;
  void relay(ResumeRequest Request, const EntryId &To, RecoveryOutputs &Out);
  void answer(const ResumeRequest &Request, const char *Code,
              const char *Detail, RecoveryOutputs &Out);

  EntryId Self_;
  std::map<EntryId, OwnerState> Owners_;
};

} // namespace chivelanding

#endif
