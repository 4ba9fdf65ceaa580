#include "config_state_machine.h"
#include "config_check.h"
#include "digest.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Number of evaluated changes that history() keeps, without their TOML texts.
constexpr std::size_t MaxHistory = 256;
// Number of versions whose snapshots are recognised. A snapshot is written
// within seconds of its state, and 1,700 changes a day are one in 50 s.
constexpr std::size_t MaxRecentVersions = 64;

std::vector<std::string> addedCordons(const ConfigSet &Before,
                                      const ConfigSet &After) {
  std::vector<std::string> Names;
  for (const ConfigObject *Cordon : After.all(ObjectType::Cordon)) {
    const ConfigObject *Old = Before.find(ObjectType::Cordon, Cordon->Name_);
    if (!Old || Old->text("zone") != Cordon->text("zone"))
      Names.push_back(Cordon->Name_);
  }
  return Names;
}

} // namespace

Result<AcceptedPtr> makeAcceptedConfig(ConfigVersion Version,
                                       const std::string &Toml) {
  ParsedConfig Parsed = checkConfig({{"set", Toml}});
  if (!Parsed.Problems_.empty()) {
    std::string Detail;
    for (const ConfigProblem &P : Parsed.Problems_)
      Detail.append(Detail.empty() ? "" : "\n").append(P.str());
    return Error{"invalid_set", "check configuration", "", Detail};
  }
  auto State = std::make_shared<AcceptedConfig>();
  State->Version_ = Version;
  State->Toml_ = Parsed.Set_.toml();
  State->Hash_ = shortDigest(State->Toml_);
  State->Set_ = std::move(Parsed.Set_);
  return AcceptedPtr(std::move(State));
}

const char *recordOutcomeName(RecordOutcome J) {
  static constexpr const char *Names[] = {
      "accepted",        "refused_stale",    "refused_invalid",
      "snapshot",        "snapshot_ignored", "skipped_corrupt",
      "skipped_foreign", "not_yet_judged",   "newer_rules"};
  return Names[static_cast<std::size_t>(J)];
}

// An empty log begins at offset 0 with version 0. If the first records of a log
// have expired, the reader has no state before it reads a usable snapshot.
void ConfigStateMachine::onFirstRetained(std::uint64_t First) {
  FirstRetained_ = std::max(FirstRetained_, First);
  if (!HasPosition_) {
    HasPosition_ = true;
    NextOffset_ = First;
    StateKnown_ = First == 0;
    return;
  }
  if (First > NextOffset_) {
    NextOffset_ = First;
    StateKnown_ = false;
    Stalled_ = false;
  }
}

std::optional<std::uint64_t> ConfigStateMachine::lastSnapshotOffset() const {
  if (!LastSnapshotOffset_ || *LastSnapshotOffset_ < FirstRetained_)
    return std::nullopt;
  return LastSnapshotOffset_;
}

EvaluatedRecord ConfigStateMachine::apply(const std::string &Data) {
  CurrentOffset_ = NextOffset_;
  ++NextOffset_;
  const bool StateWasKnown = StateKnown_;
  const Result<ConfigRecord> Record = decodeRecord(Data);
  EvaluatedRecord Evaluated;
  if (!ok(Record)) {
    Evaluated.Outcome_ = error(Record).Code_ == "foreign"
                             ? RecordOutcome::SkippedForeign
                             : RecordOutcome::SkippedCorrupt;
    Evaluated.Detail_ = error(Record).Detail_;
  } else {
    Evaluated = std::visit([this](const auto &Body) { return evaluate(Body); },
                           value(Record));
  }
  Evaluated.Offset_ = CurrentOffset_;
  Evaluated.Version_ = version();
  if (StateWasKnown)
    countOutcome(Evaluated.Outcome_);
  const bool IsChange = Evaluated.Outcome_ <= RecordOutcome::RefusedInvalid;
  if (IsChange) {
    History_.push_back(Evaluated);
    if (History_.size() > MaxHistory)
      History_.pop_front();
  }
  return Evaluated;
}

