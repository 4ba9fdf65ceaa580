#ifndef CHIVELANDING_LOG_CLIENT_H
#define CHIVELANDING_LOG_CLIENT_H

#include "config_follower.h"
#include "http.h"
#include "result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace chivelanding {

/// Sends requests to one address. The callback is called exactly once, after
/// send has returned. Error codes: connect_failed (nothing of the request was
/// sent), timeout, connection_lost, cancelled, bad_response.
class LogTransport {
public:
  virtual ~LogTransport() = default;
  using Callback = std::function<void(Result<HttpResponse>)>;
  virtual void send(HttpRequest Request, Duration Timeout, Callback Done) = 0;
};

/// True if the failed append certainly has not written the record and will not.
bool isNotWritten(const Error &E);

/// Reads and appends records of one stream of the platform's log.
class LogClient {
public:
  LogClient(LogTransport &Transport, std::string Stream)
      : Transport_(Transport), Stream_(std::move(Stream)) {}

  /// Error codes: those of the transport, rate_limited, log_error (status 4xx
  /// or 5xx), bad_answer.
  void read(const ReadLog &Request,
            const std::function<void(Result<LogBatch>)> &Done);
  /// Returns the offset of the record. Error codes as for read.
  void append(const AppendLog &Request,
              const std::function<void(Result<std::uint64_t>)> &Done);

private:
  LogTransport &Transport_;
  std::string Stream_;
};

} // namespace chivelanding

#endif
