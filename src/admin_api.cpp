#include "admin_api.h"
#include "admin_cordons.h"
#include "admin_response.h"
#include "api.h"
#include "bearer.h"
#include "config_check.h"
#include "config_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivelanding {

namespace {

using Json = nlohmann::json;

/// One request of an authenticated operator.
struct AdminCall {
  const HttpRequest &Request_;
  const AdminView &View_;
  const ConfigObject &Operator_;
  const std::string &NewId_;
  Target Target_;
};

AdminResult showStatus(const AdminCall &Call) {
  const AdminView &V = Call.View_;
  const ConfigVersion Version = V.InForce_->Version_;
  Json Processes = Json::array();
  for (const ProcessVersion &P : V.Processes_)
    Processes.push_back({{"process", P.Process_},
                         {"role", P.Role_},
                         {"version", P.Version_.value()}});
  const auto InForce =
      std::count_if(V.Processes_.begin(), V.Processes_.end(),
                    [&](const auto &P) { return P.Version_ >= Version; });
  Json Body = {{"version", Version.value()},
               {"hash", toHex(V.InForce_->Hash_)},
               {"in_force", InForce},
               {"of", V.Processes_.size()},
               {"processes", Processes}};
  if (V.Follower_) {
    const ConfigStateMachine &P = V.Follower_->stateMachine();
    Body["log"] = {
        {"reachable", V.Follower_->reachable()},
        {"known", P.isStateKnown()},
        {"needs_update", P.stalled()},
        {"next_offset", P.nextOffset()},
        {"corrupt_records", P.counts().Corrupt_},
        {"foreign_records", P.counts().Foreign_},
        {"refused_changes", P.counts().Stale_ + P.counts().Invalid_}};
  }
  return {adminResponse(200, Body), std::nullopt};
}

AdminResult showConfig(const AdminCall &Call) {
  const AcceptedPtr &State = Call.View_.InForce_;
  return {adminResponse(200, {{"version", State->Version_.value()},
                              {"hash", toHex(State->Hash_)},
                              {"toml", State->Toml_}}),
          std::nullopt};
}

AdminResult showHistory(const AdminCall &Call) {
  Json List = Json::array();
  if (Call.View_.Follower_)
    for (const EvaluatedRecord &J :
         Call.View_.Follower_->stateMachine().history())
      List.push_back(evaluatedRecordJson(J));
  return {
      adminResponse(200, {{"changes", List},
                          {"in_force", Call.View_.InForce_->Version_.value()}}),
      std::nullopt};
}

AdminResult checkSet(const AdminCall &Call) {
  const ParsedConfig Config = checkConfig({{"request", Call.Request_.Body_}});
  if (!Config.Problems_.empty())
    return {invalidSetResponse(Config.Problems_), std::nullopt};
  return {adminResponse(
              200, {{"valid", true},
                    {"objects", Config.Set_.Objects_.size()},
                    {"base", Call.View_.InForce_->Version_.value()},
                    {"changes", changesJson(diffSets(Call.View_.InForce_->Set_,
                                                     Config.Set_))}}),
          std::nullopt};
}

// The author is the operator whose token was used; an author in the body is
// ignored.
Result<ChangeRecord> parseChange(const AdminCall &Call) {
  const Json Body = Json::parse(Call.Request_.Body_, nullptr, false);
  const auto MakeError = [](const char *Detail) {
    return Error{"bad_change", "read request", "", Detail};
  };
  if (!Body.is_object())
    return MakeError("the body is not a JSON object");
  ChangeRecord Change;
  Change.Author_ = Call.Operator_.Name_;
  const auto Base = Body.find("base");
  const auto Reason = Body.find("reason");
  const auto Toml = Body.find("toml");
  const auto Id = Body.find("id");
  if (Base == Body.end() || !Base->is_number_unsigned())
    return MakeError(
        "base, the version on which the change is based, is missing");
  if (Reason == Body.end() || !Reason->is_string() ||
      Reason->get_ref<const std::string &>().empty())
    return MakeError("reason is missing");
  if (Toml == Body.end() || !Toml->is_string())
    return MakeError("toml, the whole set, is missing");
  if (Id != Body.end() &&
      (!Id->is_string() || Id->get_ref<const std::string &>().empty()))
    return MakeError("id is not a text");
  Change.Base_ = ConfigVersion(Base->get<std::uint64_t>());
  Change.Reason_ = Reason->get<std::string>();
  Change.Toml_ = Toml->get<std::string>();
  Change.Id_ = Id == Body.end() ? Call.NewId_ : Id->get<std::string>();
  return Change;
}

AdminResult publishChange(const AdminCall &Call) {
  Result<ChangeRecord> Parsed = parseChange(Call);
  if (!ok(Parsed))
    return {adminRefusal(400, error(Parsed).Code_, error(Parsed).Detail_),
            std::nullopt};
  ChangeRecord &Change = value(Parsed);
  if (auto Decided =
          checkPublication(Call.View_, Call.Operator_, Change, false))
    return std::move(*Decided);
  const ParsedConfig Config = checkConfig({{"request", Change.Toml_}});
  if (!Config.Problems_.empty())
    return {invalidSetResponse(Config.Problems_),
            makeActionEvent(Call.Operator_.Name_, Change, "refused_invalid")};
  Change.Toml_ = Config.Set_.toml();
  Event Started = makeActionEvent(Call.Operator_.Name_, Change, "started");
  return {AdminPublish{std::move(Change), std::nullopt, false},
          std::move(Started)};
}

struct Route {
  const char *Method_;
  const char *Path_;
  AdminResult (*Handle_)(const AdminCall &Call);
};
constexpr Route Routes[] = {{"GET", "status", showStatus},
                            {"GET", "current", showConfig},
                            {"GET", "history", showHistory},
                            {"POST", "check", checkSet},
                            {"POST", "changes", publishChange}};

AdminResult route(const AdminCall &Call) {
  const auto &Path = Call.Target_.Path_;
  if (Path.size() == 3 && Path[0] == "v1" && Path[1] == "config") {
    bool IsKnown = false;
    for (const Route &R : Routes) {
      if (Path[2] != R.Path_)
        continue;
      if (Call.Request_.Method_ == R.Method_)
        return R.Handle_(Call);
      IsKnown = true;
    }
    if (IsKnown)
      return {
          adminRefusal(405, "method_not_allowed", "use the documented method"),
          std::nullopt};
  }
  if (Path.size() >= 2 && Path[0] == "v1" && Path[1] == "cordons")
    return handleCordonRequest(Call.Request_, Path, Call.View_, Call.Operator_,
                               Call.NewId_);
  return {adminRefusal(404, "not_found", "see docs/administration.md"),
          std::nullopt};
}

} // namespace

