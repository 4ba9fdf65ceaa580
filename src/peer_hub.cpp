#include "peer_hub.h"

#include "clock.h"
#include "membership.h"
#include "periodic_timer.h"
#include "resource_plan.h"
#include "ws_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace chivelanding {
namespace {

namespace asio = boost::asio;

// Bounds of the backoff before an address is dialled again. It doubles with
// each failure, and a random part spreads the attempts of the processes of a
// zone that restart together.
constexpr std::int64_t MinDialBackoffUs = 50'000;
constexpr std::int64_t MaxDialBackoffUs = 2'000'000;
// Period in which the whole list of entries is sent to one random peer. With 24
// entries and 763 agents, a peer receives it once in half a minute from some
// entry.
constexpr Duration EntryListResendPeriod = std::chrono::seconds(1);

EntryDirectory makeDirectory(const PeerId &Self, const RegionName &Region) {
  return {Self.entry(), Region, Self.Role_ == Role::Agent};
}

LinkLimits makeLinkLimits(const ProcessSettings &S) {
  LinkLimits L;
  L.Heartbeat_ = S.Heartbeat_;
  L.SuspectAfter_ = S.SuspectAfter_;
  L.LostAfter_ = S.LostAfter_;
  L.Session_.MaxUnacknowledgedBytes_ = planResources(S.Resources_).PeerBytes_;
  return L;
}

} // namespace

struct PeerHub::Impl : std::enable_shared_from_this<PeerHub::Impl> {
  /// An address to dial, from a seed or from the directory.
  struct Target {
    SocketAddress Address_;
    bool IsSeed_ = false;
    /// When the address stops being a seed; never if not set.
    std::optional<Time> SeedUntil_;
    std::optional<ConnectionId> Connection_;
    Time NextDialAt_;
    std::int64_t BackoffUs_ = MinDialBackoffUs;
  };

  Impl(asio::io_context &Io, const ProcessSettings &Settings, PeerId Self,
       EventLog &Log, PeerHandler Handler);

  void onOpened(ConnectionId Id, bool Dialled);
  void onReceived(ConnectionId Id, const std::string &Bytes);
  void onClosed(ConnectionId Id);
  void apply(LinkOutputs Outputs);
  void onUp(const PeerUp &Up);
  void onLost(const PeerLost &Lost);
  void onDelivered(const PeerId &From, const Message &M);
  void closeConnection(const CloseConnection &Close);
  void redial(const PeerId &Peer);
  Target &targetFor(const SocketAddress &Address);
  void dial(Target &T, Time Now);
  void dialTargets(Time Now);
  void sendEntryUpdates();
  void resendEntriesToOnePeer();
  KnownEntries knownEntries() const;
  void scheduleFlush();
  void sendReport(const PeerId &To);
  void flush();
  void onTick(Time Now);

  asio::io_context &Io_;
  ProcessSettings Settings_;
  PeerId Self_;
  EventLog &Log_;
  PeerHandler Handler_;
  WsTransport Transport_;
  Links Links_;
  EntryDirectory Directory_;
  PeriodicTimer Timer_;
  std::mt19937_64 Random_;
  std::optional<SocketAddress> Listen_;
  std::vector<Target> Targets_;
  /// Address at which each peer was last reached by dialling, by peer name.
  std::map<std::string, SocketAddress> AddressByPeer_;
  std::map<ConnectionId, SocketAddress> AddressByConnection_;
  /// Latest report per entry that has not been sent yet.
  std::map<PeerId, AgentReport> PendingReports_;
  std::vector<PeerId> ConnectedPeers_;
  std::vector<EntryId> ReportedReachable_;
  /// Entries whose addresses were sent to all peers.
  std::set<EntryId> AnnouncedEntries_;
  Time NextResendAt_;
  bool ReportsReachability_ = false;
  bool FlushScheduled_ = false;
  bool Stopped_ = false;
};

PeerHub::Impl::Impl(asio::io_context &Io, const ProcessSettings &Settings,
                    PeerId Self, EventLog &Log, PeerHandler Handler)
    : Io_(Io), Settings_(Settings), Self_(std::move(Self)), Log_(Log),
      Handler_(std::move(Handler)),
      Transport_(
          Io, Settings.MaxFrameBytes_,
          {[this](ConnectionId Id, bool Dialled) { onOpened(Id, Dialled); },
           [this](ConnectionId Id, const std::string &Bytes) {
             onReceived(Id, Bytes);
           },
           [this](ConnectionId Id, const std::string &) { onClosed(Id); },
           [this](const std::string &Caller) {
             Log_.write(events::ConnectionDropped,
                        {{"listener", "peers"},
                         {"code", "too_many_connections"},
                         {"caller", Caller}});
           }}),
      Links_(Self_, Settings.Zone_, Settings.Region_, makeLinkLimits(Settings)),
      Directory_(makeDirectory(Self_, Settings.Region_)), Timer_(Io),
      Random_(Self_.Incarnation_.value()) {
  Transport_.limitAccepted(planResources(Settings.Resources_).PeerConnections_);
}

