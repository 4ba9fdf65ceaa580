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

/// The last attempt of one sender at a task that an agent rejected.
struct Rejection {
  EntryId Sender_;
  std::uint32_t Attempt_ = 0;
  RejectReason Reason_ = RejectReason::NoRoom;
};

/// One task at an agent, from its acceptance or first rejection.
struct TaskRecord {
  enum class State : std::uint8_t { Queued, Running, Finished, Rejected };
  State State_ = State::Rejected;
  RunOutcome Outcome_ = RunOutcome::Failure;
  std::string Result_;
  /// The result was dropped to stay within the limit on result bytes.
  bool Evicted_ = false;
  RunId Run_;
  QueueKey Queue_;
  /// Sequence number of the end, which orders the kept results.
  std::uint64_t FinishOrder_ = 0;
  std::vector<Rejection> Rejections_;

  bool started() const {
    return State_ == State::Running || State_ == State::Finished;
  }
};

/// The tasks of one job at an agent. An ended job is a tombstone: none of its
/// tasks can start, and it has no records of tasks that have ended.
struct JobRecord {
  bool Ended_ = false;
  /// The entry that ended the job; empty if its epoch expired instead.
  EntryId EndedBy_;
  std::map<TaskIndex, TaskRecord> Tasks_;
  /// Queued and running tasks.
  std::set<TaskIndex> ActiveTasks_;
};

/// An agent's record of an entry incarnation as an owner of jobs.
struct OwnerRecord {
  bool Closed_ = false;
  /// Holder of the grant for the owner's jobs, if closed.
  EntryId Holder_;
  /// Time since which the owner has been disconnected or closed; empty while it
  /// is connected.
  std::optional<Time> InactiveSince_;
  /// Jobs of earlier epochs are dropped, and their tasks cannot start.
  Epoch OldestEpoch_;
  /// False once records were dropped before the owner reported that their
  /// epochs had expired.
  bool Complete_ = true;
  std::map<JobId, JobRecord> Jobs_;
};

/// An agent's records of owners, jobs and results, with their limits.
class StartRecords {
public:
  explicit StartRecords(std::uint64_t MaxResultBytes)
      : MaxResultBytes_(MaxResultBytes) {}

  std::map<EntryId, OwnerRecord> &owners() { return Owners_; }
  /// Returns the owner's record, which is added if there is none. A new owner
  /// counts as disconnected since Now.
  OwnerRecord &findOrAddOwner(const EntryId &Owner, Time Now);
  const OwnerRecord *findOwner(const EntryId &Owner) const;
  JobRecord *findJob(const JobId &Job);
  bool isClosed(const EntryId &Entry) const;
  /// The entry that may start and cancel the owner's tasks and gets their
  /// ends: the owner, or the grant holder once the owner is closed.
  const EntryId &actingOwner(const EntryId &Owner) const;

  /// Returns the rejection of this attempt of the sender or of a later one;
  /// null if there is none.
  const Rejection *findRejection(const JobId &Job, TaskIndex Index,
                                 const EntryId &Sender, std::uint32_t Attempt);
  void addRejection(const JobId &Job, TaskIndex Index, Rejection R, Time Now);

  /// Stores a finished task's result, and drops the oldest results beyond the
  /// limit.
  void keepResult(const JobId &Id, TaskIndex Index, TaskRecord &Task,
                  std::string Result);
  /// Turns a job into a tombstone; queued and running tasks keep their records.
  void endJob(JobRecord &Job, const EntryId &By);
  /// Records a tombstone for the job, also if it had no record. Returns false
  /// if one of its tasks has started.
  bool withdraw(const JobId &Id, const EntryId &By, Time Now);
  /// Drops the jobs of epochs before Oldest.
  void dropEpochsBefore(OwnerRecord &Owner, Epoch Oldest);
  /// Drops the records of owners that have been disconnected or closed for
  /// Retention.
  void expire(Duration Retention, Time Now);

  /// Returns the records of a closed owner's jobs, in messages of bounded size.
  /// The jobs are left out unless Receiver holds the grant.
  std::vector<IncarnationClosed> holdings(const EntryId &Owner,
                                          const EntryId &Receiver) const;

  std::size_t jobs() const;
  std::uint64_t resultBytes() const { return ResultBytes_; }

private:
  void dropResult(TaskRecord &Task);

  std::uint64_t MaxResultBytes_;
  std::map<EntryId, OwnerRecord> Owners_;
  /// Tasks whose results are kept, by FinishOrder_.
  std::map<std::uint64_t, std::pair<JobId, TaskIndex>> Results_;
  std::uint64_t NextFinishOrder_ = 1;
  std::uint64_t ResultBytes_ = 0;
};

} // namespace chivelanding

#endif
