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

/// Records of one answer of the log, from the offset that was asked for or the
/// oldest retained, without gaps.
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
  /// Time for which the log may hold the answer back for new records.
  Duration Wait_{0};
};

/// Output: append to the log. The answer is passed back with Sequence_.
struct AppendLog {
  std::uint64_t Sequence_ = 0;
  std::string Data_;
};

/// Output: a record was judged.
struct RecordEvaluated {
  EvaluatedRecord Record_;
};

/// Output: this state follows from the log.
struct StateAccepted {
  AcceptedPtr State_;
};

/// What became of a publication.
enum class PublishOutcome : std::uint8_t {
  Accepted,
  RefusedStale,
  RefusedInvalid,
  /// Nothing was written and nothing will be.
  NotPublished,
  /// The record may or may not be in the log.
  Unknown
};
const char *publishOutcomeName(PublishOutcome O);

/// Output: the end of a publication.
struct PublishEnded {
  std::string Id_;
  PublishOutcome Outcome_ = PublishOutcome::Unknown;
  /// Version of the change if accepted, else the version in force.
  ConfigVersion Version_;
  std::string Detail_;
};

/// Output: the log stopped answering, or answers again.
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
  /// Longest time without a snapshot. A fraction of the log's retention time.
  Duration SnapshotInterval_ = std::chrono::minutes(30);
  /// Distance in time between the attempts of two ranks.
  Duration SnapshotRankDelay_ = std::chrono::seconds(5);
  Duration PublishTimeout_ = std::chrono::seconds(30);
};

/// Follows the log, publishes changes and writes snapshots. Decides only; the
/// outputs are carried out by the caller.
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
  /// NotWritten is true if the log certainly did not and will not write it.
  FollowerOutputs onAppendFailed(std::uint64_t Sequence, const Error &E,
                                 bool NotWritten, Time Now);
  /// Publishes after those already under way; ends with PublishEnded.
  FollowerOutputs publish(ChangeRecord Change, Time Now);
  FollowerOutputs tick(Time Now);
  /// When to call tick next.
  std::optional<Time> nextTimer() const;

  /// Names of the entries that live, for the choice of the snapshot's writer.
  void setSnapshotWriters(std::vector<std::string> Names);

  const ConfigStateMachine &stateMachine() const { return StateMachine_; }
  /// True if the last read reached the end of the log.
  bool caughtUp() const { return CaughtUp_; }
  bool reachable() const { return Reachable_; }

private:
  enum class Stage : std::uint8_t {
    Waiting,
    Appending,
    /// The answer was lost; a read that began later must reach the end.
    ReadingBack,
    /// Written; the reader has not come to it yet.
    AwaitingRead
  };
  struct PendingChange {
    ChangeRecord Change_;
    std::string Data_;
    Time Deadline_;
    Stage Stage_ = Stage::Waiting;
    std::uint64_t Sequence_ = 0;
    /// Reads up to this sequence number began too early to decide.
    std::uint64_t LastStaleRead_ = 0;
    Time RetryAt_;
    Duration Backoff_{0};
    /// True once an attempt may have been written.
    bool MaybeWritten_ = false;
    std::string LastError_;
  };

  void read(Duration Wait, FollowerOutputs &Out);
  void applyBatch(const LogBatch &Batch, Time Now, FollowerOutputs &Out);
  void onRecordEvaluated(const EvaluatedRecord &Evaluated, Time Now,
                         FollowerOutputs &Out);
  void advancePublish(Time Now, FollowerOutputs &Out);
  void append(PendingChange &P, FollowerOutputs &Out);
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
  /// A read that began after the snapshot's time is awaited.
  std::uint64_t SnapshotReadSequence_ = 0;
  std::uint64_t SnapshotSequence_ = 0;
};

} // namespace chivelanding

#endif
