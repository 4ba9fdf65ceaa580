#include "peer_hub.h"

#include "clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace chivelanding {
namespace {

namespace asio = boost::asio;

// Period of the check for heartbeats that are due, silent peers and addresses
// to dial.
constexpr auto TickPeriod = std::chrono::milliseconds(50);
// Pause before an address is dialled again.
constexpr Duration DialPause = std::chrono::milliseconds(250);

using PeerKey = std::pair<Role, EntryId>;

} // namespace

struct PeerHub::Impl : std::enable_shared_from_this<PeerHub::Impl> {
  struct Connection {
    bool Dialled_ = false;
    std::optional<PeerKey> Peer_;
  };
  struct PeerState {
    PeerIdentity Identity_;
    std::optional<ConnectionId> Connection_;
    std::vector<Message> Outbox_;
    std::uint64_t LastSent_ = 0;
    Time LastHeard_;
    Time LastWrite_;
  };
  struct Target {
    SocketAddress Address_;
    std::optional<ConnectionId> Connection_;
    Time NextDial_;
    bool IsSelf_ = false;
  };

  Impl(asio::io_context &Io, const ProcessSettings &Settings, PeerIdentity Self,
       EventLog &Log, PeerHandler Handler);

  void onOpened(ConnectionId Id, bool Dialled);
  void onReceived(ConnectionId Id, const std::string &Bytes);
  void onClosed(ConnectionId Id, const std::string &Reason);
  void onHello(ConnectionId Id, const Hello &H);
  void onBatch(ConnectionId Id, const Batch &B);
  void refuse(ConnectionId Id, const std::string &Detail);
  void sendHello(ConnectionId Id);
  void queue(const PeerKey &To, Message M);
  void scheduleFlush();
  void flush(PeerState &P);
  void tick();
  void dialTargets(Time Now);
  void dropSilent(Time Now);
  Target *targetOf(ConnectionId Id);

  asio::io_context &Io_;
  ProcessSettings Settings_;
  PeerIdentity Self_;
  EventLog &Log_;
  PeerHandler Handler_;
  WsTransport Transport_;
  asio::steady_timer Timer_;
  std::map<ConnectionId, Connection> Connections_;
  std::map<PeerKey, PeerState> Peers_;
  std::vector<Target> Targets_;
  bool FlushScheduled_ = false;
  bool Stopped_ = false;
};

PeerHub::Impl::Impl(asio::io_context &Io, const ProcessSettings &Settings,
                    PeerIdentity Self, EventLog &Log, PeerHandler Handler)
    : Io_(Io), Settings_(Settings), Self_(std::move(Self)), Log_(Log),
      Handler_(std::move(Handler)),
      Transport_(
          Io, Settings.MaxFrameBytes_,
          {[this](ConnectionId Id, bool Dialled) { onOpened(Id, Dialled); },
           [this](ConnectionId Id, const std::string &Bytes) {
             onReceived(Id, Bytes);
           },
           [this](ConnectionId Id, const std::string &Reason) {
             onClosed(Id, Reason);
           }}),
      Timer_(Io) {}

PeerHub::Impl::Target *PeerHub::Impl::targetOf(ConnectionId Id) {
  for (Target &T : Targets_)
    if (T.Connection_ == Id)
      return &T;
  return nullptr;
}

void PeerHub::Impl::onOpened(ConnectionId Id, bool Dialled) {
  Connections_[Id].Dialled_ = Dialled;
  if (Dialled)
    sendHello(Id);
}

void PeerHub::Impl::sendHello(ConnectionId Id) {
  Hello H;
  H.Role_ = Self_.Role_;
  H.Name_ = Self_.Name_;
  H.Incarnation_ = Self_.Incarnation_;
  H.Zone_ = Self_.Zone_;
  H.Region_ = Self_.Region_;
  Transport_.send(Id, encodeFrame(H));
}

void PeerHub::Impl::refuse(ConnectionId Id, const std::string &Detail) {
  const auto &Peer = Connections_[Id].Peer_;
  Log_.write(
      events::FrameRefused,
      {{"peer", Peer ? Peer->second.str() : "unknown"}, {"detail", Detail}});
  Transport_.close(Id, Detail);
}

void PeerHub::Impl::onReceived(ConnectionId Id, const std::string &Bytes) {
  const auto It = Connections_.find(Id);
  if (It == Connections_.end())
    return;
  const auto F = decodeFrame(Bytes, Settings_.MaxFrameBytes_);
  if (!ok(F)) {
    refuse(Id, error(F).str());
    return;
  }
  if (const auto *H = std::get_if<Hello>(&value(F))) {
    onHello(Id, *H);
    return;
  }
  if (!It->second.Peer_) {
    refuse(Id, "frame before hello");
    return;
  }
  Peers_[*It->second.Peer_].LastHeard_ = steadyNow();
  if (const auto *B = std::get_if<Batch>(&value(F)))
    onBatch(Id, *B);
}

