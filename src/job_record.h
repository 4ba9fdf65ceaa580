#ifndef CHIVELANDING_JOB_RECORD_H
#define CHIVELANDING_JOB_RECORD_H

#include "job.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelanding {

/// Number under which a waiting caller or relaying peer gets its answer.
using ReplyId = Number<struct ReplyIdTag>;

/// Where a task stands at its owner.
enum class TaskPhase : std::uint8_t {
  /// In the scheduler's queue.
  Queued,
  /// Sent to an agent, which has not reported an end or a rejection.
  Sent,
  /// Waits for the delay before a retry.
  Delayed,
  Finished,
  Failed,
  /// Proved not started, and withdrawn.
  Cancelled,
  /// May have started; its end will never be known.
  Unknown
};

/// One task at its owner.
struct OwnedTask {
  TaskPhase Phase_ = TaskPhase::Queued;
  AgentId Agent_;
  /// Number of starts sent, which is the number of the last one.
  std::uint32_t Attempt_ = 0;
  std::uint32_t Retries_ = 0;
  /// Time of the next retry, if delayed.
  Time RetryAt_;
  /// An earlier start of an idempotent request may have run.
  bool MayHaveRun_ = false;
  /// The scheduler chose the agent and expects to be told of the end.
  bool PlacedByScheduler_ = false;
  std::string Result_;
};

/// One job at its owner, from submission to the end of its retention.
struct OwnedJob {
  /// Order of acceptance at this owner.
  std::uint64_t Number_ = 0;
  JobSpec Spec_;
  std::uint64_t BodyHash_ = 0;
  std::optional<Time> Deadline_;
  std::vector<OwnedTask> Tasks_;
  std::vector<ReplyId> Replies_;
  /// Tasks without an end.
  std::size_t UnfinishedTasks_ = 0;
  /// Tasks in the scheduler's queue.
  std::size_t QueuedTasks_ = 0;
  /// Agents that have been sent tasks of the job.
  std::set<AgentId> Agents_;
  /// The job belonged to a closed owner.
  bool Adopted_ = false;
  bool Answered_ = false;
  /// An agent has been asked to record, or has recorded, that the job never
  /// ran and never will.
  bool Withdrawing_ = false;
  bool Withdrawn_ = false;
  std::string FailCode_;
  std::string FailDetail_;
  JobAnswer Answer_;
  /// Order of the answer, while its results are kept.
  std::uint64_t RetainedOrder_ = 0;
};

/// Hash of what a submission runs: service, kind, idempotence, and the ids and
/// payloads of its tasks. Deadline, class and hints may differ between
/// submissions of the same job.
std::uint64_t bodyHash(const JobSpec &Spec);

/// The answer to a job of which every task has an end.
JobAnswer makeAnswer(const OwnedJob &Job);

/// An answer without tasks.
JobAnswer plainAnswer(Outcome O, std::string Code, std::string Detail);

/// The refusal of a new job because of its token, if any. Error codes:
/// not_owner, bad_token, token_expired. Current is the epoch of Self.
std::optional<JobAnswer> checkToken(const OwnerToken &Token,
                                    const EntryId &Self, Epoch Current,
                                    std::uint32_t EpochsAccepted);

/// Bytes of the results in an answer.
std::uint64_t resultBytes(const JobAnswer &Answer);

} // namespace chivelanding

#endif
