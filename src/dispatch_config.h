#ifndef CHIVELANDING_DISPATCH_CONFIG_H
#define CHIVELANDING_DISPATCH_CONFIG_H

#include "types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chivelanding {

/// A route from callers to a service: host and path select it, and it names the
/// service that runs its tasks.
struct JobRoute {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  ServiceName Service_;
  PriorityClass Class_;
  /// Runs of one task that may fail before its job fails.
  std::uint32_t Attempts_ = 1;
  /// The time objective of a job is ObjectiveFactor_ times its longest task
  /// plus Target_.
  double ObjectiveFactor_ = 1;
  Duration Target_{0};
  /// The endpoints that may run a step are chosen by a service of the platform,
  /// which this entry does not call: jobs of the route are refused.
  bool NeedsExternalPlacement_ = false;
};

/// One accepted version of the routes and services.
class DispatchConfig {
public:
  DispatchConfig() = default;
  DispatchConfig(ConfigVersion Version, std::vector<JobRoute> Routes,
                 std::set<ServiceName> Services);

  ConfigVersion version() const { return Version_; }
  const std::vector<JobRoute> &routes() const { return Routes_; }
  /// The route of this host with the longest prefix of Path; null if none.
  const JobRoute *find(std::string_view Host, std::string_view Path) const;
  bool hasService(const ServiceName &Service) const {
    return Services_.count(Service) > 0;
  }

private:
  ConfigVersion Version_;
  std::vector<JobRoute> Routes_;
  std::set<ServiceName> Services_;
  /// Positions in Routes_ by host, those with longer prefixes first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> ByHost_;
};

} // namespace chivelanding

#endif
