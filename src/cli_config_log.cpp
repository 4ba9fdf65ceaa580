#include "cli_config.h"
#include "config_session.h"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace chivelanding {

namespace {

using Json = nlohmann::json;
namespace po = boost::program_options;

constexpr Duration ReadTimeout = std::chrono::seconds(10);
constexpr std::uint64_t DefaultRows = 20;

std::vector<std::string> evaluatedRecordRow(const EvaluatedRecord &J) {
  const bool IsAccepted = J.Outcome_ == RecordOutcome::Accepted;
  return {IsAccepted ? std::to_string(J.Version_.value()) : "-",
          std::to_string(J.Base_.value()),
          recordOutcomeName(J.Outcome_),
          J.Author_,
          formatUnixMs(J.UnixMs_),
          J.Reason_,
          J.Id_};
}

/// Opens the log that the options name and reads it to the end. Returns the
/// exit code if that fails.
std::optional<int> openLog(const CommandOptions &Options,
                           std::unique_ptr<ConfigSession> &Session) {
  const auto Log = addressOption(Options, "log", "CHIVELANDING_LOG");
  if (!ok(Log))
    return reportError(error(Log), Options.json(), ExitUsage);
  Session = std::make_unique<ConfigSession>(value(Log));
  const auto Read = Session->readToEnd(ReadTimeout);
  if (!ok(Read))
    return reportError(error(Read), Options.json(), ExitFailed);
  return std::nullopt;
}

void addLogOption(CommandOptions &Options) {
  Options.add()("log", po::value<std::string>(),
                "address of the log; else CHIVELANDING_LOG");
}

} // namespace

int runHistory(const Arguments &Args) {
  CommandOptions Options("history",
                         "Lists the changes in the log, the newest last, with "
                         "those that were refused.",
                         "");
  addLogOption(Options);
  Options.add()("limit", po::value<std::uint64_t>(),
                "number of changes, 20 by default");
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  std::unique_ptr<ConfigSession> Session;
  if (const auto Exit = openLog(Options, Session))
    return *Exit;
  const auto &All = Session->history();
  const std::size_t Count = std::min<std::uint64_t>(
      All.size(), Options.number("limit").value_or(DefaultRows));
  const std::vector<EvaluatedRecord> Last(
      All.end() - static_cast<std::ptrdiff_t>(Count), All.end());
  const RecordCounts Counts = Session->counts();
  if (Options.json()) {
    Json List = Json::array();
    for (const EvaluatedRecord &J : Last)
      List.push_back(evaluatedRecordJson(J));
    printJson({{"changes", List},
               {"in_force", Session->state()->Version_.value()},
               {"corrupt_records", Counts.Corrupt_},
               {"foreign_records", Counts.Foreign_}});
    return ExitOk;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"VERSION", "BASE", "JUDGEMENT", "AUTHOR", "TIME", "REASON", "ID"}};
  for (const EvaluatedRecord &J : Last)
    Rows.push_back(evaluatedRecordRow(J));
  printTable(Rows);
  std::printf(
      "in force: version %llu; skipped records: %llu corrupt, %llu "
      "foreign\n",
      static_cast<unsigned long long>(Session->state()->Version_.value()),
      static_cast<unsigned long long>(Counts.Corrupt_),
      static_cast<unsigned long long>(Counts.Foreign_));
  return ExitOk;
}

int runShow(const Arguments &Args) {
  CommandOptions Options("show",
                         "Prints a version of the configuration as TOML, by "
                         "default the one in force.",
                         "");
  addLogOption(Options);
  Options.add()("version", po::value<std::uint64_t>(),
                "an earlier version that the log still has");
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  std::unique_ptr<ConfigSession> Session;
  if (const auto Exit = openLog(Options, Session))
    return *Exit;
  AcceptedPtr State = Session->state();
  if (const auto Version = Options.number("version")) {
    const auto It = Session->states().find(ConfigVersion(*Version));
    if (It == Session->states().end())
      return reportError({"no_version", "show", "log",
                          "version " + std::to_string(*Version) +
                              " is not retained; chivelanding history lists "
                              "those that are"},
                         Options.json(), ExitFailed);
    State = It->second;
  }
  if (Options.json())
    printJson({{"version", State->Version_.value()},
               {"hash", toHex(State->Hash_)},
               {"toml", State->Toml_}});
  else
    std::fputs(State->Toml_.c_str(), stdout);
  return ExitOk;
}

} // namespace chivelanding
