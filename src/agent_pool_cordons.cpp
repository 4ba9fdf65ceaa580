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
  A.Cordoned_ = A.Report_.CordonRevision_ > Cordons_.revision()
                    ? A.Report_.Cordoned_
                    : Cordons_.contains(A.Report_.Zone_);
  CordonedAgents_ += A.Cordoned_ ? 1 : 0;
  CordonedAgents_ -= Was ? 1 : 0;
}

// An agent on standby or ejected counts as usable: it can be taken into use.
bool AgentPool::isCordoned(const ServiceName &Service) const {
  if (CordonedAgents_ == 0)
    return false;
  bool Found = false;
  for (const auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service)
      continue;
    if (A.isOpening() || (A.isOpen() && !A.Suspected_))
      return false;
    Found = Found || A.readyButForCordon();
  }
  return Found;
}

bool AgentPool::isOpening(const ServiceName &Service) const {
  return std::any_of(Agents_.begin(), Agents_.end(), [&](const auto &Item) {
    const AgentView &A = Item.second;
    return A.Report_.Service_ == Service && A.isOpening();
  });
}

double AgentPool::readyCpu() const {
  double Cpu = 0;
  for (const auto &[Peer, A] : Agents_)
    Cpu += A.ready() ? A.Report_.Capacity_.Cpu_ : 0;
  return Cpu;
}

} // namespace chivelanding
