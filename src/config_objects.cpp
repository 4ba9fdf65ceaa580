#include "config_objects.h"

#include <cctype>
#include <iterator>

namespace chivelanding {

namespace {

using Rules = std::vector<FieldRule>;

constexpr bool Required = true;
constexpr bool Optional = false;
// Above the size of any expected deployment; a larger number is a typing error.
constexpr std::int64_t MaxTasks = 100'000'000;
// One hour. Tasks last seconds, so a longer time means a wrong unit.
constexpr std::int64_t MaxTimeUs = 3'600'000'000;
// 10 million starts per second.
constexpr std::int64_t MaxRatePerMinute = 600'000'000;
constexpr std::int64_t MaxWeight = 1000;
constexpr std::int64_t MaxClass = 15;

FieldRule referenceField(const char *Key, bool IsRequired, ObjectType Target) {
  return {Key, FieldForm::Reference, IsRequired, 0, 0, Target};
}
FieldRule boundField(const char *Key, FieldForm Form, std::int64_t Max) {
  return {Key, Form, Optional, 1, Max, ObjectType::Team, BoundKind::UpperBound};
}

const Rules TeamRules = {
    {"token_sha256", FieldForm::Digest},
    referenceField("quota", Required, ObjectType::Quota),
    referenceField("priority", Optional, ObjectType::Priority),
    {"weight", FieldForm::Count, Optional, 1, MaxWeight, ObjectType::Team,
     BoundKind::Guarantee},
    {"contact", FieldForm::Text}};
const Rules QuotaRules = {boundField("running", FieldForm::Count, MaxTasks),
                          boundField("waiting", FieldForm::Count, MaxTasks),
                          boundField("rate", FieldForm::Rate, MaxRatePerMinute),
                          referenceField("parent", Optional, ObjectType::Quota),
                          {"overcommit", FieldForm::Flag}};
const Rules ServiceRules = {
    {"home_region", FieldForm::PlainName, Required},
    referenceField("limit", Optional, ObjectType::Limit),
    {"retry_percent", FieldForm::Count, Optional, 0, 100, ObjectType::Team,
     BoundKind::UpperBound}};
const Rules KindRules = {
    referenceField("service", Required, ObjectType::Service),
    referenceField("priority", Required, ObjectType::Priority),
    {"weight", FieldForm::Count, Optional, 1, MaxWeight, ObjectType::Team,
     BoundKind::Guarantee},
    referenceField("limit", Optional, ObjectType::Limit),
    {"time_hint", FieldForm::Time, Optional, 1, MaxTimeUs},
    boundField("deadline", FieldForm::Time, MaxTimeUs)};
const Rules PriorityRules = {{"class", FieldForm::Count, Required, 0, MaxClass},
                             {"share_percent", FieldForm::Count, Optional, 0,
                              100, ObjectType::Team, BoundKind::Guarantee}};
const Rules LimitRules = {
    boundField("running_max", FieldForm::Count, MaxTasks),
    {"running_min", FieldForm::Count, Optional, 0, MaxTasks, ObjectType::Team,
     BoundKind::Guarantee},
    boundField("waiting_max", FieldForm::Count, MaxTasks),
    boundField("wait_max", FieldForm::Time, MaxTimeUs),
    boundField("rate", FieldForm::Rate, MaxRatePerMinute),
    referenceField("parent", Optional, ObjectType::Limit)};
const Rules OperatorRules = {{"token_sha256", FieldForm::Digest, Required},
                             {"role", FieldForm::OperatorRole, Required},
                             {"contact", FieldForm::Text}};
const Rules CordonRules = {{"zone", FieldForm::PlainName, Required},
                           {"note", FieldForm::Text}};

struct TypeEntry {
  const char *Name_;
  const Rules *Rules_;
};

// Indexed by ObjectType.
const TypeEntry TypeTable[] = {
    {"team", &TeamRules},         {"quota", &QuotaRules},
    {"service", &ServiceRules},   {"kind", &KindRules},
    {"priority", &PriorityRules}, {"limit", &LimitRules},
    {"operator", &OperatorRules}, {"cordon", &CordonRules}};

std::string quote(const std::string &Text) {
  std::string Out = "\"";
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C;
  }
  return Out + "\"";
}

} // namespace

const std::vector<FieldRule> &fieldRules(ObjectType Type) {
  return *TypeTable[static_cast<std::size_t>(Type)].Rules_;
}

const char *objectTypeName(ObjectType Type) {
  return TypeTable[static_cast<std::size_t>(Type)].Name_;
}

const std::vector<ObjectType> &allObjectTypes() {
  static const std::vector<ObjectType> All = [] {
    std::vector<ObjectType> List;
    for (std::size_t I = 0; I < std::size(TypeTable); ++I)
      List.push_back(static_cast<ObjectType>(I));
    return List;
  }();
  return All;
}

std::optional<ObjectType> objectTypeByName(const std::string &Name) {
  for (const ObjectType Type : allObjectTypes())
    if (Name == objectTypeName(Type))
      return Type;
  return std::nullopt;
}

std::optional<std::int64_t> ConfigObject::number(const std::string &Key) const {
  const auto It = Fields_.find(Key);
  if (It == Fields_.end())
    return std::nullopt;
  return It->second.Number_;
}

std::string ConfigObject::text(const std::string &Key) const {
  const auto It = Fields_.find(Key);
  return It == Fields_.end() ? std::string() : It->second.Text_;
}

std::uint32_t ConfigObject::line(const std::string &Key) const {
  const auto It = Fields_.find(Key);
  return It == Fields_.end() ? Line_ : It->second.Line_;
}

std::string ConfigObject::label() const {
  return std::string(objectTypeName(Type_)) + " " + Name_;
}

std::string ConfigObject::toml() const {
  std::string Out = "[[" + std::string(objectTypeName(Type_)) + "]]\n";
  Out += "name = " + quote(Name_) + "\n";
  for (const FieldRule &Rule : fieldRules(Type_)) {
    const auto It = Fields_.find(Rule.Key_);
    if (It == Fields_.end())
      continue;
    const bool IsUnquoted =
        Rule.Form_ == FieldForm::Count || Rule.Form_ == FieldForm::Flag;
    Out += std::string(Rule.Key_) + " = ";
    Out += IsUnquoted ? It->second.Text_ : quote(It->second.Text_);
    Out += '\n';
  }
  return Out;
}

const ConfigObject *ConfigSet::find(ObjectType Type,
                                    const std::string &Name) const {
  const auto It = Objects_.find({Type, Name});
  return It == Objects_.end() ? nullptr : &It->second;
}

std::vector<const ConfigObject *> ConfigSet::all(ObjectType Type) const {
  std::vector<const ConfigObject *> List;
  for (auto It = Objects_.lower_bound({Type, ""});
       It != Objects_.end() && It->first.first == Type; ++It)
    List.push_back(&It->second);
  return List;
}

std::string ConfigSet::toml() const {
  std::string Out;
  for (const auto &[Key, Object] : Objects_) {
    if (!Out.empty())
      Out += '\n';
    Out += Object.toml();
  }
  return Out;
}

std::string ConfigProblem::str() const {
  return File_ + ":" + std::to_string(Line_) + ": " + Object_ + ": " +
         Problem_ + "; " + Remedy_;
}

} // namespace chivelanding
