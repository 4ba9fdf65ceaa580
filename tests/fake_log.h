#ifndef CHIVELANDING_TESTS_FAKE_LOG_H
#define CHIVELANDING_TESTS_FAKE_LOG_H

#include "config_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivelanding {

/// Faults of the log during a simulation.
struct LogFaults {
  bool Outage_ = false;
  bool Slow_ = false;
  bool LosesAnswers_ = false;
  bool Expires_ = false;
  bool LimitsRate_ = false;
  bool Corrupts_ = false;
};

/// Simulation of a log and its readers in virtual time.
class LogSimulation {
public:
  LogSimulation(std::uint64_t Seed, int Readers) : Random_(Seed) {
    for (int I = 0; I < Readers; ++I)
      startReader("entry-" + std::to_string(I));
  }

  struct Reader {
    std::string Name_;
    std::unique_ptr<ConfigFollower> Follower_;
    std::uint64_t Incarnation_ = 0;
    /// True if one incarnation has replaced a version by a lower one.
    bool VersionDecreased_ = false;
    AcceptedPtr State_;
    std::uint64_t StateIncarnation_ = 0;
  };

  LogFaults Faults_;
  /// Every record ever written, by offset.
  std::vector<std::string> Written_;
  std::uint64_t FirstRetained_ = 0;
  std::vector<Reader> Readers_;
  std::map<std::string, PublishEnded> Ended_;
  std::uint64_t SnapshotsWritten_ = 0;

  Time now() const { return Now_; }

  void startReader(const std::string &Name) {
    Reader R;
    R.Name_ = Name;
    Readers_.push_back(std::move(R));
    restart(Readers_.size() - 1);
  }

  /// Replaces the process by a new incarnation without a state.
  void restart(std::size_t Index) {
    Reader &R = Readers_[Index];
    FollowerOptions Options;
    Options.Name_ = R.Name_;
    Options.Seed_ = Random_();
    Options.BatchRecords_ = 16;
    Options.SnapshotInterval_ = std::chrono::seconds(60);
    Options.SnapshotRankDelay_ = std::chrono::seconds(2);
    R.Follower_ = std::make_unique<ConfigFollower>(Options);
    std::vector<std::string> Names;
    for (const Reader &Other : Readers_)
      Names.push_back(Other.Name_);
    R.Follower_->setSnapshotWriters(Names);
    ++R.Incarnation_;
    perform(Index, R.Follower_->start(Now_));
  }

  void publish(std::size_t Index, const std::string &Id, ConfigVersion Base,
               int Value) {
    ChangeRecord Change;
    Change.Id_ = Id;
    Change.Base_ = Base;
    Change.Author_ = Readers_[Index].Name_;
    Change.Reason_ = "test";
    Change.Toml_ =
        "[[quota]]\nname = \"q\"\nrunning = " + std::to_string(Value + 1);
    perform(Index, Readers_[Index].Follower_->publish(Change, Now_));
  }

  void runFor(Duration Length) {
    const Time End = Now_ + Length;
    while (!Queue_.empty() && Queue_.begin()->first.first <= End) {
      const auto It = Queue_.begin();
      Now_ = It->first.first;
      const auto Action = std::move(It->second);
      Queue_.erase(It);
      Action();
    }
    Now_ = End;
  }

  std::uint64_t random(std::uint64_t Below) { return Random_() % Below; }

private:
  using Action = std::function<void()>;
  static Duration ms(std::int64_t N) { return std::chrono::milliseconds(N); }

  void schedule(Duration Delay, Action A) {
    Queue_.emplace(std::make_pair(Now_ + Delay, ++LastOrder_), std::move(A));
  }
  Duration drawDelay() {
    const std::int64_t Base = static_cast<std::int64_t>(1 + random(5));
    return ms(Faults_.Slow_ ? Base + static_cast<std::int64_t>(random(3000))
                            : Base);
  }

  // Delivers the answer to the incarnation that sent the request; answers to an
  // earlier incarnation are dropped.
  void reply(std::size_t Index, Duration Delay,
             std::function<FollowerOutputs(ConfigFollower &)> Call) {
    const std::uint64_t Incarnation = Readers_[Index].Incarnation_;
    schedule(Delay, [this, Index, Incarnation, Call = std::move(Call)] {
      if (Readers_[Index].Incarnation_ == Incarnation)
        perform(Index, Call(*Readers_[Index].Follower_));
    });
  }

  void perform(std::size_t Index, const FollowerOutputs &Outputs) {
    for (const FollowerOutput &Output : Outputs) {
      if (const auto *R = std::get_if<ReadLog>(&Output))
        read(Index, *R);
      else if (const auto *A = std::get_if<AppendLog>(&Output))
        append(Index, *A);
      else if (const auto *S = std::get_if<StateAccepted>(&Output))
        recordState(Readers_[Index], S->State_);
      else if (const auto *E = std::get_if<PublishEnded>(&Output))
        Ended_[E->Id_] = *E;
    }
    scheduleTick(Index);
  }

