#include "config_json.h"

namespace chivelanding {

namespace {

using Json = nlohmann::json;

Json fieldJson(const FieldChange &F) {
  static constexpr const char *Effects[] = {"neutral", "tightens", "loosens"};
  return {{"key", F.Key_},
          {"before", F.Before_},
          {"after", F.After_},
          {"effect", Effects[static_cast<std::size_t>(F.Effect_)]}};
}

} // namespace

Json problemsJson(const std::vector<ConfigProblem> &Problems) {
  Json List = Json::array();
  for (const ConfigProblem &P : Problems)
    List.push_back({{"file", P.File_},
                    {"line", P.Line_},
                    {"object", P.Object_},
                    {"problem", P.Problem_},
                    {"remedy", P.Remedy_}});
  return List;
}

Json changesJson(const std::vector<ObjectChange> &Changes) {
  Json List = Json::array();
  for (const ObjectChange &C : Changes) {
    Json Fields = Json::array();
    for (const FieldChange &F : C.Fields_)
      Fields.push_back(fieldJson(F));
    List.push_back({{"change", changeKindName(C.Kind_)},
                    {"type", objectTypeName(C.Type_)},
                    {"name", C.Name_},
                    {"fields", Fields}});
  }
  return List;
}

Json evaluatedRecordJson(const EvaluatedRecord &J) {
  return {{"offset", J.Offset_},
          {"judgement", recordOutcomeName(J.Outcome_)},
          {"base", J.Base_.value()},
          {"version", J.Version_.value()},
          {"author", J.Author_},
          {"reason", J.Reason_},
          {"id", J.Id_},
          {"detail", J.Detail_},
          {"time_ms", J.UnixMs_ == 0 ? Json() : Json(J.UnixMs_)}};
}

} // namespace chivelanding
