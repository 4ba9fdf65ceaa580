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
  std::optional<Demand> stated(const ServiceName &Service) const;

private:
  using Counts = std::map<PriorityClass, std::uint32_t>;
  struct ServiceState {
    Counts Waiting_;
    Counts Stated_;
    /// Since when Waiting_ differs enough from Stated_.
    std::optional<Time> ChangedAt_;
    std::optional<Time> StatedAt_;
  };
  static bool differs(const ServiceState &S);
  static void note(ServiceState &S, Time Now);
  static Demand demandOf(const Counts &C);

  std::map<ServiceName, ServiceState> Services_;
};

} // namespace chivelanding

#endif
