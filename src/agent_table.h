#ifndef CHIVELANDING_AGENT_TABLE_H
#define CHIVELANDING_AGENT_TABLE_H

#include "message.h"
#include "retry_queue.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chivelanding {

/// The agents that an entry uses as the owner of jobs. Records for each agent
/// the tasks sent to it and the grants that this entry holds there. A grant is
/// the right, given by an agent, to resume the jobs of a closed owner.
class AgentTable {
public:
  bool contains(const AgentId &Agent) const { return Agents_.count(Agent); }
  /// Returns true if the agent is new or serves another service now.
  bool announce(const AgentId &Agent, const EndpointInfo &Info);
  void addSent(const AgentId &Agent, TaskKey Task);
  /// Returns false if the task was not recorded as sent to the agent.
  bool removeSent(const AgentId &Agent, TaskKey Task);
  /// Removes the agent and returns the tasks sent to it.
  std::set<TaskKey> remove(const AgentId &Agent);
  /// Records the agent's grant for the jobs of Owner, which is closed; returns
  /// false if it was recorded before.
  bool addGrant(const AgentId &Agent, const EntryId &Owner);
  /// Removes the sent tasks of all agents, after another entry has closed this
  /// owner and recovers its jobs.
  void clearSent();
  /// Selects an agent at which a job can be withdrawn: one of the service, or
  /// one with the grant if the job's owner is closed. Rotation modulo their
  /// number selects one of several: the same value selects the same agent as
  /// long as the agents are the same.
  std::optional<AgentId> findAgentForWithdrawal(const ServiceName &Service,
                                                const EntryId *ClosedOwner,
                                                std::uint64_t Rotation) const;
  /// True if an agent of the service was ever announced.
  bool everServed(const ServiceName &Service) const {
    return ByService_.count(Service) != 0;
  }

  std::vector<AgentId> all() const;
  std::vector<AgentId> ofService(const ServiceName &Service) const;

private:
  void removeFromService(const AgentId &Agent, const ServiceName &Service);

  struct AgentState {
    ServiceName Service_;
    std::set<TaskKey> Sent_;
    std::set<EntryId> Granted_;
  };
  std::map<AgentId, AgentState> Agents_;
  /// Services stay in the map when their last agent is removed.
  std::map<ServiceName, std::vector<AgentId>> ByService_;
};

} // namespace chivelanding

#endif
