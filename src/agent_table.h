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

/// The agents that an owner uses, with the tasks sent to each and the grants
/// held there.
class AgentTable {
public:
  bool contains(const AgentId &Agent) const { return Agents_.count(Agent); }
  /// Returns true if the agent is new or serves another service now.
  bool announce(const AgentId &Agent, const EndpointInfo &Info);
  void addSent(const AgentId &Agent, TaskKey Task);
  /// Returns false if the task was not recorded as sent to the agent.
  bool removeSent(const AgentId &Agent, TaskKey Task);
  /// Forgets the agent and returns the tasks sent to it.
  std::set<TaskKey> remove(const AgentId &Agent);
  /// Records the grant for a closed owner's jobs; returns false if it was
  /// recorded before.
  bool addGrant(const AgentId &Agent, const EntryId &Owner);
  void clearSent();
  /// An agent at which a job can be withdrawn: one of the service, or one with
  /// the grant if the job's owner is closed. Equal turns give the same agent.
  std::optional<AgentId> findAgentForWithdrawal(const ServiceName &Service,
                                                const EntryId *ClosedOwner,
                                                std::uint64_t Rotation) const;
  /// True if an agent of the service was ever used.
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
  /// Services are kept when their last agent is gone.
  std::map<ServiceName, std::vector<AgentId>> ByService_;
};

} // namespace chivelanding

#endif
