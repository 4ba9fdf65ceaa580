#include "waiting_demand.h"

namespace chivelanding {

namespace {

/// A change must last this long before it is sent, so that tasks that wait for
/// less than a round trip cause no messages.
constexpr Duration DemandDelay = std::chrono::milliseconds(10);
/// Shortest time between two updates for a service. Each goes to every agent of
/// the service.
constexpr Duration DemandInterval = std::chrono::milliseconds(100);

} // namespace

// A class that starts or stops waiting always matters. A count matters when it
// doubles or halves, because the shares of the resources follow the ratio of
// the demands.
bool WaitingDemand::differsEnough(const ServiceState &S) {
  if (S.Waiting_.size() != S.Sent_.size())
    return true;
  for (const auto &[Class, Waiting] : S.Waiting_) {
    const auto Sent = S.Sent_.find(Class);
    if (Sent == S.Sent_.end() || Waiting >= 2 * Sent->second ||
        2 * Waiting <= Sent->second)
      return true;
  }
  return false;
}

void WaitingDemand::updateChangedAt(ServiceState &S, Time Now) {
  if (!differsEnough(S))
    S.ChangedAt_.reset();
  else if (!S.ChangedAt_)
    S.ChangedAt_ = Now;
}

void WaitingDemand::add(const ServiceName &Service, PriorityClass Class,
                        Time Now) {
  ServiceState &S = Services_[Service];
  ++S.Waiting_[Class];
  updateChangedAt(S, Now);
}

void WaitingDemand::remove(const ServiceName &Service, PriorityClass Class,
                           Time Now) {
  ServiceState &S = Services_[Service];
  const auto It = S.Waiting_.find(Class);
  if (It == S.Waiting_.end())
    return;
  if (--It->second == 0)
    S.Waiting_.erase(It);
  updateChangedAt(S, Now);
}

Demand WaitingDemand::toDemand(const Counts &C) {
  Demand D;
  for (const auto &[Class, Waiting] : C)
    D.Classes_.push_back({Class, Waiting});
  return D;
}

std::vector<std::pair<ServiceName, Demand>> WaitingDemand::takeDue(Time Now) {
  std::vector<std::pair<ServiceName, Demand>> Due;
  for (auto &[Service, S] : Services_) {
    if (!S.ChangedAt_ || *S.ChangedAt_ + DemandDelay > Now ||
        (S.SentAt_ && *S.SentAt_ + DemandInterval > Now))
      continue;
    S.Sent_ = S.Waiting_;
    S.SentAt_ = Now;
    S.ChangedAt_.reset();
    Due.push_back({Service, toDemand(S.Sent_)});
  }
  return Due;
}

std::optional<Demand>
WaitingDemand::lastSent(const ServiceName &Service) const {
  const auto It = Services_.find(Service);
  if (It == Services_.end() || It->second.Sent_.empty())
    return std::nullopt;
  return toDemand(It->second.Sent_);
}

} // namespace chivelanding
