#include "fake_log.h"

#include <catch2/catch.hpp>

#include <set>

using namespace chivelanding;

namespace {

std::string quotaSet(int Value) {
  return "[[quota]]\nname = \"q\"\nrunning = " + std::to_string(Value) + "\n";
}

std::string encodeChange(const std::string &Id, std::uint64_t Base, int Value,
                         std::uint32_t Rules = 1) {
  return encodeRecord(ChangeRecord{Id, ConfigVersion(Base), "ada", "test",
                                   quotaSet(Value), Rules});
}

std::string encodeSnapshot(std::uint64_t Version, std::uint64_t AsOf,
                           int Value) {
  return encodeRecord(SnapshotRecord{ConfigVersion(Version), AsOf, "entry",
                                     quotaSet(Value), 1});
}

// Applies the records from First to the end, and goes back with the reader when
// it adopts a snapshot.
ConfigStateMachine readAll(const std::vector<std::string> &Log,
                           std::uint64_t First = 0) {
  ConfigStateMachine P;
  P.onFirstRetained(First);
  while (P.nextOffset() < Log.size() && !P.stalled())
    P.apply(Log[P.nextOffset()]);
  return P;
}

} // namespace

// Guards against two accepted changes with the same base, and against corrupt,
// foreign or invalid records that stop the reader or change the version.
TEST_CASE("Only the first change with a given base is accepted",
          "[publication]") {
  std::string Damaged = encodeChange("d", 1, 9);
  Damaged[Damaged.size() / 2] ^= 1;
  const std::vector<std::string> Log = {
      encodeChange("a", 0, 1), "somebody else's record",
      encodeChange("b", 0, 2), Damaged,
      encodeChange("c", 1, 0), encodeChange("e", 1, 3).substr(0, 90),
      encodeChange("f", 1, 4), encodeChange("g", 1, 5)};
  const ConfigStateMachine P = readAll(Log);
  CHECK(P.version() == ConfigVersion(2));
  CHECK(P.state()->Toml_ == quotaSet(4));
  CHECK(P.counts().Accepted_ == 2);
  CHECK(P.counts().Stale_ == 2);
  CHECK(P.counts().Invalid_ == 1);
  CHECK(P.counts().Corrupt_ == 2);
  CHECK(P.counts().Foreign_ == 1);
}

// Guards against a snapshot that was written late and restores the state before
// a change that was accepted between taking and writing it.
TEST_CASE("A snapshot written late does not restore an older state",
          "[publication]") {
  const std::vector<std::string> Log = {
      encodeChange("a", 0, 1), encodeChange("b", 1, 2), encodeSnapshot(1, 1, 1),
      encodeChange("c", 2, 3)};
  CHECK(readAll(Log).version() == ConfigVersion(3));
  // The reader starts at the offset at which the snapshot was taken.
  const ConfigStateMachine Late = readAll(Log, 1);
  CHECK(Late.isStateKnown());
  CHECK(Late.version() == ConfigVersion(3));
  CHECK(Late.state()->Toml_ == quotaSet(3));
  // The change between taking and writing the snapshot has expired, so the
  // snapshot is not usable.
  const ConfigStateMachine TooLate = readAll(Log, 2);
  CHECK_FALSE(TooLate.isStateKnown());
  CHECK(TooLate.version() == ConfigVersion(0));
}

// Guards against a forged or wrong snapshot that replaces a state derived from
// the log.
TEST_CASE("A snapshot that contradicts the log is ignored", "[publication]") {
  const std::vector<std::string> Log = {
      encodeChange("a", 0, 1), encodeSnapshot(1, 1, 7), encodeSnapshot(5, 1, 5),
      encodeSnapshot(1, 90, 1)};
  const ConfigStateMachine P = readAll(Log);
  CHECK(P.version() == ConfigVersion(1));
  CHECK(P.state()->Toml_ == quotaSet(1));
  CHECK_FALSE(P.lastSnapshotOffset());
}

// Guards against a program with old validation rules that evaluates a change
// differently from programs that have the new ones.
TEST_CASE("A reader stops before a change with newer rules", "[publication]") {
  const std::vector<std::string> Log = {
      encodeChange("a", 0, 1), encodeChange("old", 0, 1, 99),
      encodeChange("b", 1, 2, 99), encodeChange("c", 1, 3)};
  const ConfigStateMachine P = readAll(Log);
  CHECK(P.stalled());
  CHECK(P.version() == ConfigVersion(1));
  CHECK(P.nextOffset() == 2);
}

