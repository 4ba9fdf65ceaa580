#ifndef CHIVELANDING_WAITING_DEMAND_H
#define CHIVELANDING_WAITING_DEMAND_H

#include "message.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chivelanding {

/// Counts an owner's waiting tasks per service and class, and decides when the
/// agents of a service are told: only after a change that matters to the
/// division of their room, and not too often.
class WaitingDemand {
public:
  void add(const ServiceName &Service, PriorityClass Class, Time Now);
  void remove(const ServiceName &Service, PriorityClass Class, Time Now);

  /// Statements that are due, one per service.
  std::vector<std::pair<ServiceName, Demand>> takeDue(Time Now);
  /// The last statement made for a service, for an agent that is new; empty if
  /// no work is stated.
  std::optional<Demand> lastSent(const ServiceName &Service) const;

private:
  using Counts = std::map<PriorityClass, std::uint32_t>;
  struct ServiceState {
    Counts Waiting_;
    Counts Sent_;
    /// Since when Waiting_ differs enough from Sent_.
    std::optional<Time> ChangedAt_;
    std::optional<Time> SentAt_;
  };
  static bool differsEnough(const ServiceState &S);
  static void updateChangedAt(ServiceState &S, Time Now);
  static Demand toDemand(const Counts &C);

  std::map<ServiceName, ServiceState> Services_;
};

} // namespace chivelanding

#endif
