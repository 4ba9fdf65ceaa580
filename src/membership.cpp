#include "membership.h"

#include <algorithm>

namespace chivelanding {
namespace {

// How long an address is dialled after its entry was last known to be running;
// a replaced VM usually returns under another address.
constexpr Duration AddressRetention = std::chrono::minutes(10);

// Multiples of LostAfter that an entry without any usable agent waits for its
// peers before it abandons its incarnation. A recovery that would unblock it
// ends within two.
constexpr int BlockedLostPeriods = 3;

// Number of entry records from which on an entry named in a caller's token gets
// no record; callers may send any number of made-up tokens.
constexpr std::size_t MaxEntries = 4096;

} // namespace

EntryDirectory::EntryDirectory(EntryId Self, RegionName Region, bool DialsAll)
    : Self_(std::move(Self)), Region_(std::move(Region)), DialsAll_(DialsAll) {}

// While this process is connected to an entry, addresses reported for other
// incarnations of that entry are ignored, as they may be outdated.
void EntryDirectory::addAddresses(const KnownEntries &Known, Time Now) {
  for (const EntryAddress &Address : Known.Entries_) {
    if (Address.Entry_.Name_.empty() || Address.Region_ != Region_ ||
        (!DialsAll_ && Address.Entry_.Name_ == Self_.Name_))
      continue;
    auto &Entry = Entries_[Address.Entry_.Name_];
    if (Entry.Up_ && Entry.Address_.Entry_ != Address.Entry_)
      continue;
    Entry.Address_ = Address;
    Entry.LastKnownAliveAt_ = Now;
  }
}

void EntryDirectory::onUp(const EntryId &Entry, Time Now) {
  auto &Known = Entries_[Entry.Name_];
  Known.Address_.Entry_ = Entry;
  Known.Up_ = true;
  Known.LastKnownAliveAt_ = Now;
}

void EntryDirectory::onDown(const EntryId &Entry, Time Now) {
  const auto It = Entries_.find(Entry.Name_);
  if (It == Entries_.end() || It->second.Address_.Entry_ != Entry)
    return;
  It->second.Up_ = false;
  It->second.LastKnownAliveAt_ = Now;
}

std::vector<EntryAddress> EntryDirectory::entriesToDial(Time Now) const {
  std::vector<EntryAddress> List;
  for (const auto &[Name, Known] : Entries_) {
    const bool IsDialler = DialsAll_ || Self_.Name_ < Name;
    const bool IsRecent = Now - Known.LastKnownAliveAt_ < AddressRetention;
    if (IsDialler && IsRecent && !Known.Up_ && !Known.Address_.Host_.empty())
      List.push_back(Known.Address_);
  }
  return List;
}

KnownEntries EntryDirectory::connectedEntries() const {
  KnownEntries List;
  for (const auto &[Name, Known] : Entries_)
    if (Known.Up_ && !Known.Address_.Host_.empty())
      List.Entries_.push_back(Known.Address_);
  return List;
}

bool EntryDirectory::hasListenerAt(const std::string &Host,
                                   std::uint16_t Port) const {
  return std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Item) {
    const EntryRecord &K = Item.second;
    return K.Up_ && K.Address_.Host_ == Host && K.Address_.Port_ == Port;
  });
}

Membership::Membership(EntryId Self, Duration LostAfter)
    : Self_(std::move(Self)), LostAfter_(LostAfter) {}

MembershipOutputs Membership::onEntryNamed(const EntryId &Entry, Time Now) {
  MembershipOutputs Out;
  if (Entry != Self_ && Entries_.count(Entry) == 0 &&
      Entries_.size() < MaxEntries) {
    EntryState &State = Entries_[Entry];
    State.Status_ = EntryStatus::Suspected;
    State.FirstNamedAt_ = Now;
  }
  return onTimer(Now);
}

MembershipOutputs Membership::onTimer(Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  detectLostEntries(Out);
  if (!isBlocked()) {
    BlockedSince_.reset();
  } else if (!BlockedSince_) {
    BlockedSince_ = Now;
  } else if (Now - *BlockedSince_ >= BlockedLostPeriods * LostAfter_) {
    BlockedSince_.reset();
    Out.push_back(IncarnationBlocked());
  }
  return Out;
}

