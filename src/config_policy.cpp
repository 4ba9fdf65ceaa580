#include "config_policy.h"
#include "cordon_edit.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Rates are stored per minute.
constexpr double SecondsPerMinute = 60;

// Smallest value of Key in the object and its ancestors; zero, which means no
// bound, if none of them sets it. The walk ends because a validated set has no
// circular references.
std::int64_t minBound(const ConfigSet &Set, ObjectType Type,
                      const std::string &Name, const char *Key) {
  std::int64_t Min = 0;
  for (const ConfigObject *Ancestor = Set.find(Type, Name); Ancestor;
       Ancestor = Set.find(Type, Ancestor->text("parent"))) {
    const std::int64_t OwnBound = Ancestor->number(Key).value_or(0);
    if (OwnBound != 0 && (Min == 0 || OwnBound < Min))
      Min = OwnBound;
  }
  return Min;
}

std::uint32_t runningLimit(const ConfigSet &Set, const ConfigObject &Object) {
  return static_cast<std::uint32_t>(
      minBound(Set, ObjectType::Limit, Object.text("limit"), "running_max"));
}

double kindWeight(const ConfigObject &Kind) {
  return static_cast<double>(Kind.number("weight").value_or(1));
}

// The share of a priority is divided among its kinds in proportion to their
// weights. Without a share, the weight of the kind is used as it is.
double effectiveWeight(const ConfigSet &Set, const ConfigObject &Kind,
                       const ConfigObject *Priority) {
  const auto Share =
      Priority ? Priority->number("share_percent") : std::nullopt;
  if (!Share || *Share == 0)
    return kindWeight(Kind);
  double Sum = 0;
  for (const ConfigObject *Other : Set.all(ObjectType::Kind))
    if (Other->text("priority") == Kind.text("priority"))
      Sum += kindWeight(*Other);
  return static_cast<double>(*Share) * kindWeight(Kind) / Sum;
}

} // namespace

PolicyConfig makePolicy(const ConfigSet &Set, PolicyConfig Base) {
  for (const ConfigObject *Team : Set.all(ObjectType::Team)) {
    TeamPolicy &P = Base.Teams_[TeamName(Team->Name_)];
    const std::string Quota = Team->text("quota");
    P.Quota_ = static_cast<std::uint32_t>(
        minBound(Set, ObjectType::Quota, Quota, "running"));
    P.Rate_ =
        static_cast<double>(minBound(Set, ObjectType::Quota, Quota, "rate")) /
        SecondsPerMinute;
  }
  for (const ConfigObject *Kind : Set.all(ObjectType::Kind)) {
    KindPolicy &P = Base.Kinds_[KindName(Kind->Name_)];
    const ConfigObject *Priority =
        Set.find(ObjectType::Priority, Kind->text("priority"));
    if (Priority)
      P.Class_ = PriorityClass(
          static_cast<std::uint32_t>(Priority->number("class").value_or(0)));
    P.Weight_ = effectiveWeight(Set, *Kind, Priority);
    P.Limit_ = runningLimit(Set, *Kind);
  }
  for (const ConfigObject *Service : Set.all(ObjectType::Service)) {
    ServicePolicy &P = Base.Services_[ServiceName(Service->Name_)];
    P.Limit_ = runningLimit(Set, *Service);
    if (const auto Percent = Service->number("retry_percent"))
      P.RetryBudget_ = static_cast<double>(*Percent) / 100;
  }
  Base.Cordons_ = cordonedZones(Set);
  return Base;
}

Result<Done> applyKind(const ConfigSet &Set, const RegionName &Region,
                       JobSpec &Spec) {
  if (Set.Objects_.empty())
    return Done();
  const auto Refuse = [](const char *Code, std::string Detail) {
    return Error{Code, "check submission", "", std::move(Detail)};
  };
  const ConfigObject *Service =
      Set.find(ObjectType::Service, Spec.Service_.str());
  if (!Service)
    return Refuse("unknown_service",
                  "no service '" + Spec.Service_.str() + "' is configured");
  const ConfigObject *Kind = Set.find(ObjectType::Kind, Spec.Kind_.str());
  if (!Kind || Kind->text("service") != Service->Name_)
    return Refuse("unknown_kind", "service '" + Service->Name_ +
                                      "' has no kind '" + Spec.Kind_.str() +
                                      "'");
  if (Service->text("home_region") != Region.str())
    return Refuse("wrong_region", "submit to an entry of region '" +
                                      Service->text("home_region") + "'");
  if (const ConfigObject *Priority =
          Set.find(ObjectType::Priority, Kind->text("priority")))
    Spec.Class_ = PriorityClass(
        static_cast<std::uint32_t>(Priority->number("class").value_or(0)));
  if (const auto Deadline = Kind->number("deadline"))
    Spec.Deadline_ = std::min(Spec.Deadline_.value_or(Duration(*Deadline)),
                              Duration(*Deadline));
  return Done();
}

} // namespace chivelanding
