#include "http_server_impl.h"

#include "clock.h"

namespace chivelanding {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Period of the check for connections past their deadline.
constexpr auto SweepPeriod = std::chrono::milliseconds(500);

} // namespace

// A lack of descriptors ends neither the listener nor the wait of new callers:
// the least useful connection makes room. After other errors, the next sweep
// accepts again, not this handler.
void HttpServer::Impl::accept() {
  if (Accepting_ || !Acceptor_.is_open())
    return;
  Accepting_ = true;
  Acceptor_.async_accept(
      [Self = shared_from_this()](const error_code &Ec, tcp::socket Socket) {
        Self->Accepting_ = false;
        if (!Ec)
          Self->onAccepted(std::move(Socket));
        const bool MadeRoom =
            (Ec == asio::error::no_descriptors ||
             Ec == boost::system::errc::too_many_files_open_in_system) &&
            Self->dropForNew();
        if (!Ec || MadeRoom || Ec == asio::error::connection_aborted)
          Self->accept();
      });
}

void HttpServer::Impl::onAccepted(tcp::socket Socket) {
  if (Table_.isFull())
    dropForNew();
  const auto New =
      std::make_shared<Session>(shared_from_this(), std::move(Socket));
  if (Table_.size() > Limits_.MaxConnections_)
    New->drop("too_many_connections");
  else
    New->start();
}

bool HttpServer::Impl::dropForNew() {
  const auto Number = Table_.longestInPhase();
  if (!Number)
    return false;
  const auto Session = SessionByNumber_.at(Number->value())->shared_from_this();
  Session->giveUp("too_many_connections");
  return true;
}

void HttpServer::Impl::limitBytes() {
  while (Table_.exceedsBytes()) {
    const auto Number = Table_.largest();
    if (!Number)
      return;
    SessionByNumber_.at(Number->value())
        ->shared_from_this()
        ->giveUp("too_many_bytes");
  }
}

void HttpServer::Impl::sweep() {
  SweepTimer_.expires_after(SweepPeriod);
  SweepTimer_.async_wait([Self = shared_from_this()](const error_code &Ec) {
    if (Ec)
      return;
    const auto Now = steadyNow();
    const std::vector<Session *> OpenSessions(Self->Sessions_.begin(),
                                              Self->Sessions_.end());
    for (Session *S : OpenSessions)
      if (Self->Sessions_.count(S) > 0)
        S->closeIfExpired(Now);
    Self->accept();
    Self->sweep();
  });
}

HttpServer::HttpServer(asio::io_context &Io, HttpServerLimits Limits,
                       HttpHandler Handler)
    : Impl_(std::make_shared<Impl>(Io, Limits, std::move(Handler))) {}

HttpServer::~HttpServer() { close(); }

Result<SocketAddress> HttpServer::listen(const SocketAddress &Address) {
  const auto Failed = [&](const error_code &Ec) {
    return Error{"listen_failed", "listen for HTTP", Address.str(),
                 Ec.message()};
  };
  error_code Ec;
  const auto Ip = asio::ip::make_address(Address.Host_, Ec);
  if (Ec)
    return Failed(Ec);
  const tcp::endpoint Endpoint(Ip, Address.Port_);
  tcp::acceptor &Acceptor = Impl_->Acceptor_;
  Acceptor.open(Endpoint.protocol(), Ec);
  if (!Ec)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Ec);
  // Accepted connections inherit the sizes.
  const HttpServerLimits &Limits = Impl_->Limits_;
  if (!Ec && Limits.ReceiveBufferBytes_ > 0)
    Acceptor.set_option(asio::socket_base::receive_buffer_size(
                            static_cast<int>(Limits.ReceiveBufferBytes_)),
                        Ec);
  if (!Ec && Limits.SendBufferBytes_ > 0)
    Acceptor.set_option(asio::socket_base::send_buffer_size(
                            static_cast<int>(Limits.SendBufferBytes_)),
                        Ec);
  if (!Ec)
    Acceptor.bind(Endpoint, Ec);
  if (!Ec)
    Acceptor.listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return Failed(Ec);
  Impl_->accept();
  Impl_->sweep();
  return SocketAddress{Address.Host_, Acceptor.local_endpoint(Ec).port()};
}

void HttpServer::onDrop(DropHandler Handler) {
  Impl_->OnDrop_ = std::move(Handler);
}

void HttpServer::closeAfterReplies() { Impl_->CloseAfterReplies_ = true; }

void HttpServer::drain() {
  error_code Ec;
  Impl_->Acceptor_.close(Ec);
  const std::vector<Session *> OpenSessions(Impl_->Sessions_.begin(),
                                            Impl_->Sessions_.end());
  for (Session *S : OpenSessions)
    if (Impl_->Sessions_.count(S) > 0)
      S->drain();
}

void HttpServer::close() {
  error_code Ec;
  Impl_->Acceptor_.close(Ec);
  Impl_->SweepTimer_.cancel();
  const std::vector<Session *> OpenSessions(Impl_->Sessions_.begin(),
                                            Impl_->Sessions_.end());
  for (Session *S : OpenSessions)
    if (Impl_->Sessions_.count(S) > 0)
      S->close();
}

std::size_t HttpServer::connections() const { return Impl_->Sessions_.size(); }

} // namespace chivelanding
