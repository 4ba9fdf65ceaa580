#include "connection_table.h"

namespace chivelanding {

ConnectionNumber ConnectionTable::add(Time Now) {
  const ConnectionNumber C(Next_++);
  Connections_[C.value()].Since_ = Now;
  BySince_.insert({Now, C});
  return C;
}

void ConnectionTable::remove(ConnectionNumber C) {
  const auto It = Connections_.find(C.value());
  if (It == Connections_.end())
    return;
  Bytes_ -= It->second.Bytes_;
  BySince_.erase({It->second.Since_, C});
  Connections_.erase(It);
}

void ConnectionTable::setPhase(ConnectionNumber C, ConnectionPhase Phase,
                               Time Now) {
  const auto It = Connections_.find(C.value());
  if (It == Connections_.end())
    return;
  BySince_.erase({It->second.Since_, C});
  It->second.Phase_ = Phase;
  It->second.Since_ = Now;
  if (Phase != ConnectionPhase::Pending)
    BySince_.insert({Now, C});
}

void ConnectionTable::setBytes(ConnectionNumber C, std::uint64_t Bytes) {
  const auto It = Connections_.find(C.value());
  if (It == Connections_.end())
    return;
  Bytes_ = Bytes_ - It->second.Bytes_ + Bytes;
  It->second.Bytes_ = Bytes;
}

// Answers a crowd that keeps its connections: idle, sending a request byte by
// byte, or reading no response. An ordinary caller is through each of these
// phases within milliseconds, so that its connection is among the youngest. A
// Pending connection is kept, since its request is being served.
std::optional<ConnectionNumber> ConnectionTable::longestInPhase() const {
  if (BySince_.empty())
    return std::nullopt;
  return BySince_.begin()->second;
}

// Answers a crowd whose requests are large or have many fields. Ordinary
// requests are small, so that they are not given up for those of the crowd.
std::optional<ConnectionNumber> ConnectionTable::largest() const {
  std::optional<ConnectionNumber> Largest;
  std::uint64_t MostBytes = 0;
  for (const auto &[Since, C] : BySince_) {
    const std::uint64_t Bytes = Connections_.at(C.value()).Bytes_;
    if (!Largest || Bytes > MostBytes) {
      Largest = C;
      MostBytes = Bytes;
    }
  }
  return Largest;
}

} // namespace chivelanding
