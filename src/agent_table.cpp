#include "agent_table.h"

#include <algorithm>

namespace chivelanding {

bool AgentTable::announce(const AgentId &Agent, const EndpointInfo &Info) {
  AgentState &State = Agents_[Agent];
  if (State.Service_ == Info.Service_)
    return false;
  removeFromService(Agent, State.Service_);
  State.Service_ = Info.Service_;
  ByService_[Info.Service_].push_back(Agent);
  return true;
}

void AgentTable::removeFromService(const AgentId &Agent,
                                   const ServiceName &Service) {
  const auto It = ByService_.find(Service);
  if (It == ByService_.end())
    return;
  auto &Agents = It->second;
  Agents.erase(std::remove(Agents.begin(), Agents.end(), Agent), Agents.end());
}

void AgentTable::addSent(const AgentId &Agent, TaskKey Task) {
  Agents_[Agent].Sent_.insert(Task);
}

bool AgentTable::removeSent(const AgentId &Agent, TaskKey Task) {
  const auto It = Agents_.find(Agent);
  return It != Agents_.end() && It->second.Sent_.erase(Task) != 0;
}

std::set<TaskKey> AgentTable::remove(const AgentId &Agent) {
  const auto It = Agents_.find(Agent);
  if (It == Agents_.end())
    return {};
  removeFromService(Agent, It->second.Service_);
  std::set<TaskKey> Sent = std::move(It->second.Sent_);
  Agents_.erase(It);
  return Sent;
}

bool AgentTable::addGrant(const AgentId &Agent, const EntryId &Owner) {
  return Agents_[Agent].Granted_.insert(Owner).second;
}

void AgentTable::clearSent() {
  for (auto &[Agent, State] : Agents_)
    State.Sent_.clear();
}

// Jobs of closed owners are rare, so the search for their grants may be linear.
std::optional<AgentId>
AgentTable::findAgentForWithdrawal(const ServiceName &Service,
                                   const EntryId *ClosedOwner,
                                   std::uint64_t Rotation) const {
  std::vector<AgentId> Granted;
  if (ClosedOwner)
    for (const auto &[Agent, State] : Agents_)
      if (State.Granted_.count(*ClosedOwner) != 0)
        Granted.push_back(Agent);
  const auto Served = ByService_.find(Service);
  if (ClosedOwner ? Granted.empty()
                  : Served == ByService_.end() || Served->second.empty())
    return std::nullopt;
  const auto &Agents = ClosedOwner ? Granted : Served->second;
  return Agents[Rotation % Agents.size()];
}

std::vector<AgentId> AgentTable::all() const {
  std::vector<AgentId> Found;
  for (const auto &[Agent, State] : Agents_)
    Found.push_back(Agent);
  return Found;
}

std::vector<AgentId> AgentTable::ofService(const ServiceName &Service) const {
  const auto It = ByService_.find(Service);
  return It == ByService_.end() ? std::vector<AgentId>() : It->second;
}

} // namespace chivelanding
