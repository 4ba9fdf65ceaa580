#include "config_feed.h"
#include "dispatch_agent.h"
#include "entry_presence.h"
#include "http_client.h"
#include "json_text.h"
#include "memory_store.h"
#include "persisted_endpoint.h"
#include "worker_http.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>

// Reports of odd items, and the repair of a text that contains them.
using namespace chivelanding;
using std::chrono::milliseconds;

namespace {

Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

std::string repaired(const std::string &Text, std::size_t Depth = 8) {
  const auto Document = parseJsonItems(Text, {Depth});
  return Document.is_discarded() ? "discarded" : Document.dump();
}

SkippedItems skipped(std::size_t Count, const char *First) {
  SkippedItems S;
  for (std::size_t I = 0; I < Count; ++I)
    S.add(First);
  return S;
}

// Counts the events of testLog().
struct EventCounter {
  EventCounter() {
    testLog().setCounter([this](const EventType &T) { ++Counts_[T.Number_]; });
  }
  ~EventCounter() { testLog().setCounter(nullptr); }
  std::size_t skipped() { return Counts_[events::ItemsSkipped.Number_]; }
  std::map<std::uint16_t, std::size_t> Counts_;
};

} // namespace

// Guards against a log that is flooded by an item that is read again and again,
// and against a new one that is not logged.
TEST_CASE("Odd items are logged at each change and every ten seconds",
          "[odd]") {
  SkippedItemLog Log("list");
  CHECK_FALSE(Log.onRead({}, at(0)));
  CHECK(Log.onRead(skipped(1, "a"), at(10)));
  CHECK_FALSE(Log.onRead(skipped(1, "a"), at(160)));
  CHECK(Log.onRead(skipped(2, "a"), at(310)));
  CHECK(Log.onRead(skipped(2, "b"), at(460)));
  CHECK_FALSE(Log.onRead(skipped(2, "b"), at(10'000)));
  CHECK(Log.onRead(skipped(2, "b"), at(10'460)));
  CHECK_FALSE(Log.onRead({}, at(10'500)));
  CHECK(Log.onRead(skipped(2, "b"), at(10'600)));
  CHECK(skipped(1, std::string(500, 'x').c_str()).First_.size() < 200);
}

// Guards against a repair that changes what is readable, lets something pass
// that the parser refuses, or makes a value of another kind readable.
TEST_CASE("Only what cannot be read is replaced", "[odd]") {
  const std::string Odd = R"({"unreadable":true})";
  CHECK(repaired(R"({"a":[1,-2.5e3,"\u00e9\ud83d\ude00\n",null,true]})") ==
        nlohmann::json::parse(
            R"({"a":[1,-2.5e3,"\u00e9\ud83d\ude00\n",null,true]})")
            .dump());
  CHECK(repaired("[1e999,2]") == "[" + Odd + ",2]");
  CHECK(repaired("[-,1.,01,.5,2]") == "discarded"); // Not a token of a number.
  CHECK(repaired("[-,1.,01,1e,2]") ==
        "[" + Odd + "," + Odd + "," + Odd + "," + Odd + ",2]");
  CHECK(repaired("[[[[1]],2],3]", 2) == "[[" + Odd + ",2],3]");
  CHECK(repaired(R"([{"[":"]\"]"},[[{"x":"]]"}]],3])", 2) ==
        R"([{"[":"]\"]"},[)" + Odd + "],3]");
  CHECK(repaired("[\"\xff\xc3\xa9\xe9\",1e999]") ==
        "[\"?\xc3\xa9?\"," + Odd + "]");
  CHECK(repaired("[\"\\x\\ud800\\udc00\\ud800a\\u12\",1]") ==
        "[\"?x\xf0\x90\x80\x80?ud800a?u12\",1]");
  CHECK(repaired("[\"a\nb\",1]") == "[\"a?b\",1]");
  CHECK(repaired("[1,2") == "discarded");
  CHECK(repaired("") == "discarded");
}

// Guards against a short text that takes a hundred times its size in memory.
TEST_CASE("The number of lists in a text is bounded", "[odd]") {
  std::string Text = "[0";
  for (int I = 0; I < 200'000; ++I)
    Text += ",[]";
  Text += ']';
  CHECK(parseJson(Text).is_discarded());
  const auto Document = parseJsonItems(Text);
  REQUIRE(Document.is_array());
  CHECK(Document.size() == 200'001);
  CHECK(Document.front() == 0);
  CHECK(Document.back().is_object());
}

// Guards against odd records of entries and of the own endpoint that stop the
// look-up, are used, or leave no trace.
TEST_CASE("Odd records of the store are left out and reported", "[odd]") {
  boost::asio::io_context Io;
  MemoryStore Store(Io);
  EventCounter Events;
  auto &Entries = Store.Records_[StoreStream::Entries];
  int I = 0;
  for (const char *Value :
       {"1.2.3.4:99999", "1.2.3.4:-1", "1.2.3.4:0", "1.2.3.4:", "1.2.3.4",
        "host:80", "[[[[", "1.2.3.4:18446744073709551616", "\xff:80", "\n"})
    Entries["odd-" + std::to_string(I++)] = Value;
  Entries["good"] = "1.2.3.4:7720";
  std::vector<std::string> Found;
  EntryPresence Presence(Io, Store, testLog(), [&](const SocketAddress &A) {
    Found.push_back(A.str());
  });
  Presence.lookUp();
  Io.run();
  CHECK(Found == std::vector<std::string>{"1.2.3.4:7720"});
  CHECK(Events.skipped() == 1);
  Presence.stop();

  Io.restart();
  Store.Records_[StoreStream::Endpoints]["agent"] =
      std::string(100'000, '[') + std::string(100'000, ']');
  PersistedEndpoint Endpoint(Io, Store, testLog(), "agent");
  bool Loaded = false;
  Endpoint.load([&](const EndpointIncarnation &) { Loaded = true; });
  Io.run();
  CHECK_FALSE(Loaded);
  CHECK(Events.skipped() == 2);
  Endpoint.stop();
}

// Guards against an agent whose log or metrics do not show a heartbeat that it
// has refused, and against one that ends.
TEST_CASE("A refused heartbeat is counted", "[odd]") {
  boost::asio::io_context Io;
  DispatchAgentSettings S;
  S.Process_.Name_ = "a";
  S.PeerListen_ = {"127.0.0.1", 0};
  using boost::asio::ip::tcp;
  {
    const tcp::endpoint Any(boost::asio::ip::make_address("127.0.0.1"), 0);
    S.Listen_ = {"127.0.0.1", tcp::acceptor(Io, Any).local_endpoint().port()};
    S.MetricsListen_ = {"127.0.0.1",
                        tcp::acceptor(Io, Any).local_endpoint().port()};
  }
  S.Endpoint_ = {"127.0.0.1", 1};
  S.Service_ = ServiceName("s");
  DispatchAgent Agent(
      Io, S,
      {std::make_unique<platform::WorkerHeartbeat>(S.Endpoint_, S.Service_),
       std::make_unique<platform::WorkerHttp>(Io),
       std::make_unique<MemoryStore>(Io)},
      testLog());
  REQUIRE(ok(Agent.start()));
  HttpClient Client(Io, 1u << 20);
  const auto Send = [&](const SocketAddress &To, HttpRequest Request) {
    std::optional<HttpResponse> Response;
    Client.send(To, std::move(Request), milliseconds(3000), [&](auto R) {
      Response = ok(R) ? value(R) : HttpResponse{0, {}, {}, {}};
    });
    for (int Turn = 0; Turn < 400 && !Response; ++Turn)
      Io.run_for(milliseconds(10));
    REQUIRE(Response);
    return *Response;
  };
  const std::string Deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::string Good =
      R"({"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready",)"
      R"("clockMs":5,"born":7,"seq":1,"coldRemainingMs":1e999,)"
      R"("capacity":{"cpu":1,"memMb":1,"gpu":0}})";
  const char *Path = "/Instances.Heartbeat/i-1";
  CHECK(Send(S.Listen_, {"POST", Path, {}, Deep}).Status_ == 400);
  CHECK(Send(S.Listen_, {"POST", Path, {}, "\xff"}).Status_ == 400);
  CHECK(Send(S.Listen_, {"POST", Path, {}, Good}).Status_ == 400);
  const std::string Cold = R"("coldRemainingMs":9000000000)";
  std::string Late = Good;
  Late.replace(Late.find("\"coldRemainingMs\":1e999"), 23, Cold);
  CHECK(Send(S.Listen_, {"POST", Path, {}, Late}).Status_ == 200);
  const std::string Metrics =
      Send(S.MetricsListen_, {"GET", "/metrics", {}, {}}).Body_;
  const auto CountOf = [&](const std::string &Event) {
    const auto At = Metrics.find("event=\"" + Event + "\"");
    REQUIRE(At != std::string::npos);
    const auto Begin = Metrics.find("} ", At) + 2;
    return Metrics.substr(Begin, Metrics.find('\n', Begin) - Begin);
  };
  CHECK(CountOf("announcement_refused") == "3");
  CHECK(CountOf("items_skipped") == "1");
  Agent.stop();
}