// The close of an unreachable peer must be confirmed by an agent that the peer
// knows from this entry. If all of these are lost too, no confirmation is
// possible, while the peer might still reach them and resume the jobs of this
// entry.
bool Membership::isBlocked() const {
  bool Blocked = false;
  for (const auto &[Id, Agent] : Agents_) {
    if (!Agent.Up_ || Agent.Suspected_ || !Agent.Info_)
      continue;
    if (Agent.Usable_)
      return false;
    Blocked = true;
  }
  return Blocked;
}

bool Membership::isReachable(const AgentId &Agent) const {
  const auto It = Agents_.find(Agent);
  return It != Agents_.end() && It->second.Up_ && !It->second.Suspected_;
}

// Messages that were not delivered in the previous session are lost, so every
// agent that the peer has not acknowledged is announced again.
MembershipOutputs Membership::onEntryUp(const EntryId &Entry, Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  EntryState &Peer = Entries_[Entry];
  Peer.CloseRequestedFrom_.reset();
  Peer.Up_ = true;
  Peer.SynchronizedSent_ = false;
  const bool WasLost = Peer.Status_ == EntryStatus::Lost;
  if (!WasLost || !Peer.Closed_)
    Peer.Status_ = EntryStatus::Reachable;
  if (WasLost && !Peer.Closed_)
    Out.push_back(EntryReturned{Entry});
  std::map<AgentId, ServiceName> ToAnnounce = EverUsable_;
  for (const auto &[Id, Agent] : Agents_)
    if (Agent.Up_ && Agent.Info_)
      ToAnnounce.emplace(Id, Agent.Info_->Service_);
  for (const auto &[Id, Service] : ToAnnounce)
    if (Peer.Acknowledged_.count(Id) == 0)
      Out.push_back(SendToPeer{Entry, AgentAnnounced{Id, Service}});
  synchronize(Entry, Peer, Out);
  return Out;
}

MembershipOutputs Membership::onEntrySuspected(const EntryId &Entry, Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  EntryState &Peer = Entries_[Entry];
  if (Peer.Status_ == EntryStatus::Reachable)
    Peer.Status_ = EntryStatus::Suspected;
  reevaluateAgents(Out);
  return Out;
}

MembershipOutputs Membership::onEntryReachable(const EntryId &Entry, Time) {
  EntryState &Peer = Entries_[Entry];
  if (Peer.Status_ == EntryStatus::Suspected)
    Peer.Status_ = EntryStatus::Reachable;
  return {};
}

MembershipOutputs Membership::onEntryDown(const EntryId &Entry, Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  EntryState &Peer = Entries_[Entry];
  Peer.Up_ = false;
  if (Peer.Status_ != EntryStatus::Lost)
    Peer.Status_ = EntryStatus::Suspected;
  detectLostEntries(Out);
  reevaluateAgents(Out);
  return Out;
}

MembershipOutputs Membership::onEntryMessage(const EntryId &From,
                                             const Message &M, Time) {
  MembershipOutputs Out;
  EntryState &Peer = Entries_[From];
  if (const auto *Announced = std::get_if<AgentAnnounced>(&M)) {
    Peer.Announced_.insert({Announced->Agent_, Announced->Service_});
    Out.push_back(SendToPeer{From, AgentAnnouncedAck{Announced->Agent_}});
  } else if (const auto *Ack = std::get_if<AgentAnnouncedAck>(&M)) {
    Peer.Acknowledged_.insert(Ack->Agent_);
    reevaluateAgents(Out);
    synchronize(From, Peer, Out);
  } else if (std::holds_alternative<AgentsSynchronized>(M)) {
    Peer.AllAgentsAnnounced_ = true;
  }
  return Out;
}

void Membership::onAgentUp(const AgentId &Agent, Time) {
  AgentState &State = Agents_[Agent];
  State = AgentState();
  State.Up_ = true;
}