// The base is checked first, so that programs with old and new rules refuse a
// stale change alike. The rules are checked next, because a program that does
// not implement them cannot tell a valid set from an invalid one: it stops
// rather than reach another state than other readers.
EvaluatedRecord ConfigStateMachine::evaluate(const ChangeRecord &Change) {
  EvaluatedRecord Evaluated;
  Evaluated.Id_ = Change.Id_;
  Evaluated.Base_ = Change.Base_;
  Evaluated.Author_ = Change.Author_;
  Evaluated.Reason_ = Change.Reason_;
  Evaluated.UnixMs_ = Change.UnixMs_;
  if (!StateKnown_) {
    Evaluated.Outcome_ = RecordOutcome::NotYetEvaluated;
    return Evaluated;
  }
  if (Change.Base_ != version()) {
    Evaluated.Outcome_ = RecordOutcome::RefusedStale;
    Evaluated.Detail_ =
        "the version in force was " + std::to_string(version().value());
    return Evaluated;
  }
  if (Change.Rules_ > CheckRulesVersion) {
    Stalled_ = true;
    NextOffset_ = CurrentOffset_;
    Evaluated.Outcome_ = RecordOutcome::NewerRules;
    return Evaluated;
  }
  if (Change.Id_.empty() || Change.Author_.empty() || Change.Reason_.empty()) {
    Evaluated.Outcome_ = RecordOutcome::RefusedInvalid;
    Evaluated.Detail_ = "id, author or reason is missing";
    return Evaluated;
  }
  Result<AcceptedPtr> State =
      makeAcceptedConfig(ConfigVersion(version().value() + 1), Change.Toml_);
  if (!ok(State)) {
    Evaluated.Outcome_ = RecordOutcome::RefusedInvalid;
    Evaluated.Detail_ = error(State).Detail_;
    return Evaluated;
  }
  Evaluated.Cordons_ = addedCordons(State_->Set_, value(State)->Set_);
  setState(value(std::move(State)));
  Evaluated.Outcome_ = RecordOutcome::Accepted;
  return Evaluated;
}

// A reader without a state adopts a snapshot only if every record since the
// snapshot was taken is still retained, and then goes back to the offset at
// which it was taken. It thereby evaluates a change that was accepted between
// taking and writing the snapshot as every other reader does, and an old
// snapshot that was written late never restores an older state.
EvaluatedRecord ConfigStateMachine::evaluate(const SnapshotRecord &Snapshot) {
  EvaluatedRecord Evaluated;
  Evaluated.Author_ = Snapshot.Writer_;
  Evaluated.Outcome_ = RecordOutcome::SnapshotIgnored;
  if (Snapshot.AsOf_ > CurrentOffset_)
    return Evaluated;
  if (StateKnown_) {
    if (matchesRecentVersion(Snapshot)) {
      LastSnapshotOffset_ =
          std::max(LastSnapshotOffset_.value_or(0), Snapshot.AsOf_);
      Evaluated.Outcome_ = RecordOutcome::SnapshotUsable;
    }
    return Evaluated;
  }
  if (Snapshot.AsOf_ < FirstRetained_ || Snapshot.Version_ < version())
    return Evaluated;
  if (Snapshot.Rules_ > CheckRulesVersion) {
    Stalled_ = true;
    NextOffset_ = CurrentOffset_;
    Evaluated.Outcome_ = RecordOutcome::NewerRules;
    return Evaluated;
  }
  Result<AcceptedPtr> State =
      makeAcceptedConfig(Snapshot.Version_, Snapshot.Toml_);
  if (!ok(State))
    return Evaluated;
  setState(value(std::move(State)));
  StateKnown_ = true;
  NextOffset_ = Snapshot.AsOf_;
  LastSnapshotOffset_ = Snapshot.AsOf_;
  Evaluated.Outcome_ = RecordOutcome::SnapshotUsable;
  return Evaluated;
}

bool ConfigStateMachine::matchesRecentVersion(
    const SnapshotRecord &Snapshot) const {
  const std::uint64_t Hash = shortDigest(Snapshot.Toml_);
  return std::any_of(
      RecentHashes_.begin(), RecentHashes_.end(), [&](const auto &Entry) {
        return Entry.first == Snapshot.Version_ && Entry.second == Hash;
      });
}

void ConfigStateMachine::setState(AcceptedPtr State) {
  State_ = std::move(State);
  RecentHashes_.emplace_back(State_->Version_, State_->Hash_);
  if (RecentHashes_.size() > MaxRecentVersions)
    RecentHashes_.pop_front();
}

void ConfigStateMachine::countOutcome(RecordOutcome J) {
  switch (J) {
  case RecordOutcome::Accepted:
    ++Counts_.Accepted_;
    break;
  case RecordOutcome::RefusedStale:
    ++Counts_.Stale_;
    break;
  case RecordOutcome::RefusedInvalid:
    ++Counts_.Invalid_;
    break;
  case RecordOutcome::SkippedCorrupt:
    ++Counts_.Corrupt_;
    break;
  case RecordOutcome::SkippedForeign:
    ++Counts_.Foreign_;
    break;
  case RecordOutcome::SnapshotUsable:
    ++Counts_.Snapshots_;
    break;
  default:
    break;
  }
}

} // namespace chivelanding
