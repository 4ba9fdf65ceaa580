#ifndef CHIVELANDING_ADMIN_SERVICE_H
#define CHIVELANDING_ADMIN_SERVICE_H

#include "config_service.h"
#include "http_server.h"

namespace chivelanding {

/// Answers requests of operators about the configuration of an entry.
class AdminService {
public:
  AdminService(ConfigService &Config, EventLog &Log)
      : Config_(Config), Log_(Log) {}

  void onRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);

private:
  ConfigService &Config_;
  EventLog &Log_;
};

} // namespace chivelanding

#endif
