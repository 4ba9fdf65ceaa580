#ifndef CHIVELANDING_HTTP_SERVER_H
#define CHIVELANDING_HTTP_SERVER_H

#include "http.h"
#include "result.h"
#include "settings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Bounds of one HTTP listener.
struct HttpServerLimits {
  std::uint32_t MaxHeaderBytes_ = 16u << 10;
  std::uint64_t MaxBodyBytes_ = 16u << 20;
  /// Further connections wait in the kernel's queue.
  std::uint32_t MaxConnections_ = 4096;
  /// Longest time from the first byte of a request to its last.
  Duration ReadTimeout_ = std::chrono::seconds(10);
  /// Longest time that a connection may stay open without a request.
  Duration IdleTimeout_ = std::chrono::seconds(120);
};

/// The pending reply to one request.
class HttpReply {
public:
  virtual ~HttpReply() = default;
  /// Must be called exactly once; has no effect if the caller is gone.
  virtual void send(HttpResponse Response) = 0;
  /// Callback if the caller disconnects before the reply.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};
using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest &&, HttpReplyPtr)>;

/// HTTP/1.1 server on the caller's io_context, with keep-alive. Malformed or
/// oversized requests are answered with 400, 413 or 431 before the handler sees
/// them.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, HttpServerLimits Limits,
             HttpHandler Handler);
  ~HttpServer();

  /// Returns the bound address, with the port chosen if it was 0. Error code:
  /// listen_failed.
  Result<SocketAddress> listen(const SocketAddress &Address);
  /// Goes on serving, but each response closes its connection.
  void closeAfterReplies();
  /// Accepts no more connections and closes each after its pending reply.
  void drain();
  /// Closes everything at once.
  void close();
  std::size_t connections() const;

private:
  class Session;
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
