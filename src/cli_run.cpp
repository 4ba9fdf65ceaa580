#include "agent_service.h"
#include "cli_process.h"
#include "entry_service.h"

#include <boost/program_options.hpp>

#include <cstdlib>

namespace chivelanding {
namespace {

namespace options = boost::program_options;

template <typename ServiceType, typename Settings>
int runWithoutReload(const Arguments &Args, const ProcessCommand &C,
                     LoadedSettings<Settings> (*Load)(const std::string &)) {
  return runProcessCommand<Settings>(
      Args, C, Load,
      [](boost::asio::io_context &Io, const Settings &S, EventLog &Log) {
        return std::make_unique<ServiceType>(Io, S, Log);
      },
      [](ServiceType &, const Settings &) {});
}

} // namespace

std::variant<RunOptions, ExitCode> parseRunOptions(const Arguments &Args,
                                                   const ProcessCommand &C) {
  options::options_description Description("Options");
  Description.add_options()("help", "print this text")(
      "settings", options::value<std::string>(),
      "TOML settings file, described in docs/settings.md")(
      "check-settings", "check the file and exit");
  try {
    options::variables_map Map;
    options::store(
        options::command_line_parser(Args).options(Description).run(), Map);
    if (Map.count("help") > 0) {
      std::cout << "usage: chivelanding " << C.Name_ << " --settings FILE\n\n"
                << C.Summary_ << "\n\n"
                << Description;
      return ExitOk;
    }
    const char *Path =
        C.SettingsVariable_ ? std::getenv(C.SettingsVariable_) : nullptr;
    const bool CheckOnly = Map.count("check-settings") > 0;
    if (Map.count("settings") > 0)
      return RunOptions{Map["settings"].as<std::string>(), CheckOnly};
    if (Path)
      return RunOptions{Path, CheckOnly};
    std::cerr << "chivelanding " << C.Name_ << ": --settings is missing\n";
  } catch (const options::error &E) {
    std::cerr << "chivelanding " << C.Name_ << ": " << E.what() << "\n";
  }
  return ExitUsage;
}

int reportSettingsErrors(const SettingsErrors &Errors) {
  for (const std::string &Line : Errors.Lines_)
    std::fprintf(stderr, "%s\n", Line.c_str());
  return ExitUsage;
}

LogFormat toLogFormat(const ProcessSettings &S) {
  return S.LogFormat_ == "text" ? LogFormat::Text : LogFormat::Json;
}

int runEntry(const Arguments &Args) {
  return runWithoutReload<EntryService>(
      Args, {"entry", "Runs an entry: callers' HTTP, ownership and placement."},
      loadEntrySettings);
}

int runAgent(const Arguments &Args) {
  return runWithoutReload<AgentService>(
      Args, {"agent", "Runs the agent beside one endpoint."},
      loadAgentSettings);
}

} // namespace chivelanding
