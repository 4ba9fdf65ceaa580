#ifndef CHIVELANDING_AGENT_TABLE_H
#define CHIVELANDING_AGENT_TABLE_H

#include "message.h"
#include "retry_queue.h"
#include "types.h"

#include <map>
#include <set>
#include <vector>

namespace chivelanding {

/// The agents that an owner uses, with the tasks sent to each and the grants
/// held there.
class AgentTable {
public:
  bool contains(const AgentId &Agent) const { return Agents_.count(Agent); }
  /// Returns true if the agent is new or serves another service now.
  bool announce(const AgentId &Agent, const EndpointInfo &Info);
  void addSent(const AgentId &Agent, TaskKey Task);
  void removeSent(const AgentId &Agent, TaskKey Task);
  /// Forgets the agent and returns the tasks sent to it.
  std::set<TaskKey> remove(const AgentId &Agent);
  /// Records the grant for a closed owner's jobs; returns false if it was
  /// recorded before.
  bool addGrant(const AgentId &Agent, const EntryId &Owner);
  void clearSent();

  std::vector<AgentId> all() const;
  std::vector<AgentId> ofService(const ServiceName &Service) const;

private:
  struct AgentState {
    ServiceName Service_;
    std::set<TaskKey> Sent_;
    std::set<EntryId> Granted_;
  };
  std::map<AgentId, AgentState> Agents_;
};

} // namespace chivelanding

#endif
