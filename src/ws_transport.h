#ifndef CHIVELANDING_WS_TRANSPORT_H
#define CHIVELANDING_WS_TRANSPORT_H

#include "link.h"
#include "result.h"
#include "settings.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Callbacks of a transport. None of them is called from within a call of the
/// transport.
struct TransportHandler {
  /// Dialled is true for connections made by dial() and false for accepted
  /// ones.
  std::function<void(ConnectionId, bool Dialled)> Opened_;
  std::function<void(ConnectionId, const std::string &Bytes)> Received_;
  /// Called once per connection, also for a dial that failed.
  std::function<void(ConnectionId, const std::string &Reason)> Closed_;
  /// An accepted connection is closed to make room; Caller is its address. May
  /// be empty.
  std::function<void(const std::string &Caller)> Dropped_;
};

/// Websocket connections that carry binary frames, on the given io_context.
class WsTransport {
public:
  /// A received frame larger than MaxFrameBytes closes its connection.
  WsTransport(boost::asio::io_context &Io, std::uint64_t MaxFrameBytes,
              TransportHandler Handler);
  ~WsTransport();

  /// Returns the bound address. Error code: listen_failed.
  Result<SocketAddress> listen(const SocketAddress &Address);
  /// Has at most Count accepted connections open. Beyond it, the oldest one is
  /// closed of which the other end is not known.
  void limitAccepted(std::uint32_t Count);
  /// Error code: bad_address.
  Result<ConnectionId> dial(const SocketAddress &Address);
  /// Has no effect on a connection that is closed.
  void send(ConnectionId To, const std::string &Bytes);
  void close(ConnectionId Connection, const std::string &Reason);
  void closeAll(const std::string &Reason);
  /// To be called once the other end of an accepted connection is known.
  /// Before, it may send only short frames.
  void onPeerIdentified(ConnectionId Connection);
  /// Bytes passed to send() that the operating system has not accepted yet.
  std::size_t bufferedBytes(ConnectionId Connection) const;
  /// Closes the listener and every connection.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
