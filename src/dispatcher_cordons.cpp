#include "dispatcher.h"

#include <algorithm>

// Zones that are cordoned: no run is dispatched there.
namespace chivelanding {

// The state of single agents may change although the set of zones does not: a
// later revision replaces what they have reported.
void Dispatcher::setCordons(const ZoneCordons &C, Time Now) {
  const std::vector<ZoneName> Before = Agents_.cordonedZones();
  if (!Agents_.setCordons(C))
    return;
  if (Agents_.cordonedZones() != Before)
    checkAgents(Now);
  refuseCordonedJobs(Now);
  placeWaiting(Now);
}

// After a start, the links to agents in other zones may be missing yet.
bool Dispatcher::hasReadyAgent(Time Now) const {
  return std::any_of(
      Agents_.all().begin(), Agents_.all().end(), [&](const auto &Item) {
        const AgentView &A = Item.second;
        return A.ready() || (A.readyButForCordon() && !isStarting(Now));
      });
}

void Dispatcher::refuseCordonedJobs(Time Now) {
  if (Queue_.empty() || Agents_.cordoned() == 0)
    return;
  std::map<ServiceName, bool> Cordoned;
  std::vector<JobNumber> Refused;
  for (const auto &[Class, Number] : Queue_) {
    const Job &J = Jobs_.at(Number);
    if (J.MayHaveRun_ || J.OutstandingRuns_ > 0)
      continue;
    const ServiceName &Service = J.Spec_.Route_.Service_;
    const auto [It, New] = Cordoned.try_emplace(Service, false);
    if (New)
      It->second = isCordoned(Service, Now);
    if (It->second)
      Refused.push_back(Number);
  }
  for (const JobNumber Number : Refused)
    refuse(Jobs_.at(Number), "zones_cordoned", Now);
}

} // namespace chivelanding