MembershipOutputs Membership::onAgentDown(const AgentId &Agent, Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  const auto It = Agents_.find(Agent);
  if (It == Agents_.end())
    return Out;
  const bool WasUsable = It->second.Usable_;
  Agents_.erase(It);
  if (WasUsable)
    Out.push_back(AgentLost{Agent});
  detectLostEntries(Out);
  return Out;
}

MembershipOutputs Membership::onAgentSuspected(const AgentId &Agent, Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  const auto It = Agents_.find(Agent);
  if (It != Agents_.end())
    It->second.Suspected_ = true;
  detectLostEntries(Out);
  return Out;
}

MembershipOutputs Membership::onAgentReachable(const AgentId &Agent, Time) {
  const auto It = Agents_.find(Agent);
  if (It != Agents_.end())
    It->second.Suspected_ = false;
  return {};
}

// Peers were notified of one service per agent, so an endpoint of another
// service is not used until the agent restarts.
MembershipOutputs Membership::onAgentMessage(const AgentId &From,
                                             const Message &M, Time Now) {
  MembershipOutputs Out;
  Now_ = Now;
  const auto It = Agents_.find(From);
  if (It == Agents_.end())
    return Out;
  AgentState &Agent = It->second;
  if (const auto *Announce = std::get_if<AnnounceEndpoint>(&M)) {
    const bool First = !Agent.Info_;
    if (!First && Agent.Info_->Service_ != Announce->Info_.Service_)
      return Out;
    Agent.Info_ = Announce->Info_;
    if (First)
      for (const auto &[Id, Peer] : Entries_)
        if (Peer.Up_ && Peer.Acknowledged_.count(From) == 0)
          Out.push_back(
              SendToPeer{Id, AgentAnnounced{From, Agent.Info_->Service_}});
    reportIfUsable(From, Out);
  } else if (const auto *Report = std::get_if<AgentReport>(&M)) {
    Agent.Report_ = *Report;
  } else if (const auto *Reachable = std::get_if<EntriesHeard>(&M)) {
    Agent.ReachableEntries_.emplace(Reachable->Entries_.begin(),
                                    Reachable->Entries_.end());
    detectLostEntries(Out);
  } else if (const auto *Closed = std::get_if<IncarnationClosed>(&M)) {
    onClosed(From, Closed->Entry_, Out);
  }
  return Out;
}

// A reachable peer that is not synchronized must acknowledge the agent as well,
// so that it becomes able to recover. Once it is unreachable, its
// acknowledgement is not awaited, since it never claims to know all agents.
bool Membership::isAcknowledgedByPeers(const AgentId &Agent) const {
  return std::all_of(Entries_.begin(), Entries_.end(), [&](const auto &Item) {
    const EntryState &Peer = Item.second;
    if (Peer.Exempt_ || Peer.Acknowledged_.count(Agent) != 0)
      return true;
    return !Peer.AcknowledgementRequired_ &&
           Peer.Status_ != EntryStatus::Reachable;
  });
}

void Membership::reportIfUsable(const AgentId &Id, MembershipOutputs &Out) {
  AgentState &Agent = Agents_[Id];
  if (!Agent.Up_ || !Agent.Info_ ||
      (!Agent.Usable_ && !isAcknowledgedByPeers(Id)))
    return;
  Agent.Usable_ = true;
  EverUsable_.emplace(Id, Agent.Info_->Service_);
  Out.push_back(AgentUsable{Id, *Agent.Info_, Agent.Report_});
}

void Membership::reevaluateAgents(MembershipOutputs &Out) {
  for (auto &[Id, Agent] : Agents_)
    if (!Agent.Usable_)
      reportIfUsable(Id, Out);
}

// Only an agent that the peer acknowledged can confirm its close and so end the
// requirement of its acknowledgement. A peer is therefore synchronized only
// when there is at least one such agent.
void Membership::synchronize(const EntryId &Entry, EntryState &Peer,
                             MembershipOutputs &Out) {
  const auto Acknowledged = [&](const auto &Item) {
    return Peer.Acknowledged_.count(Item.first) != 0;
  };
  if (!Peer.Up_ || Peer.SynchronizedSent_ || Peer.Exempt_ ||
      EverUsable_.empty() ||
      !std::all_of(EverUsable_.begin(), EverUsable_.end(), Acknowledged))
    return;
  Peer.AcknowledgementRequired_ = true;
  Peer.SynchronizedSent_ = true;
  Out.push_back(SendToPeer{Entry, AgentsSynchronized{}});
}

