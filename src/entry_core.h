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

/// What an EntryCore asks of the process around it.
struct EntryActions {
  std::function<void(const PeerId &, Message)> Send_;
  /// The whole answer for a waiting caller.
  std::function<void(ReplyId, const JobId &, const JobAnswer &)> Answer_;
  std::function<void(const Event &)> Log_;
  /// This incarnation was closed by its agents. The process is to continue as
  /// a new one and to pass takeRelays() to it.
  std::function<void(const EntryId &Holder)> Closed_;
};

/// A caller's submission that another entry is to answer.
struct PendingRelay {
  ReplyId Reply_;
  EntryId To_;
  JobSpec Spec_;
  Time WaitingSince_;
  bool Sent_ = false;
};

/// The decision modules of one entry incarnation and the flow between them:
/// routes each submission to this entry's own jobs, to the owner, or to the
/// recovery of a lost owner's jobs. No I/O and no clock.
class EntryCore {
public:
  /// Zone is the availability zone of this entry, which placement prefers.
  EntryCore(EntryId Self, OwnerLimits Limits, Duration LostAfter,
            PolicyConfig Policy, ZoneName Zone, std::uint64_t Seed,
            EntryActions Actions, Time Now);

  /// Order, bounds and placement from now on.
  void setPolicy(PolicyConfig Policy, Time Now);

  const EntryId &self() const { return Self_; }
  OwnerToken token(Time Now) const { return Owner_.token(Now); }

  /// A caller's submission; Reply must not be used before. Its answer comes by
  /// EntryActions::Answer_, possibly before the return.
  void onSubmit(JobSpec Spec, ReplyId Reply, Time Now);
  void onCallerDisconnected(ReplyId Reply);
  void onCancel(const JobId &Job, Time Now);

  void onPeerUp(const PeerId &Peer, Time Now);
  void onPeerSuspected(const PeerId &Peer, Time Now);
  void onPeerReachable(const PeerId &Peer, Time Now);
  void onPeerLost(const PeerId &Peer, Time Now);
  void onMessage(const PeerId &From, const Message &M, Time Now);
  void onTimer(Time Now);

  /// No new jobs from now on.
  void onDrain(Time Now);
  /// True if no job is open and no submission waits for another entry.
  bool idle() const;
  std::size_t openJobs() const { return Owner_.openJobs(); }
  std::size_t waitingTasks() const { return Sched_.waiting(); }

  /// Submissions that wait for another entry, taken out of this incarnation.
  std::vector<PendingRelay> takeRelays();
  void resumeRelay(PendingRelay Relay, Time Now);

private:
  /// A peer that waits for the answer to its relayed submission.
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
  /// Numbers of relaying peers; callers' numbers come from the process.
  std::uint64_t NextRelayReply_;
  /// Entries in session, for the exchange of usage.
  std::set<EntryId> Peers_;
  Time NextUsage_;
  bool Closed_ = false;
};

} // namespace chivelanding

#endif
