#include "waiting_callers.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

struct FakeReply : HttpReply {
  void send(HttpResponse) override {}
  void onDisconnect(std::function<void()>) override {}
  bool callerGone() override { return false; }
  void retain(std::uint64_t) override {}
};

WaitingCaller caller(const HttpReplyPtr &Reply) {
  return {Reply, Time(), "route", Duration(0)};
}

} // namespace

// Guards against one job, submitted again and again, whose callers keep all
// connections; and against the end of the only caller of a job.
TEST_CASE("The oldest caller of the most repeated job is given up",
          "[waiting-callers]") {
  const auto A1 = std::make_shared<FakeReply>();
  const auto A2 = std::make_shared<FakeReply>();
  const auto B1 = std::make_shared<FakeReply>();
  WaitingCallers W;
  W.add(JobNumber(1), caller(A1));
  W.add(JobNumber(2), caller(B1));
  JobNumber Job;
  CHECK(W.takeRepeated(Job).empty());
  W.add(JobNumber(1), caller(A2));
  CHECK(W.size() == 3);
  const auto Surplus = W.takeRepeated(Job);
  REQUIRE(Surplus.size() == 1);
  CHECK(Job == JobNumber(1));
  CHECK(Surplus[0].Reply_ == A1);
  CHECK(W.size() == 2);
  CHECK(W.takeRepeated(Job).empty());
}

// Guards against a job that is cancelled while a caller still waits, or that
// runs on after the last one has disconnected.
TEST_CASE("The last caller of a job is reported", "[waiting-callers]") {
  const auto First = std::make_shared<FakeReply>();
  const auto Second = std::make_shared<FakeReply>();
  WaitingCallers W;
  W.add(JobNumber(1), caller(First));
  W.add(JobNumber(1), caller(Second));
  CHECK_FALSE(W.remove(JobNumber(1), First.get()));
  CHECK_FALSE(W.remove(JobNumber(1), First.get()));
  CHECK(W.remove(JobNumber(1), Second.get()));
  CHECK(W.size() == 0);
  CHECK(W.take(JobNumber(1)).empty());
}
