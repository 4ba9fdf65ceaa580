#ifndef CHIVELANDING_TESTS_MEMORY_STORE_H
#define CHIVELANDING_TESTS_MEMORY_STORE_H

#include "dispatch_ports.h"
#include "log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace chivelanding {

// A record store in memory whose next Failures_ calls fail. A record without
// value removes its key from the newest records.
class MemoryStore : public RecordStore {
public:
  explicit MemoryStore(boost::asio::io_context &Io) : Io_(Io) {}

  void newest(StoreStream Stream, Duration, RecordsCallback Done) override {
    ++Newest_;
    answer(Done, [this, Stream] {
      StoreRecords R;
      for (const auto &[Key, Value] : Records_[Stream])
        if (!Value.empty())
          R.Records_.push_back({Key, Value});
      R.Next_ = Lines_[Stream].size();
      return R;
    });
  }

  void follow(StoreStream Stream, std::uint64_t Offset, Duration, Duration,
              RecordsCallback Done) override {
    if (Offset >= Lines_[Stream].size() && Failures_ == 0) {
      Followers_.emplace_back(Stream, Offset, std::move(Done));
      return;
    }
    if (Offset < Forgotten_) {
      boost::asio::post(Io_, [Done] {
        Done(Error{"deleted", "call the store", "store", "status 410"});
      });
      return;
    }
    answer(Done, [this, Stream, Offset] {
      StoreRecords R;
      for (std::size_t I = Offset; I < Lines_[Stream].size(); ++I)
        R.Records_.push_back(Lines_[Stream][I]);
      R.Next_ = Lines_[Stream].size();
      return R;
    });
  }

  void put(StoreStream Stream, const StoreRecord &Record, Duration,
           std::function<void(const Result<chivelanding::Done> &)> Callback)
      override {
    ++Puts_;
    if (Failures_ > 0) {
      --Failures_;
      boost::asio::post(Io_, [Callback] {
        Callback(Error{"refused", "call the store", "store", "status 503"});
      });
      return;
    }
    write(Stream, Record);
    boost::asio::post(Io_, [Callback] { Callback(chivelanding::Done()); });
  }

  const std::string &configKey() const override { return Key_; }
  const std::string &cordonKeyPrefix() const override { return CordonPrefix_; }

  void write(StoreStream Stream, const StoreRecord &Record) {
    Records_[Stream][Record.Key_] = Record.Value_;
    Lines_[Stream].push_back(Record);
    auto Waiting = std::move(Followers_);
    Followers_.clear();
    for (auto &[S, Offset, Done] : Waiting)
      follow(S, Offset, Duration(0), Duration(0), std::move(Done));
  }

  // Fails the waiting calls as if their connections were lost.
  void breakFollowers() {
    auto Waiting = std::move(Followers_);
    Followers_.clear();
    for (auto &[S, Offset, Done] : Waiting)
      Done(Error{"timeout", "call the store", "store", ""});
  }

  int Failures_ = 0;
  int Puts_ = 0;
  int Newest_ = 0;
  // Records below this offset are dropped from the streams; the newest ones
  // remain.
  std::uint64_t Forgotten_ = 0;
  std::map<StoreStream, std::map<std::string, std::string>> Records_;
  std::map<StoreStream, std::vector<StoreRecord>> Lines_;

private:
  template <typename Make>
  void answer(const RecordsCallback &Done, const Make &MakeRecords) {
    if (Failures_ > 0) {
      --Failures_;
      boost::asio::post(Io_, [Done] {
        Done(Error{"refused", "call the store", "store", "status 503"});
      });
      return;
    }
    boost::asio::post(
        Io_, [Done, R = MakeRecords()] { Done(Result<StoreRecords>(R)); });
  }

  boost::asio::io_context &Io_;
  std::string Key_ = "config";
  std::string CordonPrefix_ = "cordon/";
  std::vector<std::tuple<StoreStream, std::uint64_t, RecordsCallback>>
      Followers_;
};

// The log library can be started only once in a process.
inline EventLog &testLog() {
  static EventLog Log("error");
  return Log;
}

} // namespace chivelanding

#endif
