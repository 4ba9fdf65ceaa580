#ifndef CHIVELANDING_RUN_SIMULATION_H
#define CHIVELANDING_RUN_SIMULATION_H

#include "dispatcher.h"
#include "lease_plan.h"
#include "run_supervisor.h"
#include "simulated_endpoint.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chivelanding::test {

/// One run of the real dispatchers and gates in virtual time, with faults of
/// processes, links, endpoints and calls, against an oracle of the promises.
struct RunSimulationOptions {
  std::uint64_t Seed_ = 1;
  std::size_t Entries_ = 2;
  std::size_t Agents_ = 4;
  /// Time with faults; a quiet end follows.
  Duration Faults_ = std::chrono::seconds(18);
  RunSupervisorLimits Supervisor_{planLeases(LeaseSettings())};
  DispatchLimits Dispatch_{planLeases(LeaseSettings())};
  /// Callers send a job again this long after they lost its answer.
  Duration CallerRetry_ = std::chrono::milliseconds(1300);
  /// Prints the log lines of this job, and the faults.
  std::string Trace_;
};

class RunSimulation {
public:
  explicit RunSimulation(const RunSimulationOptions &Options);
  /// The first broken promise, or nothing.
  std::string run();

  std::size_t completed() const { return Completed_; }
  std::size_t faults() const { return Faults_; }

private:
  struct Process {
    std::uint64_t Incarnation_ = 0;
    bool Alive_ = true;
    Time FrozenUntil_;
    /// Of its clock against the world's.
    Duration Offset_{0};
  };
  struct Submission {
    std::size_t Job_ = 0;
    Time Due_;
  };
  struct Entry : Process {
    std::unique_ptr<Dispatcher> Dispatcher_;
    std::map<JobNumber, Submission> Waiting_;
  };
  struct Agent : Process {
    std::unique_ptr<RunSupervisor> Supervisor_;
    SimulatedEndpoint Endpoint_;
    std::optional<EndpointIncarnation> SavedEndpoint_;
    std::uint64_t Sequence_ = 0;
    /// Runs that the gate has ordered and that neither it nor their entry
    /// counts as over.
    std::set<TaskKey> HeldRuns_;
  };
  /// Between one entry and one agent. Index 0 is the direction to the agent.
  struct Link {
    std::uint64_t Session_ = 0;
    bool UpAtEntry_ = false;
    bool UpAtAgent_ = false;
    PeerId AgentPeer_;
    EntryId EntryPeer_;
    bool Suspected_ = false;
    Time BlockedUntil_[2];
    Time LastReachable_[2];
    Time LastDelivery_[2];
    std::deque<std::pair<std::uint64_t, Message>> Queue_[2];
    bool Connecting_ = false;
  };
  struct Job {
    RunJob Spec_;
    std::size_t Submissions_ = 0;
    bool EverRan_ = false;
    bool Refused_ = false;
    std::set<std::uint32_t> Done_;
  };

  Duration drawDuration(std::int64_t FromMs, std::int64_t ToMs);
  bool chance(double P);
  void at(Time When, std::function<void()> Do);
  /// Runs Do once the process is not frozen, unless it has ended by then.
  template <typename P>
  void runAtProcess(P &X, Time When, std::function<void()> Do);
  void fail(const std::string &Text);
  void traceLine(const std::string &Who, const Event &E);
  void traceLine(const std::string &Text);

  void startEntry(std::size_t E);
  void startAgent(std::size_t A);
  void killEntry(std::size_t E);
  void startEndpoint(std::size_t A);
  void runEntryTimer(std::size_t E);
  void runAgentTimer(std::size_t A);
  void runEndpointTimer(std::size_t A);
  void announce(std::size_t A);
  void applyEntryOutputs(std::size_t E);
  void applyAgentOutputs(std::size_t A, const RunSupervisorOutputs &Out);
  void onAnswer(std::size_t E, const AnswerJob &Answer);
  template <typename Make> void executeCall(std::size_t A, const Make &M);
  void poll(std::size_t A, const MakePoll &M);

  void send(std::size_t E, std::size_t A, int Direction, Message M);
  void deliver(std::size_t E, std::size_t A, int Direction);
  void checkLink(std::size_t E, std::size_t A);
  void connect(std::size_t E, std::size_t A);
  void disconnectEntry(std::size_t E, std::size_t A);
  void disconnectAgent(std::size_t E, std::size_t A);

  void submitLoad();
  void submit(std::size_t J, std::size_t E);
  void resubmit(std::size_t J);
  /// No entry waits for runs of this job any more.
  void releaseHeldRuns(std::size_t J);
  void injectFault();
  void checkFinalState();

  RunSimulationOptions Options_;
  std::mt19937_64 Random_;
  Time Now_;
  Time FaultsEnd_;
  std::multimap<Time, std::function<void()>> Events_;
  std::vector<Entry> Entries_;
  std::vector<Agent> Agents_;
  std::map<std::pair<std::size_t, std::size_t>, Link> Links_;
  std::vector<Job> Jobs_;
  std::map<JobKey, std::size_t> ByKey_;
  /// Runs at work anywhere, by task.
  std::map<TaskKey, std::size_t> Running_;
  std::vector<std::size_t> FinalJobs_;
  std::string Failure_;
  std::uint64_t NextIncarnation_ = 1;
  std::uint64_t NextToken_ = 1000;
  std::size_t Completed_ = 0;
  std::size_t Faults_ = 0;
};

} // namespace chivelanding::test

#endif
