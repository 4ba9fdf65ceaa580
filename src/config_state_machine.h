#ifndef CHIVELANDING_CONFIG_STATE_MACHINE_H
#define CHIVELANDING_CONFIG_STATE_MACHINE_H

#include "config_objects.h"
#include "config_record.h"

#include <deque>
#include <memory>
#include <optional>

namespace chivelanding {

/// An accepted configuration. Immutable once made.
struct AcceptedConfig {
  ConfigVersion Version_;
  std::string Toml_;
  /// First 64 bits of the SHA-256 of Toml_.
  std::uint64_t Hash_ = 0;
  ConfigSet Set_;
};
using AcceptedPtr = std::shared_ptr<const AcceptedConfig>;

/// Checks a text and makes a configuration of it. Error code: invalid_set,
/// with every problem in the detail, one a line.
Result<AcceptedPtr> makeAcceptedConfig(ConfigVersion Version,
                                       const std::string &Toml);

/// What a reader concludes from one record.
enum class RecordOutcome : std::uint8_t {
  Accepted,
  /// The base is not the version in force.
  RefusedStale,
  /// The set has errors, or author, reason or id is missing.
  RefusedInvalid,
  SnapshotUsable,
  /// The snapshot contradicts what this reader knows; it is not used.
  SnapshotIgnored,
  SkippedCorrupt,
  SkippedForeign,
  /// Read before the first usable snapshot; judged again after it.
  NotYetEvaluated,
  /// The record needs later check rules than this program has. The reader
  /// stops before it.
  NewerRules
};
/// Stable text of a judgement.
const char *recordOutcomeName(RecordOutcome J);

/// One judged record, without its set.
struct EvaluatedRecord {
  std::uint64_t Offset_ = 0;
  RecordOutcome Outcome_ = RecordOutcome::SkippedForeign;
  std::string Id_;
  ConfigVersion Base_;
  /// Version in force after the record.
  ConfigVersion Version_;
  std::string Author_;
  std::string Reason_;
  std::string Detail_;
};

/// Counts of records judged by a reader that knew the state.
struct RecordCounts {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Stale_ = 0;
  std::uint64_t Invalid_ = 0;
  std::uint64_t Corrupt_ = 0;
  std::uint64_t Foreign_ = 0;
  std::uint64_t Snapshots_ = 0;
};

/// The configuration as a function of the log's records in their order. Every
/// reader that has read up to the same offset has the same state.
class ConfigStateMachine {
public:
  /// Call with each answer of the log before its records: First is the oldest
  /// offset retained. A reader that has missed expired records forgets its
  /// place and waits for a usable snapshot, but keeps its version.
  void onFirstRetained(std::uint64_t First);

  /// Judges the record at next(). May move next() backwards once, to where a
  /// snapshot was taken.
  EvaluatedRecord apply(const std::string &Data);

  /// Offset of the next record to read.
  std::uint64_t nextOffset() const { return NextOffset_; }
  /// True once the state follows from the log without a gap.
  bool isStateKnown() const { return StateKnown_; }
  /// True if the reader stopped before a record with newer rules.
  bool stalled() const { return Stalled_; }
  ConfigVersion version() const { return State_->Version_; }
  const AcceptedPtr &state() const { return State_; }
  std::uint64_t firstRetained() const { return FirstRetained_; }
  /// Offset from which the last usable snapshot replays, if one is retained.
  std::optional<std::uint64_t> lastSnapshotOffset() const;
  const RecordCounts &counts() const { return Counts_; }
  /// The last judged changes, oldest first.
  const std::deque<EvaluatedRecord> &history() const { return History_; }

private:
  EvaluatedRecord evaluate(const ChangeRecord &Change);
  EvaluatedRecord evaluate(const SnapshotRecord &Snapshot);
  void setState(AcceptedPtr State);
  bool matchesRecentVersion(const SnapshotRecord &Snapshot) const;
  void countOutcome(RecordOutcome J);

  AcceptedPtr State_ = std::make_shared<AcceptedConfig>();
  bool Started_ = false;
  bool StateKnown_ = false;
  bool Stalled_ = false;
  std::uint64_t FirstRetained_ = 0;
  std::uint64_t NextOffset_ = 0;
  std::uint64_t CurrentOffset_ = 0;
  std::optional<std::uint64_t> LastSnapshotOffset_;
  RecordCounts Counts_;
  std::deque<EvaluatedRecord> History_;
  /// Hashes of the last versions, to recognise snapshots of them.
  std::deque<std::pair<ConfigVersion, std::uint64_t>> RecentHashes_;
};

} // namespace chivelanding

#endif
