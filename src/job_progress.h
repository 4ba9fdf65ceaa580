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

/// Stands for a withdrawal among the tasks sent to an agent.
constexpr std::uint32_t WithdrawalIndex = ~0u;

/// The way of an owner's tasks from the queue over the agents to the answer of
/// their job. JobOwner derives from it and decides which jobs there are.
class JobProgress {
protected:
  /// Sched must outlive this object; Seed is that of the retry delays.
  JobProgress(Scheduler &Sched, std::uint64_t MaxResultBytes,
              Duration AdoptedRetention, std::uint64_t Seed);

  /// Puts a task into the scheduler's queue.
  void enqueue(OwnedJob &J, std::uint32_t Index, Time Now);
  /// Withdraws the job's tasks that wait in the queue or for a retry.
  void cancelUnsentTasks(OwnedJob &J, Time Now);
  void markSent(OwnedJob &J, std::uint32_t Index, const AgentId &Agent);
  /// Sends what there is room for, and the withdrawals of the input in hand.
  void place(Time Now, OwnerOutputs &Out);
  /// Gives an open task its end.
  void endTask(OwnedJob &J, std::uint32_t Index, TaskPhase Phase);
  /// Decides that the job fails; only the first call for a job counts.
  void fail(OwnedJob &J, const char *Code, const std::string &Detail, Time Now,
            OwnerOutputs &Out);
  /// The end of a sent task will never be known.
  void handleLostTask(OwnedJob &J, std::uint32_t Index,
                      const std::string &Detail, Time Now, OwnerOutputs &Out);
  /// A sent task is proved not to have started.
  void handleRejectedTask(OwnedJob &J, std::uint32_t Index, RejectReason Reason,
                          Time Now, OwnerOutputs &Out);
  void onWithdrawn(const AgentId &Agent, const JobsWithdrawn &Withdrawn,
                   Time Now, OwnerOutputs &Out);
  /// Answers the job if every task has an end, or starts its withdrawal.
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

  /// Withdrawals of the input in hand, one message per agent.
  std::map<AgentId, WithdrawJobs> Withdrawals_;
  /// Chooses the agent, one for all withdrawals of an input and service.
  std::uint64_t WithdrawalTurn_ = 0;
};

} // namespace chivelanding

#endif
