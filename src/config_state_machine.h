#ifndef CHIVELANDING_CONFIG_STATE_MACHINE_H
#define CHIVELANDING_CONFIG_STATE_MACHINE_H

#include "config_objects.h"
#include "config_record.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivelanding {

/// One accepted version of the configuration. Immutable after construction.
struct AcceptedConfig {
  ConfigVersion Version_;
  std::string Toml_;
  /// First 64 bits of the SHA-256 of Toml_.
  std::uint64_t Hash_ = 0;
  ConfigSet Set_;
};
using AcceptedPtr = std::shared_ptr<const AcceptedConfig>;

/// Validates a TOML text and builds the configuration from it. Error code:
/// invalid_set; the detail lists every problem, one per line.
Result<AcceptedPtr> makeAcceptedConfig(ConfigVersion Version,
                                       const std::string &Toml);

/// Outcome of evaluating one record of the log.
enum class RecordOutcome : std::uint8_t {
  Accepted,
  /// The base is not the version in force.
  RefusedStale,
  /// The set fails validation, or author, reason or id is missing.
  RefusedInvalid,
  SnapshotUsable,
  /// The snapshot is not used: it contradicts the state of this reader, is
  /// older than the version in force, was taken before the oldest retained
  /// record or after its own offset, or fails validation.
  SnapshotIgnored,
  SkippedCorrupt,
  SkippedForeign,
  /// A change read before the first usable snapshot. It is evaluated later if
  /// the reader goes back to an offset before it.
  NotYetEvaluated,
  /// The record needs newer validation rules than this program has. The reader
  /// stops before it.
  NewerRules
};
/// Name in logs, answers and output of commands; it does not change between
/// releases.
const char *recordOutcomeName(RecordOutcome J);

/// Result of evaluating one record, without its set.
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
  /// When the change was published, by the publisher's clock, in milliseconds
  /// since 1970; 0 if unknown.
  std::int64_t UnixMs_ = 0;
  /// Names of the cordons that an accepted change added or moved to another
  /// zone.
  std::vector<std::string> Cordons_;
};

/// Number of records by outcome; only records read while the state was known
/// are counted.
struct RecordCounts {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Stale_ = 0;
  std::uint64_t Invalid_ = 0;
  std::uint64_t Corrupt_ = 0;
  std::uint64_t Foreign_ = 0;
  std::uint64_t Snapshots_ = 0;
};

/// Replicated state machine: derives the configuration from the records of the
/// log in their order. Readers that have read up to the same offset without a
/// gap have the same state.
class ConfigStateMachine {
public:
  /// Call with each answer of the log, before its records are applied. First is
  /// the oldest retained offset. If records have expired unread, the reader
  /// continues at First and evaluates no change before a usable snapshot; it
  /// keeps its version.
  void onFirstRetained(std::uint64_t First);

  /// Evaluates the record at nextOffset(). A snapshot that gives a reader its
  /// state moves nextOffset() back to the offset at which it was taken; a
  /// record that needs newer rules leaves it unchanged.
  EvaluatedRecord apply(const std::string &Data);

  /// Offset of the next record to read.
  std::uint64_t nextOffset() const { return NextOffset_; }
  /// True if the state was derived from the log without a gap.
  bool isStateKnown() const { return StateKnown_; }
  /// True if the reader has stopped before a record that needs newer rules.
  bool stalled() const { return Stalled_; }
  ConfigVersion version() const { return State_->Version_; }
  const AcceptedPtr &state() const { return State_; }
  std::uint64_t firstRetained() const { return FirstRetained_; }
  /// Offset from which records are replayed on top of the last usable snapshot,
  /// if they are still retained.
  std::optional<std::uint64_t> lastSnapshotOffset() const;
  const RecordCounts &counts() const { return Counts_; }
  /// The latest evaluated changes, oldest first.
  const std::deque<EvaluatedRecord> &history() const { return History_; }

private:
  EvaluatedRecord evaluate(const ChangeRecord &Change);
  EvaluatedRecord evaluate(const SnapshotRecord &Snapshot);
  void setState(AcceptedPtr State);
  bool matchesRecentVersion(const SnapshotRecord &Snapshot) const;
  void countOutcome(RecordOutcome J);

  AcceptedPtr State_ = std::make_shared<AcceptedConfig>();
  bool HasPosition_ = false;
  bool StateKnown_ = false;
  bool Stalled_ = false;
  std::uint64_t FirstRetained_ = 0;
  std::uint64_t NextOffset_ = 0;
  std::uint64_t CurrentOffset_ = 0;
  std::optional<std::uint64_t> LastSnapshotOffset_;
  RecordCounts Counts_;
  std::deque<EvaluatedRecord> History_;
  /// Hashes of the latest versions, used to recognise snapshots of them.
  std::deque<std::pair<ConfigVersion, std::uint64_t>> RecentHashes_;
};

} // namespace chivelanding

#endif
