#ifndef CHIVELANDING_LOG_TRANSPORT_H
#define CHIVELANDING_LOG_TRANSPORT_H

#include "http_client.h"
#include "log_client.h"
#include "settings.h"

namespace chivelanding {

/// Sends requests to the log with an HttpClient.
class HttpLogTransport : public LogTransport {
public:
  HttpLogTransport(boost::asio::io_context &Io, SocketAddress Log);

  void send(HttpRequest Request, Duration Timeout, Callback Done) override;

private:
  HttpClient Client_;
  SocketAddress Log_;
};

} // namespace chivelanding

#endif
