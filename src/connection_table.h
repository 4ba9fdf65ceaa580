#ifndef CHIVELANDING_CONNECTION_TABLE_H
#define CHIVELANDING_CONNECTION_TABLE_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace chivelanding {

/// Identifies a connection within one listener; never reused.
using ConnectionNumber = Number<struct ConnectionNumberTag>;

enum class ConnectionPhase : std::uint8_t {
  /// Between two requests, or before the first one.
  Idle,
  /// A request has begun and is not complete.
  Receiving,
  /// The reply to a complete request is awaited.
  Pending,
  /// The response is not completely written.
  Sending
};

/// Limits of all connections of a listener together.
struct ConnectionLimits {
  std::uint32_t MaxConnections_ = 4096;
  /// Bytes held for requests and responses.
  std::uint64_t MaxBytes_ = 64u << 20;
};

/// Account of what the connections of a listener hold. Chooses the connections
/// to give up at a limit, for a crowd that makes no progress. Performs no I/O.
class ConnectionTable {
public:
  explicit ConnectionTable(ConnectionLimits Limits) : Limits_(Limits) {}

  ConnectionNumber add(Time Now);
  void remove(ConnectionNumber C);
  void setPhase(ConnectionNumber C, ConnectionPhase Phase, Time Now);
  void setBytes(ConnectionNumber C, std::uint64_t Bytes);

  std::size_t size() const { return Connections_.size(); }
  std::uint64_t bytes() const { return Bytes_; }
  bool isFull() const { return size() >= Limits_.MaxConnections_; }
  bool exceedsBytes() const { return Bytes_ > Limits_.MaxBytes_; }

  /// The connection to give up for a new one: that which has been in its phase
  /// for the longest time. Nothing if all are Pending.
  std::optional<ConnectionNumber> longestInPhase() const;
  /// The connection to give up for its bytes: that which holds most. Nothing
  /// if all are Pending.
  std::optional<ConnectionNumber> largest() const;

private:
  struct Connection {
    ConnectionPhase Phase_ = ConnectionPhase::Idle;
    Time Since_;
    std::uint64_t Bytes_ = 0;
  };

  ConnectionLimits Limits_;
  std::uint64_t Next_ = 1;
  std::unordered_map<std::uint64_t, Connection> Connections_;
  /// Connections that are not Pending, by the begin of their phase.
  std::set<std::pair<Time, ConnectionNumber>> BySince_;
  std::uint64_t Bytes_ = 0;
};

} // namespace chivelanding

#endif
