#include "cli_admin.h"
#include "clock.h"
#include "http_client.h"

#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <fstream>
#include <thread>

namespace chivelanding {

namespace {

using Json = nlohmann::json;
namespace po = boost::program_options;

constexpr char AddressVariable[] = "CHIVELANDING_ADMIN";
constexpr char TokenVariable[] = "CHIVELANDING_TOKEN";
constexpr Duration AnswerTimeout = std::chrono::seconds(5);
// Above the time in which an entry ends a publication (30 s for each attempt).
constexpr Duration ChangeTimeout = std::chrono::seconds(60);
constexpr std::uint64_t MaxAnswerBytes = 64u << 20;
// Short compared with the second within which a version comes into force.
constexpr auto PollPeriod = std::chrono::milliseconds(50);

// The token is not accepted as an argument, because other users of the machine
// can see the arguments of a process.
Result<std::string> readToken(const CommandOptions &Options) {
  const std::string File = Options.text("token-file");
  if (File.empty()) {
    if (const char *Token = std::getenv(TokenVariable))
      return std::string(Token);
    return Error{"no_token", "read options", "",
                 std::string("give --token-file FILE or set ") + TokenVariable};
  }
  std::ifstream Stream(File);
  std::string Token;
  if (!std::getline(Stream, Token) || Token.empty())
    return Error{"unreadable", "read " + File, "",
                 "the file must have the token in its first line"};
  return Token;
}

} // namespace

void AdminSession::addOptions(CommandOptions &Options) {
  Options.add()("admin", po::value<std::string>(),
                "administration listener of an entry; else "
                "CHIVELANDING_ADMIN")(
      "token-file", po::value<std::string>(),
      "file with the operator's token; else CHIVELANDING_TOKEN");
}

bool AdminSession::isConfigured(const CommandOptions &Options) {
  return Options.has("admin") || std::getenv(AddressVariable);
}

Result<AdminSession> AdminSession::open(const CommandOptions &Options) {
  const auto Address = addressOption(Options, "admin", AddressVariable);
  if (!ok(Address))
    return error(Address);
  const auto Token = readToken(Options);
  if (!ok(Token))
    return error(Token);
  AdminSession Session;
  Session.Address_ = value(Address);
  Session.Token_ = value(Token);
  return Session;
}

Result<HttpResponse> AdminSession::send(HttpRequest Request,
                                        Duration Timeout) const {
  boost::asio::io_context Io(1);
  HttpClient Client(Io, MaxAnswerBytes);
  Request.Headers_.push_back({"Authorization", "Bearer " + Token_});
  std::optional<Result<HttpResponse>> Answer;
  Client.send(Address_, std::move(Request), Timeout,
              [&](Result<HttpResponse> R) { Answer = std::move(R); });
  while (!Answer)
    Io.run_one();
  if (ok(*Answer) && value(*Answer).Status_ == 401)
    return Error{"unauthorized", "ask entry", Address_.str(),
                 "the token is not that of an operator in force"};
  return *Answer;
}

Result<Json> AdminSession::get(const std::string &Path) const {
  HttpRequest Request;
  Request.Target_ = Path;
  const auto Answer = send(std::move(Request), AnswerTimeout);
  if (!ok(Answer))
    return error(Answer);
  const HttpResponse &Response = value(Answer);
  Json Body = Json::parse(Response.Body_, nullptr, false);
  if (Response.Status_ != 200 || !Body.is_object())
    return Error{"admin_error", "ask entry", Address_.str(),
                 "status " + std::to_string(Response.Status_) +
                     "; is this the administration listener of an entry?"};
  return Body;
}

// A change whose answer does not arrive may have been accepted, unless no
// connection was made.
Result<Json> AdminSession::change(const std::string &Method,
                                  const std::string &Path,
                                  const Json &Body) const {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Target_ = Path;
  Request.Body_ = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto Answer = send(std::move(Request), ChangeTimeout);
  const auto MakeError = [&](const std::string &Code,
                             const std::string &Detail) {
    return Error{Code, "change configuration", Address_.str(), Detail};
  };
  if (!ok(Answer)) {
    const bool IsCertain = error(Answer).Code_ == "connect_failed" ||
                           error(Answer).Code_ == "unauthorized";
    return IsCertain ? error(Answer)
                     : MakeError("unknown", error(Answer).str());
  }
  const Json Result = Json::parse(value(Answer).Body_, nullptr, false);
  const unsigned Status = value(Answer).Status_;
  if (Status == 200 && Result.is_object())
    return Result;
  if (!Result.is_object())
    return MakeError("admin_error", "status " + std::to_string(Status));
  std::string Detail = Result.value("detail", "");
  for (const Json &P : Result.value("problems", Json::array()))
    Detail += (Detail.empty() ? "" : "; ") + P.value("problem", "");
  return MakeError(Result.value("code", Result.value("outcome", "admin_error")),
                   Detail);
}

bool waitUntilInForce(
    const AdminSession &Admin, std::uint64_t Version, Duration Timeout,
    const std::function<void(std::uint64_t, std::uint64_t)> &Progress) {
  const Time Deadline = steadyNow() + Timeout;
  std::pair<std::uint64_t, std::uint64_t> LastCounts{0, 0};
  for (;;) {
    const auto Status = Admin.get("/v1/config/status");
    if (ok(Status)) {
      std::pair<std::uint64_t, std::uint64_t> Counts{0, 0};
      for (const Json &P : value(Status).at("processes")) {
        Counts.first += P.at("version").get<std::uint64_t>() >= Version;
        ++Counts.second;
      }
      if (Counts != LastCounts)
        Progress(Counts.first, Counts.second);
      LastCounts = Counts;
      if (Counts.first == Counts.second)
        return true;
    }
    if (steadyNow() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
}

int runVersions(const Arguments &Args) {
  CommandOptions Options("versions",
                         "Shows which processes have which version of the "
                         "configuration: the entry that is\nasked and every "
                         "process connected to it.",
                         "");
  AdminSession::addOptions(Options);
  if (const auto Exit = Options.parse(Args))
    return *Exit;
  const auto Admin = AdminSession::open(Options);
  if (!ok(Admin))
    return reportError(error(Admin), Options.json(), ExitUsage);
  const auto Status = value(Admin).get("/v1/config/status");
  if (!ok(Status))
    return reportError(error(Status), Options.json(), ExitFailed);
  const Json &S = value(Status);
  if (Options.json()) {
    printJson(S);
    return ExitOk;
  }
  const std::uint64_t Version = S.at("version").get<std::uint64_t>();
  std::vector<std::vector<std::string>> Rows = {
      {"PROCESS", "ROLE", "VERSION", "STATE"}};
  for (const Json &P : S.at("processes")) {
    const auto Reported = P.at("version").get<std::uint64_t>();
    Rows.push_back({P.at("process").get<std::string>(),
                    P.at("role").get<std::string>(), std::to_string(Reported),
                    Reported >= Version ? "in force" : "behind"});
  }
  printTable(Rows);
  std::printf(
      "version %llu (hash %s) in force on %llu of %llu processes\n",
      static_cast<unsigned long long>(Version),
      S.at("hash").get<std::string>().c_str(),
      static_cast<unsigned long long>(S.at("in_force").get<std::uint64_t>()),
      static_cast<unsigned long long>(S.at("of").get<std::uint64_t>()));
  if (S.contains("log") && !S["log"].at("reachable").get<bool>())
    std::puts("the log is not reachable from this entry");
  return ExitOk;
}

} // namespace chivelanding
