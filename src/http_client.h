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

/// Identifies one call of an HttpClient.
using CallId = Number<struct CallTag>;
using HttpCallback = std::function<void(Result<HttpResponse>)>;

/// HTTP/1.1 client on the given io_context. Reuses idle connections per address
/// and opens a connection for each concurrent call.
class HttpClient {
public:
  /// A response with a body over MaxBodyBytes fails with bad_response.
  HttpClient(boost::asio::io_context &Io, std::uint64_t MaxBodyBytes);
  ~HttpClient();

  /// Sends the request once, without retries. Error codes: connect_failed
  /// (nothing was sent), connection_lost, timeout, cancelled, bad_response. The
  /// callback never runs inside send().
  CallId send(const SocketAddress &To, HttpRequest Request, Duration Timeout,
              HttpCallback Callback);
  /// Closes the connection of a call, which then fails with code cancelled.
  void cancel(CallId Call);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace chivelanding

#endif