void PeerHub::Impl::onOpened(ConnectionId Id, bool Dialled) {
  const Time Now = steadyNow();
  if (Dialled)
    apply(Links_.onDialled(Id, Now));
  else
    Links_.onAccepted(Id, Now);
}

void PeerHub::Impl::onReceived(ConnectionId Id, const std::string &Bytes) {
  const auto F = decodeFrame(Bytes, Settings_.MaxFrameBytes_);
  if (ok(F)) {
    // The Hello on a dialled connection names the process at that address.
    if (const auto *H = std::get_if<Hello>(&value(F))) {
      const auto It = AddressByConnection_.find(Id);
      if (It != AddressByConnection_.end())
        AddressByPeer_[H->Name_] = It->second;
    }
    if (const auto *B = std::get_if<Batch>(&value(F)))
      if (!B->Unreadable_.empty())
        Log_.write(
            events::ItemsSkipped,
            {{"source", "frame"},
             {"items", std::to_string(B->Unreadable_.size())},
             {"first", "message " + std::to_string(*B->Unreadable_.begin() +
                                                   B->First_)}});
    apply(Links_.onFrame(Id, value(F), steadyNow()));
    if (std::holds_alternative<Hello>(value(F)) && Links_.isIdentified(Id))
      Transport_.onPeerIdentified(Id);
    return;
  }
  apply(Links_.onBadFrame(Id, error(F), steadyNow()));
}

void PeerHub::Impl::onClosed(ConnectionId Id) {
  const Time Now = steadyNow();
  AddressByConnection_.erase(Id);
  for (Target &T : Targets_) {
    if (T.Connection_ != Id)
      continue;
    T.Connection_.reset();
    std::uniform_int_distribution<std::int64_t> Jitter(0, T.BackoffUs_ / 2);
    T.NextDialAt_ = Now + Duration(T.BackoffUs_ + Jitter(Random_));
    T.BackoffUs_ = std::min(2 * T.BackoffUs_, MaxDialBackoffUs);
  }
  apply(Links_.onClosed(Id, Now));
}

void PeerHub::Impl::apply(LinkOutputs Outputs) {
  for (LinkOutput &O : Outputs) {
    if (const auto *D = std::get_if<Deliver>(&O))
      onDelivered(D->From_, D->Message_);
    else if (const auto *Send = std::get_if<SendFrame>(&O))
      Transport_.send(Send->Connection_, encodeFrame(Send->Frame_));
    else if (const auto *Close = std::get_if<CloseConnection>(&O))
      closeConnection(*Close);
    else if (const auto *Dial = std::get_if<DialPeer>(&O))
      redial(Dial->Peer_);
    else if (const auto *Up = std::get_if<PeerUp>(&O))
      onUp(*Up);
    else if (const auto *Lost = std::get_if<PeerLost>(&O))
      onLost(*Lost);
    else if (const auto *Suspected = std::get_if<PeerSuspected>(&O)) {
      Log_.write(events::PeerSuspected, {{"peer", Suspected->Peer_.str()}});
      Handler_.Suspected_(Suspected->Peer_);
    } else if (const auto *Reachable = std::get_if<PeerReachable>(&O)) {
      Handler_.Reachable_(Reachable->Peer_);
    } else if (std::holds_alternative<SelfSuperseded>(O)) {
      Handler_.Superseded_();
    }
  }
}

void PeerHub::Impl::onUp(const PeerUp &Up) {
  Log_.write(events::LinkUp,
             {{"peer", Up.Peer_.str()}, {"zone", Up.Zone_.str()}});
  ConnectedPeers_.push_back(Up.Peer_);
  const auto Dialled = AddressByPeer_.find(Up.Peer_.Name_);
  if (Dialled != AddressByPeer_.end())
    targetFor(Dialled->second).BackoffUs_ = MinDialBackoffUs;
  if (Up.Peer_.Role_ == Role::Entry)
    Directory_.onUp(Up.Peer_.entry(), steadyNow());
  if (ReportsReachability_)
    apply(Links_.send(Up.Peer_, EntriesHeard{ReportedReachable_}, steadyNow()));
  else if (Listen_)
    apply(Links_.send(Up.Peer_, knownEntries(), steadyNow()));
  Handler_.Up_(Up);
  scheduleFlush();
}

