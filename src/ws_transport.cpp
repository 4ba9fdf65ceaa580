#include "ws_transport.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <limits>
#include <map>
#include <set>

namespace chivelanding {
namespace {

// Timeout of a TCP connect, in milliseconds. A VM without power does not
// answer, and the kernel repeats its opening packet only after a second; a new
// dial reaches a VM that has come up meanwhile sooner.
constexpr long ConnectTimeoutMs = 150;
// Timeout of the websocket handshake, in milliseconds.
constexpr long HandshakeTimeoutMs = 3000;
// Timeout of the closing handshake, in milliseconds; an unreachable peer delays
// a close by no more.
constexpr long CloseTimeoutMs = 500;
// Maximum body of a handshake, which has none. The library would accept 32 MB.
constexpr std::size_t MaxHandshakeBodyBytes = 1024;

// The process has one thread, so the library needs no locks. The library's own
// log is disabled; the process logs events instead.
template <typename Base> struct LinkConfig : Base {
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  // The library prescribes these names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transport_config : Base::transport_config {
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    // NOLINTNEXTLINE(readability-identifier-naming)
    static const bool enable_multithreading = false;
    // NOLINTNEXTLINE(readability-identifier-naming)
    static const long timeout_connect = ConnectTimeoutMs;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<LinkConfig<websocketpp::config::asio>>;
using Client =
    websocketpp::client<LinkConfig<websocketpp::config::asio_client>>;
using websocketpp::connection_hdl;

constexpr auto Binary = websocketpp::frame::opcode::binary;

// Maximum frame of a connection whose peer is not identified yet; a Hello takes
// a few hundred bytes.
constexpr std::uint64_t MaxHelloBytes = 4096;

// Operations of an open connection, independent of its client or server type.
struct OpenConnection {
  std::function<void(const std::string &)> Send_;
  std::function<void(const std::string &)> Close_;
  std::function<std::size_t()> Buffered_;
  std::function<void(std::uint64_t)> SetMaxFrameBytes_;
};

} // namespace

struct WsTransport::Impl {
  Impl(boost::asio::io_context &Io, std::uint64_t MaxFrameBytes,
       TransportHandler Handler);

  template <typename Endpoint>
  void configure(Endpoint &E, boost::asio::io_context &Io,
                 std::uint64_t MaxBytes);
  template <typename Connection>
  void setHandlers(const Connection &C, ConnectionId Id, bool Dialled);
  void onConnectionEnded(ConnectionId Id, const std::string &Reason);
  void dropSurplus();
  ConnectionId allocateId() { return ConnectionId(NextId_++); }

