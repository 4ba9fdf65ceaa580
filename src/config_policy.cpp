#include "config_policy.h"

#include <algorithm>

namespace chivelanding {
namespace {

constexpr double SecondsPerMinute = 60;

std::uint32_t countOf(const ConfigObject &Object, const char *Key) {
  return static_cast<std::uint32_t>(Object.number(Key).value_or(0));
}

std::uint32_t tighter(std::uint32_t A, std::uint32_t B) {
  if (A == 0 || B == 0)
    return std::max(A, B);
  return std::min(A, B);
}

// The bound of a team is the tightest along its chain of quotas. The check of
// the set has refused circular references.
TeamPolicy teamPolicy(const ConfigSet &Set, const ConfigObject &Team) {
  TeamPolicy Policy;
  const ConfigObject *Quota = Set.find(ObjectType::Quota, Team.text("quota"));
  while (Quota) {
    Policy.Quota_ = tighter(Policy.Quota_, countOf(*Quota, "running"));
    const double Rate = static_cast<double>(Quota->number("rate").value_or(0)) /
                        SecondsPerMinute;
    if (Rate > 0)
      Policy.Rate_ = Policy.Rate_ > 0 ? std::min(Policy.Rate_, Rate) : Rate;
    Quota = Set.find(ObjectType::Quota, Quota->text("parent"));
  }
  return Policy;
}

std::uint32_t runningLimit(const ConfigSet &Set, const std::string &Name) {
  std::uint32_t Bound = 0;
  const ConfigObject *Limit = Set.find(ObjectType::Limit, Name);
  while (Limit) {
    Bound = tighter(Bound, countOf(*Limit, "running_max"));
    Limit = Set.find(ObjectType::Limit, Limit->text("parent"));
  }
  return Bound;
}

double kindWeight(const ConfigObject &Kind) {
  return static_cast<double>(Kind.number("weight").value_or(1));
}

// The share of a priority is divided among its kinds by their weights; without
// a share the weights count as they are.
double weightOf(const ConfigSet &Set, const ConfigObject &Kind,
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

PolicyConfig policyOf(const ConfigSet &Set) {
  PolicyConfig Policy;
  for (const ConfigObject *Team : Set.all(ObjectType::Team))
    Policy.Teams_[TeamName(Team->Name_)] = teamPolicy(Set, *Team);
  for (const ConfigObject *Kind : Set.all(ObjectType::Kind)) {
    const ConfigObject *Priority =
        Set.find(ObjectType::Priority, Kind->text("priority"));
    KindPolicy &Out = Policy.Kinds_[KindName(Kind->Name_)];
    Out.Class_ = PriorityClass(Priority ? countOf(*Priority, "class") : 0);
    Out.Weight_ = weightOf(Set, *Kind, Priority);
    Out.Limit_ = runningLimit(Set, Kind->text("limit"));
  }
  for (const ConfigObject *Service : Set.all(ObjectType::Service)) {
    ServicePolicy &Out = Policy.Services_[ServiceName(Service->Name_)];
    Out.Limit_ = runningLimit(Set, Service->text("limit"));
    if (const auto Percent = Service->number("retry_percent"))
      Out.RetryBudget_ = static_cast<double>(*Percent) / 100;
  }
  return Policy;
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
    Spec.Class_ = PriorityClass(countOf(*Priority, "class"));
  if (const auto Deadline = Kind->number("deadline"))
    Spec.Deadline_ = std::min(Spec.Deadline_.value_or(Duration(*Deadline)),
                              Duration(*Deadline));
  return Done();
}

} // namespace chivelanding
