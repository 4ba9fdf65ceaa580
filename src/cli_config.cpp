#include "cli_config.h"
#include "config_check.h"
#include "config_session.h"

#include <cstdio>

namespace chivelanding {

namespace {

namespace po = boost::program_options;

constexpr Duration ReadTimeout = std::chrono::seconds(10);

std::string fieldText(const FieldChange &F) {
  std::string Text = "    " + F.Key_ + ": ";
  Text += F.Before_.empty() ? "(none)" : F.Before_;
  Text += " -> ";
  Text += F.After_.empty() ? "(none)" : F.After_;
  if (F.Effect_ == FieldEffect::Tightens)
    Text += "  TIGHTENS";
  if (F.Effect_ == FieldEffect::Loosens)
    Text += "  loosens";
  return Text;
}

} // namespace

std::variant<AcceptedPtr, int>
loadCheckedConfig(const std::vector<std::string> &Files, bool AsJson) {
  if (Files.empty())
    return reportError({"no_file", "read options", "",
                        "name at least one file, or - for standard input"},
                       AsJson, ExitUsage);
  const auto Sources = readSources(Files);
  if (!ok(Sources))
    return reportError(error(Sources), AsJson, ExitUsage);
  const ParsedConfig Config = checkConfig(value(Sources));
  if (!Config.Problems_.empty()) {
    if (AsJson)
      printJson(
          {{"valid", false}, {"problems", problemsJson(Config.Problems_)}});
    for (const ConfigProblem &P : Config.Problems_)
      if (!AsJson)
        std::fprintf(stderr, "%s\n", P.str().c_str());
    if (!AsJson)
      std::fprintf(stderr, "%zu errors; nothing was changed\n",
                   Config.Problems_.size());
    return ExitFailed;
  }
  const auto State = makeAcceptedConfig(ConfigVersion(), Config.Set_.toml());
  if (!ok(State))
    return reportError(error(State), AsJson, ExitFailed);
  return value(State);
}

void printChanges(const std::vector<ObjectChange> &Changes, FILE *Stream) {
  int Tightened = 0;
  for (const ObjectChange &C : Changes) {
    std::fprintf(Stream, "%-8s %s\n", changeKindName(C.Kind_),
                 C.label().c_str());
    for (const FieldChange &F : C.Fields_) {
      Tightened += F.Effect_ == FieldEffect::Tightens;
      std::fprintf(Stream, "%s\n", fieldText(F).c_str());
    }
  }
  std::fprintf(Stream, "%zu objects change, %d limits tighten\n",
               Changes.size(), Tightened);
}

int runCheck(const Arguments &Args) {
  CommandOptions Options("check",
                         "Checks a whole set of objects and reports every "
                         "error with file, line, object\nand remedy. Exit "
                         "code 0 if the set is valid, 1 if not.",
                         "FILE|- ...");
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  const auto Loaded = loadCheckedConfig(Options.files(), Options.json());
  if (const int *Exit = std::get_if<int>(&Loaded))
    return *Exit;
  const ConfigSet &Set = std::get<AcceptedPtr>(Loaded)->Set_;
  if (Options.json()) {
    printJson({{"valid", true}, {"objects", Set.Objects_.size()}});
    return ExitOk;
  }
  std::vector<std::vector<std::string>> Rows = {{"TYPE", "OBJECTS"}};
  for (const ObjectType Type : allObjectTypes())
    Rows.push_back(
        {objectTypeName(Type), std::to_string(Set.all(Type).size())});
  printTable(Rows);
  std::puts("valid");
  return ExitOk;
}

int runDiff(const Arguments &Args) {
  CommandOptions Options("diff",
                         "Shows how the files differ from the version in "
                         "force, or from another file.",
                         "FILE|- ...");
  Options.add()("log", po::value<std::string>(),
                "address of the log; else CHIVELANDING_LOG")(
      "from", po::value<std::string>(),
      "compare with this file instead of the log");
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  const bool AsJson = Options.json();
  const auto After = loadCheckedConfig(Options.files(), AsJson);
  if (const int *Exit = std::get_if<int>(&After))
    return *Exit;
  AcceptedPtr Before;
  if (Options.has("from")) {
    const auto Other = loadCheckedConfig({Options.text("from")}, AsJson);
    if (const int *Exit = std::get_if<int>(&Other))
      return *Exit;
    Before = std::get<AcceptedPtr>(Other);
  } else {
    const auto Log = addressOption(Options, "log", "CHIVELANDING_LOG");
    if (!ok(Log))
      return reportError(error(Log), AsJson, ExitUsage);
    ConfigSession Session(value(Log));
    const auto Read = Session.readToEnd(ReadTimeout);
    if (!ok(Read))
      return reportError(error(Read), AsJson, ExitFailed);
    Before = Session.state();
  }
  const auto Changes =
      diffSets(Before->Set_, std::get<AcceptedPtr>(After)->Set_);
  if (AsJson)
    printJson({{"base", Before->Version_.value()},
               {"changes", changesJson(Changes)}});
  else
    printChanges(Changes, stdout);
  return ExitOk;
}

} // namespace chivelanding
