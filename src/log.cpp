#include "log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace chivelanding {
namespace {

Severity severityOf(const std::string &Level) {
  if (Level == "debug")
    return Severity::Debug;
  if (Level == "warning")
    return Severity::Warning;
  return Level == "error" ? Severity::Error : Severity::Info;
}

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
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n"));
  Impl_->Logger_.removeAllAppenders();
  Impl_->Logger_.addAppender(Appender);
  Impl_->Logger_.setAdditivity(false);
  Impl_->Logger_.setLogLevel(Levels[static_cast<std::size_t>(Least_)]);
}

EventLog::~EventLog() = default;

void EventLog::write(const Event &E) {
  if (enabled(*E.Type_))
    Impl_->Logger_.forcedLog(
        Levels[static_cast<std::size_t>(E.Type_->Severity_)], E.str());
}

void EventLog::write(const EventType &Type, std::vector<EventField> Fields) {
  if (enabled(Type))
    write(Event{&Type, std::move(Fields)});
}

} // namespace chivelanding
