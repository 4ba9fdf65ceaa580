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

/// Counts the waiting tasks of an owner per service and class, and decides when
/// the agents of a service are notified: only after a change that affects the
/// division of their resources, and at a bounded rate.
class WaitingDemand {
public:
  void add(const ServiceName &Service, PriorityClass Class, Time Now);
  void remove(const ServiceName &Service, PriorityClass Class, Time Now);

  /// Demand updates that are due, at most one per service.
  std::vector<std::pair<ServiceName, Demand>> takeDue(Time Now);
  /// The last demand sent for a service, for an agent that has just connected;
  /// empty if none has been sent or it listed no waiting tasks.
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
