#ifndef CHIVELANDING_TESTS_FUZZ_ORACLE_H
#define CHIVELANDING_TESTS_FUZZ_ORACLE_H

#include "job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelanding::fuzz {

/// One submission as its caller sees it.
using RequestId = std::uint64_t;

/// An invariant that was broken: its number in section 1.1 of the design page.
struct Violation {
  int Invariant_ = 0;
  std::string Text_;
};

/// Knows the invariants and nothing of how they are kept. It is told what
/// callers, endpoints and operators can observe.
class Oracle {
public:
  void onSubmit(RequestId Request, const JobSpec &Spec, Time Now);
  void onAnswer(RequestId Request, const JobAnswer &Answer, Time Now);
  /// A task started at the endpoint of this agent.
  void onStart(const JobId &Job, TaskIndex Index, const std::string &Agent,
               Time Now);
  /// The endpoint ended a task with this result.
  void onEnd(const JobId &Job, TaskIndex Index, bool Success,
             const std::string &Result);
  /// An operator or the endpoint said that the endpoint is leaving.
  void onLeaving(const std::string &Agent, Time Now);
  /// A new process runs in place of the agent that left.
  void onReplaced(const std::string &Agent) { LeavingSince_.erase(Agent); }
  /// A process ended gracefully and cut off this request or task.
  void onInterrupted(const std::string &Process, const std::string &What);
  /// A process has a configuration version in force.
  void onConfig(const std::string &Process, std::uint64_t Version);
  /// Every process must have this version in force now.
  void expectConfig(const std::string &Process, std::uint64_t Version,
                    std::uint64_t Wanted);
  /// All faults are over and time has passed: every caller whose connection
  /// held must have been answered.
  void expectAnswered(const std::set<RequestId> &Open);

  const std::optional<Violation> &violation() const { return Violation_; }
  std::uint64_t starts() const { return Starts_; }
  std::uint64_t answers(Outcome O) const {
    const auto It = Outcomes_.find(O);
    return It == Outcomes_.end() ? 0 : It->second;
  }
  /// Answers that were not Completed, by code.
  const std::map<std::string, std::uint64_t> &codes() const { return Codes_; }

private:
  struct Task {
    std::uint32_t Starts_ = 0;
    /// Results of its successful runs; more than one only if it is idempotent.
    std::set<std::string> Results_;
  };
  struct Job {
    JobSpec Spec_;
    std::vector<Task> Tasks_;
    bool Started_ = false;
    /// A caller was told that nothing ran and ever will, and nobody has
    /// submitted the job since.
    bool AnsweredNotRun_ = false;
  };
  struct Request {
    JobId Job_;
    bool Answered_ = false;
  };
  void report(int Invariant, std::string Text);
  void checkResults(const Job &J, const JobAnswer &Answer);

  std::map<JobId, Job> Jobs_;
  std::map<RequestId, Request> Requests_;
  std::map<std::string, Time> LeavingSince_;
  std::map<std::string, std::uint64_t> ConfigVersions_;
  std::optional<Violation> Violation_;
  std::uint64_t Starts_ = 0;
  std::map<Outcome, std::uint64_t> Outcomes_;
  std::map<std::string, std::uint64_t> Codes_;
};

} // namespace chivelanding::fuzz

#endif
