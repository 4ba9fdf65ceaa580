#ifndef CHIVELANDING_JOB_RECORD_H
#define CHIVELANDING_JOB_RECORD_H

#include "job.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelanding {

/// Identifies a waiting caller or relaying peer that is to get an answer.
using ReplyId = Number<struct ReplyIdTag>;

/// Phase of a task at its owner.
enum class TaskPhase : std::uint8_t {
  /// In the scheduler's queue.
  Queued,
  /// Sent to an agent, which has not reported an end or a rejection.
  Sent,
  /// Waits for the delay before a retry.
  Delayed,
  Finished,
  Failed,
  /// Proved not to have started, and not to be sent any more.
  Cancelled,
  /// May have started; its outcome stays unknown.
  Unknown
};

/// One task at its owner.
struct OwnedTask {
  TaskPhase Phase_ = TaskPhase::Queued;
  AgentId Agent_;
  /// Number of starts sent, and the attempt number of the last one.
  std::uint32_t Attempt_ = 0;
  std::uint32_t Retries_ = 0;
  /// Time of the next retry, if delayed.
  Time RetryAt_;
  /// An earlier attempt at the task of an idempotent job may have run.
  bool MayHaveRun_ = false;
  /// The scheduler chose the agent and must be notified of the end.
  bool PlacedByScheduler_ = false;
  std::string Result_;
};

/// Memory that a job takes at its owner until its answer, approximately.
std::uint64_t openJobBytes(const JobSpec &Spec);

/// One job at its owner, from submission to the end of its retention.
struct OwnedJob {
  /// Sequence number of the job at this owner.
  std::uint64_t Number_ = 0;
  JobSpec Spec_;
  std::uint64_t BodyHash_ = 0;
  /// Memory that the job takes until its answer, approximately.
  std::uint64_t OpenBytes_ = 0;
  std::optional<Time> Deadline_;
  std::vector<OwnedTask> Tasks_;
  std::vector<ReplyId> Replies_;
  /// Number of tasks that have not ended.
  std::size_t UnfinishedTasks_ = 0;
  /// Number of tasks in the scheduler's queue.
  std::size_t QueuedTasks_ = 0;
  /// Agents that have been sent tasks of the job.
  std::set<AgentId> Agents_;
  /// The job was adopted from a closed owner.
  bool Adopted_ = false;
  bool Answered_ = false;
  /// An agent has been asked to record that the job never ran and never will.
  bool Withdrawing_ = false;
  /// An agent has confirmed this record.
  bool Withdrawn_ = false;
  std::string FailCode_;
  std::string FailDetail_;
  /// Retry delay in the answer if the job has not run.
  std::optional<Duration> FailRetryAfter_;
  JobAnswer Answer_;
  /// Sequence number of the answer, which orders the kept results.
  std::uint64_t RetainedOrder_ = 0;
};

/// Hash of what a submission runs: service, kind, idempotence, and the ids and
/// payloads of its tasks. Deadline, class and hints may differ between
/// submissions of the same job.
std::uint64_t bodyHash(const JobSpec &Spec);

/// Builds the answer to a job whose tasks have all ended.
JobAnswer makeAnswer(const OwnedJob &Job);

/// Builds an answer without tasks.
JobAnswer plainAnswer(Outcome O, std::string Code, std::string Detail);

/// Detail of a refusal while the configuration is not known.
constexpr char NoConfigurationDetail[] =
    "this entry does not know the configuration yet; submit again";

/// Builds the answer to a submission whose owner cannot be asked: its outcome
/// is unknown, and the caller is to submit it again.
JobAnswer ownerUnreachable(std::string Detail);

/// Returns the refusal of a new job whose token Self does not accept. Current
/// is the epoch of Self. Error codes: not_owner, bad_token, token_expired.
std::optional<JobAnswer> checkToken(const OwnerToken &Token,
                                    const EntryId &Self, Epoch Current,
                                    std::uint32_t EpochsAccepted);

/// Bytes of the task ids and results in an answer.
std::uint64_t resultBytes(const JobAnswer &Answer);

} // namespace chivelanding

#endif
