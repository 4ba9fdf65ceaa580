#ifndef CHIVELANDING_JOB_H
#define CHIVELANDING_JOB_H

#include "result.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// Names the entry incarnation that owns the jobs submitted under it, and the
/// epoch in which it was issued. Text form NAME.INCARNATION.EPOCH.
struct OwnerToken {
  EntryId Owner_;
  Epoch Epoch_;

  std::string str() const;
  /// Error code: bad_token.
  static Result<OwnerToken> parse(const std::string &Text);

  friend bool operator==(const OwnerToken &A, const OwnerToken &B) {
    return A.Owner_ == B.Owner_ && A.Epoch_ == B.Epoch_;
  }
  friend bool operator<(const OwnerToken &A, const OwnerToken &B) {
    return std::tie(A.Owner_, A.Epoch_) < std::tie(B.Owner_, B.Epoch_);
  }
};

/// Identity of a job. A submission with an equal id is the same job.
struct JobId {
  TeamName Team_;
  OwnerToken Token_;
  JobKey Key_;

  std::string str() const;

  friend bool operator==(const JobId &A, const JobId &B) {
    return A.Key_ == B.Key_ && A.Team_ == B.Team_ && A.Token_ == B.Token_;
  }
  friend bool operator!=(const JobId &A, const JobId &B) { return !(A == B); }
  friend bool operator<(const JobId &A, const JobId &B) {
    return std::tie(A.Key_, A.Team_, A.Token_) <
           std::tie(B.Key_, B.Team_, B.Token_);
  }
};

/// One task of a job as submitted.
struct TaskSpec {
  std::string Id_;
  std::string Payload_;
  /// Declared run time; a hint only. Zero if not declared.
  Duration TimeHint_{0};
};

/// A job as submitted.
struct JobSpec {
  JobId Id_;
  ServiceName Service_;
  KindName Kind_;
  PriorityClass Class_;
  /// True if the task may run again after its agent was lost. Only jobs of one
  /// task are sent again.
  bool Idempotent_ = false;
  /// Time from submission after which no task may start any more.
  std::optional<Duration> Deadline_;
  std::vector<TaskSpec> Tasks_;
};

/// Default limit on the number of tasks of one job.
constexpr std::uint32_t DefaultMaxTasks = 1700;

/// Validates a submission without regard to earlier ones. Error codes:
/// empty_job, too_many_tasks, duplicate_task_id, bad_request (no key, service
/// or kind, an empty task id, or a deadline that is not positive).
Result<Done> checkSpec(const JobSpec &Spec, std::uint32_t MaxTasks);

/// Outcome of a job as stated in its answer.
enum class Outcome { Completed, NotRun, PartlyRun, Unknown };

/// Stable text of an outcome in answers.
const char *outcomeName(Outcome O);

/// State of one task in a failed answer.
enum class TaskState { NotStarted, Running, Finished, Failed, Unknown };

/// Stable text of a task state in answers.
const char *taskStateName(TaskState S);

/// Result or state of one task in an answer.
struct TaskAnswer {
  std::string Id_;
  TaskState State_ = TaskState::NotStarted;
  std::string Result_;
};

/// The whole answer to a submission. Tasks_ has every task of the job if
/// Outcome_ is Completed, and the state of each task for partly_run and
/// unknown; it is empty for not_run.
struct JobAnswer {
  Outcome Outcome_ = Outcome::Unknown;
  std::string Code_;
  std::string Detail_;
  std::optional<Duration> RetryAfter_;
  std::vector<TaskAnswer> Tasks_;
};

} // namespace chivelanding

template <> struct std::hash<chivelanding::JobId> {
  std::size_t operator()(const chivelanding::JobId &Id) const noexcept {
    std::size_t H = std::hash<std::string>()(Id.Key_.str());
    H = H * 31 + std::hash<std::string>()(Id.Team_.str());
    return H * 31 + Id.Token_.Owner_.Incarnation_.value() +
           Id.Token_.Epoch_.value();
  }
};

#endif
