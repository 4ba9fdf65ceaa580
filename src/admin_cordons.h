#ifndef CHIVELANDING_ADMIN_CORDONS_H
#define CHIVELANDING_ADMIN_CORDONS_H

#include "admin_api.h"

#include <string>
#include <vector>

namespace chivelanding {

/// Handles an operator's request to /v1/cordons, whose path has been split.
/// Statuses besides those of a change: 400 malformed body, 404 unknown path,
/// 405 wrong method.
AdminResult handleCordonRequest(const HttpRequest &Request,
                                const std::vector<std::string> &Path,
                                const AdminView &View,
                                const ConfigObject &Operator,
                                const std::string &NewId);

/// Applies the edit to the version to which View.Follower_ has read: the change
/// to publish on it, or the response and its audit event if an earlier attempt
/// was accepted, the author may not publish in that version, or the set would
/// be invalid. Follower_ must be set.
AdminResult applyCordonEdit(const CordonEdit &Edit, const AdminView &View);

} // namespace chivelanding

#endif
