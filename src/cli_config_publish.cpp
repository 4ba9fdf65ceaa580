#include "cli_admin.h"
#include "cli_config.h"
#include "config_session.h"

#include <cstdio>
#include <unistd.h>

namespace chivelanding {

namespace {

using Json = nlohmann::json;
namespace po = boost::program_options;

constexpr Duration ReadTimeout = std::chrono::seconds(10);
constexpr std::uint64_t DefaultWaitSeconds = 10;

int exitCodeFor(PublishOutcome O) {
  switch (O) {
  case PublishOutcome::Accepted:
    return ExitOk;
  case PublishOutcome::Unknown:
    return ExitUnknown;
  default:
    return ExitFailed;
  }
}

/// One execution of the publish command.
class PublishCommand {
public:
  explicit PublishCommand(const CommandOptions &Options) : Options_(Options) {}
  int run();

private:
  int refuse(const std::string &Code, const std::string &Detail, int Exit) {
    return reportError({Code, "publish", "", Detail}, Options_.json(), Exit);
  }
  std::optional<int> openLog();
  std::optional<int> loadChange();
  std::optional<int> checkBase();
  std::string liftedCordons() const;
  std::optional<int> confirm();
  int publish();
  int waitUntilInForceEverywhere(ConfigVersion Version) const;
  void printOutcome(const PublishEnded &End) const;
  std::string changesSince(ConfigVersion Base) const;

