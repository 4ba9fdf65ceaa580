#include "log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace chivelanding {
namespace {

// A pipe that polls as writable takes this many bytes without blocking (POSIX
// PIPE_BUF).
constexpr std::size_t MaxWriteBytes = 4096;

} // namespace

LogOutput::LogOutput(int Descriptor, std::size_t MaxBytes)
    : Descriptor_(Descriptor), MaxBytes_(MaxBytes) {}

bool LogOutput::add(const std::string &Line) {
  if (buffered() + Line.size() + 1 > MaxBytes_) {
    flush();
    if (buffered() + Line.size() + 1 > MaxBytes_)
      return false;
  }
  Buffer_ += Line;
  Buffer_ += '\n';
  return true;
}

bool LogOutput::writeSome() {
  pollfd Poll{Descriptor_, POLLOUT, 0};
  if (::poll(&Poll, 1, 0) != 1 || (Poll.revents & POLLOUT) == 0)
    return false;
  const std::size_t Bytes = std::min(MaxWriteBytes, buffered());
  const auto BytesWritten =
      ::write(Descriptor_, Buffer_.data() + Written_, Bytes);
  if (BytesWritten <= 0) {
    // The descriptor is unusable, for example a pipe without a reader: discard
    // all buffered lines.
    if (BytesWritten < 0 && errno != EINTR && errno != EAGAIN)
      Written_ = Buffer_.size();
    return false;
  }
  Written_ += static_cast<std::size_t>(BytesWritten);
  return true;
}

void LogOutput::flush() {
  while (buffered() > 0 && writeSome())
    ;
  if (buffered() == 0) {
    Buffer_.clear();
    Written_ = 0;
  } else if (Written_ > MaxBytes_ / 2) {
    Buffer_.erase(0, Written_);
    Written_ = 0;
  }
}

bool LogRateLimiter::admit(std::uint16_t Event, std::int64_t Second) {
  Count &C = Counts_[Event];
  if (C.Second_ != Second)
    C = {Second, 0};
  return ++C.Lines_ <= MaxPerSecond_;
}

} // namespace chivelanding
