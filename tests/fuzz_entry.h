#ifndef CHIVELANDING_TESTS_FUZZ_ENTRY_H
#define CHIVELANDING_TESTS_FUZZ_ENTRY_H

#include "fuzz_node.h"

namespace chivelanding::fuzz {

/// An entry with the decision modules of the real one.
class EntryNode : public Node {
public:
  EntryNode(Environment &World, const PeerId &Self, const std::string &Zone,
            std::vector<std::string> Seeds);

  OwnerToken token() { return Owner_.token(now()); }
  void submit(RequestId Request, JobSpec Spec);
  void cancel(const JobId &Job);
  void drain() override;
  std::size_t openJobs() const { return Owner_.openJobs(); }
  bool accepts() const { return !DrainUntil_ && !ClosedBy_; }

private:
  /// Where an answer goes: to a caller here, or to a relaying entry.
  struct Target {
    std::optional<RequestId> Request_;
    EntryId Entry_;
    std::uint64_t RelayId_ = 0;
  };
  struct Relay {
    EntryId To_;
    ReplyId Reply_;
  };

  void onPeerUp(const PeerId &P) override;
  void onPeerSuspected(const PeerId &P) override;
  void onPeerHeard(const PeerId &P) override;
  void onPeerLost(const PeerId &P) override;
  void onMessage(const PeerId &From, const Message &M) override;
  void onTick() override;

  void onAgentMessage(const AgentId &From, const Message &M);
  void onEntryMessage(const EntryId &From, const Message &M);
  void onSelfClosed(const EntryId &Holder);
  void route(JobSpec Spec, const Target &To);
  void relay(const EntryId &To, ReplyId Reply, JobSpec Spec);
  void give(ReplyId Reply, const JobAnswer &Answer);
  void refuse(ReplyId Reply, Outcome O, const char *Code);
  void apply(MembershipOutputs Out);
  void apply(OwnerOutputs Out);

  Scheduler Sched_;
  JobOwner Owner_;
  Membership Membership_;
  std::map<ReplyId, Target> Replies_;
  std::map<std::uint64_t, Relay> Relays_;
  std::uint64_t NextReply_ = 1;
  std::uint64_t NextRelay_ = 1;
  std::optional<Time> DrainUntil_;
  std::optional<EntryId> ClosedBy_;
};

} // namespace chivelanding::fuzz

#endif
