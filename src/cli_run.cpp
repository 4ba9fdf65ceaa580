#include "agent_service.h"
#include "cli.h"
#include "entry_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <optional>

namespace chivelanding {
namespace {

namespace options = boost::program_options;

// What the command line asks for.
struct RunOptions {
  std::string Settings_;
  bool CheckOnly_ = false;
};

// Without options the exit code says what was printed.
std::variant<RunOptions, ExitCode>
runOptions(const Arguments &Args, const char *Command, const char *Summary) {
  options::options_description Known("Options");
  Known.add_options()("help", "print this text")(
      "settings", options::value<std::string>(),
      "TOML settings file, described in docs/settings.md")(
      "check-settings", "check the file and exit");
  try {
    options::variables_map Map;
    options::store(options::command_line_parser(Args).options(Known).run(),
                   Map);
    if (Map.count("help") > 0) {
      std::cout << "usage: chivelanding " << Command << " --settings FILE\n\n"
                << Summary << "\n\n"
                << Known;
      return ExitOk;
    }
    if (Map.count("settings") > 0)
      return RunOptions{Map["settings"].as<std::string>(),
                        Map.count("check-settings") > 0};
    std::cerr << "chivelanding " << Command << ": --settings is missing\n";
  } catch (const options::error &E) {
    std::cerr << "chivelanding " << Command << ": " << E.what() << "\n";
  }
  return ExitUsage;
}

// One io_context and one thread per process; it runs until a service calls for
// the end.
template <typename ServiceType, typename Settings>
int runProcess(const Settings &S) {
  boost::asio::io_context Io(1);
  Kernel Services;
  auto &Log =
      Services.add("log", std::make_unique<EventLog>(S.Process_.LogLevel_));
  Services.add("service", std::make_unique<ServiceType>(Io, S, Log));
  const auto Started = Services.start();
  if (!ok(Started)) {
    std::fprintf(stderr, "chivelanding: %s\n", error(Started).str().c_str());
    return ExitFailed;
  }
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  // The first signal asks for an orderly end, the second for an end at once.
  Signals.async_wait([&](const boost::system::error_code &Ec, int) {
    if (Ec)
      return;
    Services.drain();
    Signals.async_wait([&](const boost::system::error_code &Again, int) {
      if (!Again)
        Io.stop();
    });
  });
  Io.run();
  Services.stop();
  return ExitOk;
}

template <typename Settings>
int reportErrors(const LoadedSettings<Settings> &Loaded) {
  for (const std::string &Line : std::get<SettingsErrors>(Loaded).Lines_)
    std::fprintf(stderr, "%s\n", Line.c_str());
  return ExitUsage;
}

template <typename ServiceType, typename Settings>
int runLoaded(const RunOptions &Options,
              const LoadedSettings<Settings> &Loaded) {
  if (Loaded.index() == 1)
    return reportErrors(Loaded);
  if (!Options.CheckOnly_)
    return runProcess<ServiceType>(std::get<0>(Loaded));
  std::cout << Options.Settings_ << ": valid\n";
  return ExitOk;
}

} // namespace

int runEntry(const Arguments &Args) {
  const auto Options = runOptions(
      Args, "entry", "Runs an entry: callers' HTTP, ownership and placement.");
  if (const auto *Code = std::get_if<ExitCode>(&Options))
    return *Code;
  const auto &Run = std::get<RunOptions>(Options);
  return runLoaded<EntryService>(Run, loadEntrySettings(Run.Settings_));
}

int runAgent(const Arguments &Args) {
  const auto Options =
      runOptions(Args, "agent", "Runs the agent beside one endpoint.");
  if (const auto *Code = std::get_if<ExitCode>(&Options))
    return *Code;
  const auto &Run = std::get<RunOptions>(Options);
  return runLoaded<AgentService>(Run, loadAgentSettings(Run.Settings_));
}

} // namespace chivelanding
