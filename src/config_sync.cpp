#include "config_sync.h"
#include "config_delta.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Time in which an answer must have come before the same version is asked for
// or sent again. Ten times the round trip between zones, with room for a large
// state.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);
// A process that cannot use a version, because its program is older, costs one
// whole set a minute.
constexpr Duration MaxRetryInterval = std::chrono::seconds(60);
// Requests go to another peer each time, so that a lost one is repeated well
// within the 5 s in which a version is to be in force.
constexpr Duration MaxRequestInterval = std::chrono::seconds(1);
// Versions from which a change can be computed instead of sending the whole
// set; a peer that was away for longer receives the set.
constexpr std::size_t MaxRecentStates = 8;

} // namespace

const char *propagationStrategyName(PropagationStrategy S) {
  static constexpr const char *Names[] = {"periodic", "push", "suppressed"};
  return Names[static_cast<std::size_t>(S)];
}

bool ConfigSync::RetryTimer::startIfDue(ConfigVersion Version, Time Now) {
  if (Version_ != Version) {
    Version_ = Version;
    Backoff_ = RetryInterval;
  } else if (Now < NextAt_) {
    return false;
  } else {
    Backoff_ = std::min(Backoff_ * 2, MaxRetryInterval);
  }
  NextAt_ = Now + Backoff_;
  return true;
}

ConfigSync::ConfigSync(SyncOptions Options)
    : Options_(Options), Random_(Options.Seed_) {}

ConfigDigest ConfigSync::digest() const {
  ConfigDigest D;
  D.Version_ = version();
  D.Hash_ = State_->Hash_;
  return D;
}

Duration ConfigSync::randomUpTo(Duration Limit) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(0, Limit.count())(Random_));
}

void ConfigSync::sendDigest(const std::string &Peer, Time Now,
                            SyncOutputs &Out) {
  Peers_[Peer].LastDigestAt_ = Now;
  Out.push_back(SyncSend{Peer, digest()});
}

// A peer that sends what this process has may have missed its digest.
void ConfigSync::repeatDigest(const std::string &Peer, Time Now,
                              SyncOutputs &Out) {
  const auto It = Peers_.find(Peer);
  if (It == Peers_.end() || Options_.Strategy_ == PropagationStrategy::Periodic)
    return;
  const auto &Last = It->second.LastDigestAt_;
  if (!Last || Now - *Last >= RetryInterval)
    sendDigest(Peer, Now, Out);
}

SyncOutputs ConfigSync::onPeerUp(const std::string &Peer, Role Role, Time Now) {
  SyncOutputs Out;
  Peers_[Peer] = PeerState();
  Peers_[Peer].Role_ = Role;
  sendDigest(Peer, Now, Out);
  if (!NextDigestAt_)
    NextDigestAt_ = Now + randomUpTo(Options_.DigestPeriod_);
  return Out;
}

void ConfigSync::onPeerDown(const std::string &Peer) { Peers_.erase(Peer); }

void ConfigSync::recordPeerVersion(const std::string &Peer,
                                   ConfigVersion Version) {
  const auto It = Peers_.find(Peer);
  if (It != Peers_.end())
    It->second.Version_ = Version;
}

std::map<std::string, ConfigVersion> ConfigSync::peerVersions() const {
  std::map<std::string, ConfigVersion> Versions;
  for (const auto &[Name, P] : Peers_)
    Versions[Name] = P.Version_;
  return Versions;
}

// Only a higher version is adopted. Equal versions are equal sets, because a
// version is a position in the one order of the log.
void ConfigSync::adopt(const AcceptedPtr &State, const std::string &From,
                       Time Now, SyncOutputs &Out) {
  if (State->Version_ <= version())
    return;
  // Agents send no changes to other agents; they keep only the state itself,
  // for entries that ask.
  if (Options_.Role_ == Role::Entry)
    RecentStates_.push_back(State_);
  if (RecentStates_.size() > MaxRecentStates)
    RecentStates_.pop_front();
  State_ = State;
  LastDelta_.reset();
  PropagationBackoff_ = Duration(0);
  RequestCount_ = 0;
  Out.push_back(SyncInForce{State_});
  if (Options_.Strategy_ == PropagationStrategy::Periodic)
    return;
  // The digest tells every peer that it need not send the change, and the
  // entries which processes have it.
  for (const auto &[Peer, P] : Peers_)
    if (Options_.Role_ == Role::Agent ||
        (P.Role_ == Role::Entry && Peer != From))
      sendDigest(Peer, Now, Out);
  if (Options_.Role_ == Role::Agent)
    return;
  if (Options_.Strategy_ == PropagationStrategy::Push)
    return propagate(Now, Out);
  PropagateAt_ = Now + randomUpTo(Options_.MaxDelay_);
}

