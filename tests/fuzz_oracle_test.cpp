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

// Returns an injector that applies Rewrite to every message sent by an agent.
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

// Searches the seeds that CI uses until the violation is found, and prints the
// number of steps that this took.
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

// Guards against an oracle that misses a second start of a task.
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

// Guards against an oracle that accepts a completed job with a failed task.
TEST_CASE("The oracle sees a partial answer", "[fuzz-oracle]") {
  checkDetected(2, "an agent reports failures as results",
                rewriteAgentMessages([](Message &M) {
                  if (auto *End = std::get_if<TaskFinished>(&M))
                    End->Outcome_ = RunOutcome::Success;
                }));
}

// Guards against an oracle that does not check to which task a result belongs.
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

// Guards against an oracle that accepts the answer not_run for a job with a
// started task.
TEST_CASE("The oracle sees a false refusal", "[fuzz-oracle]") {
  checkDetected(4, "an agent says that a stopped task never started",
                rewriteAgentMessages([](Message &M) {
                  const auto *End = std::get_if<TaskFinished>(&M);
                  if (End && End->Outcome_ == RunOutcome::Stopped)
                    M = TasksRejected{
                        End->Job_, {End->Index_}, RejectReason::Cancelled, 1};
                }));
}

// Guards against an oracle that lets a non-idempotent request run twice.
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

// Guards against an oracle that accepts starts at an endpoint that is leaving.
TEST_CASE("The oracle sees starts after leaving", "[fuzz-oracle]") {
  checkDetected(6, "an agent ignores that its endpoint leaves",
                [](FuzzSimulation &W) { W.Defects_.IgnoresDrain_ = true; });
}

// Guards against an oracle that misses requests interrupted by a drain.
TEST_CASE("The oracle sees an interrupted request", "[fuzz-oracle]") {
  checkDetected(7, "a drained process ends at once",
                [](FuzzSimulation &W) { W.Defects_.ExitsAtOnce_ = true; });
}

// Guards against an oracle that accepts starts in a cordoned zone.
TEST_CASE("The oracle sees starts in a cordoned zone", "[fuzz-oracle]") {
  checkDetected(9, "an agent ignores that its zone is cordoned",
                [](FuzzSimulation &W) { W.Defects_.IgnoresCordons_ = true; });
}
