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
// refusal. Another edit with this id must not be answered as accepted; the
// reason of a change of a cordon states the whole edit.
std::optional<AdminResult> findRepeated(const ConfigFollower &Follower,
                                        const ChangeRecord &Change,
                                        bool IsCordon) {
  for (const EvaluatedRecord &Known : Follower.stateMachine().history()) {
    if (Known.Id_ != Change.Id_ || Known.Outcome_ != RecordOutcome::Accepted)
      continue;
    if (Known.Author_ != Change.Author_ ||
        (IsCordon && Known.Reason_ != Change.Reason_))
      return AdminResult{
          adminRefusal(409, "id_used", "another change has this id"),
          makeActionEvent(Change.Author_, Change, "id_used")};
    PublishEnded End;
    End.Id_ = Change.Id_;
    End.Outcome_ = PublishOutcome::Accepted;
    End.Version_ = Known.Version_;
    Event Repeated = makeActionEvent(Change.Author_, Change, "repeated");
    Repeated.Fields_.push_back(
        {"version", std::to_string(Known.Version_.value())});
    return AdminResult{makePublishResponse(End), std::move(Repeated)};
  }
  return std::nullopt;
}

std::optional<AdminResult> checkPublisher(const ConfigObject *Operator,
                                          const ChangeRecord &Change) {
  if (Operator && Operator->text("role") == "publisher")
    return std::nullopt;
  return AdminResult{adminRefusal(403, "forbidden",
                                  Operator ? "the operator's role is reader"
                                           : "the operator was removed"),
                     makeActionEvent(Change.Author_, Change, "forbidden")};
}

std::optional<AdminResult> checkPublication(const AdminView &View,
                                            const ConfigObject &Operator,
                                            const ChangeRecord &Change,
                                            bool IsCordon) {
  if (auto Forbidden = checkPublisher(&Operator, Change))
    return Forbidden;
  if (!View.Follower_)
    return AdminResult{adminRefusal(503, "no_log",
                                    "this entry does not follow the log; use "
                                    "another or chivelanding publish"),
                       makeActionEvent(Operator.Name_, Change, "no_log")};
  return findRepeated(*View.Follower_, Change, IsCordon);
}

} // namespace chivelanding
