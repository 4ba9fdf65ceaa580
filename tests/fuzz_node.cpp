#include "fuzz_node.h"
#include "cordon_edit.h"

namespace chivelanding::fuzz {
namespace {

// Time between two attempts to dial known addresses, as in the real processes.
constexpr Duration DialInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxFrameBytes = 64u << 20;

SyncOptions syncOptions(const PeerId &Self) {
  SyncOptions Options;
  Options.Role_ = Self.Role_;
  Options.Seed_ = Self.Incarnation_.value();
  return Options;
}

} // namespace

Node::Node(Environment &Env, const PeerId &Self, const std::string &Zone,
           std::vector<std::string> Seeds)
    : Env_(Env), Self_(Self),
      Links_(Self, ZoneName(Zone), RegionName("region"), LinkLimits()),
      Directory_(Self.entry(), RegionName("region"), Self.Role_ == Role::Agent),
      Config_(syncOptions(Self)), Seeds_(std::move(Seeds)), Zone_(Zone) {}

void Node::onDialled(ConnectionId C) {
  apply(Links_.onDialled(C, now()));
  flushLinks();
}

void Node::onAccepted(ConnectionId C) { Links_.onAccepted(C, now()); }

void Node::onBytes(ConnectionId C, const std::string &Bytes) {
  const auto Decoded = decodeFrame(Bytes, MaxFrameBytes);
  if (!ok(Decoded)) {
    Env_.network().close(C, Self_.Name_);
    apply(Links_.onClosed(C, now()));
  } else {
    apply(Links_.onFrame(C, value(Decoded), now()));
  }
  flushLinks();
}

void Node::onClosed(ConnectionId C) {
  apply(Links_.onClosed(C, now()));
  flushLinks();
}

void Node::onTimer() {
  apply(Links_.onTimer(now()));
  KnownEntries Seeds;
  for (const std::string &Name : Seeds_)
    if (Name != Self_.Name_)
      Seeds.Entries_.push_back(
          {{Name, Incarnation(0)}, RegionName("region"), Name, 1});
  Directory_.addAddresses(Seeds, now());
  if (now() - LastDial_ >= DialInterval) {
    LastDial_ = now();
    for (const EntryAddress &Address : Directory_.entriesToDial(now()))
      Env_.network().dial(Self_.Name_, Address.Host_);
  }
  if (!HasExited_)
    applyConfig(Config_.tick(now()));
  if (!HasExited_)
    onTick();
  flushLinks();
}

void Node::send(const PeerId &To, Message M) {
  apply(Links_.send(To, std::move(M), now()));
}

void Node::restartLinks() {
  Env_.network().closeAll(Self_.Name_);
  for (const auto &[Name, Peer] : ConfigPeers_)
    Config_.onPeerDown(Name);
  ConfigPeers_.clear();
  Links_ = Links(Self_, ZoneName(Zone_), RegionName("region"), LinkLimits());
  Directory_ = EntryDirectory(Self_.entry(), RegionName("region"),
                              Self_.Role_ == Role::Agent);
}

// Sends the queued messages at the end of each turn of the event loop.
void Node::flushLinks() {
  if (!HasExited_)
    apply(Links_.flush(now()));
}

void Node::exitProcess(bool Rejoin) {
  if (HasExited_)
    return;
  HasExited_ = true;
  Env_.onExited(Self_.Name_, Rejoin);
}

void Node::apply(LinkOutputs Out) {
  for (LinkOutput &O : Out) {
    if (HasExited_)
      return;
    if (auto *Frame = std::get_if<SendFrame>(&O)) {
      Env_.network().send(Frame->Connection_, Self_.Name_,
                          encodeFrame(Frame->Frame_));
    } else if (auto *Close = std::get_if<CloseConnection>(&O)) {
      Env_.network().close(Close->Connection_, Self_.Name_);
    } else if (auto *Dial = std::get_if<DialPeer>(&O)) {
      Env_.network().dial(Self_.Name_, Dial->Peer_.Name_);
    } else if (auto *Up = std::get_if<PeerUp>(&O)) {
      if (Up->Peer_.Role_ == Role::Entry)
        Directory_.onUp(Up->Peer_.entry(), now());
      onPeerUp(Up->Peer_);
      ConfigPeers_[Up->Peer_.str()] = Up->Peer_;
      applyConfig(Config_.onPeerUp(Up->Peer_.str(), Up->Peer_.Role_, now()));
    } else if (auto *Suspected = std::get_if<PeerSuspected>(&O)) {
      onPeerSuspected(Suspected->Peer_);
    } else if (auto *Reachable = std::get_if<PeerReachable>(&O)) {
      onPeerReachable(Reachable->Peer_);
    } else if (auto *Lost = std::get_if<PeerLost>(&O)) {
      if (Lost->Peer_.Role_ == Role::Entry)
        Directory_.onDown(Lost->Peer_.entry(), now());
      onPeerLost(Lost->Peer_);
      Config_.onPeerDown(Lost->Peer_.str());
      ConfigPeers_.erase(Lost->Peer_.str());
    } else if (auto *Delivered = std::get_if<Deliver>(&O)) {
      if (!onConfigMessage(Delivered->From_, Delivered->Message_))
        onMessage(Delivered->From_, Delivered->Message_);
    } else if (std::holds_alternative<SelfSuperseded>(O)) {
      exitProcess(true);
    }
  }
}

void Node::applyConfig(const SyncOutputs &Out) {
  for (const SyncOutput &O : Out) {
    if (const auto *Send = std::get_if<SyncSend>(&O)) {
      const auto It = ConfigPeers_.find(Send->Peer_);
      if (It != ConfigPeers_.end())
        send(PeerId(It->second), Send->Message_);
    } else if (const auto *InForce = std::get_if<SyncInForce>(&O)) {
      Env_.onInForce(Self_.Name_, InForce->State_->Version_);
      onInForce(*InForce->State_);
    }
  }
}

bool Node::onConfigMessage(const PeerId &From, const Message &M) {
  const std::string Peer = From.str();
  if (const auto *Digest = std::get_if<ConfigDigest>(&M))
    applyConfig(Config_.onDigest(Peer, *Digest, now()));
  else if (const auto *Request = std::get_if<ConfigRequest>(&M))
    applyConfig(Config_.onRequest(Peer, *Request, now()));
  else if (const auto *State = std::get_if<ConfigState>(&M))
    applyConfig(Config_.onState(Peer, *State, now()));
  else if (const auto *Delta = std::get_if<ConfigDelta>(&M))
    applyConfig(Config_.onDelta(Peer, *Delta, now()));
  else
    return false;
  return true;
}

AgentNode::AgentNode(Environment &Env, const PeerId &Self,
                     const EndpointInfo &Info, std::vector<std::string> Seeds)
    : Node(Env, Self, Info.Zone_.str(), std::move(Seeds)),
      Controller_(Self.agent(), StartControllerLimits()) {
  apply(Controller_.onEndpointAnnounced(Info, now()));
}

void AgentNode::drain() {
  apply(Controller_.onLeaving(now()));
  flushLinks();
}

void AgentNode::runEnded(RunId Run, RunOutcome Outcome,
                         const std::string &Result, Duration RunTime) {
  apply(Controller_.onRunFinished(Run, Outcome, Result, RunTime, now()));
  flushLinks();
}

void AgentNode::onInForce(const AcceptedConfig &Config) {
  const ZoneName Zone(zone());
  if (!Env_.ignoresCordons())
    apply(Controller_.onCordoned(cordonedZones(Config.Set_).count(Zone) != 0,
                                 now()));
}

void AgentNode::onPeerUp(const PeerId &P) {
  apply(Controller_.onEntryConnected(P.entry(), now()));
  send(P, EntriesHeard{ReportedEntries_});
}

void AgentNode::onPeerSuspected(const PeerId &P) {
  apply(Controller_.onEntryUnreachable(P.entry(), true, now()));
}

void AgentNode::onPeerReachable(const PeerId &P) {
  apply(Controller_.onEntryUnreachable(P.entry(), false, now()));
}

void AgentNode::onPeerLost(const PeerId &P) {
  apply(Controller_.onEntryLost(P.entry(), now()));
}

void AgentNode::onMessage(const PeerId &From, const Message &M) {
  if (const auto *Known = std::get_if<KnownEntries>(&M))
    Directory_.addAddresses(*Known, now());
  else
    apply(Controller_.onMessage(From.entry(), M, now()));
}

void AgentNode::onTick() {
  apply(Controller_.onTimer(now()));
  auto Reachable = Links_.reachableEntries();
  if (Reachable != ReportedEntries_) {
    ReportedEntries_ = std::move(Reachable);
    for (const EntryId &Entry : ReportedEntries_)
      send(PeerId::of(Entry), EntriesHeard{ReportedEntries_});
  }
  if (Controller_.drained() && Links_.allAcknowledged(false))
    exitProcess(false);
}

void AgentNode::apply(StartControllerOutputs Out) {
  for (StartControllerOutput &O : Out) {
    if (auto *Send = std::get_if<SendToEntry>(&O))
      send(PeerId::of(Send->To_), std::move(Send->Message_));
    else if (auto *Run = std::get_if<RunTask>(&O))
      Env_.startRun(Self_.Name_, *Run);
    else if (auto *Stop = std::get_if<StopTask>(&O))
      Env_.stopRun(Self_.Name_, Stop->Run_);
  }
}

} // namespace chivelanding::fuzz
