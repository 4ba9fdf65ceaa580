#include "http_server_impl.h"

#include "clock.h"

#include <sys/socket.h>

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cerrno>
#include <string_view>

namespace chivelanding {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Limit of bytes kept of further requests that arrive while a reply is pending.
// All connections may have as many, so they are few.
constexpr std::size_t ReadAheadBytes = 4u << 10;
// Memory that the parser takes for each header field besides its text.
constexpr std::uint64_t FieldOverheadBytes = 96;

// Sent without waiting before a connection is given up that may have sent a
// part of a request. Nothing of it was handled.
constexpr std::string_view GivenUpResponse =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    "Retry-After: 1\r\nConnection: close\r\nContent-Length: 60\r\n\r\n"
    R"({"outcome":"failed","cause":"not_run","code":"crowded_out"})"
    "\n";

struct Refusal {
  unsigned Status_;
  const char *Code_;
};

// Memory of the header fields in these bytes. The parser stores each field as
// soon as its line is complete.
std::uint64_t headerBytes(const asio::const_buffer &Data, std::size_t Bytes) {
  const char *Begin = static_cast<const char *>(Data.data());
  const auto Lines = std::count(Begin, Begin + Bytes, '\n');
  return Bytes + static_cast<std::uint64_t>(Lines) * FieldOverheadBytes;
}

Refusal makeRefusal(const error_code &Ec) {
  if (Ec == http::error::body_limit)
    return {413, "body_too_large"};
  if (Ec == http::error::header_limit)
    return {431, "header_too_large"};
  return {400, "bad_http"};
}

} // namespace

HttpServer::Session::Session(std::shared_ptr<HttpServer::Impl> Server,
                             tcp::socket Socket)
    : Server_(std::move(Server)), Socket_(std::move(Socket)) {
  Server_->Sessions_.insert(this);
  Number_ = Server_->Table_.add(steadyNow());
  Server_->SessionByNumber_[Number_.value()] = this;
}

void HttpServer::Session::start() {
  error_code Ec;
  Socket_.set_option(tcp::no_delay(true), Ec);
  Socket_.non_blocking(true, Ec);
  Deadline_ = steadyNow() + Server_->Limits_.IdleTimeout_;
  awaitData();
}

void HttpServer::Session::close() {
  if (Closed_)
    return;
  Closed_ = true;
  Server_->Table_.remove(Number_);
  Server_->SessionByNumber_.erase(Number_.value());
  // The session itself lives until its last operation has ended, which may be
  // after many others have been handled.
  Parser_.reset();
  Buffer_.clear();
  Buffer_.shrink_to_fit();
  error_code Ec;
  Socket_.shutdown(tcp::socket::shutdown_both, Ec);
  Socket_.close(Ec);
  if (auto Callback = std::exchange(OnDisconnect_, nullptr))
    Callback();
}

void HttpServer::Session::enter(ConnectionPhase Phase) {
  Phase_ = Phase;
  Server_->Table_.setPhase(Number_, Phase, steadyNow());
}

void HttpServer::Session::retain(std::uint64_t Bytes) {
  RetainedBytes_ = Bytes;
  updateHeldBytes();
}

std::uint64_t HttpServer::Session::heldBytes() const {
  std::uint64_t Bytes = Buffer_.capacity() + HeaderBytes_ + RetainedBytes_ +
                        Response_.body().size();
  if (Parser_)
    Bytes += Parser_->get().body().size();
  return Bytes;
}

void HttpServer::Session::updateHeldBytes() {
  if (Buffer_.size() == 0)
    Buffer_.shrink_to_fit();
  Server_->Table_.setBytes(Number_, heldBytes());
}

void HttpServer::Session::account() {
  updateHeldBytes();
  Server_->limitBytes();
}

void HttpServer::Session::report(const char *Code) {
  if (!Server_->OnDrop_)
    return;
  error_code Ec;
  const auto Caller = Socket_.remote_endpoint(Ec);
  Server_->OnDrop_(
      {Code,
       Ec ? std::string()
          : SocketAddress{Caller.address().to_string(), Caller.port()}.str()});
}

void HttpServer::Session::drop(const char *Code) {
  report(Code);
  close();
}

