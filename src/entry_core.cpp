#include "entry_core.h"

namespace chivelanding {
namespace {

// Time limit for connecting to the entry that a submission is relayed to.
constexpr Duration RelayTimeout = std::chrono::seconds(5);
// Period of usage summaries to the other entries. Quotas shared by several
// entries lag the load at the other entries by this period; the summary of 250
// teams is 3.9 KB.
constexpr Duration UsagePeriod = std::chrono::seconds(1);
// First reply id for relayed submissions, far above the ids of callers so that
// the two ranges do not overlap.
constexpr std::uint64_t FirstRelayReply = std::uint64_t(1) << 62;

} // namespace

EntryCore::EntryCore(EntryId Self, OwnerLimits Limits, Duration LostAfter,
                     PolicyConfig Policy, ZoneName Zone, std::uint64_t Seed,
                     EntryActions Actions, Time Now)
    : Self_(std::move(Self)), Actions_(std::move(Actions)),
      Sched_(std::move(Policy), Seed, std::move(Zone)),
      Owner_(Self_, Limits, Sched_, Now, Seed), Members_(Self_, LostAfter),
      Recovery_(Self_), NextRelayReply_(FirstRelayReply) {}

void EntryCore::log(const EventType &Type, std::vector<EventField> Fields) {
  Actions_.Log_(Event{&Type, std::move(Fields)});
}

void EntryCore::setPolicy(PolicyConfig Policy, Time Now) {
  Sched_.setConfig(std::move(Policy), Now);
}

void EntryCore::logHealthChanges() {
  for (const HealthChange &Change : Sched_.takeHealthChanges())
    log(Change.Ejected_ ? events::EndpointEjected : events::EndpointReinstated,
        {{"agent", Change.Agent_.str()}, {"reason", Change.Reason_}});
}

void EntryCore::sendUsage(Time Now) {
  if (Now < NextUsage_ || Peers_.empty())
    return;
  NextUsage_ = Now + UsagePeriod;
  const UsageSummary Usage = Sched_.usage();
  for (const EntryId &Peer : Peers_)
    Actions_.Send_(PeerId::of(Peer), Usage);
}

// A job of another entry or of an earlier incarnation may have run. Before the
// configuration is known, its caller cannot be authenticated and the limits of
// its kind are not applied, so it is neither attached nor passed on.
void EntryCore::onSubmit(JobSpec Spec, ReplyId Reply, Time Now) {
  if (Sched_.holdsPlacements() && Spec.Id_.Token_.Owner_ != Self_)
    answer(Reply, Spec.Id_, ownerUnreachable(NoConfigurationDetail));
  else if (Spec.Id_.Token_.Owner_ == Self_ || Owner_.hasRecord(Spec.Id_))
    apply(Owner_.onSubmit(std::move(Spec), Reply, Now), Now);
  else
    route(std::move(Spec), Reply, std::nullopt, Now);
}

// A submission that a peer relayed is not relayed again, so that two entries
// with different views of the membership cannot pass it back and forth.
void EntryCore::route(JobSpec Spec, ReplyId Reply,
                      const std::optional<EntryId> &RelayedBy, Time Now) {
  const EntryId Owner = Spec.Id_.Token_.Owner_;
  apply(Members_.onEntryNamed(Owner, Now), Now);
  const EntryStatus Status = Members_.status(Owner);
  if (Status == EntryStatus::Lost)
    apply(Recovery_.onSubmit({std::move(Spec), Reply, RelayedBy},
                             makeLostEntry(Owner), Now),
          Now);
  else if (Status == EntryStatus::Reachable && !RelayedBy)
    relay({Reply, Owner, std::move(Spec), Now, false});
  else
    answerOwnerUnreachable(Reply, Spec.Id_, Owner);
}

void EntryCore::answerOwnerUnreachable(ReplyId Reply, const JobId &Job,
                                       const EntryId &Owner) {
  answer(Reply, Job,
         ownerUnreachable("entry " + Owner.str() +
                          " does not respond; submit again"));
}

void EntryCore::relay(PendingRelay Relay) {
  const std::uint64_t Id = Relay.Reply_.value();
  if (Members_.status(Relay.To_) == EntryStatus::Reachable) {
    log(events::JobRelayed,
        {{"job", Relay.Spec_.Id_.str()}, {"to", Relay.To_.str()}});
    Actions_.Send_(PeerId::of(Relay.To_), RelaySubmit{Id, Relay.Spec_});
    Relay.Sent_ = true;
  }
  Relays_[Id] = std::move(Relay);
}

std::vector<PendingRelay> EntryCore::takeRelays() {
  std::vector<PendingRelay> List;
  for (auto &[Id, Relay] : Relays_)
    List.push_back(std::move(Relay));
  Relays_.clear();
  return List;
}

void EntryCore::resumeRelay(PendingRelay Relay, Time Now) {
  Relay.WaitingSince_ = Now;
  Relay.Sent_ = false;
  relay(std::move(Relay));
}

void EntryCore::answer(ReplyId Reply, const JobId &Job,
                       const JobAnswer &Answer) {
  const auto It = RelayOrigins_.find(Reply.value());
  if (It == RelayOrigins_.end()) {
    Actions_.Answer_(Reply, Job, Answer);
    return;
  }
  const RelayOrigin R = It->second;
  RelayOrigins_.erase(It);
  Actions_.Send_(PeerId::of(R.Entry_), RelayAnswer{R.RelayId_, Answer});
}

void EntryCore::onCallerDisconnected(ReplyId Reply) {
  if (Relays_.erase(Reply.value()) > 0)
    return;
  Owner_.onCallerDisconnected(Reply);
  Recovery_.onCallerDisconnected(Reply);
}

void EntryCore::onCancel(const JobId &Job, Time Now) {
  if (Job.Token_.Owner_ == Self_ || Owner_.hasRecord(Job))
    apply(Owner_.onCancel(Job, Now), Now);
  else
    Actions_.Send_(PeerId::of(Job.Token_.Owner_), RelayCancel{Job});
}

void EntryCore::onPeerUp(const PeerId &Peer, Time Now) {
  if (Peer.Role_ == Role::Agent) {
    Members_.onAgentUp(Peer.agent(), Now);
    return;
  }
  Peers_.insert(Peer.entry());
  apply(Members_.onEntryUp(Peer.entry(), Now), Now);
  std::vector<PendingRelay> Ready;
  for (const auto &[Id, Relay] : Relays_)
    if (!Relay.Sent_ && Relay.To_ == Peer.entry())
      Ready.push_back(Relay);
  for (PendingRelay &Relay : Ready)
    relay(std::move(Relay));
}

void EntryCore::onPeerSuspected(const PeerId &Peer, Time Now) {
  apply(Peer.Role_ == Role::Agent
            ? Members_.onAgentSuspected(Peer.agent(), Now)
            : Members_.onEntrySuspected(Peer.entry(), Now),
        Now);
}

void EntryCore::onPeerReachable(const PeerId &Peer, Time Now) {
  apply(Peer.Role_ == Role::Agent
            ? Members_.onAgentReachable(Peer.agent(), Now)
            : Members_.onEntryReachable(Peer.entry(), Now),
        Now);
}

// Submissions relayed to a disconnected entry are routed again: if membership
// reports the entry as lost, they enter recovery here; otherwise the caller is
// answered that the outcome is unknown.
void EntryCore::onPeerLost(const PeerId &Peer, Time Now) {
  if (Peer.Role_ == Role::Agent) {
    apply(Members_.onAgentDown(Peer.agent(), Now), Now);
    apply(Recovery_.onAgentLost(Peer.agent(), Now), Now);
    return;
  }
  const EntryId Lost = Peer.entry();
  Peers_.erase(Lost);
  Sched_.onUsage(Lost, UsageSummary(), Now);
  apply(Members_.onEntryDown(Lost, Now), Now);
  std::vector<PendingRelay> ToReroute;
  for (const auto &[Id, Relay] : Relays_)
    if (Relay.To_ == Lost)
      ToReroute.push_back(Relay);
  for (PendingRelay &Relay : ToReroute) {
    Relays_.erase(Relay.Reply_.value());
    route(std::move(Relay.Spec_), Relay.Reply_, std::nullopt, Now);
  }
  for (auto It = RelayOrigins_.begin(); It != RelayOrigins_.end();) {
    if (It->second.Entry_ == Lost) {
      Owner_.onCallerDisconnected(ReplyId(It->first));
      Recovery_.onCallerDisconnected(ReplyId(It->first));
      It = RelayOrigins_.erase(It);
    } else {
      ++It;
    }
  }
}

void EntryCore::onMessage(const PeerId &From, const Message &M, Time Now) {
  if (From.Role_ == Role::Entry)
    onEntryMessage(From.entry(), M, Now);
  else
    onAgentMessage(From.agent(), M, Now);
}

void EntryCore::onEntryMessage(const EntryId &From, const Message &M,
                               Time Now) {
  if (const auto *Submit = std::get_if<RelaySubmit>(&M))
    onRelaySubmit(From, *Submit, Now);
  else if (const auto *Answer = std::get_if<RelayAnswer>(&M))
    onRelayAnswer(From, *Answer);
  else if (const auto *Cancel = std::get_if<RelayCancel>(&M))
    apply(Owner_.onCancel(Cancel->Job_, Now), Now);
  else if (const auto *Usage = std::get_if<UsageSummary>(&M))
    Sched_.onUsage(From, *Usage, Now);
  else
    apply(Members_.onEntryMessage(From, M, Now), Now);
}

void EntryCore::onRelaySubmit(const EntryId &From, const RelaySubmit &Submit,
                              Time Now) {
  const ReplyId Reply(NextRelayReply_++);
  RelayOrigins_[Reply.value()] = {From, Submit.RelayId_};
  if (Submit.Spec_.Id_.Token_.Owner_ == Self_ ||
      Owner_.hasRecord(Submit.Spec_.Id_))
    apply(Owner_.onSubmit(Submit.Spec_, Reply, Now), Now);
  else
    route(Submit.Spec_, Reply, From, Now);
}

void EntryCore::onRelayAnswer(const EntryId &From, const RelayAnswer &Answer) {
  const auto It = Relays_.find(Answer.RelayId_);
  if (It == Relays_.end() || It->second.To_ != From)
    return;
  const JobId Job = It->second.Spec_.Id_;
  Relays_.erase(It);
  answer(ReplyId(Answer.RelayId_), Job, Answer.Answer_);
}

// Announcements are handled by membership only, and reports reach the job owner
// and its scheduler only once membership allows the agent's use.
void EntryCore::onAgentMessage(const AgentId &From, const Message &M,
                               Time Now) {
  if (const auto *Closed = std::get_if<YouAreClosed>(&M)) {
    if (Closed_)
      return;
    Closed_ = true;
    log(events::SelfClosed, {{"entry", Self_.str()},
                             {"agent", From.str()},
                             {"holder", Closed->Holder_.str()}});
    apply(Owner_.onSelfClosed(Closed->Holder_, Now), Now);
    apply(Recovery_.onSelfClosed(Closed->Holder_, Now), Now);
    Actions_.Closed_(Closed->Holder_);
    return;
  }
  apply(Members_.onAgentMessage(From, M, Now), Now);
  if (std::holds_alternative<AnnounceEndpoint>(M) ||
      std::holds_alternative<EntriesHeard>(M))
    return;
  if (std::holds_alternative<AgentReport>(M) && !Members_.isUsable(From))
    return;
  if (std::holds_alternative<IncarnationClosed>(M) ||
      std::holds_alternative<TaskFinished>(M))
    apply(Recovery_.onAgentMessage(From, M, Now), Now);
  apply(Owner_.onAgentMessage(From, M, Now), Now);
}

void EntryCore::onTimer(Time Now) {
  apply(Members_.onTimer(Now), Now);
  apply(Recovery_.onTimer(Now), Now);
  apply(Owner_.onTimer(Now), Now);
  logHealthChanges();
  sendUsage(Now);
  std::vector<PendingRelay> TimedOut;
  for (const auto &[Id, Relay] : Relays_)
    if (!Relay.Sent_ && Now - Relay.WaitingSince_ >= RelayTimeout)
      TimedOut.push_back(Relay);
  for (const PendingRelay &Relay : TimedOut) {
    Relays_.erase(Relay.Reply_.value());
    answerOwnerUnreachable(Relay.Reply_, Relay.Spec_.Id_, Relay.To_);
  }
}

void EntryCore::onDrain(Time Now) { apply(Owner_.onDrain(Now), Now); }

bool EntryCore::isIdle() const {
  return Owner_.openJobs() == 0 && Relays_.empty() &&
         Recovery_.waiting() == 0 && RelayOrigins_.empty();
}

LostEntry EntryCore::makeLostEntry(const EntryId &Entry) const {
  LostEntry L{Entry, {}, Members_.knowsAllAgentsOf(Entry)};
  for (const AnnouncedAgent &A : Members_.agentsOf(Entry))
    L.Agents_.push_back({A.Agent_, A.Service_, A.Announced_, {}});
  return L;
}

void EntryCore::apply(OwnerOutputs Outputs, Time Now) {
  for (OwnerOutput &O : Outputs) {
    if (auto *Send = std::get_if<SendToAgent>(&O))
      Actions_.Send_(PeerId::of(Send->To_), std::move(Send->Message_));
    else if (const auto *ToSend = std::get_if<SendAnswer>(&O))
      answer(ToSend->To_, ToSend->Job_, ToSend->Answer_);
    else if (const auto *Placed = std::get_if<LogPlacement>(&O))
      Actions_.Log_(placementEvent(*Placed));
    else if (auto *Relay = std::get_if<RelayToEntry>(&O))
      relay({Relay->Reply_, Relay->To_, std::move(Relay->Spec_), Now, false});
    else if (const auto *Log = std::get_if<LogEvent>(&O))
      Actions_.Log_(Log->Event_);
  }
}

void EntryCore::apply(RecoveryOutputs Outputs, Time Now) {
  for (RecoveryOutput &O : Outputs) {
    if (auto *Send = std::get_if<SendToAgent>(&O))
      Actions_.Send_(PeerId::of(Send->To_), std::move(Send->Message_));
    else if (const auto *ToSend = std::get_if<SendAnswer>(&O))
      answer(ToSend->To_, ToSend->Job_, ToSend->Answer_);
    else if (auto *Adopt = std::get_if<AdoptJob>(&O))
      apply(Owner_.onAdopt(std::move(Adopt->Job_), Adopt->Reply_, Now), Now);
    else if (auto *Relay = std::get_if<RelayToEntry>(&O))
      relay({Relay->Reply_, Relay->To_, std::move(Relay->Spec_), Now, false});
    else if (const auto *Log = std::get_if<LogEvent>(&O))
      Actions_.Log_(Log->Event_);
  }
}

void EntryCore::apply(MembershipOutputs Outputs, Time Now) {
  for (MembershipOutput &O : Outputs) {
    if (auto *Send = std::get_if<SendToPeer>(&O)) {
      Actions_.Send_(PeerId::of(Send->To_), std::move(Send->Message_));
    } else if (const auto *Usable = std::get_if<AgentUsable>(&O)) {
      log(Usable->Info_.Leaving_ ? events::EndpointLeaving
                                 : events::EndpointAnnounced,
          {{"agent", Usable->Agent_.str()},
           {"service", Usable->Info_.Service_.str()},
           {"slots", std::to_string(Usable->Info_.Slots_)}});
      apply(Owner_.onAgentUp(Usable->Agent_, Usable->Info_, Now), Now);
      if (Usable->Report_)
        apply(Owner_.onAgentMessage(Usable->Agent_, *Usable->Report_, Now),
              Now);
    } else if (const auto *LostAgent = std::get_if<AgentLost>(&O)) {
      apply(Owner_.onAgentLost(LostAgent->Agent_, Now), Now);
    } else if (const auto *Lost = std::get_if<EntryLost>(&O)) {
      apply(Recovery_.onEntryLost(makeLostEntry(Lost->Entry_), Now), Now);
    } else if (const auto *Close = std::get_if<RequestClose>(&O)) {
      Actions_.Send_(PeerId::of(Close->Agent_),
                     CloseIncarnation{Close->Entry_});
    } else if (std::holds_alternative<IncarnationBlocked>(O) && !Closed_) {
      Closed_ = true;
      log(events::SelfClosed,
          {{"entry", Self_.str()}, {"holder", "none: no agent is usable"}});
      Actions_.Closed_(Self_);
    }
  }
}

} // namespace chivelanding
