#ifndef CHIVELANDING_TESTS_FUZZ_ENTRY_H
#define CHIVELANDING_TESTS_FUZZ_ENTRY_H

#include "entry_core.h"
#include "fuzz_node.h"

#include <memory>

namespace chivelanding::fuzz {

/// An entry that runs the production decision modules.
class EntryNode : public Node {
public:
  EntryNode(Environment &Env, const PeerId &Self, const std::string &Zone,
            std::vector<std::string> Seeds);

  OwnerToken token() { return Core_->token(now()); }
  void submit(RequestId Request, JobSpec Spec);
  void cancel(const JobId &Job);
  void drain() override;
  /// The log was read to its end; State is the newest version, and null if the
  /// log has none.
  void onLogRead(const AcceptedPtr &State);
  std::size_t openJobs() const { return Core_->openJobs(); }
  /// Continues as a new incarnation after the old one was closed. Requests that
  /// are relayed to another entry are kept; the others are answered with
  /// owner_unreachable.
  void rejoin(const PeerId &Self);

private:
  void onPeerUp(const PeerId &P) override;
  void onPeerSuspected(const PeerId &P) override;
  void onPeerReachable(const PeerId &P) override;
  void onPeerLost(const PeerId &P) override;
  void onMessage(const PeerId &From, const Message &M) override;
  void onTick() override;
  void onInForce(const AcceptedConfig &Config) override;
  PolicyConfig policy() const;
  std::unique_ptr<EntryCore> makeCore();
  void sendAnswer(ReplyId Reply, const JobAnswer &Answer);

  bool HasConfig_ = false;
  std::unique_ptr<EntryCore> Core_;
  std::map<ReplyId, RequestId> OpenRequests_;
  std::uint64_t NextReply_ = 1;
  std::optional<Time> DrainDeadline_;
  bool MustRejoin_ = false;
};

} // namespace chivelanding::fuzz

#endif
