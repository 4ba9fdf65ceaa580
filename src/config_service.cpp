#include "config_service.h"
#include "clock.h"
#include "random_number.h"

namespace chivelanding {

namespace {

SyncOptions syncOptions(Role R) {
  SyncOptions Options;
  Options.Role_ = R;
  Options.Seed_ = drawRandomNumber();
  return Options;
}

const char *roleName(Role R) { return R == Role::Entry ? "entry" : "agent"; }

// Peers are named NAME@INCARNATION. Snapshot writers are ranked by NAME, which
// does not change with a restart.
std::string processName(const std::string &Peer) {
  return Peer.substr(0, Peer.rfind('@'));
}

} // namespace

ConfigService::ConfigService(boost::asio::io_context &Io,
                             const ProcessSettings &Settings, Role Role,
                             EventLog &Log, Host Owner)
    : Settings_(Settings), Role_(Role), Log_(Log), Host_(std::move(Owner)),
      Sync_(syncOptions(Role)), Timer_(Io) {
  if (Settings_.Log_.Port_ == 0 || Role != Role::Entry)
    return;
  Transport_ = std::make_unique<HttpLogTransport>(Io, Settings_.Log_);
  FollowerOptions Options;
  Options.Name_ = Settings_.Name_;
  Options.Seed_ = drawRandomNumber();
  Driver_ = std::make_unique<ConfigFollowerDriver>(
      Io, *Transport_, std::move(Options), callbacks());
}

ConfigService::~ConfigService() { ConfigService::stop(); }

ConfigFollowerDriver::Callbacks ConfigService::callbacks() {
  ConfigFollowerDriver::Callbacks Handlers;
  Handlers.OnAccepted_ = [this](const AcceptedPtr &State) {
    apply(Sync_.onAccepted(State, steadyNow()));
  };
  Handlers.OnEvaluated_ = [this](const EvaluatedRecord &Evaluated) {
    onRecordEvaluated(Evaluated);
  };
  Handlers.OnPublishEnded_ = [this](const PublishEnded &End) {
    const auto It = PublishCallbacks_.find(End.Id_);
    if (It == PublishCallbacks_.end())
      return;
    const auto OnEnded = std::move(It->second);
    PublishCallbacks_.erase(It);
    OnEnded(End);
  };
  Handlers.OnReachable_ = [this](const LogReachable &R) { onReachable(R); };
  return Handlers;
}

Result<Done> ConfigService::start() {
  updateSnapshotWriters();
  if (Driver_)
    Driver_->start();
  return Done();
}

void ConfigService::stop() {
  if (Stopped_)
    return;
  Stopped_ = true;
  Alive_.reset();
  Timer_.cancel();
  Driver_.reset();
}

void ConfigService::updateSnapshotWriters() {
  if (!Driver_)
    return;
  std::vector<std::string> Names = {Settings_.Name_};
  for (const auto &[Peer, PeerRole] : Peers_)
    if (PeerRole == Role::Entry)
      Names.push_back(processName(Peer));
  Driver_->setSnapshotWriters(std::move(Names));
}

void ConfigService::onPeerUp(const std::string &Peer, Role PeerRole) {
  Peers_[Peer] = PeerRole;
  updateSnapshotWriters();
  apply(Sync_.onPeerUp(Peer, PeerRole, steadyNow()));
}

void ConfigService::onPeerLost(const std::string &Peer) {
  Peers_.erase(Peer);
  updateSnapshotWriters();
  Sync_.onPeerDown(Peer);
}

bool ConfigService::onMessage(const std::string &Peer, const Message &M) {
  const Time Now = steadyNow();
  if (const auto *Digest = std::get_if<ConfigDigest>(&M))
    apply(Sync_.onDigest(Peer, *Digest, Now));
  else if (const auto *Request = std::get_if<ConfigRequest>(&M))
    apply(Sync_.onRequest(Peer, *Request, Now));
  else if (const auto *State = std::get_if<ConfigState>(&M))
    apply(Sync_.onState(Peer, *State, Now));
  else if (const auto *Delta = std::get_if<ConfigDelta>(&M))
    apply(Sync_.onDelta(Peer, *Delta, Now));
  else
    return false;
  return true;
}

void ConfigService::apply(const SyncOutputs &Outputs) {
  for (const SyncOutput &Output : Outputs) {
    if (const auto *Send = std::get_if<SyncSend>(&Output)) {
      Host_.Send_(Send->Peer_, Send->Message_);
    } else if (const auto *InForce = std::get_if<SyncInForce>(&Output)) {
      const AcceptedPtr &State = InForce->State_;
      Log_.write(events::ConfigAccepted,
                 {{"version", std::to_string(State->Version_.value())},
                  {"hash", toHex(State->Hash_)},
                  {"objects", std::to_string(State->Set_.Objects_.size())}});
      if (Host_.InForce_)
        Host_.InForce_(State);
    } else if (const auto *Refused = std::get_if<SyncRefused>(&Output)) {
      Log_.write(events::ConfigRefused,
                 {{"peer", Refused->Peer_}, {"detail", Refused->Detail_}});
    }
  }
  schedule();
}

void ConfigService::schedule() {
  const auto At = Sync_.nextTimer();
  if (!At || Stopped_)
    return;
  Timer_.expires_after(
      std::max(Duration(std::chrono::milliseconds(1)), *At - steadyNow()));
  const std::weak_ptr<int> Alive = Alive_;
  Timer_.async_wait([this, Alive](const boost::system::error_code &Ec) {
    if (!Ec && !Alive.expired())
      apply(Sync_.tick(steadyNow()));
  });
}

void ConfigService::onRecordEvaluated(const EvaluatedRecord &Evaluated) {
  switch (Evaluated.Outcome_) {
  case RecordOutcome::RefusedStale:
  case RecordOutcome::RefusedInvalid:
  case RecordOutcome::NewerRules:
    Log_.write(events::ConfigRefused,
               {{"id", Evaluated.Id_},
                {"author", Evaluated.Author_},
                {"base", std::to_string(Evaluated.Base_.value())},
                {"judgement", recordOutcomeName(Evaluated.Outcome_)},
                {"detail", Evaluated.Detail_}});
    return;
  case RecordOutcome::SkippedCorrupt:
  case RecordOutcome::SkippedForeign:
    Log_.write(events::ConfigRecordSkipped,
               {{"offset", std::to_string(Evaluated.Offset_)},
                {"judgement", recordOutcomeName(Evaluated.Outcome_)}});
    return;
  default:
    return;
  }
}

void ConfigService::onReachable(const LogReachable &R) {
  Log_.write(R.Reachable_ ? events::LogAvailable : events::LogUnavailable,
             {{"log", Settings_.Log_.str()}, {"detail", R.Detail_}});
}

bool ConfigService::awaitOutcome(
    const ChangeRecord &Change,
    std::function<void(const PublishEnded &)> &OnEnded) {
  if (Driver_ && PublishCallbacks_.count(Change.Id_) == 0) {
    PublishCallbacks_[Change.Id_] = std::move(OnEnded);
    return true;
  }
  PublishEnded Refused;
  Refused.Id_ = Change.Id_;
  Refused.Outcome_ = PublishOutcome::NotPublished;
  Refused.Version_ = state()->Version_;
  Refused.Detail_ = Driver_ ? "a change with this id is being published"
                            : "this process does not follow the log";
  OnEnded(Refused);
  return false;
}

void ConfigService::publish(ChangeRecord Change,
                            std::function<void(const PublishEnded &)> OnEnded) {
  if (awaitOutcome(Change, OnEnded))
    Driver_->publish(std::move(Change));
}

void ConfigService::confirm(ChangeRecord Change,
                            std::function<void(const PublishEnded &)> OnEnded) {
  if (awaitOutcome(Change, OnEnded))
    Driver_->confirm(std::move(Change));
}

bool ConfigService::isKnown() const {
  if (!Driver_ || state()->Version_.value() > 0)
    return true;
  const ConfigFollower &F = Driver_->follower();
  return F.caughtUp() && F.stateMachine().isStateKnown();
}

AdminView ConfigService::view() const {
  AdminView View;
  View.InForce_ = state();
  View.Processes_.push_back(
      {Settings_.Name_, roleName(Role_), state()->Version_});
  for (const auto &[Peer, Version] : Sync_.peerVersions())
    View.Processes_.push_back({Peer, roleName(Peers_.at(Peer)), Version});
  View.Follower_ = Driver_ ? &Driver_->follower() : nullptr;
  return View;
}

} // namespace chivelanding
