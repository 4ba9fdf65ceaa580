#ifndef CHIVELANDING_LOG_H
#define CHIVELANDING_LOG_H

#include "events.h"
#include "service_registry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chivelanding {

enum class LogFormat : std::uint8_t {
  /// One JSON object a line on standard output. Never blocks: lines that nobody
  /// reads, and lines of one event beyond a number a second, are left out and
  /// counted.
  Json,
  /// Plain lines on standard error.
  Text
};

/// Writes events, one line each. Lines up to info wait in a buffer until
/// flush() or a more severe event; a process that is killed loses them.
class EventLog : public Service {
public:
  /// Level is debug, info, warning or error; less severe events are dropped.
  explicit EventLog(const std::string &Level,
                    LogFormat Format = LogFormat::Text);
  ~EventLog() override;

  bool enabled(const EventType &Type) const {
    return Type.Severity_ >= MinSeverity_;
  }
  void write(const Event &E);
  void write(const EventType &Type, std::vector<EventField> Fields);
  /// Hands buffered lines to the system. To be called often.
  void flush();
  void stop() override { flush(); }
  /// Lines left out so far.
  std::uint64_t dropped() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
  Severity MinSeverity_ = Severity::Info;
};

} // namespace chivelanding

#endif
