#include "config_check.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace chivelanding {

namespace {

/// Checks the rules between fields and between objects of a set.
class SetChecker {
public:
  explicit SetChecker(ParsedConfig &Config) : Config_(Config) {}

  void run();

private:
  using Object = ConfigObject;
  void addProblem(const Object &O, const std::string &Key,
                  const std::string &Problem, const std::string &Remedy) {
    Config_.Problems_.push_back(
        {O.File_, O.line(Key), O.label(), Problem, Remedy});
  }
  const Object *findReferenced(const Object &O, const char *Key,
                               ObjectType Type) const {
    return Config_.Set_.find(Type, O.text(Key));
  }
  void checkReferences(const Object &O);
  void checkParentCycle(const Object &O);
  void checkQuota(const Object &O);
  void checkLimit(const Object &O);
  void checkKind(const Object &O);
  void checkSums(ObjectType Type, const char *ChildKey, const char *ParentKey);
  void checkPriorities();
  void checkTokens(ObjectType Type);
  void checkNotAbove(const Object &Child, const Object &Parent,
                     const char *ChildKey, const char *ParentKey,
                     const char *Relation);

  ParsedConfig &Config_;
};

void SetChecker::run() {
  for (const auto &[Key, O] : Config_.Set_.Objects_) {
    checkReferences(O);
    checkParentCycle(O);
  }
  for (const Object *O : Config_.Set_.all(ObjectType::Quota))
    checkQuota(*O);
  for (const Object *O : Config_.Set_.all(ObjectType::Limit))
    checkLimit(*O);
  for (const Object *O : Config_.Set_.all(ObjectType::Kind))
    checkKind(*O);
  checkSums(ObjectType::Quota, "running", "running");
  checkSums(ObjectType::Quota, "rate", "rate");
  checkSums(ObjectType::Limit, "running_min", "running_max");
  checkPriorities();
  checkTokens(ObjectType::Team);
  checkTokens(ObjectType::Operator);
}

void SetChecker::checkReferences(const Object &O) {
  for (const FieldRule &Rule : fieldRules(O.Type_)) {
    const std::string Name = O.text(Rule.Key_);
    if (Rule.Form_ != FieldForm::Reference || Name.empty() ||
        Config_.Set_.find(Rule.Target_, Name))
      continue;
    if (Config_.InvalidText_.find('"' + Name + '"') != std::string::npos)
      continue;
    const std::string Type = objectTypeName(Rule.Target_);
    std::string Problem = Rule.Key_;
    Problem.append(" refers to ").append(Type).append(" ").append(Name);
    std::string Remedy = "declare [[" + Type;
    Remedy.append("]] with name = \"").append(Name);
    addProblem(O, Rule.Key_, Problem + ", which does not exist",
               Remedy + "\", or correct the reference");
  }
}

// Only quotas and limits refer to their own type. The walk along the parents
// ends at the first object that it visits twice. Each object on a cycle reports
// the cycle, so that every file involved is named.
void SetChecker::checkParentCycle(const Object &O) {
  std::string Path = O.Name_;
  std::set<std::string> Visited = {O.Name_};
  for (const Object *Ancestor = findReferenced(O, "parent", O.Type_); Ancestor;
       Ancestor = findReferenced(*Ancestor, "parent", O.Type_)) {
    Path.append(" -> ").append(Ancestor->Name_);
    if (Ancestor == &O)
      return addProblem(O, "parent", "circular reference " + Path,
                        "remove parent from one of them");
    if (!Visited.insert(Ancestor->Name_).second)
      return;
  }
}

void SetChecker::checkNotAbove(const Object &Child, const Object &Parent,
                               const char *ChildKey, const char *ParentKey,
                               const char *Relation) {
  const auto ChildValue = Child.number(ChildKey);
  const auto ParentValue = Parent.number(ParentKey);
  if (ChildValue && ParentValue && *ChildValue > *ParentValue)
    addProblem(Child, ChildKey,
               std::string(ChildKey) + " " + Child.text(ChildKey) +
                   " is above " + ParentKey + " " + Parent.text(ParentKey) +
                   " of " + Parent.label() + ", " + Relation,
               std::string("lower ") + ChildKey + " or raise " + ParentKey +
                   " of " + Parent.label());
}

void SetChecker::checkQuota(const Object &O) {
  const Object *Parent = findReferenced(O, "parent", ObjectType::Quota);
  if (!Parent || Parent == &O)
    return;
  for (const char *Key : {"running", "waiting", "rate"})
    checkNotAbove(O, *Parent, Key, Key, "from which it is cut");
}

void SetChecker::checkLimit(const Object &O) {
  const char *Relation = "which contradicts it";
  checkNotAbove(O, O, "running_min", "running_max", Relation);
  const Object *Parent = findReferenced(O, "parent", ObjectType::Limit);
  if (!Parent || Parent == &O)
    return;
  for (const char *Key : {"running_max", "waiting_max", "wait_max", "rate"})
    checkNotAbove(O, *Parent, Key, Key, "within which it applies");
  checkNotAbove(O, *Parent, "running_min", "running_max",
                "within which it applies");
}

// Tasks of a kind count against the limit of its service as well, so the
// guarantee of the kind's limit must not exceed the service's maximum.
void SetChecker::checkKind(const Object &O) {
  checkNotAbove(O, O, "time_hint", "deadline",
                "so that every task would miss its deadline");
  const Object *Service = findReferenced(O, "service", ObjectType::Service);
  const Object *KindLimit = findReferenced(O, "limit", ObjectType::Limit);
  if (!Service || !KindLimit)
    return;
  const Object *ServiceLimit =
      findReferenced(*Service, "limit", ObjectType::Limit);
  if (!ServiceLimit || ServiceLimit == KindLimit)
    return;
  const auto Min = KindLimit->number("running_min");
  const auto Max = ServiceLimit->number("running_max");
  if (Min && Max && *Min > *Max)
    addProblem(O, "limit",
               "running_min " + KindLimit->text("running_min") + " of " +
                   KindLimit->label() + " is above running_max " +
                   ServiceLimit->text("running_max") + " of " +
                   ServiceLimit->label() + " of its service",
               "lower running_min or raise running_max");
}

// The children's amounts must not add up to more than the parent has, unless
// the parent is declared overcommitted.
void SetChecker::checkSums(ObjectType Type, const char *ChildKey,
                           const char *ParentKey) {
  std::map<std::string, std::int64_t> Sums;
  for (const Object *O : Config_.Set_.all(Type))
    if (O->text("parent") != O->Name_)
      Sums[O->text("parent")] += O->number(ChildKey).value_or(0);
  for (const auto &[Name, Sum] : Sums) {
    const Object *Parent = Config_.Set_.find(Type, Name);
    if (!Parent || Parent->number("overcommit").value_or(0) != 0)
      continue;
    const auto Bound = Parent->number(ParentKey);
    if (!Bound || Sum <= *Bound)
      continue;
    const bool PerMinute = std::string(ChildKey) == "rate";
    addProblem(*Parent, ParentKey,
               std::string("the parts cut from it add up to ") + ChildKey +
                   " " + std::to_string(Sum) + (PerMinute ? "/m" : "") +
                   ", above its " + ParentKey + " " + Parent->text(ParentKey),
               Type == ObjectType::Quota
                   ? "lower the parts, raise it, or set overcommit = true"
                   : "lower running_min of the parts or raise running_max");
  }
}

void SetChecker::checkPriorities() {
  std::map<std::int64_t, const Object *> Classes;
  std::int64_t Shares = 0;
  for (const Object *O : Config_.Set_.all(ObjectType::Priority)) {
    Shares += O->number("share_percent").value_or(0);
    const auto Class = O->number("class");
    if (!Class)
      continue;
    const auto [It, IsNew] = Classes.emplace(*Class, O);
    if (!IsNew)
      addProblem(*O, "class",
                 "class " + std::to_string(*Class) + " is also that of " +
                     It->second->label(),
                 "give each priority a class of its own");
    if (Shares > 100)
      addProblem(*O, "share_percent",
                 "the shares of all priorities add up to " +
                     std::to_string(Shares) + "%",
                 "lower share_percent so that the sum is at most 100");
  }
}

void SetChecker::checkTokens(ObjectType Type) {
  std::map<std::string, const Object *> Tokens;
  for (const Object *O : Config_.Set_.all(Type)) {
    if (O->text("token_sha256").empty())
      continue;
    const auto [It, IsNew] = Tokens.emplace(O->text("token_sha256"), O);
    if (!IsNew)
      addProblem(*O, "token_sha256",
                 "the token is also that of " + It->second->label(),
                 "draw a token of its own");
  }
}

} // namespace

// Version 2 added the object type cordon and changed nothing else, so a set
// without cordons is validated alike by version 1.
std::uint32_t requiredRules(const std::string &Toml) {
  const ParsedConfig Config = parseConfig({{"set", Toml}});
  const bool IsOld =
      Config.Problems_.empty() && Config.Set_.all(ObjectType::Cordon).empty();
  return IsOld ? 1 : CheckRulesVersion;
}

ParsedConfig checkConfig(const std::vector<ConfigSource> &Sources) {
  ParsedConfig Config = parseConfig(Sources);
  SetChecker(Config).run();
  std::stable_sort(Config.Problems_.begin(), Config.Problems_.end(),
                   [](const ConfigProblem &A, const ConfigProblem &B) {
                     return std::tie(A.File_, A.Line_) <
                            std::tie(B.File_, B.Line_);
                   });
  return Config;
}

} // namespace chivelanding