void PeerHub::Impl::onLost(const PeerLost &Lost) {
  Log_.write(events::PeerLost,
             {{"peer", Lost.Peer_.str()}, {"reason", Lost.Reason_.Code_}});
  ConnectedPeers_.erase(
      std::remove(ConnectedPeers_.begin(), ConnectedPeers_.end(), Lost.Peer_),
      ConnectedPeers_.end());
  PendingReports_.erase(Lost.Peer_);
  if (Lost.Peer_.Role_ == Role::Entry) {
    Directory_.onDown(Lost.Peer_.entry(), steadyNow());
  }
  Handler_.Lost_(Lost.Peer_);
}

void PeerHub::Impl::onDelivered(const PeerId &From, const Message &M) {
  if (const auto *Known = std::get_if<KnownEntries>(&M)) {
    Directory_.addAddresses(*Known, steadyNow());
    return;
  }
  if (const auto *S = std::get_if<SetStandby>(&M))
    Links_.setStandby(From, S->Standby_, steadyNow());
  Handler_.Received_(From, M);
}

void PeerHub::Impl::closeConnection(const CloseConnection &Close) {
  const Error &E = Close.Reason_;
  const bool Expected = E.Code_ == "replaced" || E.Code_ == "duplicate" ||
                        E.Code_ == "session_ended";
  Log_.write(Expected ? events::LinkDown : events::FrameRefused,
             {{"code", E.Code_}, {"peer", E.Peer_}, {"detail", E.Detail_}});
  Transport_.close(Close.Connection_, E.Code_);
}

// This connection is not assigned to the target of the address, whose own
// connection may still look open although nothing arrives on it.
void PeerHub::Impl::redial(const PeerId &Peer) {
  const auto It = AddressByPeer_.find(Peer.Name_);
  if (It == AddressByPeer_.end() || Stopped_)
    return;
  const auto Id = Transport_.dial(It->second);
  if (ok(Id))
    AddressByConnection_[value(Id)] = It->second;
}

PeerHub::Impl::Target &PeerHub::Impl::targetFor(const SocketAddress &Address) {
  for (Target &T : Targets_)
    if (T.Address_.Host_ == Address.Host_ && T.Address_.Port_ == Address.Port_)
      return T;
  Targets_.push_back({Address, false, {}, {}, steadyNow()});
  return Targets_.back();
}

void PeerHub::Impl::dial(Target &T, Time Now) {
  if (T.Connection_ || T.NextDialAt_ > Now)
    return;
  const auto Id = Transport_.dial(T.Address_);
  if (!ok(Id))
    return;
  T.Connection_ = value(Id);
  AddressByConnection_[value(Id)] = T.Address_;
}

// A seed needs no connection of its own if it is the listener of this process
// or if a connected entry listens there.
void PeerHub::Impl::dialTargets(Time Now) {
  for (const EntryAddress &A : Directory_.entriesToDial(Now))
    dial(targetFor({A.Host_, A.Port_}), Now);
  for (Target &T : Targets_) {
    if (T.SeedUntil_ && *T.SeedUntil_ <= Now)
      T.IsSeed_ = false;
    const bool IsSelf = Listen_ && Listen_->str() == T.Address_.str();
    if (T.IsSeed_ && !IsSelf &&
        !Directory_.hasListenerAt(T.Address_.Host_, T.Address_.Port_))
      dial(T, Now);
  }
}

// Links deliver reliably in order within a session, so each change is sent
// once. A new peer gets the whole list, the others only the entries added:
// whole lists to all peers at each change would grow with the square of the
// deployment.
void PeerHub::Impl::sendEntryUpdates() {
  if (ReportsReachability_) {
    auto Reachable = Links_.reachableEntries();
    if (Reachable == ReportedReachable_)
      return;
    ReportedReachable_ = std::move(Reachable);
    for (const PeerId &Peer : std::vector<PeerId>(ConnectedPeers_))
      apply(Links_.send(Peer, EntriesHeard{ReportedReachable_}, steadyNow()));
    return;
  }
  if (!Listen_)
    return;
  KnownEntries NewEntries;
  std::set<EntryId> Known;
  for (EntryAddress &Address : knownEntries().Entries_) {
    Known.insert(Address.Entry_);
    if (AnnouncedEntries_.count(Address.Entry_) == 0)
      NewEntries.Entries_.push_back(std::move(Address));
  }
  AnnouncedEntries_ = std::move(Known);
  resendEntriesToOnePeer();
  if (NewEntries.Entries_.empty())
    return;
  for (const PeerId &Peer : std::vector<PeerId>(ConnectedPeers_))
    apply(Links_.send(Peer, NewEntries, steadyNow()));
}

