#ifndef CHIVELANDING_LOG_OUTPUT_H
#define CHIVELANDING_LOG_OUTPUT_H

#include "types.h"

#include <cstdint>
#include <map>
#include <string>

namespace chivelanding {

/// Writes lines to a file descriptor without blocking. What the reader does not
/// take stays in a bounded buffer; a line that does not fit is dropped, and
/// add() returns false so that the caller can count it.
class LogOutput {
public:
  LogOutput(int Descriptor, std::size_t MaxBytes);

  /// Adds a line given without its line break. False if it was dropped.
  bool add(const std::string &Line);
  /// Writes as much as the descriptor accepts without blocking.
  void flush();
  std::size_t buffered() const { return Buffer_.size() - Written_; }

private:
  bool writeSome();

  int Descriptor_;
  std::size_t MaxBytes_;
  std::string Buffer_;
  std::size_t Written_ = 0;
};

/// Limits the lines per second of each event.
class LogRateLimiter {
public:
  explicit LogRateLimiter(std::uint32_t MaxPerSecond)
      : MaxPerSecond_(MaxPerSecond) {}

  /// True if one more line of this event may be written in this second.
  bool admit(std::uint16_t Event, std::int64_t Second);

private:
  struct Count {
    std::int64_t Second_ = -1;
    std::uint32_t Lines_ = 0;
  };

  std::uint32_t MaxPerSecond_;
  std::map<std::uint16_t, Count> Counts_;
};

} // namespace chivelanding

#endif
