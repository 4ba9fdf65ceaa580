#include "api.h"
#include "clock.h"
#include "http_client.h"
#include "standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

namespace chivelanding {
namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
using Json = nlohmann::json;

// Interval at which an open-loop driver sends the calls that are due.
constexpr auto PacePeriod = std::chrono::microseconds(500);
constexpr Duration CallTimeout = std::chrono::seconds(30);

struct LoadOptions {
  SocketAddress Destination_;
  bool Direct_ = false;
  std::uint32_t Tasks_ = 1;
  std::uint32_t Concurrency_ = 64;
  /// Calls per second in open-loop mode. 0 selects closed-loop mode: the next
  /// call is sent when one has ended.
  double Rate_ = 0;
  Duration Duration_{0};
  std::string KeyPrefix_;
  std::string Payload_;
};

// Sends jobs to an entry, or the same payloads straight to an endpoint, and
// prints counts and response times. In open-loop mode a response time is
// measured from the time at which the call was due, so that a late send counts.
class LoadDriver {
public:
  LoadDriver(asio::io_context &Io, LoadOptions O)
      : Io_(Io), Options_(std::move(O)), Client_(Io, 64u << 20), Timer_(Io) {}

  void start() {
    if (Options_.Direct_) {
      startCalls();
      return;
    }
    Client_.send(Options_.Destination_, {"GET", "/v1/token", {}, ""},
                 CallTimeout, [this](const Result<HttpResponse> &R) {
                   if (!ok(R)) {
                     std::cerr << error(R).str() << "\n";
                     return;
                   }
                   Token_ = Json::parse(value(R).Body_)["token"];
                   startCalls();
                 });
  }

  int report() const {
    std::vector<Duration> Sorted = ResponseTimes_;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Quantile = [&](double Share) {
      if (Sorted.empty())
        return 0.0;
      const auto I = static_cast<std::size_t>(
          Share * static_cast<double>(Sorted.size() - 1));
      return static_cast<double>(Sorted[I].count());
    };
    const double Seconds = std::max(
        1e-6, std::chrono::duration<double>(LastAnswerAt_ - Start_).count());
    std::cout << Json({{"calls", ResponseTimes_.size()},
                       {"failed", Failed_},
                       {"tasks", ResponseTimes_.size() * Options_.Tasks_},
                       {"seconds", Seconds},
                       {"tasks_per_s",
                        static_cast<double>(ResponseTimes_.size()) *
                            Options_.Tasks_ / Seconds},
                       {"p50_us", Quantile(0.5)},
                       {"p99_us", Quantile(0.99)}})
                     .dump()
              << std::endl;
    return Failed_ == 0 && !ResponseTimes_.empty() ? ExitOk : ExitFailed;
  }

private:
  void startCalls() {
    Start_ = LastAnswerAt_ = steadyNow();
    if (Options_.Rate_ > 0) {
      sendDueCalls();
      return;
    }
    for (std::uint32_t I = 0; I < Options_.Concurrency_; ++I)
      call(steadyNow());
  }

  void sendDueCalls() {
    const Time Now = steadyNow();
    if (Now - Start_ >= Options_.Duration_)
      return;
    const Duration Interval(
        static_cast<std::int64_t>(1'000'000 / Options_.Rate_));
    for (Time Due = Start_ + Sent_ * Interval; Due <= Now;
         Due = Start_ + Sent_ * Interval)
      call(Due);
    Timer_.expires_after(PacePeriod);
    Timer_.async_wait([this](const boost::system::error_code &Ec) {
      if (!Ec)
        sendDueCalls();
    });
  }

  std::string body() {
    std::string Text = R"({"token":")" + Token_ + R"(","key":")" +
                       Options_.KeyPrefix_ + std::to_string(Sent_) +
                       R"(","service":"service","kind":"echo","tasks":[)";
    for (std::uint32_t I = 0; I < Options_.Tasks_; ++I) {
      if (I > 0)
        Text += ',';
      Text += R"({"id":")" + std::to_string(I) + R"(","payload":)" +
              Json(Options_.Payload_).dump() + "}";
    }
    return Text + "]}";
  }

  void call(Time Due) {
    HttpRequest R;
    R.Method_ = "POST";
    R.Target_ = Options_.Direct_ ? "/run/echo" : "/v1/jobs";
    R.Headers_ = {{"Chivelanding-Team", "team"}};
    R.Body_ = Options_.Direct_ ? Options_.Payload_ : body();
    ++Sent_;
    Client_.send(Options_.Destination_, std::move(R), CallTimeout,
                 [this, Due](const Result<HttpResponse> &Answer) {
                   onAnswer(Due, Answer);
                 });
  }

  void onAnswer(Time Due, const Result<HttpResponse> &Answer) {
    LastAnswerAt_ = steadyNow();
    ResponseTimes_.push_back(LastAnswerAt_ - Due);
    if (!ok(Answer) || value(Answer).Status_ != 200) {
      if (++Failed_ <= 3)
        std::cerr << (ok(Answer) ? value(Answer).Body_ : error(Answer).str())
                  << "\n";
    }
    if (Options_.Rate_ <= 0 && LastAnswerAt_ - Start_ < Options_.Duration_)
      call(LastAnswerAt_);
  }

  asio::io_context &Io_;
  LoadOptions Options_;
  HttpClient Client_;
  asio::steady_timer Timer_;
  std::string Token_;
  std::vector<Duration> ResponseTimes_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Failed_ = 0;
  Time Start_;
  Time LastAnswerAt_;
};

} // namespace

int runLoad(const Arguments &Args) {
  options::options_description Known("Options");
  Known.add_options()("help", "print this text")(
      "to", options::value<std::string>()->required(),
      "entry, or endpoint with --direct")("direct", options::bool_switch(),
                                          "call an endpoint without an entry")(
      "tasks", options::value<std::uint32_t>()->default_value(1),
      "tasks per job")("concurrency",
                       options::value<std::uint32_t>()->default_value(64),
                       "calls at the same time if no rate is given")(
      "rate", options::value<double>()->default_value(0), "calls per second")(
      "seconds", options::value<double>()->default_value(2),
      "length")("key", options::value<std::string>()->default_value("k"),
                "prefix of the job keys")(
      "payload", options::value<std::string>()->default_value("payload"),
      "payload of each task");
  LoadOptions O;
  try {
    options::variables_map Map;
    options::store(options::command_line_parser(Args).options(Known).run(),
                   Map);
    if (Map.count("help") > 0) {
      std::cout << Known;
      return ExitOk;
    }
    options::notify(Map);
    auto To = parseAddress(Map["to"].as<std::string>());
    if (!ok(To))
      throw options::error(error(To).str());
    O = {value(To),
         Map["direct"].as<bool>(),
         Map["tasks"].as<std::uint32_t>(),
         Map["concurrency"].as<std::uint32_t>(),
         Map["rate"].as<double>(),
         Duration(static_cast<std::int64_t>(Map["seconds"].as<double>() * 1e6)),
         Map["key"].as<std::string>(),
         Map["payload"].as<std::string>()};
  } catch (const options::error &E) {
    std::cerr << "chivelanding-standin load: " << E.what() << "\n";
    return ExitUsage;
  }
  asio::io_context Io(1);
  LoadDriver L(Io, O);
  L.start();
  Io.run();
  return L.report();
}

} // namespace chivelanding
