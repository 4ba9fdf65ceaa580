#include "fuzz_entry.h"

namespace chivelanding::fuzz {
namespace {

// Longest time that a drain waits for open jobs, as in the default settings.
constexpr Duration DrainLimit = std::chrono::seconds(30);

} // namespace

EntryNode::EntryNode(Environment &World, const PeerId &Self,
                     const std::string &Zone, std::vector<std::string> Seeds)
    : Node(World, Self, Zone, std::move(Seeds)),
      Owner_(Self.entry(), OwnerLimits(), Sched_, World.line().now()),
      Membership_(Self.entry(), LinkLimits().LostAfter_) {}

void EntryNode::submit(RequestId Request, JobSpec Spec) {
  Target To;
  To.Request_ = Request;
  route(std::move(Spec), To);
  finish();
}

void EntryNode::cancel(const JobId &Job) {
  const EntryId &Owner = Job.Token_.Owner_;
  if (Owner == Self_.entry())
    apply(Owner_.onCancel(Job, now()));
  else if (Links_.isUp(PeerId::of(Owner)))
    send(PeerId::of(Owner), RelayCancel{Job});
  finish();
}

void EntryNode::drain() { DrainUntil_ = now() + DrainLimit; }

// A submission for another owner is relayed to it while it is heard. Nothing
// is said of whether the job ran while its owner cannot be asked.
void EntryNode::route(JobSpec Spec, const Target &To) {
  const ReplyId Reply(NextReply_++);
  Replies_[Reply] = To;
  const EntryId Owner = Spec.Id_.Token_.Owner_;
  if (Owner == Self_.entry()) {
    apply(Owner_.onSubmit(std::move(Spec), Reply, now()));
    return;
  }
  apply(Membership_.onEntryNamed(Owner, now()));
  if (To.Request_ && Membership_.status(Owner) == EntryStatus::Heard)
    relay(Owner, Reply, std::move(Spec));
  else
    refuse(Reply, Outcome::Unknown, "owner_unreachable");
}

void EntryNode::relay(const EntryId &To, ReplyId Reply, JobSpec Spec) {
  if (!Links_.isUp(PeerId::of(To))) {
    refuse(Reply, Outcome::Unknown, "owner_unreachable");
    return;
  }
  const std::uint64_t Id = NextRelay_++;
  Relays_[Id] = {To, Reply};
  send(PeerId::of(To), RelaySubmit{Id, std::move(Spec)});
}

void EntryNode::refuse(ReplyId Reply, Outcome O, const char *Code) {
  JobAnswer Answer;
  Answer.Outcome_ = O;
  Answer.Code_ = Code;
  give(Reply, Answer);
}

void EntryNode::give(ReplyId Reply, const JobAnswer &Answer) {
  const auto It = Replies_.find(Reply);
  if (It == Replies_.end())
    return;
  const Target To = It->second;
  Replies_.erase(It);
  if (To.Request_)
    World_.answer(Self_.Name_, *To.Request_, Answer);
  else
    send(PeerId::of(To.Entry_), RelayAnswer{To.RelayId_, Answer});
}

void EntryNode::onPeerUp(const PeerId &P) {
  if (P.Role_ == Role::Agent)
    Membership_.onAgentUp(P.agent(), now());
  else
    apply(Membership_.onEntryUp(P.entry(), now()));
  KnownEntries Known = Directory_.known();
  Known.Entries_.push_back(
      {Self_.entry(), RegionName("region"), Self_.Name_, 1});
  send(P, std::move(Known));
}

void EntryNode::onPeerSuspected(const PeerId &P) {
  if (P.Role_ == Role::Agent)
    apply(Membership_.onAgentSuspected(P.agent(), now()));
  else
    apply(Membership_.onEntrySuspected(P.entry(), now()));
}

void EntryNode::onPeerHeard(const PeerId &P) {
  if (P.Role_ == Role::Agent)
    apply(Membership_.onAgentHeard(P.agent(), now()));
  else
    apply(Membership_.onEntryHeard(P.entry(), now()));
}

// The answer of a relayed submission is not known once the session with its
// owner is over.
void EntryNode::onPeerLost(const PeerId &P) {
  if (P.Role_ == Role::Agent) {
    apply(Membership_.onAgentDown(P.agent(), now()));
    return;
  }
  apply(Membership_.onEntryDown(P.entry(), now()));
  std::vector<ReplyId> Unknown;
  for (auto It = Relays_.begin(); It != Relays_.end();) {
    if (It->second.To_ == P.entry()) {
      Unknown.push_back(It->second.Reply_);
      It = Relays_.erase(It);
    } else {
      ++It;
    }
  }
  for (const ReplyId Reply : Unknown)
    refuse(Reply, Outcome::Unknown, "owner_unreachable");
  for (auto It = Replies_.begin(); It != Replies_.end();) {
    const bool Theirs = !It->second.Request_ && It->second.Entry_ == P.entry();
    if (Theirs)
      Owner_.onReplyGone(It->first);
    It = Theirs ? Replies_.erase(It) : std::next(It);
  }
}

void EntryNode::onMessage(const PeerId &From, const Message &M) {
  if (From.Role_ == Role::Agent)
    onAgentMessage(From.agent(), M);
  else
    onEntryMessage(From.entry(), M);
}

// Reports and announcements reach the scheduler only of agents that may be
// used.
void EntryNode::onAgentMessage(const AgentId &From, const Message &M) {
  if (const auto *Closed = std::get_if<YouAreClosed>(&M)) {
    onSelfClosed(Closed->Holder_);
    return;
  }
  apply(Membership_.onAgentMessage(From, M, now()));
  const bool Gated = std::holds_alternative<AgentReport>(M);
  if (std::holds_alternative<AnnounceEndpoint>(M) ||
      (Gated && !Membership_.isUsable(From)))
    return;
  apply(Owner_.onAgentMessage(From, M, now()));
}

void EntryNode::onEntryMessage(const EntryId &From, const Message &M) {
  if (const auto *Known = std::get_if<KnownEntries>(&M)) {
    Directory_.learn(*Known, now());
  } else if (const auto *Submit = std::get_if<RelaySubmit>(&M)) {
    Target To;
    To.Entry_ = From;
    To.RelayId_ = Submit->RelayId_;
    route(Submit->Spec_, To);
  } else if (const auto *Answer = std::get_if<RelayAnswer>(&M)) {
    const auto It = Relays_.find(Answer->RelayId_);
    if (It == Relays_.end() || It->second.To_ != From)
      return;
    const ReplyId Reply = It->second.Reply_;
    Relays_.erase(It);
    give(Reply, Answer->Answer_);
  } else if (const auto *Cancel = std::get_if<RelayCancel>(&M)) {
    apply(Owner_.onCancel(Cancel->Job_, now()));
  } else {
    apply(Membership_.onEntryMessage(From, M, now()));
  }
}

// The jobs go on under the entry that closed this one; its callers are not
// told anything of them that may turn out wrong.
void EntryNode::onSelfClosed(const EntryId &Holder) {
  if (ClosedBy_)
    return;
  ClosedBy_ = Holder;
  std::vector<ReplyId> Open;
  for (const auto &[Reply, To] : Replies_)
    Open.push_back(Reply);
  for (const ReplyId Reply : Open)
    refuse(Reply, Outcome::Unknown, "owner_closed");
  end(true);
}

void EntryNode::onTick() {
  apply(Membership_.onTimer(now()));
  apply(Owner_.onTimer(now()));
  if (!DrainUntil_)
    return;
  const bool Idle = Owner_.openJobs() == 0 && Replies_.empty() &&
                    Relays_.empty() && !Links_.hasUnacknowledged();
  if (Idle || now() >= *DrainUntil_)
    end(false);
}

void EntryNode::apply(MembershipOutputs Out) {
  for (MembershipOutput &O : Out) {
    if (auto *Send = std::get_if<SendToPeer>(&O)) {
      send(PeerId::of(Send->To_), std::move(Send->Message_));
    } else if (auto *Usable = std::get_if<AgentUsable>(&O)) {
      apply(Owner_.onAgentUp(Usable->Agent_, Usable->Info_, now()));
      if (Usable->Report_)
        apply(Owner_.onAgentMessage(Usable->Agent_, *Usable->Report_, now()));
    } else if (auto *Gone = std::get_if<AgentGone>(&O)) {
      apply(Owner_.onAgentLost(Gone->Agent_, now()));
    } else if (auto *Close = std::get_if<CloseAtAgent>(&O)) {
      send(PeerId::of(Close->Agent_), CloseIncarnation{Close->Entry_});
    } else if (std::holds_alternative<Stranded>(O)) {
      onSelfClosed(Self_.entry());
      return;
    }
  }
}

void EntryNode::apply(OwnerOutputs Out) {
  for (OwnerOutput &O : Out) {
    if (auto *Send = std::get_if<SendToAgent>(&O))
      send(PeerId::of(Send->To_), std::move(Send->Message_));
    else if (auto *Answer = std::get_if<GiveAnswer>(&O))
      give(Answer->To_, Answer->Answer_);
  }
}

} // namespace chivelanding::fuzz