// Guards against a reader that falls behind the retention of the log and
// continues as if it had read the expired records.
TEST_CASE("A reader that missed records waits for a snapshot",
          "[publication]") {
  const std::vector<std::string> Log = {
      encodeChange("a", 0, 1), encodeChange("b", 1, 2), encodeChange("c", 2, 3),
      encodeSnapshot(3, 3, 3), encodeChange("d", 3, 4)};
  ConfigStateMachine P;
  P.onFirstRetained(0);
  P.apply(Log[0]);
  P.onFirstRetained(2);
  REQUIRE(P.nextOffset() == 2);
  P.apply(Log[2]);
  CHECK(P.version() == ConfigVersion(1));
  CHECK_FALSE(P.isStateKnown());
  while (P.nextOffset() < Log.size())
    P.apply(Log[P.nextOffset()]);
  CHECK(P.version() == ConfigVersion(4));
}

namespace {

// Several publishers make changes, restart and compete under the given faults,
// which then end. Returns after the log has been reachable for 90 s.
void runWithFaults(LogSimulation &Sim, const LogFaults &Faults) {
  Sim.runFor(std::chrono::seconds(1));
  Sim.Faults_ = Faults;
  for (int Step = 0; Step < 60; ++Step) {
    const auto Index = Sim.random(Sim.Readers_.size());
    const auto &F = *Sim.Readers_[Index].Follower_;
    Sim.publish(Index, "id-" + std::to_string(Step), F.stateMachine().version(),
                Step);
    if (Sim.random(10) == 0)
      Sim.restart(Sim.random(Sim.Readers_.size()));
    Sim.runFor(std::chrono::milliseconds(Sim.random(1500)));
  }
  Sim.Faults_ = LogFaults();
  Sim.Faults_.Expires_ = Faults.Expires_;
  Sim.runFor(std::chrono::seconds(90));
}

// Replays every record ever written. Returns the ids of accepted changes with
// their versions, and the final state in State.
std::map<std::string, ConfigVersion> acceptedIds(const LogSimulation &Sim,
                                                 AcceptedPtr &State) {
  std::map<std::string, ConfigVersion> Ids;
  std::set<std::string> Seen;
  ConfigStateMachine P;
  P.onFirstRetained(0);
  while (P.nextOffset() < Sim.Written_.size()) {
    const EvaluatedRecord Evaluated = P.apply(Sim.Written_[P.nextOffset()]);
    // The simulated log never writes a record after it has reported a failure,
    // so reading back must prevent every second copy.
    if (!Evaluated.Id_.empty())
      CHECK(Seen.insert(Evaluated.Id_).second);
    if (Evaluated.Outcome_ == RecordOutcome::Accepted)
      REQUIRE(Ids.emplace(Evaluated.Id_, Evaluated.Version_).second);
  }
  State = P.state();
  return Ids;
}

void checkOutcomes(const LogSimulation &Sim) {
  AcceptedPtr State;
  const auto Ids = acceptedIds(Sim, State);
  CHECK(State->Version_.value() > 0);
  for (const auto &R : Sim.Readers_) {
    INFO(R.Name_);
    CHECK_FALSE(R.VersionDecreased_);
    CHECK(R.Follower_->stateMachine().version() == State->Version_);
    CHECK(R.Follower_->stateMachine().state()->Hash_ == State->Hash_);
  }
  for (const auto &[Id, End] : Sim.Ended_) {
    INFO(Id << " " << publishOutcomeName(End.Outcome_));
    const auto It = Ids.find(Id);
    if (End.Outcome_ == PublishOutcome::Accepted)
      CHECK((It != Ids.end() && It->second == End.Version_));
    else if (End.Outcome_ != PublishOutcome::Unknown)
      CHECK(It == Ids.end());
  }
}

} // namespace

// Guards against readers that end with different versions, versions that
// decrease and wrong publish outcomes, under each fault of the log and each
// pair of faults.
TEST_CASE("All readers reach the same state after any two faults of the log",
          "[publication]") {
  using Flag = bool LogFaults::*;
  constexpr Flag Flags[] = {&LogFaults::Outage_,       &LogFaults::Slow_,
                            &LogFaults::LosesAnswers_, &LogFaults::Expires_,
                            &LogFaults::LimitsRate_,   &LogFaults::Corrupts_};
  for (std::size_t A = 0; A < std::size(Flags); ++A)
    for (std::size_t B = A; B < std::size(Flags); ++B)
      for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
        LogFaults Faults;
        Faults.*Flags[A] = true;
        Faults.*Flags[B] = true;
        INFO("faults " << A << " " << B << " seed " << Seed);
        LogSimulation Sim(Seed, 4);
        runWithFaults(Sim, Faults);
        checkOutcomes(Sim);
      }
}

