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

/// Limits of one session.
struct SessionLimits {
  /// Maximum number of unacknowledged messages.
  std::size_t MaxUnacknowledged_ = 1u << 16;
  /// Maximum estimated size of all unacknowledged messages.
  std::size_t MaxUnacknowledgedBytes_ = 128u << 20;
  /// Maximum number of messages in a frame.
  std::size_t MaxBatch_ = 256;
  /// Maximum estimated size of a frame, unless a single message is larger.
  std::size_t MaxBatchBytes_ = 1u << 20;
};

/// Estimate of a message's encoded size in bytes.
std::size_t approximateBytes(const Message &M);

/// Numbers the messages of one session between two incarnations, buffers sent
/// messages until they are acknowledged, and drops duplicates on receipt.
class LinkSession {
public:
  explicit LinkSession(SessionLimits Limits) : Limits_(Limits) {}

  /// Numbers a message and buffers it until it is acknowledged. False if the
  /// buffer is full; the session must then be ended.
  bool push(Message M);
  /// Releases the messages up to Number. False if no such message was sent.
  bool acknowledge(std::uint64_t Number);
  /// Returns the messages of a batch that were not received before, in order.
  /// Error codes: gap, bad_acknowledgement.
  Result<std::vector<Message>> receive(const Batch &B);
  /// Makes nextBatch() return all unacknowledged messages again, as is needed
  /// on a new connection or after a lost frame.
  void scheduleRetransmission() { Transmitted_ = Acknowledged_; }
  /// The next frame to send, or nothing if every message has been sent.
  std::optional<Batch> nextBatch();

  std::uint64_t lastReceived() const { return LastReceived_; }
  std::uint64_t sent() const { return Acknowledged_ + Unacknowledged_.size(); }
  std::uint64_t acknowledged() const { return Acknowledged_; }
  /// Number of messages received since the last acknowledgement was sent.
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