  void recordState(Reader &R, const AcceptedPtr &State) {
    R.VersionDecreased_ = R.VersionDecreased_ ||
                          (R.State_ && R.StateIncarnation_ == R.Incarnation_ &&
                           State->Version_ < R.State_->Version_);
    R.State_ = State;
    R.StateIncarnation_ = R.Incarnation_;
  }

  void scheduleTick(std::size_t Index) {
    const auto At = Readers_[Index].Follower_->nextTimer();
    if (!At)
      return;
    const std::uint64_t Incarnation = Readers_[Index].Incarnation_;
    Queue_.emplace(std::make_pair(std::max(*At, Now_), ++LastOrder_),
                   [this, Index, Incarnation] {
                     Reader &R = Readers_[Index];
                     const auto Due = R.Follower_->nextTimer();
                     if (R.Incarnation_ == Incarnation && Due && *Due <= Now_)
                       perform(Index, R.Follower_->tick(Now_));
                   });
  }

  static Error timeout() { return {"timeout", "request", "log", "no answer"}; }

  void read(std::size_t Index, const ReadLog &R) {
    const std::uint64_t Sequence = R.Sequence_;
    if (Faults_.Outage_)
      return reply(Index, ms(500), [this, Sequence](ConfigFollower &F) {
        return F.onReadFailed(Sequence, timeout(), Now_);
      });
    schedule(drawDelay(),
             [this, Index, R] { serveRead(Index, R, Now_ + R.Wait_); });
  }

  void serveRead(std::size_t Index, const ReadLog &R, Time Until) {
    const bool HasRecords = R.FromOffset_ < Written_.size();
    if (!HasRecords && Now_ < Until)
      return schedule(ms(10),
                      [this, Index, R, Until] { serveRead(Index, R, Until); });
    LogBatch Batch;
    Batch.FirstRetained_ = FirstRetained_;
    Batch.FromOffset_ = std::max(FirstRetained_, R.FromOffset_);
    // An answer may have fewer records than were asked for.
    const std::uint64_t Bound = 1 + random(R.MaxRecords_);
    for (std::uint64_t O = Batch.FromOffset_;
         O < Written_.size() && Batch.Records_.size() < Bound; ++O)
      Batch.Records_.push_back(Written_[O]);
    Batch.NextOffset_ = Batch.FromOffset_ + Batch.Records_.size();
    reply(Index, drawDelay(),
          [this, Sequence = R.Sequence_, Batch](ConfigFollower &F) {
            return F.onRead(Sequence, Batch, Now_);
          });
  }

  void append(std::size_t Index, const AppendLog &A) {
    const std::uint64_t Sequence = A.Sequence_;
    const bool Limited = Faults_.LimitsRate_ && random(2) == 0;
    if (Limited || (Faults_.Outage_ && random(2) == 0))
      return reply(Index, ms(5), [this, Sequence](ConfigFollower &F) {
        return F.onAppendFailed(Sequence, timeout(), true, Now_);
      });
    const bool Written = !Faults_.Outage_ || random(2) == 0;
    const bool Lost =
        Faults_.Outage_ || (Faults_.LosesAnswers_ && random(2) == 0);
    schedule(drawDelay(), [this, Index, A, Written, Lost, Sequence] {
      if (Written)
        write(A.Data_);
      const std::uint64_t Offset = Written_.size() - 1;
      reply(Index, drawDelay(),
            [this, Sequence, Lost, Offset](ConfigFollower &F) {
              return Lost ? F.onAppendFailed(Sequence, timeout(), false, Now_)
                          : F.onAppended(Sequence, Offset, Now_);
            });
    });
  }

  void write(std::string Data) {
    const auto Record = decodeRecord(Data);
    SnapshotsWritten_ +=
        ok(Record) && std::holds_alternative<SnapshotRecord>(value(Record));
    if (Faults_.Corrupts_ && random(3) == 0)
      writeDamaged(Data);
    Written_.push_back(std::move(Data));
    constexpr std::uint64_t Retained = 40;
    if (Faults_.Expires_ && Written_.size() > Retained)
      FirstRetained_ =
          std::max<std::uint64_t>(FirstRetained_, Written_.size() - Retained);
  }

  // Writes a foreign record, a truncated copy or a copy with a changed byte.
  void writeDamaged(std::string Data) {
    switch (random(3)) {
    case 0:
      Data = "not ours";
      break;
    case 1:
      Data.resize(random(Data.size()));
      break;
    default:
      Data[random(Data.size())] ^= 1;
    }
    Written_.push_back(std::move(Data));
  }

  std::mt19937_64 Random_;
  Time Now_;
  std::uint64_t LastOrder_ = 0;
  std::map<std::pair<Time, std::uint64_t>, Action> Queue_;
};

} // namespace chivelanding

#endif
