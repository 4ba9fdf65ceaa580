#ifndef CHIVELANDING_HTTP_SERVER_IMPL_H
#define CHIVELANDING_HTTP_SERVER_IMPL_H

#include "connection_table.h"
#include "http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace chivelanding {

/// State of a listener, which its sessions share.
struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(boost::asio::io_context &Io, HttpServerLimits Limits,
       HttpHandler Handler)
      : Io_(Io), Limits_(Limits), Handler_(std::move(Handler)),
        Table_({Limits.MaxConnections_, Limits.MaxHeldBytes_}), Acceptor_(Io),
        SweepTimer_(Io) {}

  void accept();
  void onAccepted(boost::asio::ip::tcp::socket Socket);
  /// Gives up the least useful connection. False if there is none.
  bool dropForNew();
  /// Gives up connections while all together hold too much.
  void limitBytes();
  void sweep();

  /// Maximum number of bytes of one read.
  static constexpr std::size_t ReadBytes = 16u << 10;

  boost::asio::io_context &Io_;
  HttpServerLimits Limits_;
  HttpHandler Handler_;
  DropHandler OnDrop_;
  ConnectionTable Table_;
  std::unordered_map<std::uint64_t, Session *> SessionByNumber_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::steady_timer SweepTimer_;
  /// Takes the bytes of one read, of any session.
  std::array<char, ReadBytes> ReadBuffer_{};
  std::unordered_set<Session *> Sessions_;
  bool Accepting_ = false;
  bool CloseAfterReplies_ = false;
};

/// One connection. One request is handled at a time; pipelined requests wait in
/// the buffer.
class HttpServer::Session
    : public HttpReply,
      public std::enable_shared_from_this<HttpServer::Session> {
public:
  Session(std::shared_ptr<HttpServer::Impl> Server,
          boost::asio::ip::tcp::socket Socket);
  ~Session() override { Server_->Sessions_.erase(this); }

  void start();
  void send(HttpResponse Response) override;
  void onDisconnect(std::function<void()> Callback) override;
  bool callerGone() override { return Closed_ || peerHasClosed(); }
  void close();
  /// Closes the connection because of this code, which is reported.
  void drop(const char *Code);
  /// The same; the caller may read that its request was not handled.
  void giveUp(const char *Code);
  void closeIfExpired(Time Now);
  void drain();
  void retain(std::uint64_t Bytes) override;

private:
  std::uint64_t heldBytes() const;
  void updateHeldBytes();
  /// Also enforces the limit of all connections, and may close this one.
  void account();
  void enter(ConnectionPhase Phase);
  bool isReplyPending() const {
    return Phase_ == ConnectionPhase::Pending ||
           Phase_ == ConnectionPhase::Sending;
  }
  void awaitData();
  void awaitDataBehindRequest();
  void onReadable(const boost::system::error_code &Ec);
  bool readAvailable();
  void parse();
  void dispatch();
  void refuse(const boost::system::error_code &Ec);
  void report(const char *Code);
  void write();
  void onWritten(const boost::system::error_code &Ec);
  bool continueIfExpected();
  bool peerHasClosed();

  std::shared_ptr<HttpServer::Impl> Server_;
  boost::asio::ip::tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      Parser_;
  boost::beast::http::response<boost::beast::http::string_body> Response_;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      Serializer_;
  std::function<void()> OnDisconnect_;
  ConnectionNumber Number_;
  ConnectionPhase Phase_ = ConnectionPhase::Idle;
  std::optional<Time> Deadline_;
  /// Of the request that is being received or served.
  std::uint64_t HeaderBytes_ = 0;
  std::uint64_t RetainedBytes_ = 0;
  bool AwaitingData_ = false;
  /// More has arrived behind a pending request than is kept.
  bool Discarding_ = false;
  bool ContinueHandled_ = false;
  bool KeepAlive_ = true;
  bool Closed_ = false;
  bool Draining_ = false;
};

} // namespace chivelanding

#endif