// A peer that was disconnected from an entry for long has dropped its address;
// sending the whole list to one peer at a time restores it.
void PeerHub::Impl::resendEntriesToOnePeer() {
  const Time Now = steadyNow();
  if (ConnectedPeers_.empty() || Now < NextResendAt_)
    return;
  NextResendAt_ = Now + EntryListResendPeriod;
  std::uniform_int_distribution<std::size_t> Position(
      0, ConnectedPeers_.size() - 1);
  const PeerId Peer = ConnectedPeers_[Position(Random_)];
  apply(Links_.send(Peer, knownEntries(), Now));
}

// The connected entries and this one.
KnownEntries PeerHub::Impl::knownEntries() const {
  KnownEntries Known = Directory_.connectedEntries();
  Known.Entries_.push_back(
      {Self_.entry(), Settings_.Region_, Listen_->Host_, Listen_->Port_});
  return Known;
}

// Posting the flush lets all handlers that are ready now queue their messages
// first, so that these share a frame and a system call.
void PeerHub::Impl::scheduleFlush() {
  if (FlushScheduled_ || Stopped_)
    return;
  FlushScheduled_ = true;
  asio::post(Io_, [Self = shared_from_this()] {
    Self->FlushScheduled_ = false;
    if (!Self->Stopped_)
      Self->flush();
  });
}

void PeerHub::Impl::sendReport(const PeerId &To) {
  const auto It = PendingReports_.find(To);
  if (It == PendingReports_.end())
    return;
  const AgentReport Report = It->second;
  PendingReports_.erase(It);
  apply(Links_.send(To, Report, steadyNow()));
}

void PeerHub::Impl::flush() {
  while (!PendingReports_.empty())
    sendReport(PeerId(PendingReports_.begin()->first));
  apply(Links_.flush(steadyNow()));
}

void PeerHub::Impl::onTick(Time Now) {
  sendEntryUpdates();
  apply(Links_.onTimer(Now));
  dialTargets(Now);
}

PeerHub::PeerHub(asio::io_context &Io, const ProcessSettings &Settings,
                 PeerId Self, EventLog &Log, PeerHandler Handler)
    : Impl_(std::make_shared<Impl>(Io, Settings, std::move(Self), Log,
                                   std::move(Handler))) {}

PeerHub::~PeerHub() { PeerHub::stop(); }

Result<SocketAddress> PeerHub::listen(const SocketAddress &Address) {
  auto Bound = Impl_->Transport_.listen(Address);
  if (ok(Bound))
    Impl_->Listen_ = value(Bound);
  return Bound;
}

void PeerHub::advertise(const SocketAddress &Address) {
  Impl_->Listen_ = Address;
}

// A permanent seed stays permanent.
void PeerHub::addSeed(const SocketAddress &Address,
                      std::optional<Duration> Period) {
  Impl::Target &T = Impl_->targetFor(Address);
  const bool IsPermanent = T.IsSeed_ && !T.SeedUntil_;
  T.SeedUntil_.reset();
  if (Period && !IsPermanent)
    T.SeedUntil_ = steadyNow() + *Period;
  T.IsSeed_ = true;
}

void PeerHub::enableReachabilityReports() {
  Impl_->ReportsReachability_ = true;
}

void PeerHub::send(const PeerId &To, Message M) {
  Impl &I = *Impl_;
  if (const auto *Report = std::get_if<AgentReport>(&M)) {
    I.PendingReports_[To] = *Report;
  } else {
    if (const auto *S = std::get_if<SetStandby>(&M))
      I.Links_.setStandby(To, S->Standby_, steadyNow());
    // The owner must know the free capacity before it places rejected tasks
    // again.
    if (std::holds_alternative<TasksRejected>(M))
      I.sendReport(To);
    I.apply(I.Links_.send(To, std::move(M), steadyNow()));
  }
  I.scheduleFlush();
}

void PeerHub::rejoin(const PeerId &Self) {
  Impl &I = *Impl_;
  I.Self_ = Self;
  I.Links_ = Links(Self, I.Settings_.Zone_, I.Settings_.Region_,
                   makeLinkLimits(I.Settings_));
  I.Directory_ = makeDirectory(Self, I.Settings_.Region_);
  I.ConnectedPeers_.clear();
  I.PendingReports_.clear();
  I.Transport_.closeAll("rejoin");
}

bool PeerHub::allDelivered(bool ReachableOnly) const {
  return Impl_->PendingReports_.empty() &&
         Impl_->Links_.allAcknowledged(ReachableOnly);
}

Result<Done> PeerHub::start() {
  Impl_->dialTargets(steadyNow());
  Impl_->Timer_.start(Impl_->Settings_.Heartbeat_ / 4,
                      [I = Impl_.get()](Time Now) { I->onTick(Now); });
  return Done();
}

void PeerHub::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.stop();
  Impl_->Transport_.stop();
}

} // namespace chivelanding
