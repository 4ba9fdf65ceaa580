#include "fuzz_entry.h"
#include "config_policy.h"

namespace chivelanding::fuzz {
namespace {

// Longest time that a drain waits for open jobs, as in the default settings.
constexpr Duration DrainTimeout = std::chrono::seconds(30);

} // namespace

EntryNode::EntryNode(Environment &Env, const PeerId &Self,
                     const std::string &Zone, std::vector<std::string> Seeds)
    : Node(Env, Self, Zone, std::move(Seeds)), Core_(makeCore()) {}

// Like the real entry, places nothing before the configuration is known.
PolicyConfig EntryNode::policy() const {
  PolicyConfig Policy = makePolicy(Config_.state()->Set_);
  Policy.HoldsPlacements_ = !HasConfig_;
  return Policy;
}

void EntryNode::onInForce(const AcceptedConfig &) {
  HasConfig_ = true;
  Core_->setPolicy(policy(), now());
}

void EntryNode::onLogRead(const AcceptedPtr &State) {
  if (State) {
    applyConfig(Config_.onAccepted(State, now()));
  } else if (!HasConfig_) {
    HasConfig_ = true;
    Core_->setPolicy(policy(), now());
  }
  flushLinks();
}

std::unique_ptr<EntryCore> EntryNode::makeCore() {
  EntryActions Actions{
      [this](const PeerId &To, Message M) { send(To, std::move(M)); },
      [this](ReplyId To, const JobId &, const JobAnswer &Answer) {
        sendAnswer(To, Answer);
      },
      [](const Event &) {}, [this](const EntryId &) { MustRejoin_ = true; }};
  return std::make_unique<EntryCore>(
      Self_.entry(), OwnerLimits(), LinkLimits().LostAfter_, policy(),
      ZoneName(), Self_.Incarnation_.value(), std::move(Actions), now());
}

void EntryNode::rejoin(const PeerId &Self) {
  auto Relays = Core_->takeRelays();
  Self_ = Self;
  restartLinks();
  MustRejoin_ = false;
  Core_ = makeCore();
  auto Unanswered = std::move(OpenRequests_);
  OpenRequests_.clear();
  for (PendingRelay &Relay : Relays) {
    const auto It = Unanswered.find(Relay.Reply_);
    if (It == Unanswered.end())
      continue;
    OpenRequests_.insert(Unanswered.extract(It));
    Core_->resumeRelay(std::move(Relay), now());
  }
  JobAnswer Unknown;
  Unknown.Code_ = "owner_unreachable";
  for (const auto &[Reply, Request] : Unanswered)
    Env_.answer(Self_.Name_, Request, Unknown);
  if (DrainDeadline_)
    Core_->onDrain(now());
}

void EntryNode::submit(RequestId Request, JobSpec Spec) {
  const ReplyId Reply(NextReply_++);
  OpenRequests_[Reply] = Request;
  Core_->onSubmit(std::move(Spec), Reply, now());
  flushLinks();
}

void EntryNode::cancel(const JobId &Job) {
  Core_->onCancel(Job, now());
  flushLinks();
}

void EntryNode::drain() {
  DrainDeadline_ = now() + DrainTimeout;
  Core_->onDrain(now());
  flushLinks();
}

void EntryNode::sendAnswer(ReplyId Reply, const JobAnswer &Answer) {
  const auto It = OpenRequests_.find(Reply);
  if (It == OpenRequests_.end())
    return;
  const RequestId Request = It->second;
  OpenRequests_.erase(It);
  Env_.answer(Self_.Name_, Request, Answer);
}

void EntryNode::onPeerUp(const PeerId &P) {
  Core_->onPeerUp(P, now());
  KnownEntries Known = Directory_.connectedEntries();
  Known.Entries_.push_back(
      {Self_.entry(), RegionName("region"), Self_.Name_, 1});
  send(P, std::move(Known));
}

void EntryNode::onPeerSuspected(const PeerId &P) {
  Core_->onPeerSuspected(P, now());
}

void EntryNode::onPeerReachable(const PeerId &P) {
  Core_->onPeerReachable(P, now());
}

void EntryNode::onPeerLost(const PeerId &P) { Core_->onPeerLost(P, now()); }

void EntryNode::onMessage(const PeerId &From, const Message &M) {
  if (const auto *Known = std::get_if<KnownEntries>(&M))
    Directory_.addAddresses(*Known, now());
  else
    Core_->onMessage(From, M, now());
}

void EntryNode::onTick() {
  Core_->onTimer(now());
  if (MustRejoin_) {
    rejoin(Env_.newIncarnation(Self_));
    return;
  }
  if (!DrainDeadline_)
    return;
  const bool Idle =
      Core_->isIdle() && OpenRequests_.empty() && Links_.allAcknowledged(true);
  if (Idle || now() >= *DrainDeadline_)
    exitProcess(false);
}

} // namespace chivelanding::fuzz
