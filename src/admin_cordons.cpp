#include "admin_cordons.h"
#include "admin_response.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivelanding {

namespace {

using Json = nlohmann::json;

// The newest change that added the cordon to its zone; null if the history no
// longer has it.
const EvaluatedRecord *findOrigin(const AdminView &View,
                                  const std::string &Name) {
  if (!View.Follower_)
    return nullptr;
  const auto &History = View.Follower_->stateMachine().history();
  const auto It = std::find_if(
      History.rbegin(), History.rend(), [&](const EvaluatedRecord &Change) {
        return std::find(Change.Cordons_.begin(), Change.Cordons_.end(),
                         Name) != Change.Cordons_.end();
      });
  return It == History.rend() ? nullptr : &*It;
}

AdminResult listCordons(const AdminView &View) {
  Json List = Json::array();
  for (const ConfigObject *Cordon :
       View.InForce_->Set_.all(ObjectType::Cordon)) {
    Json Item = {{"name", Cordon->Name_},        {"zone", Cordon->text("zone")},
                 {"note", Cordon->text("note")}, {"author", nullptr},
                 {"time_ms", nullptr},           {"version", nullptr}};
    if (const EvaluatedRecord *Origin = findOrigin(View, Cordon->Name_)) {
      Item["author"] = Origin->Author_;
      Item["version"] = Origin->Version_.value();
      if (Origin->UnixMs_ != 0)
        Item["time_ms"] = Origin->UnixMs_;
    }
    List.push_back(std::move(Item));
  }
  return {adminResponse(200, {{"cordons", List},
                              {"in_force", View.InForce_->Version_.value()}}),
          std::nullopt};
}

// A body is optional for DELETE, which needs no field.
Result<CordonEdit> parseEdit(const HttpRequest &Request, CordonEdit Edit) {
  const auto MakeError = [](const std::string &Detail) {
    return Error{"bad_cordon", "read request", "", Detail};
  };
  if (Edit.Lifts_ && Request.Body_.empty())
    return Edit;
  const Json Body = Json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return MakeError("the body is not a JSON object");
  const auto Read = [&Body](const char *Key, std::string &Text) {
    const auto It = Body.find(Key);
    if (It == Body.end())
      return true;
    if (!It->is_string())
      return false;
    Text = It->get<std::string>();
    return true;
  };
  if (!Read("id", Edit.Id_) || Edit.Id_.empty())
    return MakeError("id is not a text");
  if (Edit.Lifts_)
    return Edit;
  if (!Read("zone", Edit.Zone_) || Edit.Zone_.empty())
    return MakeError("zone is missing");
  if (!Read("note", Edit.Note_))
    return MakeError("note is not a text");
  const bool HasControl =
      std::any_of(Edit.Note_.begin(), Edit.Note_.end(), [](char C) {
        return static_cast<unsigned char>(C) < 0x20 || C == 0x7f;
      });
  if (HasControl)
    return MakeError("note has control characters");
  return Edit;
}

AdminResult changeCordon(const HttpRequest &Request, const AdminView &View,
                         const ConfigObject &Operator, CordonEdit Requested) {
  const Result<CordonEdit> Parsed = parseEdit(Request, std::move(Requested));
  if (!ok(Parsed))
    return {adminRefusal(400, error(Parsed).Code_, error(Parsed).Detail_),
            std::nullopt};
  const CordonEdit &Edit = value(Parsed);
  const ChangeRecord Change = prepareCordon(Edit, *View.InForce_).Change_;
  if (auto Decided = checkPublication(View, Operator, Change, true))
    return std::move(*Decided);
  AdminResult Result = applyCordonEdit(Edit, View);
  if (!Result.Event_)
    Result.Event_ = makeActionEvent(Operator.Name_, Change, "started");
  return Result;
}

} // namespace

// Another operator may have reverted an earlier attempt that was accepted, so
// it is looked for before the edit is applied once more. The change that made
// the earlier attempt stale may have withdrawn the author's right. Of a process
// that restarts, the follower may be behind the version in force, which peers
// have sent; a change that it prepares on its older state ends as stale.
AdminResult applyCordonEdit(const CordonEdit &Edit, const AdminView &View) {
  const AcceptedConfig &State = *View.Follower_->stateMachine().state();
  const AcceptedConfig &Newest =
      State.Version_ < View.InForce_->Version_ ? *View.InForce_ : State;
  PreparedCordon Prepared = prepareCordon(Edit, State);
  if (auto Repeated = findRepeated(*View.Follower_, Prepared.Change_, true))
    return std::move(*Repeated);
  if (auto Forbidden =
          checkPublisher(Newest.Set_.find(ObjectType::Operator, Edit.Author_),
                         Prepared.Change_))
    return std::move(*Forbidden);
  if (!Prepared.Problems_.empty())
    return {invalidSetResponse(Prepared.Problems_),
            makeActionEvent(Edit.Author_, Prepared.Change_, "refused_invalid")};
  return {
      AdminPublish{std::move(Prepared.Change_), Edit, Prepared.IsUnchanged_},
      std::nullopt};
}

AdminResult handleCordonRequest(const HttpRequest &Request,
                                const std::vector<std::string> &Path,
                                const AdminView &View,
                                const ConfigObject &Operator,
                                const std::string &NewId) {
  if (Path.size() > 3)
    return {adminRefusal(404, "not_found", "see docs/administration.md"),
            std::nullopt};
  const bool IsList = Path.size() == 2;
  if (IsList && Request.Method_ == "GET")
    return listCordons(View);
  const bool IsChange = Request.Method_ == "PUT" || Request.Method_ == "DELETE";
  if (IsList || !IsChange)
    return {adminRefusal(405, "method_not_allowed",
                         IsList ? "use GET" : "use PUT or DELETE"),
            std::nullopt};
  CordonEdit Edit;
  Edit.Lifts_ = Request.Method_ == "DELETE";
  Edit.Name_ = Path[2];
  Edit.Author_ = Operator.Name_;
  Edit.Id_ = NewId;
  return changeCordon(Request, View, Operator, std::move(Edit));
}

} // namespace chivelanding
