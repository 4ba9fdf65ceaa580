#ifndef CHIVELANDING_ADMIN_API_H
#define CHIVELANDING_ADMIN_API_H

#include "config_follower.h"
#include "cordon_edit.h"
#include "events.h"
#include "http.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// A process and the configuration version that it last reported.
struct ProcessVersion {
  std::string Process_;
  const char *Role_ = "agent";
  ConfigVersion Version_;
};

/// Process state that the administration API reports.
struct AdminView {
  AcceptedPtr InForce_;
  /// This process and every peer that it is connected to.
  std::vector<ProcessVersion> Processes_;
  /// Null if the process does not follow the configuration log.
  const ConfigFollower *Follower_ = nullptr;
};

/// A change to publish. The caller of handleAdminRequest publishes it and sends
/// the response when the publication has ended.
struct AdminPublish {
  ChangeRecord Change_;
  /// Set if the change is one of a cordon. It is then made again on the version
  /// in force if its base is stale.
  std::optional<CordonEdit> Edit_;
  /// The change would not alter the set: nothing is published, but the base is
  /// confirmed with the log.
  bool IsUnchanged_ = false;
};

/// Action_ is the response, or the change to publish, whose outcome determines
/// the response. Event_ is the event for the audit log, if there is one.
struct AdminResult {
  std::variant<HttpResponse, AdminPublish> Action_;
  std::optional<Event> Event_;
};

/// Maps a request to a response or a publication. Every request needs the
/// bearer token of an operator in the configuration in force; without it the
/// response is the same 401 for every method and path. A change whose
/// request contains no id gets NewId.
/// Statuses: 200, 400 malformed target or body, 401 no operator's token, 403
/// the operator's role is reader, 404 unknown path, 405 wrong method, 422
/// invalid set, 503 the process does not follow the configuration log. A stale
/// base is found by the publication: see makePublishResponse.
AdminResult handleAdminRequest(const HttpRequest &Request,
                               const AdminView &View, const std::string &NewId);

/// The response to a change whose publication has ended. Statuses: 200
/// accepted, 409 stale, 422 invalid, 503 not published, 504 unknown. The
/// outcome of an accepted change that altered nothing is "unchanged".
HttpResponse makePublishResponse(const PublishEnded &End,
                                 bool IsUnchanged = false);
/// The audit event of a change whose publication has ended.
Event makePublishEvent(const PublishEnded &End, bool IsUnchanged = false);

} // namespace chivelanding

#endif
