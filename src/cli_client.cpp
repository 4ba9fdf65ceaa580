#include "api.h"
#include "cli.h"
#include "clock.h"
#include "http_client.h"
#include "random_number.h"

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

namespace chivelanding {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

// Largest answer that a command accepts.
constexpr std::uint64_t MaxAnswerBytes = 1u << 30;
// Timeout of requests that an entry answers without running a task.
constexpr Duration ShortTimeout = std::chrono::seconds(5);
// Delay before a request is sent again.
constexpr auto ResubmitPause = std::chrono::milliseconds(200);

// Sends one request and blocks until it has ended.
Result<HttpResponse> fetch(const SocketAddress &To, HttpRequest Request,
                           Duration Timeout) {
  boost::asio::io_context Io(1);
  HttpClient Client(Io, MaxAnswerBytes);
  std::optional<Result<HttpResponse>> Answer;
  Client.send(To, std::move(Request), Timeout,
              [&](Result<HttpResponse> R) { Answer = std::move(R); });
  Io.run();
  return std::move(*Answer);
}

// Parses a command line. Returns the exit code if the help text or an error was
// printed.
std::variant<options::variables_map, ExitCode>
parse(const Arguments &Args, const char *Command, const char *Summary,
      options::options_description Description) {
  Description.add_options()("help", "print this text");
  try {
    options::variables_map Map;
    options::store(
        options::command_line_parser(Args).options(Description).run(), Map);
    if (Map.count("help") > 0) {
      std::cout << "usage: chivelanding " << Command << " [OPTIONS]\n\n"
                << Summary << "\n\n"
                << Description;
      return ExitOk;
    }
    options::notify(Map);
    return Map;
  } catch (const options::error &E) {
    std::cerr << "chivelanding " << Command << ": " << E.what() << "\n";
    return ExitUsage;
  }
}

int reportBadAddress(const Error &E) {
  std::cerr << E.str() << "\n";
  return ExitUsage;
}

// An entry requires an operator's token once operators are configured.
std::vector<HttpHeader> operatorHeaders() {
  const char *Token = std::getenv("CHIVELANDING_TOKEN");
  if (!Token)
    return {};
  return {{"Authorization", std::string("Bearer ") + Token}};
}

// Sends one request to a listener of a process and prints the answer.
int sendToProcess(const Arguments &Args, const char *Command,
                  const char *Summary, const char *Method, const char *Target) {
  options::options_description Description("Options");
  Description.add_options()(
      "to", options::value<std::string>()->required(),
      "IP:PORT of an agent's local listener or an entry's "
      "administration listener");
  const auto Map = parse(Args, Command, Summary, std::move(Description));
  if (Map.index() == 1)
    return std::get<1>(Map);
  const auto To = parseAddress(std::get<0>(Map)["to"].as<std::string>());
  if (!ok(To))
    return reportBadAddress(error(To));
  const auto R =
      fetch(value(To), {Method, Target, operatorHeaders(), ""}, ShortTimeout);
  if (!ok(R)) {
    std::cerr << error(R).str() << "\n";
    return error(R).Code_ == "connect_failed" ? ExitFailed : ExitUnknown;
  }
  std::cout << value(R).Body_ << "\n";
  return value(R).Status_ / 100 == 2 ? ExitOk : ExitFailed;
}

std::string randomKey() { return toHex(drawRandomNumber()); }

/// One job and the entries that it may be submitted to.
class Submission {
public:
  Submission(std::vector<SocketAddress> Entries, std::string Team,
             const std::string &Bearer)
      : Entries_(std::move(Entries)) {
    if (!Bearer.empty())
      Headers_.push_back({"Authorization", "Bearer " + Bearer});
    else
      Headers_.push_back({"Chivelanding-Team", std::move(Team)});
  }

  int run(Json Job, Duration Timeout) {
    const Time Deadline = steadyNow() + Timeout;
    if (!Job.contains("key"))
      Job["key"] = randomKey();
    if (!Job.contains("token") && !fetchToken(Job, Deadline))
      return ExitFailed;
    return submit(Job.dump(), Deadline);
  }

private:
  const SocketAddress &nextEntry() {
    return Entries_[NextEntry_++ % Entries_.size()];
  }

