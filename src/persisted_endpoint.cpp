#include "persisted_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "clock.h"
#include "json_text.h"

#include <limits>

namespace chivelanding {
namespace {

using Json = nlohmann::json;

// Time-out of the store's calls. A restarted agent receives an announcement of
// its endpoint within a second or two of its start anyway, so a longer wait
// gains nothing.
constexpr Duration StoreTimeout = std::chrono::seconds(1);
// Pause before a failed write is repeated.
constexpr auto RetryPause = std::chrono::seconds(2);

// The library converts numbers of other types and ranges silently.
std::uint64_t readNumber(const Json &Object, const char *Field,
                         std::uint64_t Max) {
  const Json &Value = Object.at(Field);
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max)
    throw std::out_of_range(Field);
  return Value.get<std::uint64_t>();
}

std::uint32_t readAmount(const Json &Object, const char *Field) {
  return static_cast<std::uint32_t>(
      readNumber(Object, Field, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

std::string encodeIncarnation(const EndpointIncarnation &Endpoint) {
  return Json({{"id", Endpoint.Id_},
               {"born", Endpoint.StartedMs_},
               {"service", Endpoint.Service_.str()},
               {"zone", Endpoint.Zone_.str()},
               {"rack", Endpoint.Rack_.str()},
               {"cpu", Endpoint.Capacity_.Cpu_},
               {"memory_mb", Endpoint.Capacity_.MemoryMb_},
               {"accelerators", Endpoint.Capacity_.Accelerators_},
               {"leaving", Endpoint.Leaving_}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<EndpointIncarnation> parseIncarnation(const std::string &Text) {
  try {
    const Json J = parseJson(Text);
    EndpointIncarnation L;
    L.Id_ = J.at("id").get<std::string>();
    L.StartedMs_ =
        readNumber(J, "born", std::numeric_limits<std::int64_t>::max());
    L.Service_ = ServiceName(J.at("service").get<std::string>());
    L.Zone_ = ZoneName(J.at("zone").get<std::string>());
    L.Rack_ = RackName(J.at("rack").get<std::string>());
    L.Capacity_ = {readAmount(J, "cpu"), readAmount(J, "memory_mb"),
                   readAmount(J, "accelerators")};
    L.Leaving_ = J.at("leaving").get<bool>();
    return L;
  } catch (const std::exception &) { // Of the library or of readNumber().
    return std::nullopt;
  }
}

struct PersistedEndpoint::Impl
    : std::enable_shared_from_this<PersistedEndpoint::Impl> {
  Impl(boost::asio::io_context &Io, RecordStore &Store, EventLog &Log,
       std::string Name)
      : Store_(Store), Log_(Log), Timer_(Io) {
    Record_.Key_ = std::move(Name);
  }

  void put();
  void onPut(const Result<Done> &R);
  void logFailure(const char *Use, const Error &E);

  RecordStore &Store_;
  EventLog &Log_;
  boost::asio::steady_timer Timer_;
  StoreRecord Record_;
  std::string Stored_;
  bool WritePending_ = false;
  bool Stopped_ = false;
};

void PersistedEndpoint::Impl::logFailure(const char *Use, const Error &E) {
  Log_.write(events::StoreUnavailable, {{"use", Use}, {"error", E.str()}});
}

// Only one write is outstanding, since an earlier value could overtake a later
// one.
void PersistedEndpoint::Impl::put() {
  if (WritePending_ || Stopped_ || Record_.Value_ == Stored_)
    return;
  WritePending_ = true;
  Store_.put(StoreStream::Endpoints, Record_, StoreTimeout,
             [Self = shared_from_this(),
              Sent = Record_.Value_](const Result<Done> &R) {
               Self->WritePending_ = false;
               if (ok(R))
                 Self->Stored_ = Sent;
               Self->onPut(R);
             });
}

void PersistedEndpoint::Impl::onPut(const Result<Done> &R) {
  if (Stopped_)
    return;
  if (ok(R)) {
    put();
    return;
  }
  logFailure("endpoint", error(R));
  Timer_.expires_after(RetryPause);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (!Ec)
          Self->put();
      });
}

PersistedEndpoint::PersistedEndpoint(boost::asio::io_context &Io,
                                     RecordStore &Store, EventLog &Log,
                                     std::string AgentName)
    : Impl_(std::make_shared<Impl>(Io, Store, Log, std::move(AgentName))) {}

PersistedEndpoint::~PersistedEndpoint() { stop(); }

void PersistedEndpoint::load(
    std::function<void(const EndpointIncarnation &)> OnLoaded) {
  Impl_->Store_.newest(
      StoreStream::Endpoints, StoreTimeout,
      [Self = Impl_,
       OnLoaded = std::move(OnLoaded)](const Result<StoreRecords> &R) {
        if (Self->Stopped_)
          return;
        if (!ok(R)) {
          Self->logFailure("endpoint", error(R));
          return;
        }
        SkippedItems Skipped = value(R).Skipped_;
        for (const StoreRecord &Record : value(R).Records_) {
          if (Record.Key_ != Self->Record_.Key_)
            continue;
          const auto Endpoint = parseIncarnation(Record.Value_);
          if (!Endpoint) {
            Skipped.add("record of " + Record.Key_);
            continue;
          }
          if (Self->Record_.Value_.empty())
            Self->Stored_ = Record.Value_;
          OnLoaded(*Endpoint);
        }
        if (const auto Event =
                SkippedItemLog("endpoints").onRead(Skipped, steadyNow()))
          Self->Log_.write(*Event);
      });
}

void PersistedEndpoint::save(const EndpointIncarnation &Endpoint) {
  Impl_->Record_.Value_ = encodeIncarnation(Endpoint);
  Impl_->put();
}

void PersistedEndpoint::stop() {
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
}

} // namespace chivelanding
