#include "entry_presence.h"

#include "clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace chivelanding {
namespace {

// Time limit for a call to the store, which usually answers within 4 ms and may
// be 60 times slower.
constexpr Duration StoreTimeout = std::chrono::seconds(1);
// Pause before storing a record is retried. It need not be short: meanwhile
// processes find entries through their seeds and the other entries.
constexpr auto RetryPause = std::chrono::seconds(2);

std::optional<SocketAddress> parseRecord(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || Text.size() - Colon > 6)
    return std::nullopt;
  boost::system::error_code Ec;
  const auto Ip = boost::asio::ip::make_address(Text.substr(0, Colon), Ec);
  const std::string Port = Text.substr(Colon + 1);
  if (Ec || Port.empty() ||
      Port.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const unsigned long Number = std::stoul(Port);
  if (Number == 0 || Number > 65535)
    return std::nullopt;
  return SocketAddress{Ip.to_string(), static_cast<std::uint16_t>(Number)};
}

} // namespace

struct EntryPresence::Impl : std::enable_shared_from_this<EntryPresence::Impl> {
  Impl(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
       Callback OnEntry)
      : Store_(Store), Log_(Log), OnEntry_(std::move(OnEntry)), Timer_(Io) {}

  void store();
  void lookUp();

  RecordStore &Store_;
  EventLog &Log_;
  Callback OnEntry_;
  boost::asio::steady_timer Timer_;
  StoreRecord OwnRecord_;
  SkippedItemLog Skipped_{"entries"};
  bool Stopped_ = false;
};

void EntryPresence::Impl::store() {
  Store_.put(
      StoreStream::Entries, OwnRecord_, StoreTimeout,
      [Self = shared_from_this()](const Result<Done> &R) {
        if (Self->Stopped_ || ok(R))
          return;
        Self->Log_.write(events::StoreUnavailable,
                         {{"use", "presence"}, {"error", error(R).str()}});
        Self->Timer_.expires_after(RetryPause);
        Self->Timer_.async_wait([Self](const boost::system::error_code &Ec) {
          if (!Ec && !Self->Stopped_)
            Self->store();
        });
      });
}

void EntryPresence::Impl::lookUp() {
  Store_.newest(
      StoreStream::Entries, StoreTimeout,
      [Self = shared_from_this()](const Result<StoreRecords> &R) {
        if (Self->Stopped_)
          return;
        if (!ok(R)) {
          Self->Log_.write(events::StoreUnavailable,
                           {{"use", "entries"}, {"error", error(R).str()}});
          return;
        }
        SkippedItems Skipped = value(R).Skipped_;
        for (const StoreRecord &Record : value(R).Records_) {
          const auto Address = parseRecord(Record.Value_);
          if (!Address)
            Skipped.add("record of " + Record.Key_);
          else if (Record.Key_ != Self->OwnRecord_.Key_)
            Self->OnEntry_(*Address);
        }
        if (const auto Event = Self->Skipped_.onRead(Skipped, steadyNow()))
          Self->Log_.write(*Event);
      });
}

EntryPresence::EntryPresence(boost::asio::io_context &Io, RecordStore &Store,
                             EventLog &Log, Callback OnEntry)
    : Impl_(std::make_shared<Impl>(Io, Store, Log, std::move(OnEntry))) {}

EntryPresence::~EntryPresence() { stop(); }

void EntryPresence::announce(const std::string &Name,
                             const SocketAddress &Address) {
  Impl_->OwnRecord_ = {Name, Address.str()};
  Impl_->store();
  Impl_->lookUp();
}

void EntryPresence::lookUp() { Impl_->lookUp(); }

void EntryPresence::stop() {
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
}

} // namespace chivelanding
