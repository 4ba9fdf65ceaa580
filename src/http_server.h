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

/// Limits of one HTTP listener.
struct HttpServerLimits {
  /// Also the limit of a chunk's size line with its extensions, and of all
  /// trailers.
  std::uint32_t MaxHeaderBytes_ = 16u << 10;
  std::uint64_t MaxBodyBytes_ = 16u << 20;
  /// A new connection beyond it takes the place of another one, which is
  /// chosen by ConnectionTable::longestInPhase().
  std::uint32_t MaxConnections_ = 4096;
  /// Maximum time from the first byte of a request to its last.
  Duration ReadTimeout_ = std::chrono::seconds(10);
  /// Maximum time that a connection may stay open without a request.
  Duration IdleTimeout_ = std::chrono::seconds(120);
  /// Maximum time in which the caller takes no byte of a response.
  Duration WriteTimeout_ = std::chrono::seconds(10);
  /// Bytes held for the requests and responses of all connections. Beyond it,
  /// connections are closed that ConnectionTable::largest() chooses.
  std::uint64_t MaxHeldBytes_ = 64u << 20;
  /// Buffers that the operating system has for each connection; zero for its
  /// own choice, which may be megabytes.
  std::uint32_t ReceiveBufferBytes_ = 0;
  std::uint32_t SendBufferBytes_ = 0;
};

/// A request or connection that the server itself has refused or ended before
/// the response was complete.
struct DroppedConnection {
  /// bad_http, body_too_large, header_too_large, read_timeout, write_timeout,
  /// too_many_connections, too_many_bytes.
  std::string Code_;
  /// Address of the caller; empty if it is not known any more.
  std::string Caller_;
};
using DropHandler = std::function<void(const DroppedConnection &)>;

/// The pending reply to one request.
class HttpReply {
public:
  virtual ~HttpReply() = default;
  /// Must be called exactly once; has no effect if the caller has disconnected.
  virtual void send(HttpResponse Response) = 0;
  /// Registers a callback for the end of the connection before send(), whether
  /// the caller disconnects or the server closes it.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
  /// True if the caller has disconnected, also if the event loop has not
  /// reported it yet.
  virtual bool callerGone() = 0;
  /// Bytes of the request that are kept until the reply. Before it is called,
  /// those of the whole body count.
  virtual void retain(std::uint64_t Bytes) = 0;
};
using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest &&, HttpReplyPtr)>;

/// HTTP/1.1 server on the given io_context, with keep-alive. Malformed or
/// oversized requests are answered with 400, 413 or 431 and do not reach the
/// handler.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, HttpServerLimits Limits,
             HttpHandler Handler);
  ~HttpServer();

  /// Has the handler called for each connection that is dropped.
  void onDrop(DropHandler Handler);
  /// Returns the bound address; port 0 is replaced by the port that the
  /// operating system chose. Error code: listen_failed.
  Result<SocketAddress> listen(const SocketAddress &Address);
  /// Continues to serve, but closes each connection after its next response.
  void closeAfterReplies();
  /// Accepts no more connections, closes those without a pending reply, and
  /// closes the others after the reply.
  void drain();
  /// Closes the listener and all connections at once.
  void close();
  std::size_t connections() const;

private:
  class Session;
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
