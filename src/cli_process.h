#ifndef CHIVELANDING_CLI_PROCESS_H
#define CHIVELANDING_CLI_PROCESS_H

#include "cli.h"
#include "log.h"
#include "service_registry.h"
#include "settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <variant>

namespace chivelanding {

/// Name and help of a command that runs a process.
struct ProcessCommand {
  const char *Name_;
  const char *Summary_;
  /// Environment variable with the path of the settings file, or null.
  const char *SettingsVariable_ = nullptr;
};

/// Options of a command that runs a process.
struct RunOptions {
  std::string Settings_;
  bool CheckOnly_ = false;
};

/// Returns the exit code if the help text or an error was printed.
std::variant<RunOptions, ExitCode> parseRunOptions(const Arguments &Args,
                                                   const ProcessCommand &C);

/// Prints the problems of a settings file and returns the exit code.
int reportSettingsErrors(const SettingsErrors &Errors);

LogFormat toLogFormat(const ProcessSettings &S);

/// Runs one service on one io_context and one thread until the io_context
/// stops. Make constructs the service; Reload, if set, is called at SIGHUP.
template <typename ServiceType>
int runService(const ProcessSettings &S,
               const std::function<std::unique_ptr<ServiceType>(
                   boost::asio::io_context &, EventLog &)> &Make,
               const std::function<void(ServiceType &, EventLog &)> &Reload) {
  boost::asio::io_context Io(1);
  ServiceRegistry Services;
  auto &Log = Services.add(
      "log", std::make_unique<EventLog>(S.LogLevel_, toLogFormat(S)));
  auto &Main = Services.add("service", Make(Io, Log));
  const auto Started = Services.start();
  if (!ok(Started)) {
    std::fprintf(stderr, "chivelanding: %s\n", error(Started).str().c_str());
    return ExitFailed;
  }
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  // The first signal starts a drain, the second stops the process at once.
  Signals.async_wait([&](const boost::system::error_code &Ec, int) {
    if (Ec)
      return;
    Services.drain();
    Signals.async_wait([&](const boost::system::error_code &SecondEc, int) {
      if (!SecondEc)
        Io.stop();
    });
  });
  boost::asio::signal_set Hangup(Io);
  std::function<void()> AwaitHangup = [&] {
    Hangup.async_wait([&](const boost::system::error_code &Ec, int) {
      if (Ec)
        return;
      Reload(Main, Log);
      AwaitHangup();
    });
  };
  if (Reload) {
    Hangup.add(SIGHUP);
    AwaitHangup();
  }
  Io.run();
  Services.stop();
  // The services have stopped. The destructors would wait for the threads of
  // the log library, which would delay the exit and so the restart.
  std::cout.flush();
  std::fflush(nullptr);
  std::_Exit(ExitOk);
}

/// A command that runs a process: parses the options, loads the settings,
/// handles --check-settings and runs the service. At SIGHUP it loads the
/// settings again; Reload applies those that may change at run time.
template <typename Settings, typename Maker, typename Reloader>
int runProcessCommand(const Arguments &Args, const ProcessCommand &C,
                      LoadedSettings<Settings> (*Load)(const std::string &),
                      Maker Make, Reloader Reload) {
  const auto Options = parseRunOptions(Args, C);
  if (const auto *Code = std::get_if<ExitCode>(&Options))
    return *Code;
  const auto &Run = std::get<RunOptions>(Options);
  const auto Loaded = Load(Run.Settings_);
  if (Loaded.index() == 1)
    return reportSettingsErrors(std::get<SettingsErrors>(Loaded));
  if (Run.CheckOnly_) {
    std::cout << Run.Settings_ << ": valid\n";
    return ExitOk;
  }
  const Settings &S = std::get<0>(Loaded);
  using ServiceType =
      typename decltype(Make(std::declval<boost::asio::io_context &>(), S,
                             std::declval<EventLog &>()))::element_type;
  return runService<ServiceType>(
      S.Process_,
      [&](boost::asio::io_context &Io, EventLog &Log) {
        return Make(Io, S, Log);
      },
      [&](ServiceType &Service, EventLog &Log) {
        const auto Reloaded = Load(Run.Settings_);
        if (Reloaded.index() == 1) {
          for (const auto &Line : std::get<SettingsErrors>(Reloaded).Lines_)
            Log.write(events::SettingsRefused, {{"error", Line}});
          return;
        }
        Log.write(events::SettingsReloaded, {{"file", Run.Settings_}});
        Reload(Service, std::get<0>(Reloaded));
      });
}

} // namespace chivelanding

#endif
