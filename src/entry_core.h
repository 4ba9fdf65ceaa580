#ifndef CHIVELANDING_ENTRY_CORE_H
#define CHIVELANDING_ENTRY_CORE_H

#include "events.h"
#include "job_owner.h"
#include "link.h"
#include "membership.h"
#include "recovery.h"
#include "scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chivelanding {

/// Callbacks through which an EntryCore acts on its process.
struct EntryActions {
  std::function<void(const PeerId &, Message)> Send_;
  /// Sends the complete answer to a waiting caller.
  std::function<void(ReplyId, const JobId &, const JobAnswer &)> Answer_;
  std::function<void(const Event &)> Log_;
  /// This incarnation was closed by an agent, or no agent is usable by it
  /// (Holder is then this entry). The process must create a new incarnation and
  /// pass it the result of takeRelays().
  std::function<void(const EntryId &Holder)> Closed_;
};

/// A submission to forward to the entry that has to answer it; not sent while
/// that entry is unreachable.
struct PendingRelay {
  ReplyId Reply_;
  EntryId To_;
  JobSpec Spec_;
  Time WaitingSince_;
  bool Sent_ = false;
};

/// The decision modules of one entry incarnation and the message flow between
/// them. Routes each submission to this entry's own jobs, to the owner of the
/// job, or to the recovery of a lost owner's jobs. Performs no I/O and reads no
/// clock.
class EntryCore {
public:
  /// Placement prefers agents in Zone, the availability zone of this entry.
  EntryCore(EntryId Self, OwnerLimits Limits, Duration LostAfter,
            PolicyConfig Policy, ZoneName Zone, std::uint64_t Seed,
            EntryActions Actions, Time Now);

  /// Replaces the scheduling policy: order, limits and placement.
  void setPolicy(PolicyConfig Policy, Time Now);

  const EntryId &self() const { return Self_; }
  OwnerToken token(Time Now) const { return Owner_.token(Now); }

  /// Handles a caller's submission. Reply must be a new id. The answer goes to
  /// EntryActions::Answer_, possibly before this function returns.
  void onSubmit(JobSpec Spec, ReplyId Reply, Time Now);
  void onCallerDisconnected(ReplyId Reply);
  void onCancel(const JobId &Job, Time Now);

  void onPeerUp(const PeerId &Peer, Time Now);
  void onPeerSuspected(const PeerId &Peer, Time Now);
  void onPeerReachable(const PeerId &Peer, Time Now);
  void onPeerLost(const PeerId &Peer, Time Now);
  void onMessage(const PeerId &From, const Message &M, Time Now);
  void onTimer(Time Now);

  /// Refuses new jobs from now on.
  void onDrain(Time Now);
  /// True if no job is open, no submission waits for another entry or for
  /// recovery, and no peer waits for the answer to a relayed submission.
  bool isIdle() const;
  std::size_t openJobs() const { return Owner_.openJobs(); }
  std::size_t waitingTasks() const { return Sched_.waiting(); }

  /// Removes and returns the submissions that wait for another entry.
  std::vector<PendingRelay> takeRelays();
  /// Forwards a submission taken from the previous incarnation.
  void resumeRelay(PendingRelay Relay, Time Now);

private:
  /// The peer that relayed a submission, and its id for the answer.
  struct RelayOrigin {
    EntryId Entry_;
    std::uint64_t RelayId_ = 0;
  };

  void route(JobSpec Spec, ReplyId Reply,
             const std::optional<EntryId> &RelayedBy, Time Now);
  void relay(PendingRelay Relay);
  void answerOwnerUnreachable(ReplyId Reply, const JobId &Job,
                              const EntryId &Owner);
  void answer(ReplyId Reply, const JobId &Job, const JobAnswer &Answer);
  void onEntryMessage(const EntryId &From, const Message &M, Time Now);
  void onAgentMessage(const AgentId &From, const Message &M, Time Now);
  void onRelaySubmit(const EntryId &From, const RelaySubmit &Submit, Time Now);
  void onRelayAnswer(const EntryId &From, const RelayAnswer &Answer);
  LostEntry makeLostEntry(const EntryId &Entry) const;
  void log(const EventType &Type, std::vector<EventField> Fields);
  void logHealthChanges();
  void sendUsage(Time Now);

  void apply(OwnerOutputs Outputs, Time Now);
  void apply(RecoveryOutputs Outputs, Time Now);
  void apply(MembershipOutputs Outputs, Time Now);

  EntryId Self_;
  EntryActions Actions_;
  Scheduler Sched_;
  JobOwner Owner_;
  Membership Members_;
  Recovery Recovery_;
  std::map<std::uint64_t, PendingRelay> Relays_;
  std::map<std::uint64_t, RelayOrigin> RelayOrigins_;
  /// Next reply id for a relayed submission; the process allocates the ids of
  /// callers.
  std::uint64_t NextRelayReply_;
  /// Connected entries, which exchange usage summaries.
  std::set<EntryId> Peers_;
  Time NextUsage_;
  bool Closed_ = false;
};

} // namespace chivelanding

#endif
