#include "link_session.h"

namespace chivelanding {
namespace {

// Estimated encoded size of a message without payload; actual frames have 60 to
// 90 bytes.
constexpr std::size_t MessageOverheadBytes = 128;

std::size_t payloadBytes(const StartTasks &M) {
  std::size_t Bytes = 0;
  for (const TaskStart &T : M.Tasks_)
    Bytes += T.Payload_.size() + 16;
  return Bytes;
}
std::size_t payloadBytes(const TaskFinished &M) { return M.Result_.size(); }
std::size_t payloadBytes(const IncarnationClosed &M) {
  std::size_t Bytes = 0;
  for (const HeldJob &Job : M.Jobs_) {
    Bytes += MessageOverheadBytes;
    for (const HeldTask &T : Job.Tasks_)
      Bytes += T.Result_.size() + 16;
  }
  return Bytes;
}
std::size_t payloadBytes(const RelaySubmit &M) {
  std::size_t Bytes = 0;
  for (const TaskSpec &T : M.Spec_.Tasks_)
    Bytes += T.Id_.size() + T.Payload_.size() + 16;
  return Bytes;
}
std::size_t payloadBytes(const RelayAnswer &M) {
  std::size_t Bytes = M.Answer_.Detail_.size();
  for (const TaskAnswer &T : M.Answer_.Tasks_)
    Bytes += T.Id_.size() + T.Result_.size() + 16;
  return Bytes;
}
std::size_t payloadBytes(const StartRuns &M) {
  return M.Payload_.size() + 16 * M.Runs_.size();
}
std::size_t payloadBytes(const ConfigText &M) { return M.Text_.size(); }
std::size_t payloadBytes(const ConfigState &M) { return M.Toml_.size(); }
template <typename T> std::size_t payloadBytes(const T &) { return 0; }

} // namespace

std::size_t approximateBytes(const Message &M) {
  return MessageOverheadBytes +
         std::visit([](const auto &Body) { return payloadBytes(Body); }, M);
}

// A message larger than the whole buffer is accepted when the buffer is empty,
// so that the byte limit never blocks a valid message for ever.
bool LinkSession::push(Message M) {
  const std::size_t Bytes = approximateBytes(M);
  if (Unacknowledged_.size() >= Limits_.MaxUnacknowledged_)
    return false;
  if (!Unacknowledged_.empty() &&
      Bytes_ + Bytes > Limits_.MaxUnacknowledgedBytes_)
    return false;
  Bytes_ += Bytes;
  Unacknowledged_.push_back({std::move(M), Bytes});
  return true;
}

// An acknowledgement lower than the last one is possible and has no effect:
// frames on two connections of the same session may arrive out of order.
bool LinkSession::acknowledge(std::uint64_t Number) {
  if (Number > sent())
    return false;
  while (Acknowledged_ < Number) {
    Bytes_ -= Unacknowledged_.front().Bytes_;
    Unacknowledged_.pop_front();
    ++Acknowledged_;
  }
  if (Transmitted_ < Acknowledged_)
    Transmitted_ = Acknowledged_;
  return true;
}

// A batch that starts after the next expected number means that the sender
// skipped messages; accepting it would lose them silently.
Result<std::vector<Message>> LinkSession::receive(const Batch &B) {
  if (B.First_ == 0 || B.First_ > LastReceived_ + 1)
    return Error{"gap", "receive batch", "",
                 "batch starts at " + std::to_string(B.First_) +
                     "; last received is " + std::to_string(LastReceived_)};
  if (!acknowledge(B.Acknowledged_))
    return Error{"bad_acknowledgement", "receive batch", "",
                 "acknowledges " + std::to_string(B.Acknowledged_) + " of " +
                     std::to_string(sent()) + " sent"};
  std::vector<Message> NewMessages;
  for (std::size_t I = 0; I < B.Messages_.size(); ++I) {
    if (B.First_ + I <= LastReceived_)
      continue;
    if (B.Unreadable_.count(I) == 0)
      NewMessages.push_back(B.Messages_[I]);
    LastReceived_ = B.First_ + I;
  }
  return NewMessages;
}

std::optional<Batch> LinkSession::nextBatch() {
  if (Transmitted_ == sent())
    return std::nullopt;
  Batch B;
  B.First_ = Transmitted_ + 1;
  B.Acknowledged_ = LastReceived_;
  std::size_t Bytes = 0;
  while (Transmitted_ < sent() && B.Messages_.size() < Limits_.MaxBatch_) {
    const UnacknowledgedMessage &Next =
        Unacknowledged_[Transmitted_ - Acknowledged_];
    if (Bytes > 0 && Bytes + Next.Bytes_ > Limits_.MaxBatchBytes_)
      break;
    Bytes += Next.Bytes_;
    B.Messages_.push_back(Next.Message_);
    ++Transmitted_;
  }
  markAcknowledged();
  return B;
}

} // namespace chivelanding
