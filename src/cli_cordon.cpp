#include "api.h"
#include "cli_admin.h"

#include <cstdio>

namespace chivelanding {

namespace {

using Json = nlohmann::json;
namespace po = boost::program_options;

constexpr char CordonsPath[] = "/v1/cordons";

std::string cordonPath(const std::string &Name) {
  return std::string(CordonsPath) + "/" + percentEncode(Name);
}

std::string formatTime(const Json &UnixMs) {
  return formatUnixMs(UnixMs.is_null() ? 0 : UnixMs.get<std::int64_t>());
}

std::string formatCell(const Json &Value) {
  if (Value.is_null())
    return "-";
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// One execution of the cordon command.
class CordonCommand {
public:
  CordonCommand(const CommandOptions &Options, AdminSession Admin)
      : Options_(Options), Admin_(std::move(Admin)) {}

  int list() const;
  int set(const std::string &Zone) const;
  int lift(const std::string &NameOrZone) const;

private:
  int report(const Error &E) const {
    return reportError(E, Options_.json(), exitCodeFor(E));
  }
  static int exitCodeFor(const Error &E) {
    return E.Code_ == "unknown" ? ExitUnknown : ExitFailed;
  }
  Result<Json> removeObject(const std::string &Name) const {
    return Admin_.change("DELETE", cordonPath(Name), Json::object());
  }

  /// Reports an error after some cordons were lifted, and which these are.
  int reportPartialLift(const std::vector<std::string> &Lifted,
                        const Json &Last, const Error &E) const;
  /// Last is the answer to the last change.
  void printLifted(const std::vector<std::string> &Lifted, Json Last) const;

  const CommandOptions &Options_;
  AdminSession Admin_;
};

int CordonCommand::list() const {
  const auto Answer = Admin_.get(CordonsPath);
  if (!ok(Answer))
    return report(error(Answer));
  if (Options_.json()) {
    printJson(value(Answer));
    return ExitOk;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"NAME", "ZONE", "AUTHOR", "SINCE", "VERSION", "NOTE"}};
  for (const Json &C : value(Answer).at("cordons"))
    Rows.push_back({formatCell(C.at("name")), formatCell(C.at("zone")),
                    formatCell(C.at("author")), formatTime(C.at("time_ms")),
                    formatCell(C.at("version")), formatCell(C.at("note"))});
  printTable(Rows);
  return ExitOk;
}

int CordonCommand::set(const std::string &Zone) const {
  const std::string Name = Options_.has("name") ? Options_.text("name") : Zone;
  const auto Answer =
      Admin_.change("PUT", cordonPath(Name),
                    {{"zone", Zone}, {"note", Options_.text("note")}});
  if (!ok(Answer))
    return report(error(Answer));
  if (Options_.json())
    printJson(value(Answer));
  else
    std::printf("cordon %s of zone %s: %s, version %s\n", Name.c_str(),
                Zone.c_str(), formatCell(value(Answer).at("outcome")).c_str(),
                formatCell(value(Answer).at("version")).c_str());
  return ExitOk;
}

// The entry answers a removal only after it has read to the end of the log, so
// the list that follows contains what other operators set before this command.
int CordonCommand::lift(const std::string &NameOrZone) const {
  const auto Direct = removeObject(NameOrZone);
  if (!ok(Direct))
    return report(error(Direct));
  std::vector<std::string> Lifted;
  Json Last = value(Direct);
  if (Last.at("outcome") == "accepted") {
    Lifted.push_back(NameOrZone);
  } else {
    const auto Cordons = Admin_.get(CordonsPath);
    if (!ok(Cordons))
      return report(error(Cordons));
    for (const Json &C : value(Cordons).at("cordons")) {
      if (C.at("zone") != NameOrZone)
        continue;
      const auto Name = C.at("name").get<std::string>();
      const auto Answer = removeObject(Name);
      if (!ok(Answer))
        return reportPartialLift(Lifted, Last, error(Answer));
      Last = value(Answer);
      Lifted.push_back(Name);
    }
  }
  if (Lifted.empty() && !Options_.json())
    std::printf("nothing to lift: no cordon has the name or zone %s\n",
                NameOrZone.c_str());
  printLifted(Lifted, Last);
  return ExitOk;
}

int CordonCommand::reportPartialLift(const std::vector<std::string> &Lifted,
                                     const Json &Last, const Error &E) const {
  if (Lifted.empty() || !Options_.json()) {
    if (!Options_.json())
      printLifted(Lifted, Last);
    return report(E);
  }
  printJson({{"lifted", Lifted},
             {"error",
              {{"code", E.Code_},
               {"step", E.Step_},
               {"peer", E.Peer_},
               {"detail", E.Detail_}}}});
  return exitCodeFor(E);
}

void CordonCommand::printLifted(const std::vector<std::string> &Lifted,
                                Json Last) const {
  if (Options_.json()) {
    Last["lifted"] = Lifted;
    return printJson(Last);
  }
  for (const std::string &Name : Lifted)
    std::printf("cordon %s lifted, version %s\n", Name.c_str(),
                formatCell(Last.at("version")).c_str());
}

} // namespace

int runCordon(const Arguments &Args) {
  CommandOptions Options(
      "cordon",
      "Lists the cordons of zones, sets one, or lifts one or all of a zone. No "
      "task starts\nin a cordoned zone; running ones go on. Exit code 3 means "
      "that the outcome is unknown.",
      "list | set ZONE | lift NAME|ZONE");
  Options.add()("name", po::value<std::string>(),
                "name of the cordon to set; by default the zone")(
      "note", po::value<std::string>(), "why the cordon is set");
  AdminSession::addOptions(Options);
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  const std::vector<std::string> Words = Options.files();
  const std::string Action = Words.empty() ? "" : Words[0];
  const bool IsList = Action == "list" && Words.size() == 1;
  const bool IsChange =
      (Action == "set" || Action == "lift") && Words.size() == 2;
  if (!IsList && !IsChange)
    return reportError({"usage", "cordon", "",
                        "use list, set ZONE or lift NAME|ZONE; see "
                        "chivelanding cordon --help"},
                       Options.json(), ExitUsage);
  const auto Admin = AdminSession::open(Options);
  if (!ok(Admin))
    return reportError(error(Admin), Options.json(), ExitUsage);
  const CordonCommand Command(Options, value(Admin));
  if (IsList)
    return Command.list();
  return Action == "set" ? Command.set(Words[1]) : Command.lift(Words[1]);
}

} // namespace chivelanding
