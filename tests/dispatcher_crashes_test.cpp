#include "dispatcher_fixture.h"

using namespace chivelanding;
using namespace chivelanding::test;

// A caller submits a job again to an entry that learned of its crashes from the
// agents. Guards against a third start of a task that crashes endpoints.
TEST_CASE("A resubmitted job that crashed endpoints fails without a start",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.addAgent("b", 4, at(0));
  for (const char *Agent : {"a", "b"})
    B.Dispatcher_.onMessage(agentId(Agent),
                            EndpointCrashed{std::string("w-") + Agent,
                                            1,
                                            milliseconds(500),
                                            {{JobKey("bad"), TaskIndex(0),
                                              "route-0", milliseconds(9)}}},
                            at(10));
  B.Dispatcher_.submit(B.job("bad", 2), at(20));
  B.take();
  CHECK(B.Starts_.empty());
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Ending_ == JobEnding::Failed);
  CHECK(B.Answers_[0].Code_ == "crashed_endpoints");
}

// Guards against a suspect that is said not to have run, though it has, and
// against one that is started while its route has no endpoint to spare.
TEST_CASE("A suspect of a proved route is answered as unknown",
          "[dispatcher]") {
  DispatcherFixture B;
  B.addAgent("a", 4, at(0));
  B.addAgent("b", 4, at(0));
  const auto Crash = [&](const char *Endpoint, const char *Job) {
    B.Dispatcher_.onMessage(agentId("a"),
                            EndpointCrashed{Endpoint,
                                            1,
                                            Duration(0),
                                            {{JobKey(Job), TaskIndex(0),
                                              "route-0", milliseconds(9)}}},
                            at(10));
  };
  Crash("w1", "x");
  Crash("w2", "x");
  Crash("w3", "suspect");
  B.Dispatcher_.submit(B.job("suspect", 1), at(20));
  B.take();
  CHECK(B.Starts_.empty());
  REQUIRE(B.Answers_.size() == 1);
  CHECK(B.Answers_[0].Ending_ == JobEnding::Unknown);
}

// Guards against runs of other routes beside those of a confined one.
TEST_CASE("A confined route runs apart from the others", "[dispatcher]") {
  DispatcherFixture B;
  for (const char *Name : {"a", "b", "c", "d"})
    B.addAgent(Name, 4, at(0));
  // A service is known from its first job.
  B.Dispatcher_.submit(B.job("first", 1), at(1));
  B.take();
  for (const char *Endpoint : {"w1", "w2"})
    B.Dispatcher_.onMessage(agentId("a"),
                            EndpointCrashed{Endpoint,
                                            1,
                                            Duration(0),
                                            {{JobKey("x"), TaskIndex(0),
                                              "route-0", milliseconds(9)}}},
                            at(10));
  B.Starts_.clear();
  B.Dispatcher_.submit(B.job("confined", 2, 0), at(20));
  B.Dispatcher_.submit(B.job("other", 8, 1), at(21));
  B.take();
  std::set<std::string> Confined;
  std::set<std::string> Other;
  for (const auto &[Agent, Run] : B.Starts_)
    (Run.Job_ == JobKey("other") ? Other : Confined).insert(Agent.Name_);
  CHECK(Confined.size() == 1);
  CHECK_FALSE(Other.empty());
  for (const std::string &Name : Confined)
    CHECK(Other.count(Name) == 0);
}
