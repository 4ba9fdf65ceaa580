#include "base64.h"
#include "standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace chivelanding {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr char Usage[] =
    "usage: chivelanding-standin log [--port N] [--seed N]\n\n"
    "Serves POST and GET /streams/NAME on 127.0.0.1 and prints the address.\n"
    "PUT /faults switches faults with a JSON object; absent keys are off:\n"
    "  outage        true: every connection ends without an answer\n"
    "  slow_ms       delay of each answer\n"
    "  lose_percent  appends that are written and not answered\n"
    "  retain        records of each stream that are kept, 0 for all\n"
    "  rate          appends a second, above which status 429; 0 for all\n"
    "GET /faults shows them and the number of appends.\n";

struct Faults {
  bool Outage_ = false;
  std::uint64_t DelayMs_ = 0;
  std::uint64_t LostAnswerPercent_ = 0;
  std::uint64_t RetainedRecords_ = 0;
  std::uint64_t MaxAppendsPerSecond_ = 0;
};

struct Stream {
  std::uint64_t FirstOffset_ = 0;
  std::vector<std::string> Records_;
};

/// Streams and injected faults, shared by the threads of all connections.
class LogStore {
public:
  explicit LogStore(std::uint64_t Seed) : Random_(Seed) {}

  Faults faults() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Faults_;
  }
  Json setFaults(const Json &J);
  Json describe();
  /// Returns the offset, or nothing if the rate limit is exceeded. LoseAnswer
  /// is set if the connection is to end without an answer after the append.
  std::optional<std::uint64_t>
  append(const std::string &Name, const std::string &Data, bool &LoseAnswer);
  Json read(const std::string &Name, std::uint64_t From, std::uint64_t Max,
            Milliseconds Wait);

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::mt19937_64 Random_;
  Faults Faults_;
  std::map<std::string, Stream> Streams_;
  std::uint64_t Appends_ = 0;
  Clock::time_point SecondStart_;
  std::uint64_t AppendsInSecond_ = 0;
};

Json LogStore::setFaults(const Json &J) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Faults_.Outage_ = J.value("outage", false);
    Faults_.DelayMs_ = J.value("slow_ms", 0u);
    Faults_.LostAnswerPercent_ = J.value("lose_percent", 0u);
    Faults_.RetainedRecords_ = J.value("retain", 0u);
    Faults_.MaxAppendsPerSecond_ = J.value("rate", 0u);
    Changed_.notify_all();
  }
  return describe();
}

Json LogStore::describe() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return {{"outage", Faults_.Outage_},
          {"slow_ms", Faults_.DelayMs_},
          {"lose_percent", Faults_.LostAnswerPercent_},
          {"retain", Faults_.RetainedRecords_},
          {"rate", Faults_.MaxAppendsPerSecond_},
          {"appends", Appends_}};
}

std::optional<std::uint64_t> LogStore::append(const std::string &Name,
                                              const std::string &Data,
                                              bool &LoseAnswer) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Now = Clock::now();
  if (Now - SecondStart_ >= std::chrono::seconds(1)) {
    SecondStart_ = Now;
    AppendsInSecond_ = 0;
  }
  if (Faults_.MaxAppendsPerSecond_ > 0 &&
      AppendsInSecond_ >= Faults_.MaxAppendsPerSecond_)
    return std::nullopt;
  ++AppendsInSecond_;
  ++Appends_;
  Stream &S = Streams_[Name];
  S.Records_.push_back(Data);
  if (Faults_.RetainedRecords_ > 0 &&
      S.Records_.size() > Faults_.RetainedRecords_) {
    const std::uint64_t Expired = S.Records_.size() - Faults_.RetainedRecords_;
    S.Records_.erase(S.Records_.begin(),
                     S.Records_.begin() + static_cast<std::ptrdiff_t>(Expired));
    S.FirstOffset_ += Expired;
  }
  LoseAnswer = Random_() % 100 < Faults_.LostAnswerPercent_;
  Changed_.notify_all();
  return S.FirstOffset_ + S.Records_.size() - 1;
}

Json LogStore::read(const std::string &Name, std::uint64_t From,
                    std::uint64_t Max, Milliseconds Wait) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Stream &S = Streams_[Name];
  Changed_.wait_for(Lock, Wait, [&] {
    return S.FirstOffset_ + S.Records_.size() > From || Faults_.Outage_;
  });
  const std::uint64_t Begin = std::max(From, S.FirstOffset_);
  Json Records = Json::array();
  std::uint64_t Offset = Begin;
  for (; Offset < S.FirstOffset_ + S.Records_.size() && Records.size() < Max;
       ++Offset)
    Records.push_back(
        {{"offset", Offset},
         {"data", encodeBase64(S.Records_[Offset - S.FirstOffset_])}});
  return {{"first", S.FirstOffset_}, {"next", Offset}, {"records", Records}};
}

