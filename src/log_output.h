#ifndef CHIVELANDING_LOG_OUTPUT_H
#define CHIVELANDING_LOG_OUTPUT_H

#include "types.h"

#include <cstdint>
#include <map>
#include <string>

namespace chivelanding {

/// Lines for a file descriptor that are never waited for: what the reader does
/// not take stays in a bounded buffer, and beyond it lines are left out and
/// counted.
class LogOutput {
public:
  LogOutput(int Descriptor, std::size_t MaxBytes);

  /// Takes a line without its end. False if it was left out.
  bool add(const std::string &Line);
  /// Writes as much as the reader takes at once.
  void flush();
  std::size_t buffered() const { return Buffer_.size() - Written_; }

private:
  bool writeSome();

  int Descriptor_;
  std::size_t MaxBytes_;
  std::string Buffer_;
  std::size_t Written_ = 0;
};

/// Bounds the lines of each event a second.
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
