#ifndef CHIVELANDING_ADMIN_SERVICE_H
#define CHIVELANDING_ADMIN_SERVICE_H

#include "config_service.h"
#include "http_server.h"

namespace chivelanding {

/// The listener of the administration API of an entry.
class AdminService : public Service {
public:
  AdminService(boost::asio::io_context &Io, SocketAddress Listen,
               ConfigService &Config, EventLog &Log);

  /// Error code: listen_failed. Does nothing if the address has port 0.
  Result<Done> start() override;
  void stop() override { Http_.close(); }

private:
  void onRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);

  SocketAddress Listen_;
  ConfigService &Config_;
  EventLog &Log_;
  HttpServer Http_;
};

} // namespace chivelanding

#endif