bool Membership::mayBeReachableFromAgent(const EntryId &Entry) const {
  return std::any_of(Agents_.begin(), Agents_.end(), [&](const auto &Item) {
    const AgentState &Agent = Item.second;
    return Agent.Up_ && !Agent.Suspected_ &&
           (!Agent.ReachableEntries_ ||
            Agent.ReachableEntries_->count(Entry) != 0);
  });
}

// A reachable agent that has not yet sent EntriesHeard may reach the suspected
// entry, which is therefore not considered lost yet. An entry that reaches no
// agent is itself disconnected and considers no peer lost.
void Membership::detectLostEntries(MembershipOutputs &Out) {
  const bool ReachesAgent =
      std::any_of(Agents_.begin(), Agents_.end(), [](const auto &Item) {
        return Item.second.Up_ && !Item.second.Suspected_;
      });
  if (!ReachesAgent)
    return;
  for (auto &[Id, Peer] : Entries_) {
    if (Peer.Status_ == EntryStatus::Lost)
      requestClose(Id, Peer, Out);
    if (Peer.Up_ || Peer.Status_ != EntryStatus::Suspected ||
        mayBeReachableFromAgent(Id) || Now_ - Peer.FirstNamedAt_ < LostAfter_)
      continue;
    Peer.Status_ = EntryStatus::Lost;
    Out.push_back(EntryLost{Id});
    requestClose(Id, Peer, Out);
  }
}

// Sends the request to one agent, the same one from every peer that reaches it,
// so that the grants for a lost entry's jobs are seldom divided between
// entries.
void Membership::requestClose(const EntryId &Entry, EntryState &Peer,
                              MembershipOutputs &Out) {
  if (!Peer.AcknowledgementRequired_ || Peer.Exempt_ ||
      (Peer.CloseRequestedFrom_ && isReachable(*Peer.CloseRequestedFrom_)))
    return;
  const auto It =
      std::find_if(Peer.Acknowledged_.begin(), Peer.Acknowledged_.end(),
                   [&](const AgentId &Agent) { return isReachable(Agent); });
  if (It == Peer.Acknowledged_.end())
    return;
  Peer.CloseRequestedFrom_ = *It;
  Out.push_back(RequestClose{*It, Entry});
}

// Only an agent that the closed peer knows from this entry counts: the peer
// asks it before it claims anything about the jobs of this entry, and is
// notified there that it is closed.
void Membership::onClosed(const AgentId &By, const EntryId &Entry,
                          MembershipOutputs &Out) {
  const auto It = Entries_.find(Entry);
  if (It == Entries_.end())
    return;
  EntryState &Peer = It->second;
  Peer.Closed_ = true;
  Peer.Status_ = EntryStatus::Lost;
  if (Peer.Acknowledged_.count(By) == 0)
    return;
  Peer.Exempt_ = true;
  reevaluateAgents(Out);
}

EntryStatus Membership::status(const EntryId &Entry) const {
  const auto It = Entries_.find(Entry);
  return It == Entries_.end() ? EntryStatus::Unknown : It->second.Status_;
}

bool Membership::isUsable(const AgentId &Agent) const {
  const auto It = Agents_.find(Agent);
  return It != Agents_.end() && It->second.Usable_;
}

std::vector<AnnouncedAgent> Membership::agentsOf(const EntryId &Entry) const {
  std::set<AnnouncedAgent> List;
  const auto It = Entries_.find(Entry);
  if (It != Entries_.end())
    List = It->second.Announced_;
  for (const auto &[Id, Agent] : Agents_)
    if (Agent.Info_)
      List.insert({Id, Agent.Info_->Service_, false});
  return {List.begin(), List.end()};
}

bool Membership::knowsAllAgentsOf(const EntryId &Entry) const {
  const auto It = Entries_.find(Entry);
  return It != Entries_.end() && It->second.AllAgentsAnnounced_;
}

} // namespace chivelanding
