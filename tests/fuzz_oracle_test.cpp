#include "fuzz_commands.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <memory>
#include <set>
#include <utility>

using namespace chivelanding;
using namespace chivelanding::fuzz;

namespace {

constexpr std::size_t StepsPerSeed = 1000;

// Rewrites the messages that agents send, frame by frame.
FaultInjector
rewriteAgentMessages(const std::function<void(Message &)> &Rewrite) {
  return [Rewrite](FuzzSimulation &W) {
    W.network().Mutate_ = [Rewrite](const std::string &From,
                                    const std::string &Bytes) {
      auto Decoded = decodeFrame(Bytes, std::size_t(1) << 26);
      auto *B = ok(Decoded) ? std::get_if<Batch>(&value(Decoded)) : nullptr;
      if (!B || From.rfind("agent", 0) != 0)
        return std::vector<std::string>{Bytes};
      for (Message &M : B->Messages_)
        Rewrite(M);
      return std::vector<std::string>{encodeFrame(*B)};
    };
  };
}

// Searches CI's seeds for the violation and prints how far it had to go.
void checkDetected(int Invariant, const char *Defect,
                   const FaultInjector &Inject) {
  std::size_t Steps = 0;
  for (const std::uint64_t Seed : {1, 2, 3}) {
    const SearchReport R = search(Seed, StepsPerSeed, Inject, 0);
    Steps += R.Steps_;
    if (!R.Violation_)
      continue;
    std::cout << "invariant " << R.Violation_->Invariant_ << " after " << Steps
              << " steps: " << Defect << "\n";
    CHECK(R.Violation_->Invariant_ == Invariant);
    return;
  }
  FAIL("not caught in " << Steps << " steps: " << Defect);
}

} // namespace

// Guards against an oracle that does not see a task started twice.
TEST_CASE("The oracle sees a second start", "[fuzz-oracle]") {
  const auto Denied = std::make_shared<std::set<std::pair<JobId, TaskIndex>>>();
  checkDetected(
      1, "an agent denies the first start of a task that has ended",
      rewriteAgentMessages([Denied](Message &M) {
        const auto *End = std::get_if<TaskFinished>(&M);
        if (End && End->Index_.value() > 0 &&
            Denied->insert({End->Job_, End->Index_}).second)
          M = TasksRejected{End->Job_, {End->Index_}, RejectReason::NoRoom, 1};
      }));
}

// Guards against an oracle that takes a failed task for a result.
TEST_CASE("The oracle sees a partial answer", "[fuzz-oracle]") {
  checkDetected(2, "an agent reports failures as results",
                rewriteAgentMessages([](Message &M) {
                  if (auto *End = std::get_if<TaskFinished>(&M))
                    End->Outcome_ = RunOutcome::Success;
                }));
}

// Guards against an oracle that does not compare results with their tasks.
TEST_CASE("The oracle sees results of another task", "[fuzz-oracle]") {
  const auto Last = std::make_shared<std::string>();
  checkDetected(3, "an agent reports the result of the task before",
                rewriteAgentMessages([Last](Message &M) {
                  auto *End = std::get_if<TaskFinished>(&M);
                  if (End && !Last->empty())
                    std::swap(End->Result_, *Last);
                  else if (End)
                    *Last = End->Result_;
                }));
}

// Guards against an oracle that believes a refusal.
TEST_CASE("The oracle sees a false refusal", "[fuzz-oracle]") {
  checkDetected(4, "an agent says that a stopped task never started",
                rewriteAgentMessages([](Message &M) {
                  const auto *End = std::get_if<TaskFinished>(&M);
                  if (End && End->Outcome_ == RunOutcome::Stopped)
                    M = TasksRejected{
                        End->Job_, {End->Index_}, RejectReason::Cancelled, 1};
                }));
}

// Guards against an oracle that allows a non-idempotent request to run again.
TEST_CASE("The oracle sees a request that ran twice", "[fuzz-oracle]") {
  checkDetected(
      5, "an agent says that the first task of a job did not start",
      rewriteAgentMessages([](Message &M) {
        const auto *End = std::get_if<TaskFinished>(&M);
        const bool Single = End && End->Job_.Key_.str().find("single") == 0;
        if (Single)
          M = TasksRejected{End->Job_, {End->Index_}, RejectReason::NoRoom, 1};
      }));
}

// Guards against an oracle that allows work for an endpoint that has left.
TEST_CASE("The oracle sees starts after leaving", "[fuzz-oracle]") {
  checkDetected(6, "an agent ignores that its endpoint leaves",
                [](FuzzSimulation &W) { W.Defects_.IgnoresDrain_ = true; });
}

// Guards against an oracle that does not notice requests cut off by a drain.
TEST_CASE("The oracle sees an interrupted request", "[fuzz-oracle]") {
  checkDetected(7, "a drained process ends at once",
                [](FuzzSimulation &W) { W.Defects_.ExitsAtOnce_ = true; });
}