// An idle connection gets no response: its caller would take it for that to its
// next request.
void HttpServer::Session::giveUp(const char *Code) {
  error_code Ignored;
  if (Phase_ == ConnectionPhase::Receiving)
    Socket_.write_some(asio::buffer(GivenUpResponse), Ignored);
  drop(Code);
}

void HttpServer::Session::closeIfExpired(Time Now) {
  if (Phase_ == ConnectionPhase::Pending || !Deadline_ || *Deadline_ > Now)
    return;
  if (Phase_ == ConnectionPhase::Idle)
    close();
  else
    drop(Phase_ == ConnectionPhase::Receiving ? "read_timeout"
                                              : "write_timeout");
}

void HttpServer::Session::drain() {
  Draining_ = true;
  if (!isReplyPending())
    close();
}

// Data is awaited also while a reply is pending, because only the end of file
// shows that the caller has disconnected.
void HttpServer::Session::awaitData() {
  if (AwaitingData_ || Closed_)
    return;
  AwaitingData_ = true;
  Socket_.async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](const error_code &Ec) {
                       Self->onReadable(Ec);
                     });
}

void HttpServer::Session::onReadable(const error_code &Ec) {
  AwaitingData_ = false;
  if (Closed_)
    return;
  if (Ec || !readAvailable()) {
    close();
    return;
  }
  account();
  if (Closed_)
    return;
  if (!isReplyPending())
    parse();
  else
    awaitDataBehindRequest();
}

// While a response is written, the caller's end shows there.
void HttpServer::Session::awaitDataBehindRequest() {
  if (Phase_ == ConnectionPhase::Pending || Buffer_.size() < ReadAheadBytes)
    awaitData();
}

// Nothing is read into Buffer_ asynchronously: parse() consumes bytes of it
// between the begin and the end of a wait, which moves the place where the next
// ones belong.
//
// What exceeds the read-ahead is discarded: the end of the caller could not be
// seen behind it. The connection then ends with the reply.
//
// False at the end of the connection.
bool HttpServer::Session::readAvailable() {
  error_code Ec;
  const std::size_t Wanted = Phase_ == ConnectionPhase::Sending
                                 ? ReadAheadBytes - Buffer_.size()
                                 : Impl::ReadBytes;
  const std::size_t Bytes = Socket_.read_some(
      asio::buffer(Server_->ReadBuffer_, std::min(Wanted, Impl::ReadBytes)),
      Ec);
  if (Ec)
    return Ec == asio::error::would_block || Ec == asio::error::interrupted;
  if (Phase_ == ConnectionPhase::Pending &&
      Buffer_.size() + Bytes > ReadAheadBytes)
    Discarding_ = true;
  if (Discarding_) {
    Buffer_.clear();
    return true;
  }
  asio::buffer_copy(Buffer_.prepare(Bytes),
                    asio::buffer(Server_->ReadBuffer_, Bytes));
  Buffer_.commit(Bytes);
  return true;
}

// The parser leaves the line of a chunk's size and the trailers in the buffer
// until they are complete, and has no limit of its own for them.
//
// The deadline of a request counts from its first byte and is not extended by
// further bytes, so that a slow sender cannot occupy the connection.
void HttpServer::Session::parse() {
  if (!Parser_) {
    Parser_.emplace();
    Parser_->eager(true);
    Parser_->header_limit(Server_->Limits_.MaxHeaderBytes_);
    Parser_->body_limit(Server_->Limits_.MaxBodyBytes_);
    ContinueHandled_ = false;
    enter(ConnectionPhase::Receiving);
    Deadline_ = steadyNow() + Server_->Limits_.ReadTimeout_;
  }
  while (Buffer_.size() > 0 && !Parser_->is_done()) {
    error_code Ec;
    const bool IsHeader = !Parser_->is_header_done();
    const auto Consumed = Parser_->put(Buffer_.data(), Ec);
    if (IsHeader)
      HeaderBytes_ += headerBytes(Buffer_.data(), Consumed);
    Buffer_.consume(Consumed);
    if (Ec == http::error::need_more)
      break;
    if (Ec) {
      refuse(Ec);
      return;
    }
    if (Consumed == 0)
      break;
  }
  account();
  if (Closed_)
    return;
  if (Parser_->is_done()) {
    dispatch();
    return;
  }
  if (Buffer_.size() > Server_->Limits_.MaxHeaderBytes_) {
    refuse(http::error::header_limit);
    return;
  }
  if (continueIfExpected())
    awaitData();
  else
    drop("write_timeout");
}

