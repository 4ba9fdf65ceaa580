#include "config_sync.h"
#include "config_delta.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Time in which an answer is expected; after it, the same version is requested
// or sent again. Ten times the round trip between zones, with a margin for a
// large state.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);
// Bounds the traffic of a process that cannot use a version because its program
// is older: it receives one whole set a minute.
constexpr Duration MaxRetryInterval = std::chrono::seconds(60);
// Each request goes to another peer, so that a lost one is repeated well within
// the 5 s in which a version must be in force.
constexpr Duration MaxRequestInterval = std::chrono::seconds(1);
// Number of earlier versions from which a delta can be computed. A peer with an
// older version receives the whole set.
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

// Answers a peer that sends a version no newer than that of this process: the
// digest to it may have been lost.
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

// Only a higher version is adopted. Equal versions are equal sets, because the
// log gives all accepted changes one order.
void ConfigSync::adopt(const AcceptedPtr &State, const std::string &From,
                       Time Now, SyncOutputs &Out) {
  if (State->Version_ <= version())
    return;
  // Agents keep no earlier states: they send nothing to other agents, and
  // entries that request the state receive the whole set.
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
  // Agents send a digest to every peer, entries to the other entries except the
  // sender of this state. It shows which processes have the version and keeps
  // the receivers from sending it to this process.
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

// Entries send changes to agents only. Between entries digests and requests are
// enough, since most entries read the change from the log at the same time. An
// agent whose digest does not show the version is sent the change again, which
// repairs losses sooner than the periodic digests and causes no traffic
// otherwise.
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

// A process that is behind a peer delays its request at random, because most
// entries receive the same change from the log and most agents from another
// entry. With Periodic the request is sent at once.
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

// Requests the state from the peers that are ahead in turn, with a growing time
// between requests.
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
  // A request with another version than the one assumed here means that a delta
  // could not be applied; the answer must not wait for the retry interval.
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

// If this process does not have the base of the delta, it answers with a
// request that names its version. If it has the base and the result still
// differs, it requests the whole set by naming version 0.
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

// With Periodic every peer receives a digest, otherwise one entry in turn;
// agents and entries thereby reach every connected entry.
void ConfigSync::sendDigests(Time Now, SyncOutputs &Out) {
  NextDigestAt_ = Now + Options_.DigestPeriod_;
  if (Options_.Strategy_ == PropagationStrategy::Periodic) {
    for (const auto &[Peer, P] : Peers_)
      sendDigest(Peer, Now, Out);
    return;
  }
  auto It = Peers_.upper_bound(LastDigestPeer_);
  for (std::size_t Checked = 0; Checked < Peers_.size(); ++Checked, ++It) {
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
