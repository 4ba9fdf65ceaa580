#include "api.h"
#include "http_client.h"
#include "http_server.h"
#include "standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <map>

namespace chivelanding {
namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
using Json = nlohmann::json;

// Announcements are repeated so that a restarted agent learns of the endpoint.
constexpr auto AnnouncePeriod = std::chrono::milliseconds(250);
constexpr Duration AnnounceTimeout = std::chrono::seconds(2);

struct EndpointOptions {
  std::string Name_;
  std::string Service_;
  std::string Rack_;
  SocketAddress Listen_;
  SocketAddress Agent_;
  std::uint32_t Slots_ = 8;
};

// Answers each task with its payload. A payload {"run_us":N,"fail":true} sets
// the run time in microseconds and whether the task fails; a task with any
// other payload succeeds at once.
class EndpointStandin {
public:
  EndpointStandin(asio::io_context &Io, EndpointOptions O)
      : Io_(Io), Options_(std::move(O)),
        Server_(Io, {},
                [this](HttpRequest &&R, const HttpReplyPtr &Reply) {
                  onRequest(std::move(R), Reply);
                }),
        Client_(Io, 1u << 20), Timer_(Io) {}

  Result<SocketAddress> start() {
    auto Bound = Server_.listen(Options_.Listen_);
    if (ok(Bound)) {
      Options_.Listen_ = value(Bound);
      announce();
    }
    return Bound;
  }

private:
  void onRequest(HttpRequest &&R, const HttpReplyPtr &Reply) {
    if (R.Method_ == "POST" && R.Target_.rfind("/run/", 0) == 0)
      onRun(std::move(R), Reply);
    else if (R.Method_ == "GET" && R.Target_ == "/counters")
      onCounters(Reply);
    else
      Reply->send({404, "text/plain", {}, "unknown target\n"});
  }

  // Starts are counted per task only for calls with a job header; the direct
  // calls of the load driver have none.
  void onRun(HttpRequest &&R, const HttpReplyPtr &Reply) {
    ++TotalStarts_;
    const auto Job = R.header("Chivelanding-Job");
    if (!Job.empty()) {
      const auto Name =
          std::string(Job) + "#" + std::string(R.header("Chivelanding-Task"));
      if (++Starts_[Name] > 1)
        ++RepeatedStarts_;
    }
    std::uint64_t RunUs = 0;
    bool Fail = false;
    if (!R.Body_.empty() && R.Body_.front() == '{') {
      const Json J = Json::parse(R.Body_, nullptr, false);
      if (J.is_object()) {
        RunUs = J.value("run_us", std::uint64_t(0));
        Fail = J.value("fail", false);
      }
    }
    HttpResponse Response{
        Fail ? 500u : 200u, "application/octet-stream", {}, std::move(R.Body_)};
    ++RunningTasks_;
    if (RunUs == 0) {
      finishTask(Reply, std::move(Response));
      return;
    }
    auto Timer = std::make_shared<asio::steady_timer>(
        Io_, std::chrono::microseconds(RunUs));
    Timer->async_wait([this, Timer, Reply, Response = std::move(Response)](
                          const boost::system::error_code &) mutable {
      finishTask(Reply, std::move(Response));
    });
  }

  void finishTask(const HttpReplyPtr &Reply, HttpResponse Response) {
    --RunningTasks_;
    Reply->send(std::move(Response));
  }

  void onCounters(const HttpReplyPtr &Reply) {
    const Json J = {{"total", TotalStarts_},
                    {"tasks", Starts_.size()},
                    {"repeated", RepeatedStarts_},
                    {"running", RunningTasks_},
                    {"starts", Starts_}};
    Reply->send({200, "application/json", {}, J.dump()});
  }

  void announce() {
    HttpRequest R;
    R.Method_ = "PUT";
    R.Target_ = "/v1/endpoint";
    R.Body_ = Json({{"name", Options_.Name_},
                    {"service", Options_.Service_},
                    {"rack", Options_.Rack_},
                    {"slots", Options_.Slots_},
                    {"connections", 64},
                    {"address", Options_.Listen_.str()}})
                  .dump();
    Client_.send(Options_.Agent_, std::move(R), AnnounceTimeout,
                 [this](const Result<HttpResponse> &) {
                   Timer_.expires_after(AnnouncePeriod);
                   Timer_.async_wait(
                       [this](const boost::system::error_code &Ec) {
                         if (!Ec)
                           announce();
                       });
                 });
  }

  asio::io_context &Io_;
  EndpointOptions Options_;
  HttpServer Server_;
  HttpClient Client_;
  asio::steady_timer Timer_;
  std::map<std::string, std::uint64_t> Starts_;
  std::uint64_t TotalStarts_ = 0;
  std::uint64_t RepeatedStarts_ = 0;
  std::uint64_t RunningTasks_ = 0;
};

SocketAddress addressOption(const options::variables_map &Map,
                            const char *Name) {
  auto A = parseAddress(Map[Name].as<std::string>());
  if (!ok(A))
    throw options::error(error(A).str());
  return value(A);
}

} // namespace

int runEndpointStandin(const Arguments &Args) {
  options::options_description Known("Options");
  const auto Text = [](const char *Default) {
    return options::value<std::string>()->default_value(Default);
  };
  Known.add_options()("help", "print this text")("name", Text("endpoint"),
                                                 "name of the endpoint")(
      "service", Text("service"),
      "service that it offers")("rack", Text("rack"), "rack of its VM")(
      "listen", Text("127.0.0.1:0"),
      "address for tasks")("agent", Text(""), "local listener of its agent")(
      "slots", options::value<std::uint32_t>()->default_value(8), "slots");
  EndpointOptions O;
  try {
    options::variables_map Map;
    options::store(options::command_line_parser(Args).options(Known).run(),
                   Map);
    if (Map.count("help") > 0) {
      std::cout << Known;
      return ExitOk;
    }
    O = {Map["name"].as<std::string>(), Map["service"].as<std::string>(),
         Map["rack"].as<std::string>(), addressOption(Map, "listen"),
         addressOption(Map, "agent"),   Map["slots"].as<std::uint32_t>()};
  } catch (const options::error &E) {
    std::cerr << "chivelanding-standin endpoint: " << E.what() << "\n";
    return ExitUsage;
  }
  asio::io_context Io(1);
  EndpointStandin E(Io, O);
  const auto Bound = E.start();
  if (!ok(Bound)) {
    std::cerr << error(Bound).str() << "\n";
    return ExitFailed;
  }
  std::cout << "listening on " << value(Bound).str() << std::endl;
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Io.stop(); });
  Io.run();
  return ExitOk;
}

} // namespace chivelanding
