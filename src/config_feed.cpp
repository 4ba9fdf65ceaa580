#include "config_feed.h"

#include "clock.h"
#include "cordon_records.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace chivelanding {
namespace {

// Wait of one long poll. Only the time-out shows that a connection has been
// lost without notice, and a change must be in force within 2 s; one call per
// second is a thousandth of what the store accepts.
constexpr Duration LongPollWait = std::chrono::milliseconds(1000);
// Time allowed for an answer beyond the wait, for a store that is 50 times as
// slow as its usual 4 ms.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(600);
// Delay before the next call after an error.
constexpr auto RetryPause = std::chrono::milliseconds(150);

} // namespace

struct ConfigFeed::Impl : std::enable_shared_from_this<ConfigFeed::Impl> {
  Impl(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
       Callback OnConfig, CordonCallback OnCordons)
      : Store_(Store), Log_(Log), OnConfig_(std::move(OnConfig)),
        OnCordons_(std::move(OnCordons)), Cordons_(Store.cordonKeyPrefix()),
        Timer_(Io) {}

  void read();
  void onRecords(const Result<StoreRecords> &R);
  void noteBacklog(const StoreRecords &Answer);
  void readCordons(const StoreRecords &Answer, bool Whole);
  void retry(const Error &E);

  RecordStore &Store_;
  EventLog &Log_;
  Callback OnConfig_;
  CordonCallback OnCordons_;
  CordonRecords Cordons_;
  boost::asio::steady_timer Timer_;
  /// Offset from which to read on; empty before the first answer and after an
  /// error.
  std::optional<std::uint64_t> Next_;
  std::optional<bool> Available_;
  std::uint64_t RecordsBehind_ = 0;
  SkippedItemLog Skipped_{"operators"};
  bool Stopped_ = false;
};

void ConfigFeed::Impl::read() {
  const auto Done = [Self = shared_from_this()](const Result<StoreRecords> &R) {
    if (!Self->Stopped_)
      Self->onRecords(R);
  };
  if (Next_)
    Store_.follow(StoreStream::Operators, *Next_, LongPollWait,
                  LongPollWait + AnswerTimeout, Done);
  else
    Store_.newest(StoreStream::Operators, AnswerTimeout, Done);
}

void ConfigFeed::Impl::onRecords(const Result<StoreRecords> &R) {
  if (!ok(R)) {
    retry(error(R));
    return;
  }
  if (Available_ != true)
    Log_.write(events::StoreAvailable, {{"use", "configuration"}});
  Available_ = true;
  if (const auto Event = Skipped_.onRead(value(R).Skipped_, steadyNow()))
    Log_.write(*Event);
  noteBacklog(value(R));
  readCordons(value(R), !Next_);
  Next_ = value(R).Next_;
  const std::string *Newest = nullptr;
  for (const StoreRecord &Record : value(R).Records_)
    if (Record.Key_ == Store_.configKey() && !Record.Value_.empty())
      Newest = &Record.Value_;
  if (Newest)
    OnConfig_(*Newest);
  read();
}

void ConfigFeed::Impl::noteBacklog(const StoreRecords &Answer) {
  RecordsBehind_ = Answer.End_ > Answer.Next_ ? Answer.End_ - Answer.Next_ : 0;
  if (RecordsBehind_ > 0)
    Log_.write(events::StoreBacklog,
               {{"use", "configuration"},
                {"from", Next_ ? std::to_string(*Next_) : "newest"},
                {"next", std::to_string(Answer.Next_)},
                {"end", std::to_string(Answer.End_)}});
}

void ConfigFeed::Impl::readCordons(const StoreRecords &Answer, bool Whole) {
  if (!OnCordons_)
    return;
  if (Whole)
    OnCordons_(Cordons_.onNewest(Answer));
  else if (const auto Changed = Cordons_.onFollowed(Answer))
    OnCordons_(*Changed);
}

// The offset is discarded on the first error: records written meanwhile may
// have been deleted, but the newest version and the newest record of each
// cordon key are kept.
void ConfigFeed::Impl::retry(const Error &E) {
  if (Available_ != false)
    Log_.write(events::StoreUnavailable,
               {{"use", "configuration"}, {"error", E.str()}});
  Available_ = false;
  Next_.reset();
  Timer_.expires_after(RetryPause);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (!Ec && !Self->Stopped_)
          Self->read();
      });
}

ConfigFeed::ConfigFeed(boost::asio::io_context &Io, RecordStore &Store,
                       EventLog &Log, Callback OnConfig,
                       CordonCallback OnCordons)
    : Impl_(std::make_shared<Impl>(Io, Store, Log, std::move(OnConfig),
                                   std::move(OnCordons))) {}

ConfigFeed::~ConfigFeed() { stop(); }

void ConfigFeed::start() { Impl_->read(); }

void ConfigFeed::stop() {
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
}

bool ConfigFeed::available() const { return Impl_->Available_ == true; }

std::uint64_t ConfigFeed::recordsBehind() const {
  return Impl_->RecordsBehind_;
}

} // namespace chivelanding
