#include "config_policy.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Rates are stored per minute.
constexpr double SecondsPerMinute = 60;

// The least value of Key along the parents; zero, which means no bound, if none
// states it. A checked set has no circular references.
std::int64_t leastBound(const ConfigSet &Set, ObjectType Type,
                        const std::string &Name, const char *Key) {
  std::int64_t Least = 0;
  for (const ConfigObject *At = Set.find(Type, Name); At;
       At = Set.find(Type, At->text("parent"))) {
    const std::int64_t Own = At->number(Key).value_or(0);
    if (Own != 0 && (Least == 0 || Own < Least))
      Least = Own;
  }
  return Least;
}

std::uint32_t runningLimit(const ConfigSet &Set, const ConfigObject &Object) {
  return static_cast<std::uint32_t>(
      leastBound(Set, ObjectType::Limit, Object.text("limit"), "running_max"));
}

} // namespace

PolicyConfig makePolicy(const ConfigSet &Set, PolicyConfig Base) {
  for (const ConfigObject *Team : Set.all(ObjectType::Team)) {
    TeamPolicy &P = Base.Teams_[TeamName(Team->Name_)];
    const std::string Quota = Team->text("quota");
    P.Quota_ = static_cast<std::uint32_t>(
        leastBound(Set, ObjectType::Quota, Quota, "running"));
    P.Rate_ =
        static_cast<double>(leastBound(Set, ObjectType::Quota, Quota, "rate")) /
        SecondsPerMinute;
  }
  for (const ConfigObject *Kind : Set.all(ObjectType::Kind)) {
    KindPolicy &P = Base.Kinds_[KindName(Kind->Name_)];
    const ConfigObject *Priority =
        Set.find(ObjectType::Priority, Kind->text("priority"));
    if (Priority)
      P.Class_ = PriorityClass(
          static_cast<std::uint32_t>(Priority->number("class").value_or(0)));
    P.Weight_ = static_cast<double>(Kind->number("weight").value_or(1));
    P.Limit_ = runningLimit(Set, *Kind);
  }
  for (const ConfigObject *Service : Set.all(ObjectType::Service)) {
    ServicePolicy &P = Base.Services_[ServiceName(Service->Name_)];
    P.Limit_ = runningLimit(Set, *Service);
    if (const auto Percent = Service->number("retry_percent"))
      P.RetryBudget_ = static_cast<double>(*Percent) / 100;
  }
  return Base;
}

} // namespace chivelanding
