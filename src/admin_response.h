#ifndef CHIVELANDING_ADMIN_RESPONSE_H
#define CHIVELANDING_ADMIN_RESPONSE_H

#include "admin_api.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// Responses and audit events that the parts of the administration API share.
HttpResponse adminResponse(unsigned Status, const nlohmann::json &Body);
HttpResponse adminRefusal(unsigned Status, const std::string &Code,
                          const std::string &Detail);
/// Status 422 with every problem.
HttpResponse invalidSetResponse(const std::vector<ConfigProblem> &Problems);
Event makeActionEvent(const std::string &Operator, const ChangeRecord &Change,
                      const char *Outcome);

/// The outcome of the accepted change with the id of Change, if the history has
/// one; 409 if that change has another author or, for a cordon, another reason.
std::optional<AdminResult> findRepeated(const ConfigFollower &Follower,
                                        const ChangeRecord &Change,
                                        bool IsCordon);

/// Status 403 and its audit event, unless the operator may publish. Operator is
/// null if the set has no such operator.
std::optional<AdminResult> checkPublisher(const ConfigObject *Operator,
                                          const ChangeRecord &Change);

/// Checks that come before any publication: the operator's role, the log, and
/// the id. Returns the response if one of them decides: 403, 503, 409, or the
/// outcome of the accepted change with this id.
std::optional<AdminResult> checkPublication(const AdminView &View,
                                            const ConfigObject &Operator,
                                            const ChangeRecord &Change,
                                            bool IsCordon);

} // namespace chivelanding

#endif
