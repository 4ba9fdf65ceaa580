#include "admin_response.h"
#include "config_json.h"

namespace chivelanding {

namespace {

using Json = nlohmann::json;

} // namespace

HttpResponse adminResponse(unsigned Status, const Json &Body) {
  HttpResponse R;
  R.Status_ = Status;
  R.Body_ = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return R;
}

HttpResponse adminRefusal(unsigned Status, const std::string &Code,
                          const std::string &Detail) {
  return adminResponse(Status, {{"code", Code}, {"detail", Detail}});
}

HttpResponse invalidSetResponse(const std::vector<ConfigProblem> &Problems) {
  return adminResponse(422, {{"code", "invalid_set"},
                             {"valid", false},
                             {"problems", problemsJson(Problems)}});
}

Event makeActionEvent(const std::string &Operator, const ChangeRecord &Change,
                      const char *Outcome) {
  return {&events::AdminAction,
          {{"operator", Operator},
           {"action", "publish"},
           {"id", Change.Id_},
           {"base", std::to_string(Change.Base_.value())},
           {"reason", Change.Reason_},
           {"outcome", Outcome}}};
}

// If the answer to a change was lost, the operator sends the request again. The
// repeated request gets the outcome of the first instead of a stale-base
// refusal.
std::optional<PublishEnded> findAcceptedChange(const ConfigFollower &Follower,
                                               const std::string &Id) {
  for (const EvaluatedRecord &J : Follower.stateMachine().history()) {
    if (J.Id_ != Id || J.Outcome_ != RecordOutcome::Accepted)
      continue;
    PublishEnded End;
    End.Id_ = Id;
    End.Outcome_ = PublishOutcome::Accepted;
    End.Version_ = J.Version_;
    return End;
  }
  return std::nullopt;
}

std::optional<AdminResult> checkPublication(const AdminView &View,
                                            const ConfigObject &Operator,
                                            const ChangeRecord &Change) {
  const auto Decide = [&](HttpResponse Response, const char *Outcome) {
    return AdminResult{std::move(Response),
                       makeActionEvent(Operator.Name_, Change, Outcome)};
  };
  if (Operator.text("role") != "publisher")
    return Decide(
        adminRefusal(403, "forbidden", "the operator's role is reader"),
        "forbidden");
  if (!View.Follower_)
    return Decide(adminRefusal(503, "no_log",
                               "this entry does not follow the log; use "
                               "another or chivelanding publish"),
                  "no_log");
  if (const auto Earlier = findAcceptedChange(*View.Follower_, Change.Id_))
    return Decide(makePublishResponse(*Earlier), "repeated");
  return std::nullopt;
}

} // namespace chivelanding
