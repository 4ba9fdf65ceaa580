#include "base64.h"
#include "config_feed.h"
#include "http_server.h"
#include "memory_store.h"
#include "store_http.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <set>

using namespace chivelanding;
using namespace chivelanding::platform;
using std::chrono::milliseconds;

namespace {

// Largest record and largest answer of the store.
constexpr std::size_t RecordBytes = 256u << 10;
constexpr std::size_t ReadBytes = 1024u << 10;
constexpr char CordonPrefix[] = "evacuate/";

std::string bigEndian(std::uint64_t Value) {
  std::string Bytes;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>(Value >> Shift & 0xff);
  return Bytes;
}

std::string recordOf(std::size_t Bytes) {
  return encodeRecord({"config", std::string(Bytes, 'x')});
}

// The store on loopback, with one stream. The bound of each answer is drawn
// anew, and some calls are refused. Records are written between the calls.
class BoundedStore {
public:
  BoundedStore(boost::asio::io_context &Io, std::uint64_t Seed)
      : Random_(Seed),
        Server_(Io, {}, [this](HttpRequest &&R, const HttpReplyPtr &Reply) {
          onRequest(R, Reply);
        }) {
    for (int I = 0; I < 60; ++I)
      Unwritten_.push_back(drawRecord(I));
  }

  SocketAddress listen() { return value(Server_.listen({"127.0.0.1", 0})); }

  // True if all records are written and a read from the end waits.
  bool readToEnd() const { return Waiting_ != nullptr; }
  void endWait() { answerRead(std::exchange(Waiting_, nullptr), size()); }

  std::uint64_t size() const { return Stream_.size(); }
  const std::vector<StoreRecord> &records() const { return Stream_; }

private:
  std::uint64_t draw(std::uint64_t Below) { return Random_() % Below; }

  StoreRecord drawRecord(int Number) {
    if (draw(2) == 0)
      return {"config",
              std::to_string(Number) +
                  std::string(draw(3) == 0 ? draw(RecordBytes - 16) : draw(100),
                              ' ')};
    return {CordonPrefix + ("z" + std::to_string(draw(4))),
            draw(2) == 0 ? "{}" : ""};
  }

  void write(std::uint64_t Count) {
    for (; Count > 0 && !Unwritten_.empty(); --Count) {
      Stream_.push_back(std::move(Unwritten_.back()));
      Unwritten_.pop_back();
    }
  }

  void onRequest(const HttpRequest &R, const HttpReplyPtr &Reply) {
    write(draw(3) == 0 ? draw(12) : 0);
    if (draw(30) == 0) {
      Reply->send({503, "text/plain", {}, ""});
      return;
    }
    if (R.Target_.rfind("/log-newest", 0) == 0) {
      const auto At = R.Target_.find("&after=");
      answerNewest(Reply,
                   At == std::string::npos ? "" : R.Target_.substr(At + 7));
      return;
    }
    const std::uint64_t From =
        std::stoull(R.Target_.substr(R.Target_.find("&from=") + 6));
    if (From >= size())
      write(1);
    if (From >= size())
      Waiting_ = Reply;
    else
      answerRead(Reply, From);
  }

  void answerRead(const HttpReplyPtr &Reply, std::uint64_t From) {
    const std::size_t Bound = draw(2) == 0 ? ReadBytes : draw(ReadBytes);
    std::string Body = bigEndian(size()) + bigEndian(0);
    for (std::uint64_t O = From; O < size(); ++O) {
      const std::string Record = encodeRecord(Stream_[O]);
      if (O > From && Body.size() + Record.size() > Bound)
        break;
      Body += Record;
    }
    Reply->send({200, "application/octet-stream", {}, Body});
  }

  void answerNewest(const HttpReplyPtr &Reply, std::string After) {
    if (const auto At = After.find("%2F"); At != std::string::npos)
      After.replace(At, 3, "/");
    std::map<std::string, std::string> Newest;
    for (const StoreRecord &R : Stream_)
      Newest[R.Key_] = R.Value_;
    nlohmann::json Items = nlohmann::json::array();
    const std::size_t Bound = 1 + draw(4);
    bool More = false;
    for (const auto &[Key, Value] : Newest) {
      if (Value.empty() || Key <= After)
        continue;
      More = Items.size() == Bound;
      if (More)
        break;
      Items.push_back({{"key", Key}, {"value", encodeBase64(Value)}});
    }
    Reply->send({200,
                 "application/json",
                 {},
                 nlohmann::json(
                     {{"items", Items}, {"morePages", More}, {"end", size()}})
                     .dump()});
  }

  std::mt19937_64 Random_;
  std::vector<StoreRecord> Unwritten_;
  std::vector<StoreRecord> Stream_;
  HttpReplyPtr Waiting_;
  HttpServer Server_;
};

// The cordoned zones after the first Count records.
std::set<std::string> cordonedAt(const std::vector<StoreRecord> &Records,
                                 std::uint64_t Count) {
  std::set<std::string> Zones;
  for (std::uint64_t O = 0; O < Count; ++O) {
    if (Records[O].Key_.rfind(CordonPrefix, 0) != 0)
      continue;
    const std::string Zone = Records[O].Key_.substr(sizeof CordonPrefix - 1);
    if (Records[O].Value_.empty())
      Zones.erase(Zone);
    else
      Zones.insert(Zone);
  }
  return Zones;
}

// True if each zone is in the set or not as it was at the revision of the set
// or at some later time up to the end of the stream.
bool isAsNewAsItsRevision(const ZoneCordons &Set, std::uint64_t End,
                          const std::vector<StoreRecord> &Records) {
  std::set<std::string> Zones;
  for (const ZoneName &Z : Set.Zones_)
    Zones.insert(Z.str());
  for (const std::string Zone : {"z0", "z1", "z2", "z3"}) {
    bool Held = false;
    for (std::uint64_t O = Set.Revision_; O <= End && !Held; ++O)
      Held = cordonedAt(Records, O).count(Zone) == Zones.count(Zone);
    if (!Held)
      return false;
  }
  return true;
}

} // namespace

