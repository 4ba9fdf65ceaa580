#include "config_state_machine.h"
#include "config_check.h"
#include "digest.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Changes that `history` can show of one reader; texts are not kept.
constexpr std::size_t HistoryLength = 256;
// Versions whose snapshots are recognised. A snapshot is written within
// seconds of its state; 1,700 changes a day are one in 50 s.
constexpr std::size_t RecentVersions = 64;

} // namespace

Result<AcceptedPtr> makeAccepted(ConfigVersion Version,
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

const char *judgementName(Judgement J) {
  static constexpr const char *Names[] = {
      "accepted",        "refused_stale",    "refused_invalid",
      "snapshot",        "snapshot_ignored", "skipped_corrupt",
      "skipped_foreign", "not_yet_judged",   "newer_rules"};
  return Names[static_cast<std::size_t>(J)];
}

// An empty log begins at offset 0 with version 0. A log whose first records
// have expired gives no state before a snapshot.
void Publication::onFirstRetained(std::uint64_t First) {
  First_ = std::max(First_, First);
  if (!Started_) {
    Started_ = true;
    Next_ = First;
    Known_ = First == 0;
    return;
  }
  if (First > Next_) {
    Next_ = First;
    Known_ = false;
    Stalled_ = false;
  }
}

std::optional<std::uint64_t> Publication::lastSnapshot() const {
  if (!LastSnapshot_ || *LastSnapshot_ < First_)
    return std::nullopt;
  return LastSnapshot_;
}

JudgedRecord Publication::apply(const std::string &Data) {
  Current_ = Next_;
  ++Next_;
  const bool WasKnown = Known_;
  const Result<ConfigRecord> Record = decodeRecord(Data);
  JudgedRecord Judged;
  if (!ok(Record)) {
    Judged.Judgement_ = error(Record).Code_ == "foreign"
                            ? Judgement::SkippedForeign
                            : Judgement::SkippedCorrupt;
    Judged.Detail_ = error(Record).Detail_;
  } else {
    Judged = std::visit([this](const auto &Body) { return judge(Body); },
                        value(Record));
  }
  Judged.Offset_ = Current_;
  Judged.Version_ = version();
  if (WasKnown)
    count(Judged.Judgement_);
  const bool IsChange = Judged.Judgement_ <= Judgement::RefusedInvalid;
  if (IsChange) {
    History_.push_back(Judged);
    if (History_.size() > HistoryLength)
      History_.pop_front();
  }
  return Judged;
}

// The base decides before anything else is looked at: a stale change is refused
// by old and new programs alike. The rules decide next, because a program that
// does not know them cannot tell a valid set from an invalid one; it stops
// rather than conclude something that other readers do not.
JudgedRecord Publication::judge(const ChangeRecord &Change) {
  JudgedRecord Judged;
  Judged.Id_ = Change.Id_;
  Judged.Base_ = Change.Base_;
  Judged.Author_ = Change.Author_;
  Judged.Reason_ = Change.Reason_;
  if (!Known_) {
    Judged.Judgement_ = Judgement::NotYetJudged;
    return Judged;
  }
  if (Change.Base_ != version()) {
    Judged.Judgement_ = Judgement::RefusedStale;
    Judged.Detail_ =
        "the version in force was " + std::to_string(version().value());
    return Judged;
  }
  if (Change.Rules_ > CheckRulesVersion) {
    Stalled_ = true;
    Next_ = Current_;
    Judged.Judgement_ = Judgement::NewerRules;
    return Judged;
  }
  if (Change.Id_.empty() || Change.Author_.empty() || Change.Reason_.empty()) {
    Judged.Judgement_ = Judgement::RefusedInvalid;
    Judged.Detail_ = "id, author or reason is missing";
    return Judged;
  }
  Result<AcceptedPtr> State =
      makeAccepted(ConfigVersion(version().value() + 1), Change.Toml_);
  if (!ok(State)) {
    Judged.Judgement_ = Judgement::RefusedInvalid;
    Judged.Detail_ = error(State).Detail_;
    return Judged;
  }
  accept(value(std::move(State)));
  Judged.Judgement_ = Judgement::Accepted;
  return Judged;
}

// A reader without a state adopts a snapshot only if every record since the
// snapshot was taken is still retained, and then goes back to where it was
// taken. A change that was accepted between the taking and the writing of the
// snapshot is thereby judged as by everyone else, and an old snapshot that was
// written late never revives an older state.
JudgedRecord Publication::judge(const SnapshotRecord &Snapshot) {
  JudgedRecord Judged;
  Judged.Author_ = Snapshot.Writer_;
  Judged.Judgement_ = Judgement::SnapshotIgnored;
  if (Snapshot.AsOf_ > Current_)
    return Judged;
  if (Known_) {
    if (isKnownState(Snapshot)) {
      LastSnapshot_ = std::max(LastSnapshot_.value_or(0), Snapshot.AsOf_);
      Judged.Judgement_ = Judgement::SnapshotUsable;
    }
    return Judged;
  }
  if (Snapshot.AsOf_ < First_ || Snapshot.Version_ < version())
    return Judged;
  if (Snapshot.Rules_ > CheckRulesVersion) {
    Stalled_ = true;
    Next_ = Current_;
    Judged.Judgement_ = Judgement::NewerRules;
    return Judged;
  }
  Result<AcceptedPtr> State = makeAccepted(Snapshot.Version_, Snapshot.Toml_);
  if (!ok(State))
    return Judged;
  accept(value(std::move(State)));
  Known_ = true;
  Next_ = Snapshot.AsOf_;
  LastSnapshot_ = Snapshot.AsOf_;
  Judged.Judgement_ = Judgement::SnapshotUsable;
  return Judged;
}

bool Publication::isKnownState(const SnapshotRecord &Snapshot) const {
  const std::uint64_t Hash = shortDigest(Snapshot.Toml_);
  return std::any_of(Recent_.begin(), Recent_.end(), [&](const auto &Entry) {
    return Entry.first == Snapshot.Version_ && Entry.second == Hash;
  });
}

void Publication::accept(AcceptedPtr State) {
  State_ = std::move(State);
  Recent_.emplace_back(State_->Version_, State_->Hash_);
  if (Recent_.size() > RecentVersions)
    Recent_.pop_front();
}

void Publication::count(Judgement J) {
  switch (J) {
  case Judgement::Accepted:
    ++Counts_.Accepted_;
    break;
  case Judgement::RefusedStale:
    ++Counts_.Stale_;
    break;
  case Judgement::RefusedInvalid:
    ++Counts_.Invalid_;
    break;
  case Judgement::SkippedCorrupt:
    ++Counts_.Corrupt_;
    break;
  case Judgement::SkippedForeign:
    ++Counts_.Foreign_;
    break;
  case Judgement::SnapshotUsable:
    ++Counts_.Snapshots_;
    break;
  default:
    break;
  }
}

} // namespace chivelanding