void PeerHub::Impl::onHello(ConnectionId Id, const Hello &H) {
  Connection &C = Connections_[Id];
  if (C.Peer_) {
    refuse(Id, "second hello");
    return;
  }
  if (H.Protocol_ != ProtocolVersion) {
    refuse(Id, "protocol " + std::to_string(H.Protocol_) + ", expected " +
                   std::to_string(ProtocolVersion));
    return;
  }
  if (H.Incarnation_ == Self_.Incarnation_ && H.Name_ == Self_.Name_) {
    if (Target *T = targetOf(Id))
      T->IsSelf_ = true;
    Transport_.close(Id, "same process");
    return;
  }
  const PeerKey Key{H.Role_, {H.Name_, H.Incarnation_}};
  C.Peer_ = Key;
  if (!C.Dialled_)
    sendHello(Id);
  const bool IsNew = Peers_.count(Key) == 0;
  PeerState &P = Peers_[Key];
  P.Identity_ = {H.Role_, H.Name_, H.Incarnation_, H.Zone_, H.Region_};
  P.Connection_ = Id;
  P.LastHeard_ = steadyNow();
  Log_.write(events::LinkUp, {{"peer", P.Identity_.str()},
                              {"dialled", C.Dialled_ ? "true" : "false"}});
  if (IsNew)
    Handler_.Up_(PeerIdentity(P.Identity_));
  scheduleFlush();
}

void PeerHub::Impl::onBatch(ConnectionId Id, const Batch &B) {
  const PeerIdentity From = Peers_[*Connections_[Id].Peer_].Identity_;
  for (const Message &M : B.Messages_)
    Handler_.Received_(From, M);
}

void PeerHub::Impl::onClosed(ConnectionId Id, const std::string &Reason) {
  if (Target *T = targetOf(Id)) {
    T->Connection_.reset();
    T->NextDial_ = steadyNow() + DialPause;
  }
  const auto It = Connections_.find(Id);
  if (It == Connections_.end())
    return;
  if (It->second.Peer_) {
    Log_.write(events::LinkDown,
               {{"peer", It->second.Peer_->second.str()}, {"reason", Reason}});
    const auto P = Peers_.find(*It->second.Peer_);
    if (P != Peers_.end() && P->second.Connection_ == Id)
      P->second.Connection_.reset();
  }
  Connections_.erase(It);
}

void PeerHub::Impl::queue(const PeerKey &To, Message M) {
  const auto It = Peers_.find(To);
  if (It == Peers_.end())
    return;
  It->second.Outbox_.push_back(std::move(M));
  scheduleFlush();
}

// Posting the flush lets every handler that is ready now add its messages, so
// that they share a frame and a system call.
void PeerHub::Impl::scheduleFlush() {
  if (FlushScheduled_)
    return;
  FlushScheduled_ = true;
  asio::post(Io_, [Self = shared_from_this()] {
    Self->FlushScheduled_ = false;
    if (Self->Stopped_)
      return;
    for (auto &[Key, P] : Self->Peers_)
      Self->flush(P);
  });
}

void PeerHub::Impl::flush(PeerState &P) {
  if (P.Outbox_.empty() || !P.Connection_)
    return;
  Batch B;
  B.First_ = P.LastSent_ + 1;
  P.LastSent_ += P.Outbox_.size();
  B.Messages_ = std::move(P.Outbox_);
  P.Outbox_.clear();
  P.LastWrite_ = steadyNow();
  Transport_.send(*P.Connection_, encodeFrame(B));
}

void PeerHub::Impl::dialTargets(Time Now) {
  for (Target &T : Targets_) {
    if (T.Connection_ || T.IsSelf_ || T.NextDial_ > Now)
      continue;
    T.NextDial_ = Now + DialPause;
    const auto Id = Transport_.dial(T.Address_);
    if (ok(Id))
      T.Connection_ = value(Id);
  }
}

void PeerHub::Impl::dropSilent(Time Now) {
  std::vector<PeerIdentity> Lost;
  for (auto It = Peers_.begin(); It != Peers_.end();) {
    if (Now - It->second.LastHeard_ < Settings_.LostAfter_) {
      ++It;
      continue;
    }
    Lost.push_back(It->second.Identity_);
    if (It->second.Connection_)
      Transport_.close(*It->second.Connection_, "silent");
    It = Peers_.erase(It);
  }
  for (const PeerIdentity &P : Lost) {
    Log_.write(events::PeerLost, {{"peer", P.str()}});
    Handler_.Lost_(P);
  }
}

void PeerHub::Impl::tick() {
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (Ec || Self->Stopped_)
          return;
        const auto Now = steadyNow();
        for (auto &[Key, P] : Self->Peers_) {
          if (!P.Connection_ || Now - P.LastWrite_ < Self->Settings_.Heartbeat_)
            continue;
          P.LastWrite_ = Now;
          Self->Transport_.send(*P.Connection_, encodeFrame(Heartbeat{}));
        }
        Self->dropSilent(Now);
        Self->dialTargets(Now);
        Self->tick();
      });
}

PeerHub::PeerHub(asio::io_context &Io, const ProcessSettings &Settings,
                 PeerIdentity Self, EventLog &Log, PeerHandler Handler)
    : Impl_(std::make_shared<Impl>(Io, Settings, std::move(Self), Log,
                                   std::move(Handler))) {}

PeerHub::~PeerHub() { PeerHub::stop(); }

Result<SocketAddress> PeerHub::listen(const SocketAddress &Address) {
  return Impl_->Transport_.listen(Address);
}

void PeerHub::keepDialled(const SocketAddress &Address) {
  for (const auto &T : Impl_->Targets_)
    if (T.Address_.str() == Address.str())
      return;
  Impl_->Targets_.push_back({Address, {}, steadyNow(), false});
}

void PeerHub::send(const EntryId &To, Message M) {
  Impl_->queue({Role::Entry, To}, std::move(M));
}

void PeerHub::send(const AgentId &To, Message M) {
  Impl_->queue({Role::Agent, {To.Name_, To.Incarnation_}}, std::move(M));
}

Result<Done> PeerHub::start() {
  Impl_->dialTargets(steadyNow());
  Impl_->tick();
  return Done();
}

void PeerHub::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
  Impl_->Transport_.stop();
}

} // namespace chivelanding