  TransportHandler Handler_;
  std::uint64_t MaxFrameBytes_;
  Server Server_;
  Client Client_;
  std::uint64_t NextId_ = 1;
  std::map<ConnectionId, OpenConnection> OpenConnections_;
  /// Accepted connections, in the order of their begin, until the peer is
  /// known.
  std::map<ConnectionId, Server::connection_ptr> Unidentified_;
  std::set<ConnectionId> Identified_;
  std::uint32_t MaxAccepted_ = std::numeric_limits<std::uint32_t>::max();
  bool Stopped_ = false;
};

template <typename Endpoint>
void WsTransport::Impl::configure(Endpoint &E, boost::asio::io_context &Io,
                                  std::uint64_t MaxBytes) {
  E.init_asio(&Io);
  E.set_max_message_size(MaxBytes);
  E.set_max_http_body_size(MaxHandshakeBodyBytes);
  E.set_open_handshake_timeout(HandshakeTimeoutMs);
  E.set_close_handshake_timeout(CloseTimeoutMs);
}

WsTransport::Impl::Impl(boost::asio::io_context &Io,
                        std::uint64_t MaxFrameBytes, TransportHandler Handler)
    : Handler_(std::move(Handler)), MaxFrameBytes_(MaxFrameBytes) {
  configure(Server_, Io, MaxFrameBytes);
  configure(Client_, Io, MaxFrameBytes);
  Server_.set_reuse_addr(true);
  // An accepted connection gets its id before its handshake, so that each of
  // its callbacks can be bound to the id.
  Server_.set_tcp_pre_init_handler([this](const connection_hdl &Hdl) {
    websocketpp::lib::error_code Ec;
    const auto C = Server_.get_con_from_hdl(Hdl, Ec);
    if (Ec)
      return;
    C->set_max_message_size(MaxHelloBytes);
    const ConnectionId Id = allocateId();
    setHandlers(C, Id, false);
    Unidentified_[Id] = C;
    dropSurplus();
  });
}

template <typename Connection>
void WsTransport::Impl::setHandlers(const Connection &C, ConnectionId Id,
                                    bool Dialled) {
  C->set_open_handler([this, Id, Dialled](const connection_hdl &Hdl) {
    if (Stopped_)
      return;
    auto Con =
        std::static_pointer_cast<typename Connection::element_type>(Hdl.lock());
    boost::system::error_code Ignored;
    Con->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                     Ignored);
    OpenConnections_[Id] = {
        [Con](const std::string &Bytes) { Con->send(Bytes, Binary); },
        [Con](const std::string &Reason) {
          websocketpp::lib::error_code Ec;
          Con->close(websocketpp::close::status::normal, Reason.substr(0, 120),
                     Ec);
        },
        [Con] { return Con->get_buffered_amount(); },
        [Con](std::uint64_t Bytes) { Con->set_max_message_size(Bytes); }};
    Handler_.Opened_(Id, Dialled);
  });
  // Pings are not answered: the library queues pongs without a bound for a peer
  // that does not read them. Links have heartbeats of their own.
  C->set_ping_handler(
      [](const connection_hdl &, const std::string &) { return false; });
  C->set_message_handler(
      [this, Id](const connection_hdl &, const Server::message_ptr &M) {
        if (!Stopped_ && OpenConnections_.count(Id) > 0)
          Handler_.Received_(Id, M->get_payload());
      });
  C->set_close_handler([this, Id](const connection_hdl &Hdl) {
    auto Con =
        std::static_pointer_cast<typename Connection::element_type>(Hdl.lock());
    onConnectionEnded(Id, Con->get_ec().message());
  });
  C->set_fail_handler([this, Id](const connection_hdl &Hdl) {
    auto Con =
        std::static_pointer_cast<typename Connection::element_type>(Hdl.lock());
    onConnectionEnded(Id, Con->get_ec().message());
  });
}

// A crowd at this listener must not take the descriptors of callers and peers.
// A peer is known within a few round trips, so that its connection is among the
// youngest until then.
void WsTransport::Impl::dropSurplus() {
  while (Unidentified_.size() + Identified_.size() > MaxAccepted_ &&
         !Unidentified_.empty()) {
    const auto Oldest = Unidentified_.begin()->second;
    Unidentified_.erase(Unidentified_.begin());
    if (Handler_.Dropped_)
      Handler_.Dropped_(Oldest->get_remote_endpoint());
    // The pending read fails, which ends the connection also during its
    // handshake.
    boost::system::error_code Ignored;
    Oldest->get_raw_socket().close(Ignored);
  }
}

void WsTransport::Impl::onConnectionEnded(ConnectionId Id,
                                          const std::string &Reason) {
  OpenConnections_.erase(Id);
  Unidentified_.erase(Id);
  Identified_.erase(Id);
  if (!Stopped_)
    Handler_.Closed_(Id, Reason);
}

WsTransport::WsTransport(boost::asio::io_context &Io,
                         std::uint64_t MaxFrameBytes, TransportHandler Handler)
    : Impl_(std::make_unique<Impl>(Io, MaxFrameBytes, std::move(Handler))) {}

WsTransport::~WsTransport() { stop(); }

Result<SocketAddress> WsTransport::listen(const SocketAddress &Address) {
  const auto Failed = [&](const std::string &Detail) {
    return Error{"listen_failed", "listen for peers", Address.str(), Detail};
  };
  boost::system::error_code Parse;
  const auto Ip = boost::asio::ip::make_address(Address.Host_, Parse);
  if (Parse)
    return Failed(Parse.message());
  websocketpp::lib::error_code Ec;
  Impl_->Server_.listen({Ip, Address.Port_}, Ec);
  if (!Ec)
    Impl_->Server_.start_accept(Ec);
  if (Ec)
    return Failed(Ec.message());
  boost::system::error_code Ignored;
  return SocketAddress{Address.Host_,
                       Impl_->Server_.get_local_endpoint(Ignored).port()};
}

Result<ConnectionId> WsTransport::dial(const SocketAddress &Address) {
  websocketpp::lib::error_code Ec;
  const auto C =
      Impl_->Client_.get_connection("ws://" + Address.str() + "/link", Ec);
  if (Ec)
    return Error{"bad_address", "dial", Address.str(), Ec.message()};
  const auto Id = Impl_->allocateId();
  Impl_->setHandlers(C, Id, true);
  Impl_->Client_.connect(C);
  return Id;
}

void WsTransport::send(ConnectionId To, const std::string &Bytes) {
  const auto It = Impl_->OpenConnections_.find(To);
  if (It != Impl_->OpenConnections_.end())
    It->second.Send_(Bytes);
}

void WsTransport::close(ConnectionId Connection, const std::string &Reason) {
  const auto It = Impl_->OpenConnections_.find(Connection);
  if (It == Impl_->OpenConnections_.end())
    return;
  const auto Close = It->second.Close_;
  Close(Reason);
}

void WsTransport::closeAll(const std::string &Reason) {
  std::vector<ConnectionId> Open;
  for (const auto &[Id, H] : Impl_->OpenConnections_)
    Open.push_back(Id);
  for (const ConnectionId Id : Open)
    close(Id, Reason);
}

void WsTransport::limitAccepted(std::uint32_t Count) {
  Impl_->MaxAccepted_ = Count;
}

void WsTransport::onPeerIdentified(ConnectionId Connection) {
  if (Impl_->Unidentified_.erase(Connection) > 0)
    Impl_->Identified_.insert(Connection);
  const auto It = Impl_->OpenConnections_.find(Connection);
  if (It != Impl_->OpenConnections_.end())
    It->second.SetMaxFrameBytes_(Impl_->MaxFrameBytes_);
}

std::size_t WsTransport::bufferedBytes(ConnectionId Connection) const {
  const auto It = Impl_->OpenConnections_.find(Connection);
  return It == Impl_->OpenConnections_.end() ? 0 : It->second.Buffered_();
}

void WsTransport::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  websocketpp::lib::error_code Ec;
  if (Impl_->Server_.is_listening())
    Impl_->Server_.stop_listening(Ec);
  const auto Open = std::move(Impl_->OpenConnections_);
  Impl_->OpenConnections_.clear();
  Impl_->Unidentified_.clear();
  for (const auto &[Id, H] : Open)
    H.Close_("stopped");
}

} // namespace chivelanding
