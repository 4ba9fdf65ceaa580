#ifndef CHIVELANDING_SCHEDULER_H
#define CHIVELANDING_SCHEDULER_H

#include "job.h"
#include "message.h"
#include "policy_config.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chivelanding {

/// Names one task for the scheduler.
struct TaskRef {
  JobId Job_;
  TaskIndex Index_;
  friend bool operator==(const TaskRef &A, const TaskRef &B) {
    return A.Index_ == B.Index_ && A.Job_ == B.Job_;
  }
  friend bool operator<(const TaskRef &A, const TaskRef &B) {
    return std::tie(A.Job_, A.Index_) < std::tie(B.Job_, B.Index_);
  }
};

/// A task that waits for an agent.
struct WaitingTask {
  TaskRef Task_;
  ServiceName Service_;
  KindName Kind_;
  PriorityClass Class_;
  /// Point after which the task may not start any more.
  std::optional<Time> Deadline_;
  Duration TimeHint_{0};
};

/// Decision to send a task to an agent, with the values that decided.
struct Placement {
  TaskRef Task_;
  AgentId Agent_;
  std::string Reason_;
};

/// Orders waiting tasks and chooses an agent for each, from the agents' last
/// reports less the starts sent since.
class Scheduler {
public:
  Scheduler() = default;
  /// Seed is that of random choices; Zone is the availability zone of the
  /// owner.
  Scheduler(PolicyConfig Config, std::uint64_t Seed, ZoneName Zone);

  void setConfig(PolicyConfig Config, Time Now);

  void addAgent(const AgentId &Agent, const EndpointInfo &Info, Time Now);
  void removeAgent(const AgentId &Agent, Time Now);
  void onReport(const AgentId &Agent, const AgentReport &Report, Time Now);

  void enqueue(WaitingTask Task, Time Now);
  /// Removes the waiting tasks of a job and returns their indices.
  std::vector<TaskIndex> cancel(const JobId &Job, Time Now);
  /// Removes and returns waiting tasks whose deadline has passed.
  std::vector<TaskRef> expire(Time Now);

  void onFinished(const TaskRef &Task, const AgentId &Agent, RunOutcome Outcome,
                  Duration RunTime, Time Now);
  void onRejected(const TaskRef &Task, const AgentId &Agent,
                  RejectReason Reason, Time Now);
  /// The task's state on this agent will never be known.
  void onLost(const TaskRef &Task, const AgentId &Agent, Time Now);

  /// Sends as many waiting tasks as the agents have room for.
  std::vector<Placement> place(Time Now);

  std::size_t waiting() const { return Queue_.size(); }

private:
  struct AgentState {
    EndpointInfo Info_;
    AgentReport Report_;
    std::uint64_t StartsSent_ = 0;
  };
  std::uint32_t room(const AgentState &Agent) const;

  PolicyConfig Config_;
  ZoneName Zone_;
  std::mt19937_64 Random_;
  std::map<AgentId, AgentState> Agents_;
  std::deque<WaitingTask> Queue_;
};

} // namespace chivelanding

#endif
