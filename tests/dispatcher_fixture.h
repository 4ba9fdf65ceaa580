#ifndef CHIVELANDING_DISPATCHER_FIXTURE_H
#define CHIVELANDING_DISPATCHER_FIXTURE_H

#include "dispatcher.h"

#include <catch2/catch.hpp>

namespace chivelanding::test {

using std::chrono::milliseconds;

inline Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

inline PeerId agentId(const std::string &Name, std::uint64_t Number = 1) {
  return {Role::Agent, Name, Incarnation(Number)};
}

// A dispatcher with agents whose endpoints have the given number of slots of
// 1,000 thousandths of a core each.
struct DispatcherFixture {
  DispatcherFixture()
      : Dispatcher_("entry", ZoneName("z1"), DispatchLimits(), 1) {}

  void addAgent(const std::string &Name, std::uint32_t Places, Time Now,
                std::uint64_t Number = 1) {
    const PeerId Id = agentId(Name, Number);
    Dispatcher_.onAgentUp(Id, Now);
    report(Name, Places, Places, Now, Number);
  }

  EndpointReport makeReport(const std::string &Name, std::uint32_t Places,
                            std::uint32_t Free, Time Now) {
    EndpointReport R;
    R.Endpoint_ = "w-" + Name;
    R.Service_ = ServiceName("tasks");
    R.Zone_ = ZoneName("z1");
    R.Capacity_ = {Places * 1000, 100000, 0};
    R.Free_ = {Free * 1000, 100000, 0};
    R.AgentClock_ = static_cast<std::uint64_t>(Now.time_since_epoch().count());
    R.SeenSequence_ = LastSequence_[Name];
    R.Usable_ = true;
    return R;
  }

  void report(const std::string &Name, std::uint32_t Places, std::uint32_t Free,
              Time Now, std::uint64_t Number = 1) {
    Dispatcher_.onMessage(agentId(Name, Number),
                          makeReport(Name, Places, Free, Now), Now);
  }

  IdempotentJob job(const std::string &Key, std::uint32_t Tasks,
                    std::uint32_t Class = 0) const {
    IdempotentJob J;
    J.Key_ = JobKey(Key);
    J.Route_.Name_ = "route-" + std::to_string(Class);
    J.Route_.Service_ = ServiceName("tasks");
    J.Route_.Class_ = PriorityClass(Class);
    J.Route_.Attempts_ = 2;
    J.Route_.ObjectiveFactor_ = 1.6;
    J.Route_.Target_ = milliseconds(60);
    J.Tasks_ = Tasks;
    J.Need_ = {1000, 10, 0};
    J.Estimate_ = milliseconds(200);
    J.CallerTimeout_ = milliseconds(2000);
    return J;
  }

  // Takes the outputs and sorts them by kind.
  void take() {
    for (DispatchOutput &O : Dispatcher_.take()) {
      if (const auto *A = std::get_if<AnswerJob>(&O)) {
        Answers_.push_back(*A);
      } else if (const auto *M = std::get_if<MessageToAgent>(&O)) {
        if (const auto *S = std::get_if<StartRuns>(&M->Message_)) {
          LastSequence_[M->To_.Name_] = S->Sequence_;
          for (const RunStart &R : S->Runs_)
            Starts_.push_back(
                {M->To_, {S->Job_, R.Index_, R.Attempt_, S->Submission_}});
        } else if (const auto *Stop = std::get_if<StopRuns>(&M->Message_)) {
          for (const RunRef &R : Stop->Runs_)
            Stops_.push_back({M->To_, R});
        } else if (std::holds_alternative<HoldRuns>(M->Message_)) {
          ++Renewals_;
        }
      }
    }
  }

  void end(const std::pair<PeerId, RunRef> &Run, RunEnding Ending, Time Now) {
    Dispatcher_.onMessage(
        Run.first, RunsEnded{{{Run.second, Ending, milliseconds(100)}}}, Now);
    take();
  }

  Dispatcher Dispatcher_;
  std::vector<AnswerJob> Answers_;
  std::vector<std::pair<PeerId, RunRef>> Starts_;
  std::vector<std::pair<PeerId, RunRef>> Stops_;
  std::map<std::string, std::uint64_t> LastSequence_;
  std::size_t Renewals_ = 0;
};

} // namespace chivelanding::test

#endif