SyncOutputs ConfigSync::onAccepted(const AcceptedPtr &State, Time Now) {
  SyncOutputs Out;
  adopt(State, "", Now, Out);
  return Out;
}

// Entries send to agents only: entries tell each other by digest and ask, since
// most of them read the change from the log at the same time. Agents whose
// digest does not follow are sent the change again, which repairs losses sooner
// than the periodic digests and needs no traffic otherwise.
void ConfigSync::propagate(Time Now, SyncOutputs &Out) {
  PropagateAt_.reset();
  PropagationBackoff_ = std::min(
      std::max(PropagationBackoff_ * 2, RetryInterval), MaxRetryInterval);
  bool IsAnyBehind = false;
  for (auto &[Peer, P] : Peers_) {
    if (P.Role_ != Role::Agent || P.Version_ >= version())
      continue;
    IsAnyBehind = true;
    sendState(Peer, P, Now, Out);
  }
  if (IsAnyBehind)
    PropagateAt_ = Now + PropagationBackoff_;
}

Message ConfigSync::stateMessage(ConfigVersion Have) {
  if (Options_.Deltas_ && Have.value() > 0) {
    if (LastDelta_ && LastDelta_->Base_ == Have)
      return *LastDelta_;
    for (const AcceptedPtr &Old : RecentStates_) {
      if (Old->Version_ != Have)
        continue;
      LastDelta_ = makeDelta(*Old, *State_);
      return *LastDelta_;
    }
  }
  ConfigState M;
  M.Version_ = version();
  M.Toml_ = State_->Toml_;
  return M;
}

void ConfigSync::sendState(const std::string &Peer, PeerState &P, Time Now,
                           SyncOutputs &Out) {
  if (P.SendTimer_.startIfDue(version(), Now))
    Out.push_back(SyncSend{Peer, stateMessage(P.Version_)});
}

// A process that is behind a peer waits a moment before it asks, because most
// entries receive the same change from the log and most agents from another
// entry. The plain exchange of digests asks at once.
void ConfigSync::onPeerAhead(const std::string &Peer, Time Now,
                             SyncOutputs &Out) {
  if (Options_.Strategy_ == PropagationStrategy::Periodic) {
    if (Peers_[Peer].SendTimer_.startIfDue(Peers_[Peer].Version_, Now))
      Out.push_back(SyncSend{Peer, ConfigRequest{version()}});
    return;
  }
  if (!RequestAt_)
    RequestAt_ = Now + randomUpTo(Options_.MaxDelay_);
}

// Asks the peers that are ahead in turn, with a growing time between requests.
void ConfigSync::requestState(Time Now, SyncOutputs &Out) {
  RequestAt_.reset();
  std::vector<std::string> PeersAhead;
  for (const auto &[Peer, P] : Peers_)
    if (P.Version_ > std::max(version(), RefusedVersion_))
      PeersAhead.push_back(Peer);
  if (PeersAhead.empty())
    return;
  Out.push_back(SyncSend{PeersAhead[RequestCount_ % PeersAhead.size()],
                         ConfigRequest{version()}});
  RequestAt_ =
      Now + std::min(RetryInterval * (1 << std::min(RequestCount_, 8u)),
                     MaxRequestInterval);
  ++RequestCount_;
}

