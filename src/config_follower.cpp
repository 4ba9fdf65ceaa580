#include "config_follower.h"
#include "config_check.h"
#include "digest.h"

#include <algorithm>
#include <limits>

namespace chivelanding {

namespace {

// A snapshot is due when less than a quarter of the retained records are older
// than the last one. About a quarter of the retention time is then left for
// further attempts.
constexpr std::uint64_t SnapshotDivisor = 4;
// Changes that may be pending at once, including the one being published.
constexpr std::size_t MaxPendingChanges = 64;

} // namespace

const char *publishOutcomeName(PublishOutcome O) {
  static constexpr const char *Names[] = {"accepted", "refused_stale",
                                          "refused_invalid", "not_published",
                                          "unknown"};
  return Names[static_cast<std::size_t>(O)];
}

ConfigFollower::ConfigFollower(FollowerOptions Options)
    : Options_(std::move(Options)), Random_(Options_.Seed_) {}

Duration ConfigFollower::jitter(Duration Limit) {
  if (Limit.count() <= 0)
    return Duration(0);
  return Duration(
      std::uniform_int_distribution<std::int64_t>(0, Limit.count())(Random_));
}

FollowerOutputs ConfigFollower::start(Time) {
  FollowerOutputs Out;
  read(Duration(0), Out);
  return Out;
}

// Only the answer to the newest read is used: a read that must see the present
// end of the log replaces a long poll that is still waiting.
void ConfigFollower::read(Duration Wait, FollowerOutputs &Out) {
  ReadSequence_ = ++Sequence_;
  ReadOutstanding_ = true;
  ReadAt_.reset();
  Out.push_back(ReadLog{ReadSequence_, StateMachine_.nextOffset(),
                        Options_.BatchRecords_, Wait});
}

FollowerOutputs ConfigFollower::onRead(std::uint64_t Sequence,
                                       const LogBatch &Batch, Time Now) {
  FollowerOutputs Out;
  if (Sequence != ReadSequence_ || !ReadOutstanding_)
    return Out;
  ReadOutstanding_ = false;
  ReadBackoff_ = Duration(0);
  if (!Reachable_) {
    Reachable_ = true;
    Out.push_back(LogReachable{true, ""});
  }
  applyBatch(Batch, Now, Out);
  // Only an answer without records shows that none follow: the log may bound an
  // answer to fewer records than were asked for.
  CaughtUp_ = Batch.Records_.empty() && !StateMachine_.stalled();
  advancePublish(Now, Out);
  advanceSnapshot(Now, Out);
  if (ReadOutstanding_)
    return Out;
  if (StateMachine_.stalled())
    ReadAt_ = Now + Options_.MaxBackoff_;
  else
    read(CaughtUp_ ? Options_.PollWait_ : Duration(0), Out);
  return Out;
}

void ConfigFollower::applyBatch(const LogBatch &Batch, Time Now,
                                FollowerOutputs &Out) {
  StateMachine_.onFirstRetained(Batch.FirstRetained_);
  std::uint64_t Offset = Batch.FromOffset_;
  for (const std::string &Data : Batch.Records_) {
    if (Offset++ != StateMachine_.nextOffset())
      continue;
    const ConfigVersion Before = StateMachine_.version();
    const EvaluatedRecord Evaluated = StateMachine_.apply(Data);
    Out.push_back(RecordEvaluated{Evaluated});
    if (StateMachine_.version() != Before)
      Out.push_back(StateAccepted{StateMachine_.state()});
    onRecordEvaluated(Evaluated, Now, Out);
    if (StateMachine_.nextOffset() < Offset)
      return;
  }
}

void ConfigFollower::onRecordEvaluated(const EvaluatedRecord &Evaluated,
                                       Time Now, FollowerOutputs &Out) {
  if (Evaluated.Outcome_ == RecordOutcome::SnapshotUsable) {
    LastSnapshotSeenAt_ = Now;
    NextSnapshotAt_.reset();
    SnapshotReadSequence_ = 0;
  }
  if (PendingChanges_.empty() || Evaluated.Id_.empty())
    return;
  // A change that is made again on a new version keeps its id, so a late copy
  // of its first record is told apart by the base.
  const PendingChange &P = PendingChanges_.front();
  if (P.Data_.empty() || Evaluated.Id_ != P.Change_.Id_ ||
      Evaluated.Base_ != P.Change_.Base_)
    return;
  switch (Evaluated.Outcome_) {
  case RecordOutcome::Accepted:
    return endPublish(PublishOutcome::Accepted, "", Now, Out);
  case RecordOutcome::RefusedStale:
    return endPublish(PublishOutcome::RefusedStale, Evaluated.Detail_, Now,
                      Out);
  case RecordOutcome::RefusedInvalid:
    return endPublish(PublishOutcome::RefusedInvalid, Evaluated.Detail_, Now,
                      Out);
  default:
    return;
  }
}

FollowerOutputs ConfigFollower::onReadFailed(std::uint64_t Sequence,
                                             const Error &E, Time Now) {
  FollowerOutputs Out;
  if (Sequence != ReadSequence_ || !ReadOutstanding_)
    return Out;
  ReadOutstanding_ = false;
  CaughtUp_ = false;
  if (Reachable_) {
    Reachable_ = false;
    Out.push_back(LogReachable{false, E.str()});
  }
  ReadBackoff_ = std::min(std::max(ReadBackoff_ * 2, Options_.FirstBackoff_),
                          Options_.MaxBackoff_);
  ReadAt_ = Now + ReadBackoff_ / 2 + jitter(ReadBackoff_ / 2);
  return Out;
}

FollowerOutputs ConfigFollower::publish(ChangeRecord Change, Time Now) {
  PendingChange P;
  Change.Rules_ = requiredRules(Change.Toml_);
  P.Data_ = encodeRecord(Change);
  P.Change_ = std::move(Change);
  return enqueue(std::move(P), Now);
}

// The outstanding read may have been answered already, so that a record
// accepted before this call could be missing from it: only a later read counts.
FollowerOutputs ConfigFollower::confirm(ChangeRecord Change, Time Now) {
  PendingChange P;
  P.Change_ = std::move(Change);
  P.Stage_ = Stage::ReadingBack;
  P.LastStaleRead_ = Sequence_;
  FollowerOutputs Out = enqueue(std::move(P), Now);
  if (ReadOutstanding_)
    read(Duration(0), Out);
  return Out;
}

FollowerOutputs ConfigFollower::enqueue(PendingChange P, Time Now) {
  FollowerOutputs Out;
  if (PendingChanges_.size() >= MaxPendingChanges) {
    Out.push_back(PublishEnded{P.Change_.Id_, PublishOutcome::NotPublished,
                               StateMachine_.version(),
                               "too many publications are waiting"});
    return Out;
  }
  P.Deadline_ = Now + Options_.PublishTimeout_;
  P.RetryAt_ = Now;
  PendingChanges_.push_back(std::move(P));
  advancePublish(Now, Out);
  return Out;
}

void ConfigFollower::endPublish(PublishOutcome Outcome,
                                const std::string &Detail, Time,
                                FollowerOutputs &Out) {
  Out.push_back(PublishEnded{PendingChanges_.front().Change_.Id_, Outcome,
                             StateMachine_.version(), Detail});
  PendingChanges_.pop_front();
}

// Advances the first pending change as far as possible without an answer of the
// log. A record is appended again only after a read that began after the answer
// was lost has reached the end of the log without finding it. If the first copy
// is written later all the same, only one of the two can be accepted, because
// both have the same base.
void ConfigFollower::advancePublish(Time Now, FollowerOutputs &Out) {
  while (!PendingChanges_.empty()) {
    PendingChange &P = PendingChanges_.front();
    if (Now >= P.Deadline_) {
      const bool MaybeWritten = P.MaybeWritten_ || P.Stage_ == Stage::Appending;
      endPublish(MaybeWritten ? PublishOutcome::Unknown
                              : PublishOutcome::NotPublished,
                 P.LastError_.empty() ? "the log did not answer in time"
                                      : P.LastError_,
                 Now, Out);
      continue;
    }
    if (P.Stage_ == Stage::Waiting && CaughtUp_ &&
        StateMachine_.isStateKnown() &&
        P.Change_.Base_ != StateMachine_.version()) {
      endPublish(PublishOutcome::RefusedStale, "the base is not in force", Now,
                 Out);
      continue;
    }
    const bool ReadReachedEnd = CaughtUp_ && ReadSequence_ > P.LastStaleRead_ &&
                                !ReadOutstanding_ &&
                                StateMachine_.isStateKnown();
    if (P.Data_.empty()) {
      if (!ReadReachedEnd)
        return;
      const bool IsInForce = P.Change_.Base_ == StateMachine_.version();
      endPublish(IsInForce ? PublishOutcome::Accepted
                           : PublishOutcome::RefusedStale,
                 IsInForce ? "" : "the base is not in force", Now, Out);
      continue;
    }
    if (P.Stage_ == Stage::ReadingBack && ReadReachedEnd)
      P.Stage_ = Stage::Waiting;
    if (P.Stage_ == Stage::Waiting && CaughtUp_ &&
        StateMachine_.isStateKnown() && Now >= P.RetryAt_)
      append(P, Out);
    return;
  }
}

void ConfigFollower::append(PendingChange &P, FollowerOutputs &Out) {
  P.Stage_ = Stage::Appending;
  P.Sequence_ = ++Sequence_;
  Out.push_back(AppendLog{P.Sequence_, P.Data_});
}

FollowerOutputs ConfigFollower::onAppended(std::uint64_t Sequence,
                                           std::uint64_t, Time Now) {
  FollowerOutputs Out;
  if (Sequence == SnapshotSequence_)
    SnapshotSequence_ = 0;
  if (PendingChanges_.empty() || PendingChanges_.front().Sequence_ != Sequence)
    return Out;
  PendingChange &P = PendingChanges_.front();
  if (P.Stage_ != Stage::Appending)
    return Out;
  P.Stage_ = Stage::AwaitingRead;
  P.MaybeWritten_ = true;
  advancePublish(Now, Out);
  return Out;
}

bool ConfigFollower::scheduleRetry(PendingChange &P, Time Now) {
  P.Backoff_ = std::min(std::max(P.Backoff_ * 2, Options_.FirstBackoff_),
                        Options_.MaxBackoff_);
  P.RetryAt_ = Now + P.Backoff_ / 2 + jitter(P.Backoff_ / 2);
  return P.RetryAt_ < P.Deadline_;
}

FollowerOutputs ConfigFollower::onAppendFailed(std::uint64_t Sequence,
                                               const Error &E, bool NotWritten,
                                               Time Now) {
  FollowerOutputs Out;
  if (Sequence == SnapshotSequence_)
    SnapshotSequence_ = 0;
  if (PendingChanges_.empty() || PendingChanges_.front().Sequence_ != Sequence)
    return Out;
  PendingChange &P = PendingChanges_.front();
  if (P.Stage_ != Stage::Appending)
    return Out;
  P.LastError_ = E.str();
  scheduleRetry(P, Now);
  if (NotWritten) {
    P.Stage_ = Stage::Waiting;
  } else {
    P.Stage_ = Stage::ReadingBack;
    P.MaybeWritten_ = true;
    P.LastStaleRead_ = Sequence_;
    if (ReadOutstanding_)
      read(Duration(0), Out);
  }
  advancePublish(Now, Out);
  return Out;
}

void ConfigFollower::setSnapshotWriters(std::vector<std::string> Names) {
  SnapshotWriters_ = std::move(Names);
}

// A process that has seen no snapshot since its start does not know the age of
// the last one and treats a snapshot as due. The read before writing keeps this
// to one snapshot when several processes start together.
bool ConfigFollower::isSnapshotDue(Time Now) const {
  if (!Options_.WritesSnapshots_ || !StateMachine_.isStateKnown() ||
      StateMachine_.version().value() == 0 || StateMachine_.stalled())
    return false;
  const auto Last = StateMachine_.lastSnapshotOffset();
  if (!Last || !LastSnapshotSeenAt_ ||
      Now - *LastSnapshotSeenAt_ >= Options_.SnapshotInterval_)
    return true;
  const std::uint64_t First = StateMachine_.firstRetained();
  return First > 0 &&
         *Last - First < (StateMachine_.nextOffset() - First) / SnapshotDivisor;
}

// Each writer ranks itself by a hash of its name and the version, so that
// different processes write successive snapshots. The ranks are one rank delay
// apart and the jitter is at most half of it.
Duration ConfigFollower::snapshotDelay() {
  const std::string Salt = std::to_string(StateMachine_.version().value());
  const std::uint64_t Own = shortDigest(Salt + Options_.Name_);
  const auto Rank = std::count_if(
      SnapshotWriters_.begin(), SnapshotWriters_.end(), [&](const auto &Name) {
        return Name != Options_.Name_ && shortDigest(Salt + Name) < Own;
      });
  return Rank * Options_.SnapshotRankDelay_ +
         jitter(Options_.SnapshotRankDelay_ / 2);
}

// The snapshot is written only after a read that began when the snapshot was
// due has reached the end of the log without finding another one.
void ConfigFollower::advanceSnapshot(Time Now, FollowerOutputs &Out) {
  if (!isSnapshotDue(Now)) {
    NextSnapshotAt_.reset();
    SnapshotReadSequence_ = 0;
    return;
  }
  if (!NextSnapshotAt_) {
    if (CaughtUp_)
      NextSnapshotAt_ = Now + snapshotDelay();
    return;
  }
  if (Now < *NextSnapshotAt_ || SnapshotSequence_ != 0)
    return;
  if (SnapshotReadSequence_ == 0) {
    SnapshotReadSequence_ = Sequence_ + 1;
    if (Reachable_)
      read(Duration(0), Out);
    return;
  }
  if (CaughtUp_ && !ReadOutstanding_ && ReadSequence_ >= SnapshotReadSequence_)
    writeSnapshot(Now, Out);
}

void ConfigFollower::writeSnapshot(Time Now, FollowerOutputs &Out) {
  SnapshotRecord Snapshot;
  Snapshot.Version_ = StateMachine_.version();
  Snapshot.AsOf_ = StateMachine_.nextOffset();
  Snapshot.Writer_ = Options_.Name_;
  Snapshot.Toml_ = StateMachine_.state()->Toml_;
  Snapshot.Rules_ = requiredRules(Snapshot.Toml_);
  SnapshotSequence_ = ++Sequence_;
  Out.push_back(AppendLog{SnapshotSequence_, encodeRecord(Snapshot)});
  SnapshotReadSequence_ = 0;
  NextSnapshotAt_ = Now + Options_.MaxBackoff_ + snapshotDelay();
}

FollowerOutputs ConfigFollower::tick(Time Now) {
  FollowerOutputs Out;
  if (ReadAt_ && Now >= *ReadAt_)
    read(Duration(0), Out);
  advancePublish(Now, Out);
  advanceSnapshot(Now, Out);
  return Out;
}

std::optional<Time> ConfigFollower::nextTimer() const {
  std::optional<Time> Next = ReadAt_;
  const auto Consider = [&Next](Time At) {
    if (!Next || At < *Next)
      Next = At;
  };
  if (!PendingChanges_.empty()) {
    const PendingChange &P = PendingChanges_.front();
    Consider(P.Deadline_);
    if (P.Stage_ == Stage::Waiting && CaughtUp_ && StateMachine_.isStateKnown())
      Consider(P.RetryAt_);
  }
  if (NextSnapshotAt_ && SnapshotReadSequence_ == 0 && SnapshotSequence_ == 0)
    Consider(*NextSnapshotAt_);
  else if (!NextSnapshotAt_ && LastSnapshotSeenAt_ &&
           Options_.WritesSnapshots_ && CaughtUp_ &&
           StateMachine_.isStateKnown())
    Consider(*LastSnapshotSeenAt_ + Options_.SnapshotInterval_);
  return Next;
}

} // namespace chivelanding