// Guards against several processes writing the same snapshot, and against
// records that expire before a snapshot covers them.
TEST_CASE("Each snapshot is written by one process before records expire",
          "[publication]") {
  LogSimulation Sim(7, 5);
  Sim.Faults_.Expires_ = true;
  Sim.runFor(std::chrono::seconds(1));
  for (int Step = 0; Step < 120; ++Step) {
    const auto &F = *Sim.Readers_[0].Follower_;
    Sim.publish(0, "id-" + std::to_string(Step), F.stateMachine().version(),
                Step);
    Sim.runFor(std::chrono::seconds(2));
  }
  // In four minutes one snapshot follows the first change and then one each
  // minute; the retention of 40 records never requires more.
  CHECK(Sim.SnapshotsWritten_ >= 4);
  CHECK(Sim.SnapshotsWritten_ <= 7);
  Sim.startReader("late");
  Sim.runFor(std::chrono::seconds(1));
  CHECK(Sim.Readers_.back().Follower_->stateMachine().version() ==
        Sim.Readers_[0].Follower_->stateMachine().version());
  CHECK(Sim.FirstRetained_ > 0);
}

// Guards against a second snapshot by a process that has not yet read the one
// that another process has just written.
TEST_CASE("A snapshot is not written when a fresh read finds one",
          "[publication]") {
  FollowerOptions Options;
  Options.Name_ = "entry";
  ConfigFollower F(Options);
  const auto LastRead = [](const FollowerOutputs &Out) {
    for (const FollowerOutput &O : Out)
      CHECK_FALSE(std::holds_alternative<AppendLog>(O));
    REQUIRE_FALSE(Out.empty());
    return std::get<ReadLog>(Out.back());
  };
  Time Now;
  auto Read = LastRead(F.start(Now));
  Read = LastRead(
      F.onRead(Read.Sequence_, {0, 1, 0, {encodeChange("a", 0, 1)}}, Now));
  Read = LastRead(F.onRead(Read.Sequence_, {0, 1, 1, {}}, Now));
  const auto At = F.nextTimer();
  REQUIRE(At);
  Now = *At;
  Read = LastRead(F.tick(Now));
  SECTION("another process has written a snapshot") {
    LastRead(
        F.onRead(Read.Sequence_, {0, 2, 1, {encodeSnapshot(1, 1, 1)}}, Now));
  }
  SECTION("no other process has written a snapshot") {
    const auto Out = F.onRead(Read.Sequence_, {0, 1, 1, {}}, Now);
    REQUIRE_FALSE(Out.empty());
    CHECK(std::holds_alternative<AppendLog>(Out.front()));
  }
}

// Guards against a version that is confirmed although a later one is in force,
// which the log's bounded answer did not contain.
TEST_CASE("A version is confirmed only at the end of the log",
          "[publication]") {
  ConfigFollower F{FollowerOptions()};
  Time Now;
  FollowerOutputs Out = F.start(Now);
  const auto Answer = [&](const LogBatch &Batch) {
    const std::uint64_t Sequence = std::get<ReadLog>(Out.back()).Sequence_;
    Out = F.onRead(Sequence, Batch, Now);
  };
  const auto Outcome = [&]() -> std::optional<PublishOutcome> {
    for (const FollowerOutput &O : Out)
      if (const auto *Ended = std::get_if<PublishEnded>(&O))
        return Ended->Outcome_;
    return std::nullopt;
  };
  ChangeRecord Change;
  Change.Id_ = "check";
  Change.Base_ = ConfigVersion(1);
  Out = F.confirm(Change, Now);
  Answer({0, 1, 0, {encodeChange("a", 0, 1)}});
  CHECK(F.stateMachine().version() == ConfigVersion(1));
  CHECK_FALSE(Outcome());
  CHECK_FALSE(F.caughtUp());
  Answer({0, 2, 1, {encodeChange("b", 1, 2)}});
  CHECK_FALSE(Outcome());
  Answer({0, 2, 2, {}});
  CHECK(Outcome() == PublishOutcome::RefusedStale);
}
