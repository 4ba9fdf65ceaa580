#ifndef CHIVELANDING_LOG_H
#define CHIVELANDING_LOG_H

#include "events.h"
#include "service_registry.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chivelanding {

enum class LogFormat : std::uint8_t {
  /// One JSON object per line on standard output. Never blocks: lines that do
  /// not fit into the buffer because the reader is slow, and lines of one event
  /// beyond a number per second, are dropped and counted.
  Json,
  /// Plain lines on standard error.
  Text
};

/// Writes events, one line each. Lines are buffered until flush(); in text
/// format a warning or error flushes them as well. A process that is killed
/// loses its buffered lines.
class EventLog : public Service {
public:
  /// Level is debug, info, warning or error; less severe events are neither
  /// written nor counted as dropped.
  explicit EventLog(const std::string &Level,
                    LogFormat Format = LogFormat::Text);
  ~EventLog() override;

  bool enabled(const EventType &Type) const {
    return Type.Severity_ >= MinSeverity_;
  }
  /// Has each event counted, also those that are not written. A later call
  /// replaces the function; an empty one ends the counting.
  void setCounter(std::function<void(const EventType &)> Counter) {
    Counter_ = std::move(Counter);
  }
  void write(const Event &E);
  void write(const EventType &Type, std::vector<EventField> Fields);
  /// Writes buffered lines to the descriptor. To be called often.
  void flush();
  void stop() override { flush(); }
  /// Number of lines dropped so far.
  std::uint64_t dropped() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
  Severity MinSeverity_ = Severity::Info;
  std::function<void(const EventType &)> Counter_;
};

} // namespace chivelanding

#endif
