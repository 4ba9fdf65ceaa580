#include "log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace chivelanding {
namespace {

Severity severityOf(const std::string &Level) {
  if (Level == "debug")
    return Severity::Debug;
  if (Level == "warning")
    return Severity::Warning;
  return Level == "error" ? Severity::Error : Severity::Info;
}

// Lines are handed to the system in blocks of this size, or with flush().
constexpr std::size_t BufferBytes = 64u << 10;

// A system call and the formatting of the time of day would cost more than the
// rest of a line, so lines are buffered and the text of the second is kept.
class EventLayout : public log4cplus::Layout {
public:
  void formatAndAppend(log4cplus::tostream &Out,
                       const log4cplus::spi::InternalLoggingEvent &E) override {
    using namespace std::chrono;
    const auto Since = E.getTimestamp().time_since_epoch();
    const auto Second = duration_cast<seconds>(Since);
    if (Second.count() != Second_) {
      Second_ = Second.count();
      const std::time_t Clock = Second_;
      std::tm Parts{};
      gmtime_r(&Clock, &Parts);
      std::strftime(Text_, sizeof Text_, "%Y-%m-%dT%H:%M:%S", &Parts);
    }
    char Line[48];
    const auto Ms = duration_cast<milliseconds>(Since - Second).count();
    const auto Length =
        std::snprintf(Line, sizeof Line, "%s.%03dZ %s ", Text_,
                      static_cast<int>(Ms), nameOf(E.getLogLevel()));
    Out.write(Line, Length);
    Out << E.getMessage() << '\n';
  }

private:
  static const char *nameOf(log4cplus::LogLevel Level) {
    if (Level >= log4cplus::ERROR_LOG_LEVEL)
      return "ERROR";
    if (Level >= log4cplus::WARN_LOG_LEVEL)
      return "WARN";
    return Level >= log4cplus::INFO_LOG_LEVEL ? "INFO" : "DEBUG";
  }

  std::int64_t Second_ = -1;
  char Text_[24] = "";
};

constexpr log4cplus::LogLevel Levels[] = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

} // namespace

struct EventLog::Impl {
  log4cplus::Initializer Initializer_;
  log4cplus::Logger Logger_ = log4cplus::Logger::getInstance("chivelanding");
};

EventLog::EventLog(const std::string &Level)
    : Impl_(std::make_unique<Impl>()), Least_(severityOf(Level)) {
  std::setvbuf(stderr, nullptr, _IOFBF, BufferBytes);
  std::cerr.unsetf(std::ios::unitbuf);
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, false));
  Appender->setLayout(std::make_unique<EventLayout>());
  Impl_->Logger_.removeAllAppenders();
  Impl_->Logger_.addAppender(Appender);
  Impl_->Logger_.setAdditivity(false);
  Impl_->Logger_.setLogLevel(Levels[static_cast<std::size_t>(Least_)]);
}

EventLog::~EventLog() { EventLog::flush(); }

void EventLog::flush() {
  std::cerr.flush();
  std::fflush(stderr);
}

void EventLog::write(const Event &E) {
  if (enabled(*E.Type_))
    Impl_->Logger_.forcedLog(
        Levels[static_cast<std::size_t>(E.Type_->Severity_)], E.str());
  if (E.Type_->Severity_ >= Severity::Warning)
    flush();
}

void EventLog::write(const EventType &Type, std::vector<EventField> Fields) {
  if (enabled(Type))
    write(Event{&Type, std::move(Fields)});
}

} // namespace chivelanding
