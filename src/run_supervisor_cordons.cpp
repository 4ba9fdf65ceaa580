#include "run_supervisor.h"

#include <algorithm>

// Cordons of the endpoint's zone, and the share of its capacity that a cold
// endpoint offers.
namespace chivelanding {
namespace {

// Part of the capacity that counts as one slot before the first run.
constexpr std::uint32_t DefaultSlotDivisor = 8;

} // namespace

// Everything but the zone that decides whether runs may start. Runs of an
// earlier process are gone if this holds, whether or not the zone is cordoned.
bool RunSupervisor::operable() const {
  return Endpoint_ && !Endpoint_->Leaving_ && Reachable_ && NoOrphans_ &&
         !LeaseWithheld_ && !Draining_;
}

bool RunSupervisor::usable() const { return operable() && !zoneClosed(); }

bool RunSupervisor::ready() const {
  return operable() && (!zoneClosed() || cordoned());
}

bool RunSupervisor::cordoned() const {
  return Endpoint_ && Cordons_.isCordoned(Endpoint_->Zone_);
}

bool RunSupervisor::zoneClosed() const {
  return cordoned() ||
         (Limits_.NeedsCordons_ && Cordons_.current().Revision_ == 0);
}

// Also called when the endpoint has changed, since an endpoint of another zone
// may follow.
void RunSupervisor::updateCordoned() {
  const bool Cordoned = cordoned();
  const bool Closed = zoneClosed();
  if (Cordoned != WasCordoned_)
    log(Cordoned ? events::EndpointCordoned : events::EndpointCordonLifted,
        {{"endpoint", Endpoint_ ? Endpoint_->Id_ : ""},
         {"zone", Endpoint_ ? Endpoint_->Zone_.str() : ""},
         {"revision", std::to_string(Cordons_.current().Revision_)},
         {"runs", std::to_string(Runs_.size())}});
  CordonChanged_ =
      CordonChanged_ || Cordoned != WasCordoned_ || Closed != WasClosed_;
  WasCordoned_ = Cordoned;
  WasClosed_ = Closed;
}

// Called by the timer and before each start, since the share rises with time.
// Reports a rise by one slot and any fall.
void RunSupervisor::updateOffered(Time Now) {
  const std::uint32_t Share = Cold_.sharePermille(Now);
  if (!Endpoint_ || Share == OfferedPermille_)
    return;
  const bool Begins = OfferedPermille_ == WholeSharePermille;
  if (Begins)
    log(events::EndpointCold,
        {{"endpoint", Endpoint_->Id_},
         {"remaining_ms", std::to_string(Cold_.remaining(Now).count() / 1000)},
         {"share_permille", std::to_string(Share)}});
  else if (Share == WholeSharePermille)
    log(events::EndpointWarm, {{"endpoint", Endpoint_->Id_}});
  OfferedPermille_ = Share;
  const std::uint32_t Cpu = offeredResources().Cpu_;
  const std::uint32_t Slot =
      LastNeedCpu_ > 0 ? LastNeedCpu_
                       : Endpoint_->Capacity_.Cpu_ / DefaultSlotDivisor;
  if (!Begins && Share != WholeSharePermille && Cpu >= ReportedOfferCpu_ &&
      Cpu < ReportedOfferCpu_ + Slot)
    return;
  ReportedOfferCpu_ = Cpu;
  for (auto &[Id, O] : Owners_)
    O.ReportDue_ = O.ReportDue_ || !O.Standby_;
}

Resources RunSupervisor::offeredResources() const {
  return Endpoint_ ? shareOfCapacity(Endpoint_->Capacity_, OfferedPermille_)
                   : Resources();
}

Resources RunSupervisor::freeResources() const {
  return minus(offeredResources(), Held_);
}

// A run larger than the share of a cold endpoint would otherwise find room
// nowhere while all endpoints are cold.
bool RunSupervisor::hasRoom(const Resources &Need, std::size_t Runs) const {
  return fits(Need, freeResources()) ||
         (Runs == 1 && Held_ == Resources() &&
          OfferedPermille_ < WholeSharePermille &&
          fits(Need, Endpoint_->Capacity_));
}

} // namespace chivelanding