  // Nothing has been submitted yet, so a failure here means that the job has
  // not run.
  bool fetchToken(Json &Job, Time Deadline) {
    do {
      const auto R =
          fetch(nextEntry(), {"GET", "/v1/token", Headers_, ""}, ShortTimeout);
      const Json J =
          ok(R) ? Json::parse(value(R).Body_, nullptr, false) : Json();
      if (J.is_object() && J.contains("token")) {
        Job["token"] = J["token"];
        --NextEntry_;
        return true;
      }
      LastError_ = ok(R) ? value(R).Body_ : error(R).str();
      std::this_thread::sleep_for(ResubmitPause);
    } while (steadyNow() < Deadline);
    std::cerr << "no token: " << LastError_ << "\n";
    return false;
  }

  // Every submission with the same token and key attaches to the same job, so
  // submitting again after a lost connection is safe.
  int submit(const std::string &Body, Time Deadline) {
    for (;;) {
      const Duration Remaining = std::max<Duration>(
          Deadline - steadyNow(), std::chrono::milliseconds(1));
      const auto R =
          fetch(nextEntry(), {"POST", "/v1/jobs", Headers_, Body}, Remaining);
      if (ok(R) && !isRetryable(value(R)))
        return printAnswer(value(R));
      LastError_ = ok(R) ? value(R).Body_ : error(R).str();
      if (steadyNow() >= Deadline)
        break;
      std::this_thread::sleep_for(ResubmitPause);
    }
    std::cerr << "no answer in time: " << LastError_ << "\n";
    return ExitUnknown;
  }

  static bool isRetryable(const HttpResponse &R) {
    const Json J = Json::parse(R.Body_, nullptr, false);
    return R.Status_ == 503 && J.is_object() &&
           J.value("code", "") == "owner_unreachable";
  }

  static int printAnswer(const HttpResponse &R) {
    std::cout << R.Body_ << "\n";
    if (R.Status_ == 200)
      return ExitOk;
    const Json J = Json::parse(R.Body_, nullptr, false);
    const bool Unknown = !J.is_object() || J.value("cause", "") == "unknown";
    return Unknown ? ExitUnknown : ExitFailed;
  }

  std::vector<SocketAddress> Entries_;
  std::vector<HttpHeader> Headers_;
  std::size_t NextEntry_ = 0;
  std::string LastError_;
};

std::string readAll(const std::string &Path) {
  if (Path == "-")
    return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

int runStatus(const Arguments &Args) {
  return sendToProcess(Args, "status",
                       "Prints the state of one process as JSON.", "GET",
                       "/v1/status");
}

int runDrain(const Arguments &Args) {
  return sendToProcess(Args, "drain",
                       "Asks one process to take no new work, finish and exit.",
                       "POST", "/v1/drain");
}

int runSubmit(const Arguments &Args) {
  options::options_description Description("Options");
  Description.add_options()(
      "entry", options::value<std::vector<std::string>>()->required(),
      "IP:PORT of an entry or of the load balancer; may be repeated")(
      "team", options::value<std::string>()->default_value(""),
      "team, if no team in force has a token")(
      "bearer", options::value<std::string>()->default_value(""),
      "bearer token of the team")(
      "file", options::value<std::string>()->default_value("-"),
      "JSON file of the job, - for stdin")(
      "limit_s", options::value<unsigned>()->default_value(300),
      "seconds after which the outcome is reported as unknown");
  auto Parsed = parse(Args, "submit",
                      "Submits a job and prints its whole answer. After a lost "
                      "connection the job is\nsubmitted again with the same "
                      "token and key.",
                      std::move(Description));
  if (Parsed.index() == 1)
    return std::get<1>(Parsed);
  const auto &Map = std::get<0>(Parsed);
  std::vector<SocketAddress> Entries;
  for (const auto &Text : Map["entry"].as<std::vector<std::string>>()) {
    auto A = parseAddress(Text);
    if (!ok(A))
      return reportBadAddress(error(A));
    Entries.push_back(std::move(value(A)));
  }
  Json Job =
      Json::parse(readAll(Map["file"].as<std::string>()), nullptr, false);
  if (!Job.is_object()) {
    std::cerr << "chivelanding submit: the job is not a JSON object\n";
    return ExitUsage;
  }
  Submission S(std::move(Entries), Map["team"].as<std::string>(),
               Map["bearer"].as<std::string>());
  return S.run(std::move(Job),
               std::chrono::seconds(Map["limit_s"].as<unsigned>()));
}

} // namespace chivelanding
