#include "agent_pool.h"

#include <algorithm>

// Agents whose zones are cordoned.
namespace chivelanding {

bool AgentPool::setCordons(const ZoneCordons &C) {
  if (!Cordons_.adopt(C))
    return false;
  for (auto &[Peer, A] : Agents_)
    updateCordoned(A);
  return true;
}

// Of two sets, the later one holds. The agent may have got it from an entry
// that is ahead of this one.
void AgentPool::updateCordoned(AgentView &A) {
  const bool Was = A.Cordoned_;
  A.Cordoned_ = A.Report_.CordonRevision_ > Cordons_.current().Revision_
                    ? A.Report_.Cordoned_
                    : Cordons_.isCordoned(A.Report_.Zone_);
  CordonedAgents_ += A.Cordoned_ ? 1 : 0;
  CordonedAgents_ -= Was ? 1 : 0;
}

// An agent on standby or ejected counts as usable: it can be taken into use. So
// does a suspected one: all are suspected for a moment after a pause of this
// process. An endpoint may be unusable because of a single lost answer.
bool AgentPool::isCordoned(const ServiceName &Service, Duration Gap,
                           Time Now) const {
  if (CordonedAgents_ == 0)
    return false;
  bool Found = false;
  for (const auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service)
      continue;
    if (A.isOpen() || A.awaitsLift() ||
        (!A.Cordoned_ && Now <= A.UnusableSince_ + Gap))
      return false;
    Found = Found || A.readyButForCordon();
  }
  return Found;
}

bool AgentPool::awaitsLift(const ServiceName &Service) const {
  return std::any_of(Agents_.begin(), Agents_.end(), [&](const auto &Item) {
    const AgentView &A = Item.second;
    return A.Report_.Service_ == Service && A.awaitsLift() && !A.Suspected_;
  });
}

} // namespace chivelanding
