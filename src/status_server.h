#ifndef CHIVELANDING_STATUS_SERVER_H
#define CHIVELANDING_STATUS_SERVER_H

#include "http_server.h"
#include "metrics.h"

#include <functional>

namespace chivelanding {

/// HTTP listener for the load balancer and for metrics: /ready and /readyz (200
/// or 503), /healthz and /metrics.
class StatusServer {
public:
  StatusServer(boost::asio::io_context &Io, std::function<bool()> IsReady,
               std::function<HttpResponse()> RenderMetrics,
               std::uint32_t MaxConnections);

  void onDrop(DropHandler Handler) { Server_.onDrop(std::move(Handler)); }
  /// Error code: listen_failed.
  Result<Done> listen(const SocketAddress &Address);
  void close() { Server_.close(); }

private:
  void answer(const HttpRequest &Request, const HttpReplyPtr &Reply) const;

  std::function<bool()> IsReady_;
  std::function<HttpResponse()> RenderMetrics_;
  HttpServer Server_;
};

} // namespace chivelanding

#endif
