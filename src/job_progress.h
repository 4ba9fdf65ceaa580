#ifndef CHIVELANDING_JOB_PROGRESS_H
#define CHIVELANDING_JOB_PROGRESS_H

#include "agent_table.h"
#include "job_table.h"
#include "owner_output.h"
#include "retry_queue.h"
#include "scheduler.h"
#include "waiting_demand.h"

#include <cstdint>
#include <map>
#include <string>

namespace chivelanding {

/// Task index that marks a withdrawal among the tasks sent to an agent.
constexpr std::uint32_t WithdrawalIndex = ~0u;

/// Tracks an owner's tasks from the scheduler's queue to the agents, and
/// answers each job when its tasks have ended. JobOwner derives from it and
/// decides which jobs are accepted.
class JobProgress {
protected:
  /// Sched must outlive this object; Seed initializes the random retry delays.
  JobProgress(Scheduler &Sched, std::uint64_t MaxResultBytes,
              Duration AdoptedRetention, std::uint64_t Seed);

  /// Puts a task into the scheduler's queue.
  void enqueue(OwnedJob &J, std::uint32_t Index, Time Now);
  /// Cancels the job's tasks that are queued or wait for a retry.
  void cancelUnsentTasks(OwnedJob &J, Time Now);
  void markSent(OwnedJob &J, std::uint32_t Index, const AgentId &Agent);
  /// Sends queued tasks to agents with free capacity, and the withdrawals that
  /// the current input caused.
  void place(Time Now, OwnerOutputs &Out);
  /// Sets the final phase of an unfinished task.
  void endTask(OwnedJob &J, std::uint32_t Index, TaskPhase Phase);
  /// Marks the job as failed; only the first call for a job has an effect.
  void fail(OwnedJob &J, const char *Code, const std::string &Detail, Time Now,
            OwnerOutputs &Out);
  /// The agent of a sent task was lost. Schedules a retry if the job permits
  /// it; otherwise the task's outcome is unknown.
  void handleLostTask(OwnedJob &J, std::uint32_t Index,
                      const std::string &Detail, Time Now, OwnerOutputs &Out);
  /// An agent rejected a sent task, which proves that the task did not start.
  void handleRejectedTask(OwnedJob &J, std::uint32_t Index, RejectReason Reason,
                          Time Now, OwnerOutputs &Out);
  void onWithdrawn(const AgentId &Agent, const JobsWithdrawn &Withdrawn,
                   Time Now, OwnerOutputs &Out);
  /// If every task has ended, answers the job or requests its withdrawal.
  void answerIfDone(OwnedJob &J, Time Now, OwnerOutputs &Out);

  Scheduler &Sched_;
  RetryQueue Retries_;
  JobTable Jobs_;
  AgentTable Agents_;
  WaitingDemand Demand_;

private:
  bool retryLater(OwnedJob &J, std::uint32_t Index, Time Now,
                  OwnerOutputs &Out);
  bool requestWithdrawal(OwnedJob &J);
  void answer(OwnedJob &J, JobAnswer Answer, Time Now, OwnerOutputs &Out);

  /// Withdrawals that the current input caused, one message per agent.
  std::map<AgentId, WithdrawJobs> Withdrawals_;
  /// Selects the agents in turn. All withdrawals of one input and service go to
  /// the same agent, in one message.
  std::uint64_t WithdrawalTurn_ = 0;
};

} // namespace chivelanding

#endif
