#ifndef CHIVELANDING_TESTS_FUZZ_SIMULATION_H
#define CHIVELANDING_TESTS_FUZZ_SIMULATION_H

#include "fuzz_entry.h"
#include "fuzz_node.h"
#include "fuzz_oracle.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chivelanding::fuzz {

/// Defects that a simulation injects to test the oracle.
struct Defects {
  /// An agent does not act on a drain request.
  bool IgnoresDrain_ = false;
  /// A process exits as soon as it is asked to drain.
  bool ExitsAtOnce_ = false;
  /// The start controllers of agents do not learn of cordons.
  bool IgnoresCordons_ = false;
};

/// Size of the simulated system and behaviour of its endpoints.
struct SimulationConfig {
  std::size_t Entries_ = 3;
  std::size_t Agents_ = 4;
  std::size_t Zones_ = 3;
  std::size_t AgentsPerRack_ = 3;
  std::uint32_t Slots_ = 2;
  NetworkDelays Delays_;
  /// Bounds of the run time of a task, both included.
  Duration ShortestRun_ = std::chrono::milliseconds(50);
  Duration LongestRun_ = std::chrono::milliseconds(1000);
  /// Share of tasks that fail at the endpoint, in thousandths.
  std::uint32_t FailPermille_ = 10;
  std::uint64_t Seed_ = 1;
};

/// One simulated VM, with a process or without one.
struct Machine {
  std::string Name_;
  std::string Zone_;
  std::string Rack_;
  Role Role_ = Role::Entry;
  std::unique_ptr<Node> Node_;
  /// Incremented when a process starts here and when it ends; an event that
  /// was posted for an earlier value is dropped.
  std::uint64_t Generation_ = 0;
  bool Paused_ = false;
  std::deque<std::function<void()>> Deferred_;
  std::optional<Time> DrainedAt_;
  bool FailsAll_ = false;
};

/// Simulates entries, agents, endpoints and callers in virtual time.
class FuzzSimulation : public Environment {
public:
  explicit FuzzSimulation(SimulationConfig Config);
  ~FuzzSimulation() override;

  /// Submits a new job to an entry, with a token of that entry. Returns the
  /// index of the job, or nothing if no process runs there or it is paused.
  std::optional<std::size_t> submit(std::size_t Entry, std::size_t Tasks,
                                    bool Idempotent);
  void resubmit(std::size_t Job, std::size_t Entry);
  void cancel(std::size_t Job, std::size_t Entry);
  void kill(std::size_t M, bool Abrupt);
  /// Starts a process on a VM that has none.
  void start(std::size_t M);
  void pause(std::size_t M, Duration Length);
  void drain(std::size_t M);
  void failAll(std::size_t M, bool Fails) { Machines_[M]->FailsAll_ = Fails; }
  void partition(std::size_t A, std::size_t B, bool BothWays);
  void dropTraffic(std::size_t A, std::size_t B, bool BothWays);
  /// Publishes a version that cordons the zone, or lifts the cordon. Entries
  /// read it from the log after a random delay.
  void publishCordon(std::size_t Zone, bool IsCordoned);
  std::size_t zones() const { return Config_.Zones_; }
  void run(Duration Length);
  /// Ends every fault, waits up to 60 s until the open requests are answered,
  /// and reports those without an answer to the oracle.
  void settle();

  std::size_t machines() const { return Machines_.size(); }
  const Machine &machine(std::size_t M) const { return *Machines_[M]; }
  std::size_t entries() const { return Config_.Entries_; }
  std::size_t jobs() const { return Jobs_.size(); }
  std::size_t openRequests() const { return OpenRequests_.size(); }
  /// Number of running tasks at all endpoints.
  std::size_t running() const { return Runs_.size(); }
  Oracle &oracle() { return Oracle_; }
  Defects Defects_;

  EventScheduler &scheduler() override { return Scheduler_; }
  Network &network() override { return Network_; }
  void startRun(const std::string &Agent, const RunTask &Run) override;
  void stopRun(const std::string &Agent, RunId Run) override;
  void answer(const std::string &Entry, RequestId Request,
              const JobAnswer &Answer) override;
  PeerId newIncarnation(const PeerId &Old) override {
    return {Old.Role_, Old.Name_, Incarnation(Random_() | 1)};
  }
  void onInForce(const std::string &Name, ConfigVersion Version) override;
  bool ignoresCordons() const override { return Defects_.IgnoresCordons_; }
  void onExited(const std::string &Name, bool Rejoin) override;

private:
  class MachineReceiver;
  struct Run {
    JobId Job_;
    TaskIndex Index_;
    Time Started_;
  };
  using RunKey = std::tuple<std::size_t, std::uint64_t, RunId>;
  struct Request {
    std::size_t Entry_ = 0;
    /// The process has read the request from its socket.
    bool Received_ = false;
  };

  EntryNode *entry(std::size_t M);
  AgentNode *agent(std::size_t M);
  std::size_t indexOf(const std::string &Name) const;
  /// Runs Do after Delay if the VM still has the same process; if the process
  /// is paused by then, when the pause ends.
  void post(std::size_t M, Duration Delay, std::function<void()> Do);
  void runOrDefer(std::size_t M, std::uint64_t Generation,
                  std::function<void()> Do);
  void tick(std::size_t M);
  void remove(std::size_t M, bool Abrupt);
  void resume(std::size_t M);
  void endRun(const RunKey &Key, RunOutcome Outcome);
  void readLog(std::size_t M);
  void sendRequest(std::size_t Entry, const JobSpec &Spec);
  std::uint64_t random(std::uint64_t Below) { return Random_() % Below; }

  SimulationConfig Config_;
  std::mt19937_64 Random_;
  /// Delays of the log, apart from Random_, so that they do not change the
  /// other choices of a seed.
  std::mt19937_64 LogRandom_;
  EventScheduler Scheduler_;
  Network Network_;
  Oracle Oracle_;
  std::vector<std::unique_ptr<Machine>> Machines_;
  std::vector<std::unique_ptr<MachineReceiver>> Receivers_;
  std::vector<JobSpec> Jobs_;
  std::map<RequestId, Request> OpenRequests_;
  RequestId NextRequest_ = 1;
  std::map<RunKey, Run> Runs_;
  std::uint64_t NextResult_ = 1;
  /// Newest published version; null if there is none.
  AcceptedPtr Published_;
  /// Cordoned zones of each published version.
  std::map<ConfigVersion, std::set<std::string>> Cordons_;
};

} // namespace chivelanding::fuzz

#endif
