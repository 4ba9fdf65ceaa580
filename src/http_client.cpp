#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace chivelanding {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Maximum number of idle connections kept per address.
constexpr std::size_t MaxIdleConnections = 256;

// Maximum number of bytes that the parser may leave unread. It consumes a body
// as it arrives; only a header, the size line of a chunk and the trailers must
// be complete first.
constexpr std::size_t MaxBufferedBytes = 64u << 10;

struct Connection {
  explicit Connection(asio::io_context &Io) : Socket_(Io) {}
  tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_{MaxBufferedBytes};
};

// An idle connection that the server has closed is readable, at end of file.
// Detecting this before the request is written avoids a call whose outcome
// would be unknown.
bool isReusable(Connection &C) {
  char Byte = 0;
  const auto Read =
      ::recv(C.Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  struct Call {
    explicit Call(asio::io_context &Io) : Timer_(Io) {}
    CallId Id_;
    SocketAddress To_;
    http::request<http::string_body> Request_;
    std::optional<http::response_parser<http::string_body>> Parser_;
    HttpCallback Callback_;
    std::unique_ptr<Connection> Connection_;
    asio::steady_timer Timer_;
    /// Error code if the call timed out or was cancelled, otherwise null.
    const char *AbortCode_ = nullptr;
  };
  using CallPtr = std::shared_ptr<Call>;

  Impl(asio::io_context &Io, std::uint64_t MaxBodyBytes)
      : Io_(Io), MaxBodyBytes_(MaxBodyBytes) {}

  std::unique_ptr<Connection> takeIdle(const SocketAddress &To);
  void connect(const CallPtr &C);
  void write(const CallPtr &C);
  void read(const CallPtr &C);
  void finish(const CallPtr &C);
  void fail(const CallPtr &C, const char *Code, const error_code &Ec);
  void abortCall(const CallPtr &C, const char *Code);

  asio::io_context &Io_;
  std::uint64_t MaxBodyBytes_;
  std::uint64_t NextCall_ = 1;
  std::unordered_map<std::uint64_t, CallPtr> Calls_;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>>
      IdleConnections_;
};

std::unique_ptr<Connection>
HttpClient::Impl::takeIdle(const SocketAddress &To) {
  const auto It = IdleConnections_.find(To.str());
  while (It != IdleConnections_.end() && !It->second.empty()) {
    auto C = std::move(It->second.back());
    It->second.pop_back();
    if (isReusable(*C))
      return C;
  }
  return nullptr;
}

void HttpClient::Impl::connect(const CallPtr &C) {
  C->Connection_ = std::make_unique<Connection>(Io_);
  error_code Ec;
  const auto Ip = asio::ip::make_address(C->To_.Host_, Ec);
  if (Ec) {
    asio::post(Io_, [Self = shared_from_this(), C, Ec] {
      Self->fail(C, "connect_failed", Ec);
    });
    return;
  }
  C->Connection_->Socket_.async_connect(
      tcp::endpoint(Ip, C->To_.Port_),
      [Self = shared_from_this(), C](const error_code &Ec) {
        if (Ec) {
          Self->fail(C, "connect_failed", Ec);
          return;
        }
        error_code Ignored;
        C->Connection_->Socket_.set_option(tcp::no_delay(true), Ignored);
        Self->write(C);
      });
}

void HttpClient::Impl::write(const CallPtr &C) {
  http::async_write(
      C->Connection_->Socket_, C->Request_,
      [Self = shared_from_this(), C](const error_code &Ec, std::size_t) {
        if (Ec)
          Self->fail(C, "connection_lost", Ec);
        else
          Self->read(C);
      });
}

void HttpClient::Impl::read(const CallPtr &C) {
  C->Parser_.emplace();
  C->Parser_->body_limit(MaxBodyBytes_);
  http::async_read(
      C->Connection_->Socket_, C->Connection_->Buffer_, *C->Parser_,
      [Self = shared_from_this(), C](const error_code &Ec, std::size_t) {
        if (!Ec)
          Self->finish(C);
        else if (Ec == http::error::end_of_stream ||
                 Ec == http::error::partial_message ||
                 Ec.category() == boost::system::system_category())
          Self->fail(C, "connection_lost", Ec);
        else
          Self->fail(C, "bad_response", Ec);
      });
}

void HttpClient::Impl::finish(const CallPtr &C) {
  C->Timer_.cancel();
  if (Calls_.erase(C->Id_.value()) == 0)
    return;
  auto Message = C->Parser_->release();
  HttpResponse Response;
  Response.Status_ = Message.result_int();
  Response.ContentType_ = std::string(Message[http::field::content_type]);
  for (const auto &Field : Message)
    Response.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Response.Body_ = std::move(Message.body());
  if (Message.keep_alive()) {
    auto &Idle = IdleConnections_[C->To_.str()];
    if (Idle.size() < MaxIdleConnections)
      Idle.push_back(std::move(C->Connection_));
  }
  C->Callback_(std::move(Response));
}

void HttpClient::Impl::fail(const CallPtr &C, const char *Code,
                            const error_code &Ec) {
  C->Timer_.cancel();
  if (Calls_.erase(C->Id_.value()) == 0)
    return;
  const char *FinalCode = C->AbortCode_ ? C->AbortCode_ : Code;
  C->Callback_(Error{FinalCode,
                     "HTTP " + std::string(C->Request_.method_string()) + " " +
                         std::string(C->Request_.target()),
                     C->To_.str(),
                     C->AbortCode_ ? "call ended" : Ec.message()});
}

// Closing the socket makes the pending operation fail; its handler then reports
// the error of the call.
void HttpClient::Impl::abortCall(const CallPtr &C, const char *Code) {
  C->AbortCode_ = Code;
  error_code Ec;
  if (C->Connection_)
    C->Connection_->Socket_.close(Ec);
}

HttpClient::HttpClient(asio::io_context &Io, std::uint64_t MaxBodyBytes)
    : Impl_(std::make_shared<Impl>(Io, MaxBodyBytes)) {}

HttpClient::~HttpClient() {
  const auto Calls = std::move(Impl_->Calls_);
  Impl_->Calls_.clear();
  for (const auto &[Id, C] : Calls) {
    C->Timer_.cancel();
    Impl_->abortCall(C, "cancelled");
  }
}

CallId HttpClient::send(const SocketAddress &To, HttpRequest Request,
                        Duration Timeout, HttpCallback Callback) {
  const auto C = std::make_shared<Impl::Call>(Impl_->Io_);
  C->Id_ = CallId(Impl_->NextCall_++);
  C->To_ = To;
  C->Request_.version(11);
  C->Request_.method_string(Request.Method_);
  C->Request_.target(Request.Target_);
  C->Request_.set(http::field::host, To.str());
  for (const HttpHeader &H : Request.Headers_)
    C->Request_.set(H.Name_, H.Value_);
  C->Request_.body() = std::move(Request.Body_);
  C->Request_.prepare_payload();
  C->Callback_ = std::move(Callback);
  Impl_->Calls_[C->Id_.value()] = C;
  C->Timer_.expires_after(Timeout);
  C->Timer_.async_wait([Weak = std::weak_ptr<Impl::Call>(C),
                        Self = Impl_](const error_code &Ec) {
    const auto Call = Weak.lock();
    if (!Ec && Call && Self->Calls_.count(Call->Id_.value()) > 0)
      Self->abortCall(Call, "timeout");
  });
  C->Connection_ = Impl_->takeIdle(To);
  if (C->Connection_)
    Impl_->write(C);
  else
    Impl_->connect(C);
  return C->Id_;
}

void HttpClient::cancel(CallId Call) {
  const auto It = Impl_->Calls_.find(Call.value());
  if (It != Impl_->Calls_.end())
    Impl_->abortCall(It->second, "cancelled");
}

} // namespace chivelanding