AdminResult handleAdminRequest(const HttpRequest &Request,
                               const AdminView &View,
                               const std::string &NewId) {
  const ConfigObject *Operator =
      findByToken(View.InForce_->Set_, ObjectType::Operator, Request);
  if (!Operator)
    return {
        adminRefusal(401, "unauthorized", "a valid bearer token is required"),
        std::nullopt};
  const auto T = Target::parse(Request.Target_);
  if (!ok(T))
    return {adminRefusal(400, error(T).Code_, error(T).Detail_), std::nullopt};
  return route({Request, View, *Operator, NewId, value(T)});
}

namespace {

const char *outcomeText(const PublishEnded &End, bool IsUnchanged) {
  return IsUnchanged && End.Outcome_ == PublishOutcome::Accepted
             ? "unchanged"
             : publishOutcomeName(End.Outcome_);
}

} // namespace

HttpResponse makePublishResponse(const PublishEnded &End, bool IsUnchanged) {
  static constexpr unsigned Statuses[] = {200, 409, 422, 503, 504};
  return adminResponse(Statuses[static_cast<std::size_t>(End.Outcome_)],
                       {{"outcome", outcomeText(End, IsUnchanged)},
                        {"id", End.Id_},
                        {"version", End.Version_.value()},
                        {"detail", End.Detail_}});
}

Event makePublishEvent(const PublishEnded &End, bool IsUnchanged) {
  return {&events::AdminAction,
          {{"action", "publish"},
           {"id", End.Id_},
           {"outcome", outcomeText(End, IsUnchanged)},
           {"version", std::to_string(End.Version_.value())}}};
}

} // namespace chivelanding
