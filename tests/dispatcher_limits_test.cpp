#include "dispatcher_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

namespace {

DispatchLimits limits(std::uint32_t MaxJobs, std::uint64_t MaxJobBytes) {
  DispatchLimits L;
  L.MaxJobs_ = MaxJobs;
  L.MaxJobBytes_ = MaxJobBytes;
  return L;
}

// One endpoint without free resources, which runs the job "running".
DispatcherFixture busyFleet(const DispatchLimits &Limits) {
  DispatcherFixture F;
  F.Dispatcher_ = Dispatcher("entry", ZoneName("z1"), Limits, 1);
  F.addAgent("a", 1, at(0));
  F.Dispatcher_.submit(F.job("running", 1), at(0));
  F.take();
  EndpointReport Full = F.makeReport("a", 1, 0, at(1));
  Full.Free_ = {};
  F.Dispatcher_.onMessage(agentId("a"), Full, at(1));
  F.take();
  return F;
}

// A job that waits, because the wait for memory is not estimated.
IdempotentJob waitingJob(const DispatcherFixture &F, const char *Key,
                         std::uint32_t Tasks, std::int64_t TimeoutMs) {
  IdempotentJob J = F.job(Key, Tasks);
  J.Need_ = {0, 100000, 0};
  J.Estimate_ = milliseconds(60'000);
  J.CallerTimeout_ = milliseconds(TimeoutMs);
  return J;
}

} // namespace

// Guards against short requests that turn into jobs of hundreds of kilobytes
// until the process has no memory left, and against refusals that hit the small
// jobs of ordinary callers instead.
TEST_CASE("The largest waiting job is refused for its memory",
          "[dispatcher-limits]") {
  DispatcherFixture F = busyFleet(limits(100, 400'000));
  F.Dispatcher_.submit(waitingJob(F, "large", 1700, 60'000), at(2));
  F.Dispatcher_.submit(waitingJob(F, "small", 1, 60'000), at(3));
  F.take();
  CHECK(F.Answers_.empty());
  const JobNumber Larger =
      F.Dispatcher_.submit(waitingJob(F, "larger", 1701, 60'000), at(4));
  F.take();
  REQUIRE(F.Answers_.size() == 1);
  CHECK(F.Answers_[0].Job_ == Larger);
  CHECK(F.Answers_[0].Ending_ == JobEnding::Refused);
  CHECK(F.Answers_[0].Code_ == "too_many_bytes");
  CHECK(F.Answers_[0].RetryAfter_);
  // What the refused job held is free again.
  F.Dispatcher_.submit(waitingJob(F, "next", 1, 60'000), at(5));
  F.take();
  CHECK(F.Answers_.size() == 1);
  CHECK(F.Dispatcher_.jobs() == 4);
}

// Guards against a crowd of waiting jobs that keeps out every new one: the
// caller that waits longest is asked to return. A job that runs is kept.
TEST_CASE("The most patient waiting job is refused for their number",
          "[dispatcher-limits]") {
  DispatcherFixture F = busyFleet(limits(3, 1 << 20));
  const JobNumber Patient =
      F.Dispatcher_.submit(waitingJob(F, "patient", 1, 60'000), at(2));
  F.Dispatcher_.submit(waitingJob(F, "ordinary", 1, 2'000), at(3));
  F.Dispatcher_.submit(waitingJob(F, "new", 1, 2'000), at(4));
  F.take();
  REQUIRE(F.Answers_.size() == 1);
  CHECK(F.Answers_[0].Job_ == Patient);
  CHECK(F.Answers_[0].Code_ == "too_many_jobs");
  bool IsRunning = false;
  CHECK(F.Dispatcher_.find(JobKey("running"), IsRunning));
  CHECK(IsRunning);
}
