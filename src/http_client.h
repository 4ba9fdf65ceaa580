#ifndef CHIVELANDING_HTTP_CLIENT_H
#define CHIVELANDING_HTTP_CLIENT_H

#include "http.h"
#include "result.h"
#include "settings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace chivelanding {

/// Number of one call of an HttpClient.
using CallId = Number<struct CallTag>;
using HttpCallback = std::function<void(Result<HttpResponse>)>;

/// HTTP/1.1 client on the caller's io_context. It keeps idle connections per
/// address and opens as many as there are calls at the same time.
class HttpClient {
public:
  /// Responses with larger bodies are errors.
  HttpClient(boost::asio::io_context &Io, std::uint64_t MaxBodyBytes);
  ~HttpClient();

  /// Sends once, never again by itself. Error codes: connect_failed (nothing
  /// was sent), connection_lost, timeout, cancelled, bad_response. The callback
  /// never runs inside send().
  CallId send(const SocketAddress &To, HttpRequest Request, Duration Timeout,
              HttpCallback Callback);
  /// Ends a call with code cancelled and closes its connection.
  void cancel(CallId Call);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
