#include "log.h"

#include "log_output.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>

#include <unistd.h>

namespace chivelanding {
namespace {

Severity parseSeverity(const std::string &Level) {
  if (Level == "debug")
    return Severity::Debug;
  if (Level == "warning")
    return Severity::Warning;
  return Level == "error" ? Severity::Error : Severity::Info;
}

// Text lines are written in blocks of this size, or earlier by flush().
constexpr std::size_t BufferBytes = 64u << 10;

// Caches the formatted date and time of the current second: formatting it anew
// and one system call per line would cost more than the rest of a line. Lines
// are buffered for the same reason.
class EventLayout : public log4cplus::Layout {
public:
  void formatAndAppend(log4cplus::tostream &Out,
                       const log4cplus::spi::InternalLoggingEvent &E) override {
    using namespace std::chrono;
    const auto SinceEpoch = E.getTimestamp().time_since_epoch();
    const auto Second = duration_cast<seconds>(SinceEpoch);
    if (Second.count() != Second_) {
      Second_ = Second.count();
      const std::time_t Clock = Second_;
      std::tm Utc{};
      gmtime_r(&Clock, &Utc);
      std::strftime(SecondText_, sizeof SecondText_, "%Y-%m-%dT%H:%M:%S", &Utc);
    }
    char Line[48];
    const auto Ms = duration_cast<milliseconds>(SinceEpoch - Second).count();
    const auto Length =
        std::snprintf(Line, sizeof Line, "%s.%03dZ %s ", SecondText_,
                      static_cast<int>(Ms), levelName(E.getLogLevel()));
    Out.write(Line, Length);
    Out << E.getMessage() << '\n';
  }

private:
  static const char *levelName(log4cplus::LogLevel Level) {
    if (Level >= log4cplus::ERROR_LOG_LEVEL)
      return "ERROR";
    if (Level >= log4cplus::WARN_LOG_LEVEL)
      return "WARN";
    return Level >= log4cplus::INFO_LOG_LEVEL ? "INFO" : "DEBUG";
  }

  std::int64_t Second_ = -1;
  char SecondText_[24] = "";
};

// Limit per event and second. A request takes about six lines; the limit lets a
// busy entry write all of them and bounds a flood of one event to a few hundred
// kilobytes per second.
constexpr std::uint32_t MaxLinesPerSecond = 400;
// Bound of the buffered lines that the reader has not taken yet.
constexpr std::size_t MaxBufferedBytes = 256u << 10;

// Passes lines that EventLog has formatted to the non-blocking LogOutput.
class OutputAppender : public log4cplus::Appender {
public:
  explicit OutputAppender(LogOutput &Output) : Output_(Output) {}
  ~OutputAppender() override { destructorImpl(); }
  void close() override { closed = true; }
  std::uint64_t dropped() const { return Dropped_; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &E) override {
    Dropped_ += Output_.add(E.getMessage()) ? 0 : 1;
  }

private:
  LogOutput &Output_;
  std::uint64_t Dropped_ = 0;
};

constexpr log4cplus::LogLevel Levels[] = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

} // namespace

struct EventLog::Impl {
  void configureText();
  void configureJson();

  log4cplus::Initializer Initializer_;
  log4cplus::Logger Logger_ = log4cplus::Logger::getInstance("chivelanding");
  LogFormat Format_ = LogFormat::Text;
  LogOutput Output_{STDOUT_FILENO, MaxBufferedBytes};
  LogRateLimiter RateLimiter_{MaxLinesPerSecond};
  OutputAppender *Appender_ = nullptr;
  std::uint64_t RateLimited_ = 0;
  /// Value of dropped() when it was last logged.
  std::uint64_t DroppedLogged_ = 0;
  std::int64_t DroppedLoggedSecond_ = 0;
};

void EventLog::Impl::configureText() {
  std::setvbuf(stderr, nullptr, _IOFBF, BufferBytes);
  std::cerr.unsetf(std::ios::unitbuf);
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, false));
  Appender->setLayout(std::make_unique<EventLayout>());
  Logger_.addAppender(Appender);
}

void EventLog::Impl::configureJson() {
  Appender_ = new OutputAppender(Output_);
  Logger_.addAppender(log4cplus::SharedAppenderPtr(Appender_));
}

EventLog::EventLog(const std::string &Level, LogFormat Format)
    : Impl_(std::make_unique<Impl>()), MinSeverity_(parseSeverity(Level)) {
  Impl_->Format_ = Format;
  Impl_->Logger_.removeAllAppenders();
  if (Format == LogFormat::Json)
    Impl_->configureJson();
  else
    Impl_->configureText();
  Impl_->Logger_.setAdditivity(false);
  Impl_->Logger_.setLogLevel(Levels[static_cast<std::size_t>(MinSeverity_)]);
}

// The appender refers to Output_, which is destroyed with this object, so it
// must be removed from the global logger first.
EventLog::~EventLog() {
  EventLog::flush();
  Impl_->Logger_.removeAllAppenders();
}

std::uint64_t EventLog::dropped() const {
  return Impl_->RateLimited_ +
         (Impl_->Appender_ ? Impl_->Appender_->dropped() : 0);
}

void EventLog::flush() {
  if (Impl_->Format_ == LogFormat::Json) {
    Impl_->Output_.flush();
    return;
  }
  std::cerr.flush();
  std::fflush(stderr);
}

void EventLog::write(const Event &E) {
  if (Counter_)
    Counter_(*E.Type_);
  if (!enabled(*E.Type_))
    return;
  const auto Level = Levels[static_cast<std::size_t>(E.Type_->Severity_)];
  if (Impl_->Format_ == LogFormat::Text) {
    Impl_->Logger_.forcedLog(Level, E.str());
    if (E.Type_->Severity_ >= Severity::Warning)
      flush();
    return;
  }
  using namespace std::chrono;
  const auto Now = system_clock::now().time_since_epoch();
  const auto Second = duration_cast<seconds>(Now).count();
  if (!Impl_->RateLimiter_.admit(E.Type_->Number_, Second)) {
    ++Impl_->RateLimited_;
    return;
  }
  const auto Ms = duration_cast<milliseconds>(Now).count();
  if (dropped() > Impl_->DroppedLogged_ &&
      Second != Impl_->DroppedLoggedSecond_) {
    Impl_->DroppedLoggedSecond_ = Second;
    Impl_->DroppedLogged_ = dropped();
    const Event Dropped{&events::LogLinesDropped,
                        {{"total", std::to_string(Impl_->DroppedLogged_)}}};
    Impl_->Logger_.forcedLog(Level, Dropped.json(Ms));
  }
  Impl_->Logger_.forcedLog(Level, E.json(Ms));
}

void EventLog::write(const EventType &Type, std::vector<EventField> Fields) {
  write(Event{&Type, std::move(Fields)});
}

} // namespace chivelanding
