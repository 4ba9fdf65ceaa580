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

/// Identifies one submission of a caller.
using RequestId = std::uint64_t;

/// A violated invariant, by its number in section 1.1 of the design page.
struct Violation {
  int Invariant_ = 0;
  std::string Text_;
};

/// Checks the invariants from events that callers, endpoints and operators can
/// observe, independently of the implementation. Keeps the first violation.
class Oracle {
public:
  void onSubmit(RequestId Request, const JobSpec &Spec, Time Now);
  void onAnswer(RequestId Request, const JobAnswer &Answer, Time Now);
  /// A task was started at the endpoint of this agent.
  void onStart(const JobId &Job, TaskIndex Index, const std::string &Agent,
               Time Now);
  /// A task ended at the endpoint with this result.
  void onEnd(const JobId &Job, TaskIndex Index, bool Success,
             const std::string &Result);
  /// An operator or the endpoint announced that the endpoint is leaving.
  void onLeaving(const std::string &Agent, Time Now);
  /// A new process was started under this name.
  void onReplaced(const std::string &Process) {
    LeavingSince_.erase(Process);
    ConfigVersions_.erase(Process);
    Cordoned_.erase(Process);
  }
  /// A process exited gracefully while this request or task was unfinished.
  void onInterrupted(const std::string &Process, const std::string &What);
  /// A configuration version took effect at a process.
  void onConfig(const std::string &Process, std::uint64_t Version);
  /// The configuration in force at the agent cordons its zone, or does not.
  void onCordoned(const std::string &Agent, bool IsCordoned);
  /// Reports a violation if Version, in force at the process, is not Wanted.
  void expectConfig(const std::string &Process, std::uint64_t Version,
                    std::uint64_t Wanted);
  /// Reports a violation for a request in Open without an answer. Called when
  /// the faults are over and the time to settle has passed; Open lists the
  /// requests whose connections did not break.
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
    /// Results of the successful runs; several only for an idempotent task.
    std::set<std::string> Results_;
  };
  struct Job {
    JobSpec Spec_;
    std::vector<Task> Tasks_;
    bool Started_ = false;
    /// A caller got the answer not_run, which says that no task has started or
    /// will start, and the job was not submitted again since.
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
  std::set<std::string> Cordoned_;
  std::optional<Violation> Violation_;
  std::uint64_t Starts_ = 0;
  std::map<Outcome, std::uint64_t> Outcomes_;
  std::map<std::string, std::uint64_t> Codes_;
};

} // namespace chivelanding::fuzz

#endif
