#ifndef CHIVELANDING_ADMIN_PUBLISHER_H
#define CHIVELANDING_ADMIN_PUBLISHER_H

#include "admin_api.h"
#include "config_service.h"
#include "http_server.h"
#include "log.h"

#include <cstdint>

namespace chivelanding {

/// Answers the requests of the administration API and carries out their
/// publications. Must outlive the publications that Config has pending.
class AdminPublisher {
public:
  AdminPublisher(ConfigService &Config, EventLog &Log, bool IsLoopback)
      : Config_(Config), Log_(Log), IsLoopback_(IsLoopback) {}

  /// True if the request may read the process's state or, with Changes, change
  /// it. IsLoopback of the constructor tells where the listener is.
  bool mayAdminister(const HttpRequest &Request, bool Changes) const;
  void onRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);

private:
  void publish(AdminPublish Publish, std::uint32_t Attempt,
               const HttpReplyPtr &Reply);
  void onEnded(const AdminPublish &Publish, const PublishEnded &End,
               std::uint32_t Attempt, const HttpReplyPtr &Reply);

  ConfigService &Config_;
  EventLog &Log_;
  bool IsLoopback_;
};

} // namespace chivelanding

#endif
