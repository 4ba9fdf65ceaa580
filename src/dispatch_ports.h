#ifndef CHIVELANDING_DISPATCH_PORTS_H
#define CHIVELANDING_DISPATCH_PORTS_H

#include "dispatch_config.h"
#include "dispatcher.h"
#include "endpoint_port.h"
#include "http.h"
#include "result.h"
#include "skipped_items.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// A request of a caller on a known route; RefusedRequest is the response to
/// any other request.
struct SubmitRequest {
  IdempotentJob Job_;
};
struct CancelRequest {
  JobKey Job_;
};
struct StateRequest {
  JobKey Job_;
};
struct WaitingRequest {
  std::string Route_;
};
struct RefusedRequest {
  HttpResponse Response_;
  Error Reason_;
};
using CallerRequest = std::variant<SubmitRequest, CancelRequest, StateRequest,
                                   WaitingRequest, RefusedRequest>;

/// Decodes requests of callers and encodes the responses to them.
class CallerCodec {
public:
  virtual ~CallerCodec() = default;
  /// Config is null until the first version is known.
  virtual CallerRequest decode(HttpRequest &&Request,
                               const DispatchConfig *Config) const = 0;
  virtual HttpResponse answer(const AnswerJob &A) const = 0;
  virtual HttpResponse cancelled(bool WasLive) const = 0;
  virtual HttpResponse state(bool Live, bool Running) const = 0;
  virtual HttpResponse waiting(std::size_t Jobs) const = 0;
};

/// Decodes the text of a configuration. Error code: bad_config.
class ConfigCodec {
public:
  virtual ~ConfigCodec() = default;
  virtual Result<DispatchConfig> decode(const std::string &Text) const = 0;
};

/// The incarnation of the endpoint with this id ends.
struct EndpointWithdrawn {
  std::string Id_;
};
using Announcement =
    std::variant<EndpointIncarnation, EndpointWithdrawn, Error>;

/// Decodes what the endpoint beside an agent announces about itself.
class AnnouncementCodec {
public:
  virtual ~AnnouncementCodec() = default;
  virtual Announcement decode(const HttpRequest &Request) const = 0;
};

/// Streams of the platform's store that the product uses. Each retains the
/// newest record of each key.
enum class StoreStream : std::uint8_t {
  /// Records of the operators; this product only reads them.
  Operators,
  /// Addresses of entries by name.
  Entries,
  /// The present incarnation of the endpoint by the name of its agent.
  Endpoints
};

struct StoreRecord {
  std::string Key_;
  std::string Value_;
};

struct StoreRecords {
  std::vector<StoreRecord> Records_;
  /// Offset up to which the stream was read, and from which to read on. Nothing
  /// that was written before it is missing.
  std::uint64_t Next_ = 0;
  SkippedItems Skipped_;
  /// End of the stream when it was read. Above Next_ if one answer did not hold
  /// all records.
  std::uint64_t End_ = 0;
};

/// Client of the platform's record store. Callbacks never run inside a call.
/// Errors are those of HttpClient, and refused (status in Detail_), deleted
/// (Offset is no longer retained), bad_response, too_large.
class RecordStore {
public:
  RecordStore() = default;
  RecordStore(const RecordStore &) = delete;
  RecordStore &operator=(const RecordStore &) = delete;
  virtual ~RecordStore() = default;
  using RecordsCallback = std::function<void(const Result<StoreRecords> &)>;

  /// Reads the newest record of each key; fails if one of them may be missing.
  virtual void newest(StoreStream Stream, Duration Timeout,
                      RecordsCallback Done) = 0;
  /// Reads records from Offset on, as many as one answer holds; waits up to
  /// Wait for the first of them.
  virtual void follow(StoreStream Stream, std::uint64_t Offset, Duration Wait,
                      Duration Timeout, RecordsCallback Done) = 0;
  virtual void put(StoreStream Stream, const StoreRecord &Record,
                   Duration Timeout,
                   std::function<void(const Result<Done> &)> Callback) = 0;
  /// Key of the configuration in the operators' stream.
  virtual const std::string &configKey() const = 0;
  /// Prefix of the keys of cordoned zones in the operators' stream; the name of
  /// the zone follows.
  virtual const std::string &cordonKeyPrefix() const = 0;
};

} // namespace chivelanding

#endif
