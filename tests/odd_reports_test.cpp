#include "dispatcher_fixture.h"

#include <iterator>
#include <random>

// Messages of a faulty agent at an entry.
using namespace chivelanding;

// Guards against numbers at the ends of their ranges that overflow in the
// decisions of an entry, or keep it from placing jobs at other agents.
TEST_CASE("An entry survives messages with extreme numbers", "[odd]") {
  std::mt19937_64 Random(7);
  const std::uint64_t Values[] = {0,
                                  1,
                                  1000,
                                  0x7fffffff,
                                  0xffffffff,
                                  0x7fffffffffffffff,
                                  0x8000000000000000,
                                  0xffffffffffffffff};
  const auto Draw = [&] { return Values[Random() % std::size(Values)]; };
  const auto DrawDuration = [&] {
    return Duration(static_cast<std::int64_t>(Draw()));
  };
  const auto DrawAmount = [&] { return static_cast<std::uint32_t>(Draw()); };
  test::DispatcherFixture D;
  D.addAgent("good", 8, test::at(0));
  D.addAgent("odd", 8, test::at(0));
  const PeerId Odd = test::agentId("odd");
  for (int I = 0; I < 2000; ++I) {
    const Time Now = test::at(10 + I);
    EndpointReport R;
    R.Endpoint_ = "w-odd";
    R.Service_ = ServiceName("tasks");
    R.Capacity_ = {DrawAmount(), DrawAmount(), DrawAmount()};
    R.Free_ = {DrawAmount(), DrawAmount(), DrawAmount()};
    R.AgentClock_ = Draw();
    R.SeenSequence_ = Draw();
    R.Usable_ = Random() % 2 == 0;
    R.SlownessPermille_ = DrawAmount();
    R.FailedPermille_ = DrawAmount();
    R.CordonRevision_ = Draw();
    R.OfferedPermille_ = DrawAmount();
    D.Dispatcher_.onMessage(Odd, R, Now);
    const JobNumber Number =
        D.Dispatcher_.submit(D.job("job-" + std::to_string(I), 2), Now);
    const RunRef Ref{JobKey("job-" + std::to_string(I)),
                     TaskIndex(DrawAmount()), DrawAmount(), Number.value()};
    D.Dispatcher_.onMessage(
        Odd, RunsEnded{{{Ref, RunEnding::Failed, DrawDuration()}}}, Now);
    D.Dispatcher_.onMessage(Odd, SlowRuns{{{Ref, DrawDuration()}}}, Now);
    EndpointCrashed C;
    C.Endpoint_ = "w-" + std::to_string(Draw());
    C.StartedMs_ = Draw();
    C.Age_ = DrawDuration();
    C.Runs_ = {{Ref.Job_, Ref.Index_, "route-0", DrawDuration()}};
    if (I % 100 == 0)
      D.Dispatcher_.onMessage(Odd, C, Now);
    D.Dispatcher_.onEntryMessage(RouteConfined{"other", DrawDuration()}, Now);
    D.report("good", 8, 8, Now);
    D.Dispatcher_.onTimer(Now);
    D.take();
  }
  D.Starts_.clear();
  D.Dispatcher_.onAgentLost(Odd, test::at(2100));
  D.addAgent("last", 8, test::at(9000));
  D.Dispatcher_.onTimer(test::at(9000));
  D.Dispatcher_.submit(D.job("after", 1), test::at(9010));
  D.take();
  CHECK_FALSE(D.Starts_.empty());
}