SyncOutputs ConfigSync::onDigest(const std::string &Peer, const ConfigDigest &M,
                                 Time Now) {
  SyncOutputs Out;
  const auto It = Peers_.find(Peer);
  if (It == Peers_.end())
    return Out;
  It->second.Version_ = M.Version_;
  const bool PropagationPending =
      PropagateAt_ && PropagationBackoff_ == Duration(0);
  if (M.Version_ > version())
    onPeerAhead(Peer, Now, Out);
  else if (M.Version_ < version() && It->second.Role_ == Role::Agent &&
           !PropagationPending &&
           Options_.Strategy_ != PropagationStrategy::Periodic)
    sendState(Peer, It->second, Now, Out);
  return Out;
}

SyncOutputs ConfigSync::onRequest(const std::string &Peer,
                                  const ConfigRequest &M, Time Now) {
  SyncOutputs Out;
  const auto It = Peers_.find(Peer);
  if (It == Peers_.end())
    return Out;
  const bool VersionAsAssumed = It->second.Version_ == M.Have_;
  It->second.Version_ = M.Have_;
  if (M.Have_ >= version())
    return Out;
  // A request that states another version than this process assumed answers a
  // change that did not fit; it is not to wait for the repetition.
  if (!VersionAsAssumed)
    It->second.SendTimer_ = RetryTimer();
  sendState(Peer, It->second, Now, Out);
  return Out;
}

SyncOutputs ConfigSync::onState(const std::string &Peer, const ConfigState &M,
                                Time Now) {
  SyncOutputs Out;
  recordPeerVersion(Peer, M.Version_);
  if (M.Version_ <= version()) {
    repeatDigest(Peer, Now, Out);
    return Out;
  }
  const Result<AcceptedPtr> State = makeAcceptedConfig(M.Version_, M.Toml_);
  if (!ok(State)) {
    RefusedVersion_ = M.Version_;
    Out.push_back(SyncRefused{Peer, error(State).Detail_});
    return Out;
  }
  adopt(value(State), Peer, Now, Out);
  return Out;
}

// A change whose base this process does not have is answered with a request
// that states what it has. If the base is the same and the result still
// differs, a request from version 0 gets the whole set.
SyncOutputs ConfigSync::onDelta(const std::string &Peer, const ConfigDelta &M,
                                Time Now) {
  SyncOutputs Out;
  recordPeerVersion(Peer, M.Version_);
  if (M.Version_ <= version()) {
    repeatDigest(Peer, Now, Out);
    return Out;
  }
  const Result<AcceptedPtr> State = applyDelta(*State_, M);
  if (ok(State)) {
    adopt(value(State), Peer, Now, Out);
    return Out;
  }
  const bool SameBase = M.Base_ == version();
  Out.push_back(
      SyncSend{Peer, ConfigRequest{SameBase ? ConfigVersion() : version()}});
  return Out;
}

SyncOutputs ConfigSync::tick(Time Now) {
  SyncOutputs Out;
  if (PropagateAt_ && Now >= *PropagateAt_)
    propagate(Now, Out);
  if (RequestAt_ && Now >= *RequestAt_)
    requestState(Now, Out);
  if (NextDigestAt_ && Now >= *NextDigestAt_)
    sendDigests(Now, Out);
  return Out;
}

// With Periodic every peer receives a digest, otherwise one entry in turn:
// agents reach every entry, and entries each other.
void ConfigSync::sendDigests(Time Now, SyncOutputs &Out) {
  NextDigestAt_ = Now + Options_.DigestPeriod_;
  if (Options_.Strategy_ == PropagationStrategy::Periodic) {
    for (const auto &[Peer, P] : Peers_)
      sendDigest(Peer, Now, Out);
    return;
  }
  auto It = Peers_.upper_bound(LastDigestPeer_);
  for (std::size_t Seen = 0; Seen < Peers_.size(); ++Seen, ++It) {
    if (It == Peers_.end())
      It = Peers_.begin();
    if (It->second.Role_ != Role::Entry)
      continue;
    LastDigestPeer_ = It->first;
    return sendDigest(LastDigestPeer_, Now, Out);
  }
}

std::optional<Time> ConfigSync::nextTimer() const {
  std::optional<Time> Next;
  for (const auto &At : {PropagateAt_, RequestAt_, NextDigestAt_})
    if (At && (!Next || *At < *Next))
      Next = At;
  return Next;
}

} // namespace chivelanding
