#ifndef CHIVELANDING_START_RECORDS_H
#define CHIVELANDING_START_RECORDS_H

#include "job.h"
#include "message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace chivelanding {

/// Number of one run of a task at an agent.
using RunId = Number<struct RunIdTag>;
/// Position in an agent's queue: the class first, then the order of arrival.
using QueueKey = std::pair<PriorityClass, std::uint64_t>;

/// The last attempt of one sender that an agent refused.
struct Rejection {
  EntryId Sender_;
  std::uint32_t Attempt_ = 0;
  RejectReason Reason_ = RejectReason::NoRoom;
};

/// One task at an agent, from its acceptance or first refusal.
struct TaskRecord {
  enum class State : std::uint8_t { Queued, Running, Finished, Rejected };
  State State_ = State::Rejected;
  RunOutcome Outcome_ = RunOutcome::Failure;
  std::string Result_;
  /// The result was dropped to stay within the bound.
  bool Evicted_ = false;
  RunId Run_;
  QueueKey Queue_;
  /// Order of the end, while the result is kept.
  std::uint64_t FinishOrder_ = 0;
  std::vector<Rejection> Rejections_;

  bool started() const {
    return State_ == State::Running || State_ == State::Finished;
  }
};

/// The tasks of one job at an agent. An ended job is a tombstone: it refuses
/// every start and has no records of tasks that have ended.
struct JobRecord {
  bool Ended_ = false;
  /// The entry that ended the job, if it was not ended by age.
  EntryId EndedBy_;
  std::map<TaskIndex, TaskRecord> Tasks_;
  /// Queued and running tasks.
  std::set<TaskIndex> ActiveTasks_;
};

/// What an agent knows of an entry incarnation as an owner of jobs.
struct OwnerRecord {
  bool Closed_ = false;
  /// Holder of the grant for the owner's jobs, if closed.
  EntryId Holder_;
  /// Since when the owner is not connected or closed.
  std::optional<Time> InactiveSince_;
  /// Jobs of earlier epochs are forgotten, and their starts refused.
  Epoch OldestEpoch_;
  /// False once records were dropped without the owner's word.
  bool Complete_ = true;
  std::map<JobId, JobRecord> Jobs_;
};

/// An agent's memory of owners, jobs and results, with its bounds.
class StartRecords {
public:
  explicit StartRecords(std::uint64_t MaxResultBytes)
      : MaxResultBytes_(MaxResultBytes) {}

  std::map<EntryId, OwnerRecord> &owners() { return Owners_; }
  /// The owner's record, made if needed; a new one counts as gone since Now.
  OwnerRecord &findOrAddOwner(const EntryId &Owner, Time Now);
  const OwnerRecord *findOwner(const EntryId &Owner) const;
  JobRecord *findJob(const JobId &Job);
  bool isClosed(const EntryId &Entry) const;
  /// The entry that may start and cancel the owner's tasks and gets their
  /// ends: the owner, or the grant holder once the owner is closed.
  const EntryId &actingOwner(const EntryId &Owner) const;

  /// The refusal of this attempt or a later one, if any.
  const Rejection *findRejection(const JobId &Job, TaskIndex Index,
                                 const EntryId &Sender, std::uint32_t Attempt);
  void addRejection(const JobId &Job, TaskIndex Index, Rejection R, Time Now);

  /// Keeps a finished task's result, and drops the oldest results beyond the
  /// bound.
  void keepResult(const JobId &Id, TaskIndex Index, TaskRecord &Task,
                  std::string Result);
  /// Shrinks a job to its tombstone, except for its live tasks.
  void endJob(JobRecord &Job, const EntryId &By);
  /// Makes the job a tombstone, known or not; returns false if a task of it has
  /// started.
  bool withdraw(const JobId &Id, const EntryId &By, Time Now);
  /// Drops the jobs of epochs before Oldest.
  void dropEpochsBefore(OwnerRecord &Owner, Epoch Oldest);
  /// Drops the records of owners that have been gone or closed for Retention.
  void expire(Duration Retention, Time Now);

  /// What is held of a closed owner's jobs, in messages of bounded size; the
  /// holdings are left out unless the receiver holds the grant.
  std::vector<IncarnationClosed> holdings(const EntryId &Owner,
                                          const EntryId &Receiver) const;

  std::size_t jobs() const;
  std::uint64_t resultBytes() const { return ResultBytes_; }

private:
  void dropResult(TaskRecord &Task);

  std::uint64_t MaxResultBytes_;
  std::map<EntryId, OwnerRecord> Owners_;
  /// Kept results by order of the end.
  std::map<std::uint64_t, std::pair<JobId, TaskIndex>> Results_;
  std::uint64_t NextFinishOrder_ = 1;
  std::uint64_t ResultBytes_ = 0;
};

} // namespace chivelanding

#endif
