#ifndef CHIVELANDING_LINK_SESSION_H
#define CHIVELANDING_LINK_SESSION_H

#include "message.h"
#include "result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chivelanding {

/// Bounds of one session.
struct SessionLimits {
  /// Messages that may wait for an acknowledgement.
  std::size_t MaxUnacknowledged_ = 1u << 16;
  /// Estimated bytes of the messages that may wait for an acknowledgement.
  std::size_t MaxUnacknowledgedBytes_ = 128u << 20;
  /// Messages in one frame.
  std::size_t MaxBatch_ = 256;
  /// Estimated bytes in one frame, unless a single message is larger.
  std::size_t MaxBatchBytes_ = 1u << 20;
};

/// Estimate of a message's encoded size in bytes.
std::size_t approximateBytes(const Message &M);

/// Numbering of the messages between two incarnations in one session: what was
/// sent and not acknowledged, and what was received.
class LinkSession {
public:
  explicit LinkSession(SessionLimits Limits) : Limits_(Limits) {}

  /// Numbers a message and keeps it until it is acknowledged. False if the
  /// buffer is full; the session must then be given up.
  bool push(Message M);
  /// Takes an acknowledgement. False if it names a message never sent.
  bool acknowledge(std::uint64_t Number);
  /// The messages of a batch that are new, in order. Error codes: gap,
  /// bad_acknowledgement.
  Result<std::vector<Message>> receive(const Batch &B);
  /// Everything unacknowledged is sent again on a new connection.
  void scheduleRetransmission() { Transmitted_ = Acknowledged_; }
  /// The next frame to send, or nothing if all was transmitted.
  std::optional<Batch> nextBatch();

  std::uint64_t lastReceived() const { return LastReceived_; }
  std::uint64_t sent() const { return Acknowledged_ + Unacknowledged_.size(); }
  std::uint64_t acknowledged() const { return Acknowledged_; }
  /// Messages received since the last acknowledgement went out.
  std::uint64_t pendingAcknowledgements() const {
    return LastReceived_ - LastReceivedAcknowledged_;
  }
  void markAcknowledged() { LastReceivedAcknowledged_ = LastReceived_; }

private:
  struct UnacknowledgedMessage {
    Message Message_;
    std::size_t Bytes_ = 0;
  };

  SessionLimits Limits_;
  std::deque<UnacknowledgedMessage> Unacknowledged_;
  std::size_t Bytes_ = 0;
  std::uint64_t Acknowledged_ = 0;
  std::uint64_t Transmitted_ = 0;
  std::uint64_t LastReceived_ = 0;
  std::uint64_t LastReceivedAcknowledged_ = 0;
};

} // namespace chivelanding

#endif