// Written without waiting: the buffer of the connection is full only if the
// caller does not read the responses to its earlier requests. False if so.
bool HttpServer::Session::continueIfExpected() {
  if (ContinueHandled_ || !Parser_->is_header_done())
    return true;
  ContinueHandled_ = true;
  if (!boost::beast::iequals(Parser_->get()[http::field::expect],
                             "100-continue"))
    return true;
  static constexpr std::string_view Text = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code Ec;
  return Socket_.write_some(asio::buffer(Text), Ec) == Text.size();
}

// True if the end of the connection is behind the bytes read so far. The event
// loop reports it only after other events that are ready.
bool HttpServer::Session::peerHasClosed() {
  char Byte = 0;
  const auto Bytes =
      ::recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Bytes == 0 || (Bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

void HttpServer::Session::dispatch() {
  auto Message = Parser_->release();
  Parser_.reset();
  HeaderBytes_ = 0;
  RetainedBytes_ = Message.body().size();
  enter(ConnectionPhase::Pending);
  updateHeldBytes();
  KeepAlive_ = Message.keep_alive();
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  Request.Headers_.reserve(4);
  for (const auto &Field : Message)
    Request.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  Request.SenderGone_ = peerHasClosed();
  Server_->Handler_(std::move(Request), shared_from_this());
  awaitDataBehindRequest();
}

void HttpServer::Session::refuse(const error_code &Ec) {
  const Refusal R = makeRefusal(Ec);
  report(R.Code_);
  KeepAlive_ = false;
  send({R.Status_,
        "application/json",
        {},
        std::string(R"({"outcome":"failed","cause":"not_run","code":")") +
            R.Code_ + R"(","detail":")" + Ec.message() + "\"}"});
}

void HttpServer::Session::send(HttpResponse Response) {
  OnDisconnect_ = nullptr;
  if (Closed_)
    return;
  Response_ = {static_cast<http::status>(Response.Status_), 11};
  Response_.set(http::field::content_type, Response.ContentType_);
  for (const HttpHeader &H : Response.Headers_)
    Response_.set(H.Name_, H.Value_);
  Response_.keep_alive(KeepAlive_ && !Draining_ && !Discarding_ &&
                       !Server_->CloseAfterReplies_);
  Response_.body() = std::move(Response.Body_);
  Response_.prepare_payload();
  Serializer_.emplace(Response_);
  Parser_.reset();
  HeaderBytes_ = 0;
  RetainedBytes_ = 0;
  enter(ConnectionPhase::Sending);
  // The limit is not enforced here: most responses are taken at once.
  updateHeldBytes();
  write();
}

// Each part that the caller takes extends the time for the next one, since a
// response may be long and a link slow.
void HttpServer::Session::write() {
  Deadline_ = steadyNow() + Server_->Limits_.WriteTimeout_;
  http::async_write_some(
      Socket_, *Serializer_,
      [Self = shared_from_this()](const error_code &Ec, std::size_t) {
        if (Ec || Self->Serializer_->is_done())
          Self->onWritten(Ec);
        else
          Self->write();
      });
}

void HttpServer::Session::onWritten(const error_code &Ec) {
  if (Closed_)
    return;
  if (Ec || !Response_.keep_alive()) {
    close();
    return;
  }
  Serializer_.reset();
  Response_ = {};
  enter(ConnectionPhase::Idle);
  account();
  if (Closed_)
    return;
  Deadline_ = steadyNow() + Server_->Limits_.IdleTimeout_;
  if (Buffer_.size() > 0)
    parse();
  else
    awaitData();
}

void HttpServer::Session::onDisconnect(std::function<void()> Callback) {
  OnDisconnect_ = std::move(Callback);
}

} // namespace chivelanding
