#include "agent_table.h"

namespace chivelanding {

bool AgentTable::announce(const AgentId &Agent, const EndpointInfo &Info) {
  AgentState &State = Agents_[Agent];
  const bool IsNew = State.Service_ != Info.Service_;
  State.Service_ = Info.Service_;
  return IsNew;
}

void AgentTable::addSent(const AgentId &Agent, TaskKey Task) {
  Agents_[Agent].Sent_.insert(Task);
}

void AgentTable::removeSent(const AgentId &Agent, TaskKey Task) {
  const auto It = Agents_.find(Agent);
  if (It != Agents_.end())
    It->second.Sent_.erase(Task);
}

std::set<TaskKey> AgentTable::remove(const AgentId &Agent) {
  const auto It = Agents_.find(Agent);
  if (It == Agents_.end())
    return {};
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

std::vector<AgentId> AgentTable::all() const {
  std::vector<AgentId> Found;
  for (const auto &[Agent, State] : Agents_)
    Found.push_back(Agent);
  return Found;
}

std::vector<AgentId> AgentTable::ofService(const ServiceName &Service) const {
  std::vector<AgentId> Found;
  for (const auto &[Agent, State] : Agents_)
    if (State.Service_ == Service)
      Found.push_back(Agent);
  return Found;
}

} // namespace chivelanding
