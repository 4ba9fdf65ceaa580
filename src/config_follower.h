#ifndef CHIVELANDING_CONFIG_FOLLOWER_H
#define CHIVELANDING_CONFIG_FOLLOWER_H

#include "config_state_machine.h"
#include "types.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace chivelanding {

/// Records of one answer of the log without gaps, from the requested offset or
/// the oldest retained one, whichever is higher. Others may follow, unless
/// there is none.
struct LogBatch {
  std::uint64_t FirstRetained_ = 0;
  std::uint64_t NextOffset_ = 0;
  std::uint64_t FromOffset_ = 0;
  std::vector<std::string> Records_;
};

/// Output: read the log. The answer is passed back with Sequence_.
struct ReadLog {
  std::uint64_t Sequence_ = 0;
  std::uint64_t FromOffset_ = 0;
  std::uint32_t MaxRecords_ = 0;
  /// Longest time that the log may delay the answer to wait for new records.
  Duration Wait_{0};
};

/// Output: append to the log. The answer is passed back with Sequence_.
struct AppendLog {
  std::uint64_t Sequence_ = 0;
  std::string Data_;
};

/// Output: a record was evaluated.
struct RecordEvaluated {
  EvaluatedRecord Record_;
};

/// Output: a new state was derived from the log.
struct StateAccepted {
  AcceptedPtr State_;
};

/// Outcome of publishing a change.
enum class PublishOutcome : std::uint8_t {
  Accepted,
  RefusedStale,
  RefusedInvalid,
  /// The record was not written and will not be.
  NotPublished,
  /// The record may or may not be in the log.
  Unknown
};
const char *publishOutcomeName(PublishOutcome O);

/// Output: publishing a change has ended.
struct PublishEnded {
  std::string Id_;
  PublishOutcome Outcome_ = PublishOutcome::Unknown;
  /// Version of the change if accepted, else the version in force.
  ConfigVersion Version_;
  std::string Detail_;
};

/// Output: the log became unreachable, or reachable again.
struct LogReachable {
  bool Reachable_ = false;
  std::string Detail_;
};

using FollowerOutput = std::variant<ReadLog, AppendLog, RecordEvaluated,
                                    StateAccepted, PublishEnded, LogReachable>;
using FollowerOutputs = std::vector<FollowerOutput>;

struct FollowerOptions {
  std::string Name_;
  std::uint64_t Seed_ = 0;
  /// False for tools that only read or publish.
  bool WritesSnapshots_ = true;
  std::uint32_t BatchRecords_ = 256;
  Duration PollWait_ = std::chrono::seconds(5);
  Duration FirstBackoff_ = std::chrono::milliseconds(100);
  Duration MaxBackoff_ = std::chrono::seconds(5);
  /// Longest time without a snapshot. Must be a fraction of the log's retention
  /// time.
  Duration SnapshotInterval_ = std::chrono::minutes(30);
  /// Delay between the attempts of two consecutive ranks.
  Duration SnapshotRankDelay_ = std::chrono::seconds(5);
  Duration PublishTimeout_ = std::chrono::seconds(30);
};

/// Follows the log, publishes changes and writes snapshots. Does no I/O: the
/// caller carries out the outputs.
class ConfigFollower {
public:
  explicit ConfigFollower(FollowerOptions Options);

  FollowerOutputs start(Time Now);
  FollowerOutputs onRead(std::uint64_t Sequence, const LogBatch &Batch,
                         Time Now);
  FollowerOutputs onReadFailed(std::uint64_t Sequence, const Error &E,
                               Time Now);
  FollowerOutputs onAppended(std::uint64_t Sequence, std::uint64_t Offset,
                             Time Now);
  /// NotWritten is true if the log certainly has not written the record and
  /// will not write it.
  FollowerOutputs onAppendFailed(std::uint64_t Sequence, const Error &E,
                                 bool NotWritten, Time Now);
  /// Publishes the change after those already pending; ends with PublishEnded.
  FollowerOutputs publish(ChangeRecord Change, Time Now);
  /// Writes nothing: ends with PublishEnded, accepted if Change.Base_ is in
  /// force at the end of the log as read after this call, else refused as
  /// stale.
  FollowerOutputs confirm(ChangeRecord Change, Time Now);
  FollowerOutputs tick(Time Now);
  /// When to call tick next.
  std::optional<Time> nextTimer() const;

  /// Names of the live entries, from which the writer of a snapshot is chosen.
  void setSnapshotWriters(std::vector<std::string> Names);

  const ConfigStateMachine &stateMachine() const { return StateMachine_; }
  /// True if the last read reached the end of the log.
  bool caughtUp() const { return CaughtUp_; }
  bool reachable() const { return Reachable_; }

private:
  enum class Stage : std::uint8_t {
    Waiting,
    Appending,
    /// The answer to the append was lost; a read that began later must reach
    /// the end of the log.
    ReadingBack,
    /// Written to the log, but not read back and evaluated yet.
    AwaitingRead
  };
  struct PendingChange {
    ChangeRecord Change_;
    /// The encoded record; empty if only the base is to be confirmed.
    std::string Data_;
    Time Deadline_;
    Stage Stage_ = Stage::Waiting;
    std::uint64_t Sequence_ = 0;
    /// Reads up to this sequence number began too early to show whether the
    /// record was written.
    std::uint64_t LastStaleRead_ = 0;
    Time RetryAt_;
    Duration Backoff_{0};
    /// True once an attempt may have written the record.
    bool MaybeWritten_ = false;
    std::string LastError_;
  };

  void read(Duration Wait, FollowerOutputs &Out);
  void applyBatch(const LogBatch &Batch, Time Now, FollowerOutputs &Out);
  void onRecordEvaluated(const EvaluatedRecord &Evaluated, Time Now,
                         FollowerOutputs &Out);
  void advancePublish(Time Now, FollowerOutputs &Out);
  void append(PendingChange &P, FollowerOutputs &Out);
  FollowerOutputs enqueue(PendingChange P, Time Now);
  void endPublish(PublishOutcome Outcome, const std::string &Detail, Time Now,
                  FollowerOutputs &Out);
  bool scheduleRetry(PendingChange &P, Time Now);
  bool isSnapshotDue(Time Now) const;
  void advanceSnapshot(Time Now, FollowerOutputs &Out);
  void writeSnapshot(Time Now, FollowerOutputs &Out);
  Duration snapshotDelay();
  Duration jitter(Duration Limit);

  FollowerOptions Options_;
  std::mt19937_64 Random_;
  ConfigStateMachine StateMachine_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t ReadSequence_ = 0;
  bool ReadOutstanding_ = false;
  std::optional<Time> ReadAt_;
  Duration ReadBackoff_{0};
  bool Reachable_ = true;
  bool CaughtUp_ = false;
  std::deque<PendingChange> PendingChanges_;
  std::vector<std::string> SnapshotWriters_;
  std::optional<Time> LastSnapshotSeenAt_;
  std::optional<Time> NextSnapshotAt_;
  /// Lowest sequence number of a read that began after the snapshot was due; 0
  /// while no such read is awaited.
  std::uint64_t SnapshotReadSequence_ = 0;
  std::uint64_t SnapshotSequence_ = 0;
};

} // namespace chivelanding

#endif
