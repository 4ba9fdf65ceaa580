#ifndef CHIVELANDING_RUN_SUPERVISOR_FIXTURE_H
#define CHIVELANDING_RUN_SUPERVISOR_FIXTURE_H

#include "run_supervisor.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace chivelanding::test {

using std::chrono::milliseconds;

inline const EntryId EntryA{"entry-a", Incarnation(1)};
inline const EntryId EntryB{"entry-b", Incarnation(2)};

inline Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }
inline std::uint64_t clockAt(std::int64_t Ms) {
  return static_cast<std::uint64_t>(Ms) * 1000;
}

inline EndpointIncarnation endpoint(std::uint64_t StartedMs,
                                    const char *Id = "worker-1") {
  EndpointIncarnation L;
  L.Id_ = Id;
  L.StartedMs_ = StartedMs;
  L.Service_ = ServiceName("tasks");
  L.Capacity_ = {4000, 4096, 0};
  L.Sequence_ = 1;
  L.ClockMs_ = 100;
  return L;
}

// A RunSupervisor whose endpoint answers are given by the test.
struct RunSupervisorFixture {
  explicit RunSupervisorFixture(RunSupervisorLimits Limits = {})
      : Supervisor_(Limits, 7) {}

  template <typename T> std::vector<T> outputs() const {
    std::vector<T> Found;
    for (const RunSupervisorOutput &O : LastOutputs_)
      if (const auto *Match = std::get_if<T>(&O))
        Found.push_back(*Match);
    return Found;
  }

  template <typename T> std::vector<T> messages(const EntryId &To) const {
    std::vector<T> Found;
    for (const auto &M : outputs<MessageToEntry>())
      if (const auto *Match = std::get_if<T>(&M.Message_))
        if (M.To_ == To)
          Found.push_back(*Match);
    return Found;
  }

  void record(RunSupervisorOutputs O) { LastOutputs_ = std::move(O); }

  // Announces the endpoint and answers its first poll with an empty list.
  void makeUsable(Time Now) {
    record(Supervisor_.onAnnounced(endpoint(10), Now));
    record(Supervisor_.onTimer(Now));
    answerPoll({}, {}, Now);
    for (const EntryId &E : {EntryA, EntryB})
      record(Supervisor_.onEntryUp(E, Now));
    REQUIRE(Supervisor_.usable());
  }

  void answerPoll(std::vector<RunningRun> Running, std::vector<ListedEnd> Ended,
                  Time Now, std::uint64_t StartedMs = 10) {
    const auto Polls = outputs<MakePoll>();
    REQUIRE(!Polls.empty());
    PollAnswer A;
    A.ClockMs_ =
        static_cast<std::uint64_t>(100 + Now.time_since_epoch().count() / 1000);
    A.StartedMs_ = StartedMs;
    A.Running_ = std::move(Running);
    A.Ended_ = std::move(Ended);
    record(Supervisor_.onPollAnswer(Polls.back().Id_, A, Now));
  }

  MakeStart dispatch(const EntryId &From, const char *Job,
                     std::uint32_t Attempt, Time Now,
                     std::uint32_t Cpu = 1000) {
    record(Supervisor_.onMessage(From, makeStartRuns(Job, Attempt, Now, Cpu),
                                 Now));
    const auto Starts = outputs<MakeStart>();
    return Starts.empty() ? MakeStart() : Starts.front();
  }

  static StartRuns makeStartRuns(const char *Job, std::uint32_t Attempt,
                                 Time Now, std::uint32_t Cpu) {
    StartRuns M;
    M.Job_ = JobKey(Job);
    M.Payload_ = "payload";
    M.Need_ = {Cpu, 10, 0};
    M.Estimate_ = milliseconds(200);
    M.Sequence_ = ++LastSequence;
    M.AgentClock_ = static_cast<std::uint64_t>(Now.time_since_epoch().count());
    M.Runs_ = {{TaskIndex(0), Attempt}};
    return M;
  }

  // Dispatches a run at 10 ms, loses the answer of the start call at 90 ms and
  // returns the repeated call.
  MakeStart dispatchAndResend(const EntryId &From, const char *Job) {
    const MakeStart First = dispatch(From, Job, 1, at(10));
    record(Supervisor_.onStartAnswer(First.Id_, {CallAnswer::Unanswered, {}},
                                     at(90)));
    const auto Repeated = outputs<MakeStart>();
    REQUIRE(Repeated.size() == 1);
    CHECK(Repeated[0].Call_.Run_ == First.Call_.Run_);
    return Repeated[0];
  }

  // Dispatches a run that the endpoint accepts.
  void startRun(const EntryId &From, const char *Job, Time Now) {
    const auto Start = dispatch(From, Job, 1, Now);
    REQUIRE(Start.Id_.value() != 0);
    record(
        Supervisor_.onStartAnswer(Start.Id_, {CallAnswer::Accepted, {}}, Now));
  }

  // Ending of the only ended run of which this entry is notified.
  std::optional<RunEnding> ending(const EntryId &To) const {
    const auto Ended = messages<RunsEnded>(To);
    if (Ended.empty())
      return std::nullopt;
    REQUIRE(Ended.front().Runs_.size() == 1);
    return Ended.front().Runs_.front().Ending_;
  }

  static inline std::uint64_t LastSequence = 0;
  RunSupervisor Supervisor_;
  RunSupervisorOutputs LastOutputs_;
};

inline RunningRun listedRun(const char *Job, std::uint32_t Run,
                            std::uint32_t Percent = 0) {
  return {{JobKey(Job), TaskIndex(0)}, Run, Percent};
}

} // namespace chivelanding::test

#endif