// Guards against a read that takes a bounded answer for the rest of the stream
// because of its size, and skips the records after it.
TEST_CASE("A read goes on after the last record of an answer",
          "[bounded_reads]") {
  for (const std::size_t Bytes : {std::size_t(0), std::size_t(180'000),
                                  std::size_t(218'631), RecordBytes - 7})
    for (const std::uint64_t Count : {1, 3, 4}) {
      INFO(Count << " records of " << Bytes << " bytes");
      HttpResponse R;
      R.Body_ = bigEndian(30) + bigEndian(2);
      for (std::uint64_t I = 0; I < Count; ++I)
        R.Body_ += recordOf(Bytes);
      const auto Read = decodeRead(R, 20);
      REQUIRE(ok(Read));
      CHECK(value(Read).Records_.size() == Count);
      CHECK(value(Read).Next_ == 20 + Count);
    }
}

// Guards against a set of cordons with the revision of records that were not
// read: every process would adopt it in place of a newer one.
TEST_CASE("A set of cordons is as new as its revision for any size of answers",
          "[bounded_reads]") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    INFO("seed " << Seed);
    boost::asio::io_context Io;
    BoundedStore Server(Io, Seed);
    StoreHttp Store(Io, Server.listen());
    std::vector<std::pair<ZoneCordons, std::uint64_t>> Sets; // with the end
    std::string Config;
    ConfigFeed Feed(
        Io, Store, testLog(), [&](const std::string &Text) { Config = Text; },
        [&](const ZoneCordons &C) { Sets.emplace_back(C, Server.size()); });
    Feed.start();
    for (int I = 0; I < 20'000 && !Server.readToEnd(); ++I)
      Io.run_one_for(milliseconds(1000));
    REQUIRE(Server.readToEnd());
    REQUIRE(Server.size() == 60);
    for (const auto &[C, End] : Sets) {
      INFO("revision " << C.Revision_);
      CHECK(isAsNewAsItsRevision(C, End, Server.records()));
    }
    REQUIRE(!Sets.empty());
    std::set<std::string> Last;
    for (const ZoneName &Z : Sets.back().first.Zones_)
      Last.insert(Z.str());
    CHECK(Last == cordonedAt(Server.records(), Server.size()));
    std::string NewestConfig;
    for (const StoreRecord &R : Server.records())
      if (R.Key_ == "config")
        NewestConfig = R.Value_;
    CHECK(Config == NewestConfig);
    Feed.stop();
    Server.endWait();
    Io.run_for(milliseconds(20));
  }
}

// Guards against pages that end before the last one and are taken for all: the
// zones on the others would count as not cordoned.
TEST_CASE("Pages that do not reach the last key are an error",
          "[bounded_reads]") {
  const auto Page = [](const std::string &Items, bool More) {
    return R"({"items":[)" + Items + R"(],"morePages":)" +
           (More ? "true" : "false") + R"(,"end":6})";
  };
  const std::string Item = R"({"key":"evacuate/z1","value":"e30="})";
  const std::string LargeItem =
      R"({"key":"evacuate/z#","value":")" + std::string(3u << 20, 'A') + "\"}";
  std::vector<std::string> LargePages;
  for (char C = 'a'; C < 'a' + 20; ++C) {
    std::string Text = LargeItem;
    Text[Text.find('#')] = C;
    LargePages.push_back(Page(Text, C < 'a' + 19));
  }
  const std::vector<std::pair<std::string, std::vector<std::string>>> Cases = {
      {"", {Page(Item, true), Page("", false)}},
      {"bad_response", {Page("", true)}},
      {"bad_response", {Page(Item, true), Page(R"({"value":"e30="})", true)}},
      {"bad_response", {Page(Item, true), Page(Item, true)}},
      {"too_large", LargePages}};
  for (const auto &Case : Cases) {
    const std::string &Code = Case.first;
    const std::vector<std::string> &Pages = Case.second;
    INFO(Code << " after " << Pages.size() << " pages");
    boost::asio::io_context Io;
    std::size_t Sent = 0;
    HttpServer Server(Io, {}, [&](const HttpRequest &, const auto &Reply) {
      Reply->send({200, "application/json", {}, Pages.at(Sent++)});
    });
    StoreHttp Store(Io, value(Server.listen({"127.0.0.1", 0})));
    std::optional<Result<StoreRecords>> Read;
    Store.newest(StoreStream::Operators, milliseconds(5000),
                 [&](const Result<StoreRecords> &R) { Read = R; });
    for (int I = 0; I < 100'000 && !Read; ++I)
      Io.run_one_for(milliseconds(1000));
    REQUIRE(Read);
    CHECK((ok(*Read) ? "" : error(*Read).Code_) == Code);
  }
}
