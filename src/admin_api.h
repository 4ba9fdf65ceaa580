#ifndef CHIVELANDING_ADMIN_API_H
#define CHIVELANDING_ADMIN_API_H

#include "config_follower.h"
#include "events.h"
#include "http.h"

#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// A process and the configuration version that it last reported.
struct ProcessVersion {
  std::string Process_;
  const char *Role_ = "agent";
  ConfigVersion Version_;
};

/// State of the process that the administration API shows.
struct AdminView {
  AcceptedPtr InForce_;
  /// This process and every peer that it is connected to.
  std::vector<ProcessVersion> Processes_;
  /// Null if the process does not follow the log.
  const ConfigFollower *Follower_ = nullptr;
};

/// A change to publish. The response is sent when the publication has ended.
struct AdminPublish {
  ChangeRecord Change_;
};

/// The response, or the change whose outcome determines the response, and the
/// event for the audit log.
struct AdminResult {
  std::variant<HttpResponse, AdminPublish> Action_;
  std::optional<Event> Event_;
};

/// Maps a request to a response or a publication. Every request needs the
/// bearer token of an operator in the configuration in force; without it the
/// response is the same 401 for every method and path. NewId is the id of a
/// change whose request gives none.
/// Statuses: 400 malformed, 401, 403 role reader, 404, 405, 409 stale base, 422
/// invalid set.
AdminResult handleAdminRequest(const HttpRequest &Request,
                               const AdminView &View, const std::string &NewId);

/// The response to a change that has ended. Statuses: 200 accepted, 409 stale,
/// 422 invalid, 503 not published, 504 unknown.
HttpResponse makePublishResponse(const PublishEnded &End);
/// The event of a change that has ended.
Event makePublishEvent(const PublishEnded &End);

} // namespace chivelanding

#endif