std::uint64_t parameter(const std::string &Target, const std::string &Key,
                        std::uint64_t Default) {
  const std::size_t At = Target.find(Key + "=");
  return At == std::string::npos
             ? Default
             : std::strtoull(Target.c_str() + At + Key.size() + 1, nullptr, 10);
}

/// One connection, served by a thread of its own until either side closes it.
class Connection {
public:
  Connection(asio::ip::tcp::socket Socket, LogStore &Store)
      : Socket_(std::move(Socket)), Store_(Store) {}

  void serve();

private:
  /// Returns nothing if the connection is to end without an answer.
  std::optional<Response> answer(const Request &Received);
  std::optional<Response> answerStream(const Request &Received);
  static Response make(http::status Status, const Json &Body) {
    Response R(Status, 11);
    R.set(http::field::content_type, "application/json");
    R.body() = Body.dump();
    R.prepare_payload();
    return R;
  }

  asio::ip::tcp::socket Socket_;
  LogStore &Store_;
};

void Connection::serve() {
  beast::flat_buffer Buffer;
  beast::error_code E;
  while (!E) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(std::uint64_t(16) << 20);
    http::read(Socket_, Buffer, Parser, E);
    if (E)
      return;
    auto Answer = answer(Parser.get());
    if (!Answer)
      return;
    Answer->keep_alive(Parser.get().keep_alive());
    http::write(Socket_, *Answer, E);
    if (!Parser.get().keep_alive())
      return;
  }
}

std::optional<Response> Connection::answer(const Request &Received) {
  if (Received.target() == "/faults") {
    const Json J = Json::parse(Received.body(), nullptr, false);
    if (Received.method() != http::verb::put)
      return make(http::status::ok, Store_.describe());
    if (!J.is_object())
      return make(http::status::bad_request, {{"error", "not an object"}});
    return make(http::status::ok, Store_.setFaults(J));
  }
  if (Store_.faults().Outage_)
    return std::nullopt;
  auto Answer = answerStream(Received);
  std::this_thread::sleep_for(Milliseconds(Store_.faults().DelayMs_));
  if (Store_.faults().Outage_)
    return std::nullopt;
  return Answer;
}

std::optional<Response> Connection::answerStream(const Request &Received) {
  const std::string Target(Received.target());
  const std::string Prefix = "/streams/";
  if (Target.compare(0, Prefix.size(), Prefix) != 0)
    return make(http::status::not_found, {{"error", "unknown path"}});
  const std::string Name =
      Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
  if (Received.method() == http::verb::post) {
    bool LoseAnswer = false;
    const auto Offset = Store_.append(Name, Received.body(), LoseAnswer);
    if (!Offset)
      return make(http::status::too_many_requests, {{"error", "rate"}});
    if (LoseAnswer)
      return std::nullopt;
    return make(http::status::ok, {{"offset", *Offset}});
  }
  if (Received.method() != http::verb::get)
    return make(http::status::method_not_allowed, {{"error", "method"}});
  return make(http::status::ok,
              Store_.read(Name, parameter(Target, "from", 0),
                          parameter(Target, "max", 100),
                          Milliseconds(parameter(Target, "wait_ms", 0))));
}

} // namespace

int runLogStandin(const Arguments &Args) {
  std::uint16_t Port = 0;
  std::uint64_t Seed = 1;
  for (std::size_t I = 0; I < Args.size(); I += 2) {
    const bool HasValue = I + 1 < Args.size();
    if (Args[I] == "--port" && HasValue) {
      Port = static_cast<std::uint16_t>(std::stoul(Args[I + 1]));
    } else if (Args[I] == "--seed" && HasValue) {
      Seed = std::stoull(Args[I + 1]);
    } else {
      const bool IsHelp = Args[I] == "--help";
      std::fputs(Usage, IsHelp ? stdout : stderr);
      return IsHelp ? 0 : 2;
    }
  }
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), Port});
  std::printf("listening 127.0.0.1:%u\n", Acceptor.local_endpoint().port());
  std::fflush(stdout);
  LogStore Store(Seed);
  for (;;) {
    asio::ip::tcp::socket Socket(Context);
    beast::error_code E;
    Acceptor.accept(Socket, E);
    if (E)
      continue;
    std::thread([S = std::move(Socket), &Store]() mutable {
      Connection(std::move(S), Store).serve();
    }).detach();
  }
}

} // namespace chivelanding
