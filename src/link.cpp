#include "link.h"

#include <algorithm>

namespace chivelanding {
namespace {

// Number of received messages after which an acknowledgement is sent without
// waiting for a heartbeat. Otherwise a one-way stream could fill the sender's
// buffer between heartbeats.
constexpr std::uint64_t AcknowledgeEvery = 256;
// Sessions are numbered one by one. Both ends adopt the higher number, so a
// number near the end of the range would leave none for the next session.
constexpr std::uint64_t MaxSessionNumber = std::uint64_t(1) << 48;

} // namespace

Links::Links(PeerId Self, ZoneName Zone, RegionName Region, LinkLimits Limits)
    : Self_(std::move(Self)), Zone_(std::move(Zone)),
      Region_(std::move(Region)), Limits_(Limits) {}

Links::PeerState *Links::findPeer(const PeerId &Id) {
  const auto It = Peers_.find({Id.Role_, Id.Name_});
  return It != Peers_.end() && It->second.Id_ == Id ? &It->second : nullptr;
}

const Links::PeerState *Links::findPeer(const PeerId &Id) const {
  return const_cast<Links *>(this)->findPeer(Id);
}

bool Links::isUp(const PeerId &P) const {
  const PeerState *State = findPeer(P);
  return State && State->Session_;
}

bool Links::isReachable(const PeerId &P) const {
  const PeerState *State = findPeer(P);
  return State && State->Session_ && !State->Suspected_;
}

bool Links::allAcknowledged(bool ReachableOnly) const {
  return std::all_of(Peers_.begin(), Peers_.end(), [&](const auto &Item) {
    const auto &Session = Item.second.Session_;
    return !Session || (ReachableOnly && Item.second.Suspected_) ||
           Session->acknowledged() == Session->sent();
  });
}

std::vector<EntryId> Links::reachableEntries() const {
  std::vector<EntryId> Reachable;
  for (const auto &[Key, P] : Peers_)
    if (Key.first == Role::Entry && P.Session_ && !P.Suspected_)
      Reachable.push_back(P.Id_.entry());
  return Reachable;
}

bool Links::isIdentified(ConnectionId C) const {
  const auto It = Connections_.find(C);
  return It != Connections_.end() && It->second.Peer_;
}

Hello Links::makeHello(const PeerId &To) const {
  Hello H;
  H.Role_ = Self_.Role_;
  H.Name_ = Self_.Name_;
  H.Incarnation_ = Self_.Incarnation_;
  H.Zone_ = Zone_;
  H.Region_ = Region_;
  H.PeerName_ = To.Name_;
  H.Peer_ = To.Incarnation_;
  if (To.Name_.empty())
    return H;
  const PeerState *P = findPeer(To);
  H.Session_ = P ? P->SessionNumber_ : 1;
  H.LastReceived_ = P && P->Session_ ? P->Session_->lastReceived() : 0;
  return H;
}

// The dialling side does not know which process answers at the address, so its
// first Hello names no peer. It sends its state of the pair in its second
// Hello, after the answer.
LinkOutputs Links::onDialled(ConnectionId C, Time Now) {
  Connection &New = Connections_[C];
  New.Dialled_ = true;
  New.OpenedAt_ = Now;
  return {SendFrame{C, makeHello({})}};
}

void Links::onAccepted(ConnectionId C, Time Now) {
  Connections_[C].OpenedAt_ = Now;
}

void Links::close(ConnectionId C, const char *Code, std::string Detail,
                  LinkOutputs &Out) {
  std::string Name;
  const auto It = Connections_.find(C);
  if (It == Connections_.end())
    return;
  if (It->second.Peer_) {
    PeerState &P = Peers_[*It->second.Peer_];
    Name = P.Id_.str();
    if (P.ActiveConnection_ == C)
      P.ActiveConnection_.reset();
  }
  Connections_.erase(It);
  Out.push_back(CloseConnection{
      C, Error{Code, "link", std::move(Name), std::move(Detail)}});
}

// The next session gets a higher number, so that a peer that still has the old
// session learns of its end from the next Hello. Every connection of the ended
// session is closed, so that its late frames cannot enter the next session.
void Links::endSession(PeerState &P, const char *Code, std::string Detail,
                       LinkOutputs &Out) {
  std::vector<ConnectionId> Old;
  for (const auto &[Id, Conn] : Connections_)
    if (Conn.Peer_ == PeerKey(P.Id_.Role_, P.Id_.Name_))
      Old.push_back(Id);
  for (const ConnectionId Id : Old)
    close(Id, Code, Detail, Out);
  if (!P.Session_)
    return;
  P.Session_.reset();
  P.Suspected_ = false;
  ++P.SessionNumber_;
  Out.push_back(
      PeerLost{P.Id_, Error{Code, "link", P.Id_.str(), std::move(Detail)}});
}

// Incarnations are random and have no order, so the superseded ones are
// recorded: otherwise a delayed Hello of the old process would end the session
// of the new one.
bool Links::acceptIdentity(ConnectionId C, const Hello &H, LinkOutputs &Out) {
  if (H.Protocol_ != ProtocolVersion) {
    close(C, "protocol_version",
          "peer uses version " + std::to_string(H.Protocol_), Out);
    return false;
  }
  const bool IsSelf = H.Role_ == Self_.Role_ && H.Name_ == Self_.Name_;
  if (H.Name_.empty() || H.Incarnation_ == Incarnation(0) || IsSelf) {
    close(C, "bad_hello", "name or incarnation is invalid", Out);
    return false;
  }
  if (Connections_[C].Dialled_ && H.Peer_ != Self_.Incarnation_) {
    Out.push_back(SelfSuperseded{H.Peer_});
    close(C, "superseded", "the peer has accepted a later process of this name",
          Out);
    return false;
  }
  const auto It = Peers_.find({H.Role_, H.Name_});
  if (It == Peers_.end() ||
      It->second.SupersededIncarnations_.count(H.Incarnation_) == 0)
    return true;
  if (!Connections_[C].Dialled_)
    Out.push_back(SendFrame{C, makeHello(It->second.Id_)});
  close(C, "superseded", "a later process of this name has been accepted", Out);
  return false;
}

void Links::answerHello(ConnectionId C, const Hello &H, LinkOutputs &Out) {
  const PeerId Claimed{H.Role_, H.Name_, H.Incarnation_};
  Connections_[C].ClaimedPeer_ = Claimed;
  Out.push_back(SendFrame{C, makeHello(Claimed)});
}

// Returns the state of the peer, creating it if necessary. A new incarnation of
// a name ends the session with the previous one.
Links::PeerState &Links::adoptIncarnation(const PeerId &Id, LinkOutputs &Out) {
  PeerState &P = Peers_[{Id.Role_, Id.Name_}];
  if (P.Id_.Name_.empty()) {
    P.Id_ = Id;
  } else if (P.Id_.Incarnation_ != Id.Incarnation_) {
    endSession(P, "superseded", "a new incarnation has connected", Out);
    P.SupersededIncarnations_.insert(P.Id_.Incarnation_);
    P.Id_ = Id;
    P.SessionNumber_ = 1;
  }
  return P;
}

// Both ends adopt the higher of their two session numbers. An end whose session
// has a lower number ends it first.
void Links::alignSession(PeerState &P, const Hello &H, Time Now,
                         LinkOutputs &Out) {
  if (H.Session_ > P.SessionNumber_) {
    endSession(P, "session_ended", "the peer has ended the session", Out);
    P.SessionNumber_ = H.Session_;
  }
  if (P.Session_)
    return;
  P.Session_.emplace(Limits_.Session_);
  P.Suspected_ = false;
  P.Standby_ = false;
  P.LastReceivedAt_ = Now;
  Out.push_back(PeerUp{P.Id_, H.Zone_, H.Region_});
}

void Links::activate(PeerState &P, ConnectionId C, Time Now, LinkOutputs &Out) {
  const auto Old = P.ActiveConnection_;
  P.ActiveConnection_ = C;
  P.LastSentAt_ = Now;
  if (Old && *Old != C)
    close(*Old, "replaced", "a newer connection is in use", Out);
  P.Session_->scheduleRetransmission();
}

void Links::markReachable(PeerState &P, Time Now, LinkOutputs &Out) {
  P.LastReceivedAt_ = Now;
  if (!P.Suspected_)
    return;
  P.Suspected_ = false;
  Out.push_back(PeerReachable{P.Id_});
}

// Two ends that dial at the same time must keep the same connection: if each
// kept the newest it sees, each could close the one that the other keeps. The
// connection dialled by the agent, or between entries by the one with the
// lesser name, is kept. This holds only while the connection in use is younger
// than SuspectAfter_; the peer may have lost an older one without this end
// being notified.
bool Links::isDuplicateConnection(const PeerState &P, ConnectionId C,
                                  Time Now) const {
  if (!P.ActiveConnection_ || *P.ActiveConnection_ == C || P.Suspected_)
    return false;
  const Connection &Current = Connections_.at(*P.ActiveConnection_);
  const bool SelfFirst = Self_.Role_ != P.Id_.Role_ ? Self_.Role_ == Role::Agent
                                                    : Self_.Name_ < P.Id_.Name_;
  return Current.Dialled_ != Connections_.at(C).Dialled_ &&
         Current.Dialled_ == SelfFirst &&
         Now - Current.OpenedAt_ < Limits_.SuspectAfter_;
}

// The dialled side uses the connection only after the confirming Hello, that
// is, once a frame has arrived in each direction.
void Links::onHello(ConnectionId C, const Hello &H, Time Now,
                    LinkOutputs &Out) {
  Connection &Conn = Connections_[C];
  const PeerId Id{H.Role_, H.Name_, H.Incarnation_};
  const bool IsFirst = !Conn.Dialled_ && !Conn.ClaimedPeer_;
  const bool OutOfTurn =
      Conn.Peer_ || (Conn.ClaimedPeer_ && !(*Conn.ClaimedPeer_ == Id));
  if (OutOfTurn || H.Session_ > MaxSessionNumber ||
      (IsFirst ? H.Session_ != 0 : H.Session_ == 0)) {
    close(C, "bad_hello", "unexpected Hello", Out);
    return;
  }
  if (!acceptIdentity(C, H, Out))
    return;
  if (IsFirst) {
    answerHello(C, H, Out);
    return;
  }
  PeerState &P = adoptIncarnation(Id, Out);
  if (!Conn.Dialled_ && H.Session_ < P.SessionNumber_) {
    close(C, "session_ended", "the session ended while connecting", Out);
    return;
  }
  alignSession(P, H, Now, Out);
  const std::uint64_t Received =
      H.Session_ == P.SessionNumber_ ? H.LastReceived_ : 0;
  if (!P.Session_->acknowledge(Received)) {
    close(C, "bad_acknowledgement", "Hello acknowledges unsent messages", Out);
    return;
  }
  if (isDuplicateConnection(P, C, Now)) {
    close(C, "duplicate", "a connection dialled at the same time is in use",
          Out);
    return;
  }
  Conn.Peer_ = PeerKey(Id.Role_, Id.Name_);
  P.IsDialler_ = Conn.Dialled_;
  markReachable(P, Now, Out);
  if (Conn.Dialled_)
    Out.push_back(SendFrame{C, makeHello(Id)});
  activate(P, C, Now, Out);
  flushPeer(P, Now, Out);
}

LinkOutputs Links::onFrame(ConnectionId C, const Frame &F, Time Now) {
  LinkOutputs Out;
  const auto It = Connections_.find(C);
  if (It == Connections_.end())
    return Out;
  if (const auto *H = std::get_if<Hello>(&F)) {
    onHello(C, *H, Now, Out);
    return Out;
  }
  if (!It->second.Peer_) {
    close(C, "bad_hello", "frame before the end of the Hello exchange", Out);
    return Out;
  }
  PeerState &P = Peers_[*It->second.Peer_];
  if (const auto *Beat = std::get_if<Heartbeat>(&F)) {
    if (!P.Session_->acknowledge(Beat->Acknowledged_)) {
      close(C, "bad_acknowledgement", "Heartbeat acknowledges unsent messages",
            Out);
      return Out;
    }
    markReachable(P, Now, Out);
    return Out;
  }
  auto NewMessages = P.Session_->receive(std::get<Batch>(F));
  if (!ok(NewMessages)) {
    close(C, error(NewMessages).Code_.c_str(), error(NewMessages).Detail_, Out);
    return Out;
  }
  P.HadBadFrame_ = false;
  markReachable(P, Now, Out);
  for (Message &M : value(NewMessages))
    Out.push_back(Deliver{P.Id_, std::move(M)});
  return Out;
}

// The messages of a bad frame are sent again on the next connection. If they
// cannot be decoded there either, the session would never get beyond them.
LinkOutputs Links::onBadFrame(ConnectionId C, const Error &Reason, Time Now) {
  LinkOutputs Out;
  const auto It = Connections_.find(C);
  if (It == Connections_.end())
    return Out;
  if (It->second.Peer_) {
    PeerState &P = Peers_[*It->second.Peer_];
    if (P.HadBadFrame_)
      endSession(P, "bad_frame", Reason.Detail_, Out);
    P.HadBadFrame_ = !P.HadBadFrame_;
  }
  close(C, Reason.Code_.c_str(), Reason.Detail_, Out);
  for (LinkOutput &O : onClosed(C, Now))
    Out.push_back(std::move(O));
  return Out;
}

LinkOutputs Links::onClosed(ConnectionId C, Time Now) {
  LinkOutputs Out;
  const auto It = Connections_.find(C);
  if (It == Connections_.end())
    return Out;
  const auto Key = It->second.Peer_;
  Connections_.erase(It);
  if (!Key)
    return Out;
  PeerState &P = Peers_[*Key];
  if (P.ActiveConnection_ != C)
    return Out;
  P.ActiveConnection_.reset();
  if (P.IsDialler_)
    dial(P, Now, Out);
  return Out;
}

// The buffer is full when the peer has acknowledged nothing for a long time
// while many messages were sent. Keeping the session would need unbounded
// memory.
LinkOutputs Links::send(const PeerId &To, Message M, Time) {
  LinkOutputs Out;
  PeerState *P = findPeer(To);
  if (P && P->Session_ && !P->Session_->push(std::move(M)))
    endSession(*P, "buffer_full", "limit of unacknowledged messages reached",
               Out);
  return Out;
}

// Restarts the timeouts. A peer sends rarely on standby, so that time must not
// count against the shorter timeouts of an ordinary link.
void Links::setStandby(const PeerId &To, bool Standby, Time Now) {
  PeerState *P = findPeer(To);
  if (!P || !P->Session_ || P->Standby_ == Standby)
    return;
  P->Standby_ = Standby;
  P->LastReceivedAt_ = Now;
  P->LastProgressAt_ = Now;
}

Duration Links::scaledPeriod(const PeerState &P, Duration Period) const {
  return P.Standby_ ? Period * Limits_.StandbyFactor_ : Period;
}

void Links::flushPeer(PeerState &P, Time Now, LinkOutputs &Out) {
  if (!P.Session_ || !P.ActiveConnection_)
    return;
  while (auto B = P.Session_->nextBatch()) {
    Out.push_back(SendFrame{*P.ActiveConnection_, std::move(*B)});
    P.LastSentAt_ = Now;
  }
  if (P.Session_->pendingAcknowledgements() < AcknowledgeEvery)
    return;
  Out.push_back(
      SendFrame{*P.ActiveConnection_, Heartbeat{P.Session_->lastReceived()}});
  P.Session_->markAcknowledged();
  P.LastSentAt_ = Now;
}

LinkOutputs Links::flush(Time Now) {
  LinkOutputs Out;
  for (auto &[Key, P] : Peers_)
    flushPeer(P, Now, Out);
  return Out;
}

void Links::dial(PeerState &P, Time Now, LinkOutputs &Out) {
  P.LastDialledAt_ = Now;
  Out.push_back(DialPeer{P.Id_});
}

// When no frame arrives, the dialling end opens a second connection and leaves
// the first one open. The dialled end cannot dial; it closes the connection.
// The dialler then dials again even if only the direction from the dialler is
// broken, in which case it suspects nothing itself.
void Links::checkReachability(PeerState &P, Time Now, LinkOutputs &Out) {
  if (!P.Session_)
    return;
  const Duration Silence = Now - P.LastReceivedAt_;
  const Duration SuspectAfter = scaledPeriod(P, Limits_.SuspectAfter_);
  if (Silence >= scaledPeriod(P, Limits_.LostAfter_)) {
    endSession(
        P, "silent",
        "nothing received for " + std::to_string(Silence.count()) + " us", Out);
    return;
  }
  const bool NewlySuspected = Silence >= SuspectAfter && !P.Suspected_;
  if (NewlySuspected) {
    P.Suspected_ = true;
    Out.push_back(PeerSuspected{P.Id_});
    if (!P.IsDialler_ && P.ActiveConnection_)
      close(*P.ActiveConnection_, "silent",
            "nothing received; the peer must dial again", Out);
  }
  const bool DialDue = Now - P.LastDialledAt_ >= Limits_.SuspectAfter_;
  if (P.IsDialler_ &&
      (NewlySuspected || ((P.Suspected_ || !P.ActiveConnection_) && DialDue)))
    dial(P, Now, Out);
}

// If a reachable peer acknowledges nothing new for half of LostAfter_, a frame
// was lost and no later frame has revealed the gap. The unacknowledged messages
// are sent again; the peer drops those it already has.
void Links::retransmitIfStalled(PeerState &P, Time Now) {
  if (!P.Session_ || !P.ActiveConnection_)
    return;
  const std::uint64_t Acknowledged = P.Session_->acknowledged();
  if (Acknowledged != P.LastAcknowledged_ ||
      Acknowledged == P.Session_->sent()) {
    P.LastAcknowledged_ = Acknowledged;
    P.LastProgressAt_ = Now;
  } else if (Now - P.LastProgressAt_ >=
             scaledPeriod(P, Limits_.LostAfter_) / 2) {
    P.Session_->scheduleRetransmission();
    P.LastProgressAt_ = Now;
  }
}

// Time in which this process did not run does not count against its peers,
// because their frames may still wait in the socket buffers. Such a pause shows
// as a gap between two timer calls.
LinkOutputs Links::onTimer(Time Now) {
  LinkOutputs Out;
  const Duration Gap = LastTimer_ ? Now - *LastTimer_ : Duration(0);
  LastTimer_ = Now;
  std::vector<ConnectionId> TimedOut;
  for (auto &[Id, Conn] : Connections_) {
    if (Gap >= Limits_.SuspectAfter_)
      Conn.OpenedAt_ += Gap;
    if (!Conn.Peer_ && Now - Conn.OpenedAt_ >= Limits_.SuspectAfter_)
      TimedOut.push_back(Id);
  }
  for (const ConnectionId Id : TimedOut)
    close(Id, "no_hello", "no Hello before the timeout", Out);
  for (auto &[Key, P] : Peers_) {
    if (Gap >= Limits_.SuspectAfter_)
      P.LastReceivedAt_ = std::min(Now, P.LastReceivedAt_ + Gap);
    checkReachability(P, Now, Out);
    retransmitIfStalled(P, Now);
    flushPeer(P, Now, Out);
    if (!P.Session_ || !P.ActiveConnection_ ||
        Now - P.LastSentAt_ < scaledPeriod(P, Limits_.Heartbeat_))
      continue;
    Out.push_back(
        SendFrame{*P.ActiveConnection_, Heartbeat{P.Session_->lastReceived()}});
    P.Session_->markAcknowledged();
    P.LastSentAt_ = Now;
  }
  return Out;
}

} // namespace chivelanding