  const CommandOptions &Options_;
  std::unique_ptr<ConfigSession> Session_;
  AcceptedPtr NewConfig_;
  ConfigVersion Base_;
  std::vector<ObjectChange> Changes_;
  std::optional<AdminSession> Admin_;
};

int PublishCommand::run() {
  if (Options_.text("author").empty() || Options_.text("reason").empty())
    return refuse("no_reason",
                  "give --author and --reason; both stay in the "
                  "history",
                  ExitUsage);
  if (Options_.files().empty() != Options_.has("revert-to"))
    return refuse("no_file",
                  "name files or - for standard input, or give "
                  "--revert-to, but not both",
                  ExitUsage);
  if (AdminSession::isConfigured(Options_)) {
    const auto Admin = AdminSession::open(Options_);
    if (!ok(Admin))
      return reportError(error(Admin), Options_.json(), ExitUsage);
    Admin_ = value(Admin);
  }
  if (const auto Exit = openLog())
    return *Exit;
  if (const auto Exit = loadChange())
    return *Exit;
  if (const auto Exit = checkBase())
    return *Exit;
  Changes_ = diffSets(Session_->state()->Set_, NewConfig_->Set_);
  if (Changes_.empty())
    return refuse("no_change", "the files equal the version in force", ExitOk);
  if (!Options_.json())
    printChanges(Changes_, stdout);
  if (Options_.has("dry-run")) {
    if (Options_.json())
      printJson({{"outcome", "dry_run"},
                 {"base", Base_.value()},
                 {"changes", changesJson(Changes_)}});
    return ExitOk;
  }
  if (const auto Exit = confirm())
    return *Exit;
  return publish();
}

std::optional<int> PublishCommand::openLog() {
  const auto Log = addressOption(Options_, "log", "CHIVELANDING_LOG");
  if (!ok(Log))
    return reportError(error(Log), Options_.json(), ExitUsage);
  Session_ = std::make_unique<ConfigSession>(value(Log));
  const auto Read = Session_->readToEnd(ReadTimeout);
  if (!ok(Read))
    return reportError(error(Read), Options_.json(), ExitFailed);
  return std::nullopt;
}

// A revert publishes the text of an earlier version as a new change, because
// version numbers only increase.
std::optional<int> PublishCommand::loadChange() {
  if (const auto Version = Options_.number("revert-to")) {
    const auto It = Session_->states().find(ConfigVersion(*Version));
    if (It == Session_->states().end())
      return refuse("no_version",
                    "version " + std::to_string(*Version) +
                        " is not retained; chivelanding history lists those "
                        "that are",
                    ExitFailed);
    NewConfig_ = It->second;
    return std::nullopt;
  }
  const auto Loaded = loadCheckedConfig(Options_.files(), Options_.json());
  if (const int *Exit = std::get_if<int>(&Loaded))
    return *Exit;
  NewConfig_ = std::get<AcceptedPtr>(Loaded);
  return std::nullopt;
}

std::string PublishCommand::changesSince(ConfigVersion Base) const {
  std::string Text;
  for (const EvaluatedRecord &J : Session_->history())
    if (J.Outcome_ == RecordOutcome::Accepted && J.Version_ > Base)
      Text += "\n  version " + std::to_string(J.Version_.value()) + " by " +
              J.Author_ + ": " + J.Reason_;
  return Text;
}

std::optional<int> PublishCommand::checkBase() {
  const ConfigVersion InForce = Session_->state()->Version_;
  Base_ = ConfigVersion(Options_.number("base").value_or(InForce.value()));
  if (Base_ == InForce)
    return std::nullopt;
  return refuse("stale_base",
                "the files are based on version " +
                    std::to_string(Base_.value()) + ", but version " +
                    std::to_string(InForce.value()) +
                    " is in force; run chivelanding diff, merge what changed "
                    "since and publish again:" +
                    changesSince(Base_),
                ExitFailed);
}

// Files are often written before a cordon is set, and a script that publishes
// them does not see the preview. A moved cordon lifts that of its old zone.
std::string PublishCommand::liftedCordons() const {
  std::string Names;
  for (const ConfigObject *Old :
       Session_->state()->Set_.all(ObjectType::Cordon)) {
    const ConfigObject *New =
        NewConfig_->Set_.find(ObjectType::Cordon, Old->Name_);
    if (!New || New->text("zone") != Old->text("zone"))
      Names += (Names.empty() ? "" : ", ") + Old->Name_ + " of zone " +
               Old->text("zone");
  }
  return Names;
}

std::optional<int> PublishCommand::confirm() {
  const std::string Lifted = liftedCordons();
  if (Options_.has("yes")) {
    if (Lifted.empty() || Options_.has("lift-cordons"))
      return std::nullopt;
    return refuse("lifts_cordons",
                  "the files do not contain cordons in force: " + Lifted +
                      "; add them, or add --lift-cordons to lift them",
                  ExitFailed);
  }
  if (!isatty(STDIN_FILENO) || Options_.json())
    return refuse("not_confirmed", "add --yes to publish this change",
                  ExitUsage);
  if (!Lifted.empty())
    std::printf("lifts the cordons %s\n", Lifted.c_str());
  std::printf("publish on version %llu? [y/N] ",
              static_cast<unsigned long long>(Base_.value()));
  std::fflush(stdout);
  const int Answer = std::getchar();
  if (Answer == 'y' || Answer == 'Y')
    return std::nullopt;
  return refuse("not_confirmed", "nothing was published", ExitFailed);
}

int PublishCommand::publish() {
  ChangeRecord Change;
  Change.Id_ = newChangeId();
  Change.Base_ = Base_;
  Change.Author_ = Options_.text("author");
  Change.Reason_ = Options_.text("reason");
  Change.Toml_ = NewConfig_->Toml_;
  const PublishEnded End = Session_->publish(std::move(Change));
  printOutcome(End);
  if (End.Outcome_ == PublishOutcome::Accepted && Admin_)
    return waitUntilInForceEverywhere(End.Version_);
  return exitCodeFor(End.Outcome_);
}

// The change has been accepted already. Exit code 3 means that it is not known
// whether the change is in force on every process.
int PublishCommand::waitUntilInForceEverywhere(ConfigVersion Version) const {
  const Duration Timeout = std::chrono::seconds(
      Options_.number("wait").value_or(DefaultWaitSeconds));
  const bool IsInForce =
      waitUntilInForce(*Admin_, Version.value(), Timeout,
                       [](std::uint64_t InForce, std::uint64_t All) {
                         std::fprintf(stderr, "in force on %llu of %llu\n",
                                      static_cast<unsigned long long>(InForce),
                                      static_cast<unsigned long long>(All));
                       });
  if (IsInForce)
    return ExitOk;
  std::fprintf(stderr, "chivelanding: accepted, but not known to be in force "
                       "everywhere; see chivelanding versions\n");
  return ExitUnknown;
}

void PublishCommand::printOutcome(const PublishEnded &End) const {
  if (Options_.json())
    return printJson({{"outcome", publishOutcomeName(End.Outcome_)},
                      {"version", End.Version_.value()},
                      {"id", End.Id_},
                      {"detail", End.Detail_},
                      {"changes", changesJson(Changes_)}});
  const std::string Version = std::to_string(End.Version_.value());
  std::string Text;
  switch (End.Outcome_) {
  case PublishOutcome::Accepted:
    std::printf("accepted as version %s (id %s)\n", Version.c_str(),
                End.Id_.c_str());
    return;
  case PublishOutcome::RefusedStale:
    Text = "refused: another change was accepted first, version " + Version +
           " is in force; run chivelanding diff and publish again" +
           changesSince(Base_);
    break;
  case PublishOutcome::RefusedInvalid:
    Text = "refused: " + End.Detail_;
    break;
  case PublishOutcome::NotPublished:
    Text = "not published, nothing was written: " + End.Detail_;
    break;
  case PublishOutcome::Unknown:
    Text = "outcome unknown: " + End.Detail_ + "; look for id " + End.Id_ +
           " in chivelanding history before publishing again";
    break;
  }
  std::fprintf(stderr, "chivelanding: %s\n", Text.c_str());
}

} // namespace

int runPublish(const Arguments &Args) {
  CommandOptions Options(
      "publish",
      "Shows what a set of files changes and publishes it on the version in "
      "force. If\nanother change is accepted in between, this one is refused "
      "and nothing changes.\nExit code 3 means that the outcome is unknown.",
      "FILE|- ...");
  Options.add()("log", po::value<std::string>(),
                "address of the log; else CHIVELANDING_LOG")(
      "author", po::value<std::string>(), "who publishes (required)")(
      "reason", po::value<std::string>(), "why (required)")(
      "base", po::value<std::uint64_t>(),
      "version on which the files are based; by default the one in force")(
      "revert-to", po::value<std::uint64_t>(),
      "publish an earlier version again, as a new change")(
      "dry-run", "show the changes only")("yes", "do not ask")(
      "lift-cordons", "with --yes, lift the cordons that the files lack")(
      "wait", po::value<std::uint64_t>(),
      "seconds to wait until the version is in force on every process that "
      "the entry of --admin knows, 10 by default");
  AdminSession::addOptions(Options);
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  return PublishCommand(Options).run();
}

} // namespace chivelanding
