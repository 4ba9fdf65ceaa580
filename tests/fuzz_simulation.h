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

/// Rules that a world breaks on purpose, to test the oracle.
struct Defects {
  /// A drained agent goes on as if it had not been told.
  bool IgnoresDrain_ = false;
  /// A drained process ends at once.
  bool ExitsAtOnce_ = false;
};

/// Size of a world and how its endpoints behave.
struct SimulationConfig {
  std::size_t Entries_ = 3;
  std::size_t Agents_ = 4;
  std::size_t Zones_ = 3;
  std::size_t AgentsPerRack_ = 3;
  std::uint32_t Slots_ = 2;
  NetworkDelays Delays_;
  /// Run times are between these.
  Duration ShortestRun_ = std::chrono::milliseconds(50);
  Duration LongestRun_ = std::chrono::milliseconds(1000);
  /// Tasks that the endpoints fail, in thousandths.
  std::uint32_t FailPermille_ = 10;
  std::uint64_t Seed_ = 1;
};

/// One VM of the world: a process, or none.
struct Machine {
  std::string Name_;
  std::string Zone_;
  std::string Rack_;
  Role Role_ = Role::Entry;
  std::unique_ptr<Node> Node_;
  /// Counts the processes that ran here.
  std::uint64_t Generation_ = 0;
  bool Paused_ = false;
  std::deque<std::function<void()>> Deferred_;
  std::optional<Time> DrainedAt_;
  bool FailsAll_ = false;
};

/// Entries, agents, endpoints and callers in virtual time.
class FuzzSimulation : public Environment {
public:
  explicit FuzzSimulation(SimulationConfig Config);
  ~FuzzSimulation() override;

  /// Submits a new job at an entry under a token of that entry. Returns the
  /// job's number, or nothing if no process runs there.
  std::optional<std::size_t> submit(std::size_t Entry, std::size_t Tasks,
                                    bool Idempotent);
  void resubmit(std::size_t Job, std::size_t Entry);
  void cancel(std::size_t Job, std::size_t Entry);
  void kill(std::size_t M, bool Abrupt);
  /// Starts a new process on a machine without one.
  void start(std::size_t M);
  void pause(std::size_t M, Duration Length);
  void drain(std::size_t M);
  void failAll(std::size_t M, bool Fails) { Machines_[M]->FailsAll_ = Fails; }
  void partition(std::size_t A, std::size_t B, bool BothWays);
  void dropTraffic(std::size_t A, std::size_t B, bool BothWays);
  void run(Duration Length);
  /// Ends every fault, lets open requests finish, and checks what must hold
  /// then.
  void settle();

  std::size_t machines() const { return Machines_.size(); }
  const Machine &machine(std::size_t M) const { return *Machines_[M]; }
  std::size_t entries() const { return Config_.Entries_; }
  std::size_t jobs() const { return Jobs_.size(); }
  std::size_t openRequests() const { return OpenRequests_.size(); }
  /// Runs in progress at all endpoints.
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
    /// The process has read it from its socket.
    bool Received_ = false;
  };

  EntryNode *entry(std::size_t M);
  AgentNode *agent(std::size_t M);
  std::size_t indexOf(const std::string &Name) const;
  /// Runs at the machine's present process, after its pause if it has one.
  void post(std::size_t M, Duration Delay, std::function<void()> Do);
  void runOrDefer(std::size_t M, std::uint64_t Generation,
                  std::function<void()> Do);
  void tick(std::size_t M);
  void remove(std::size_t M, bool Abrupt);
  void resume(std::size_t M);
  void endRun(const RunKey &Key, RunOutcome Outcome);
  void sendRequest(std::size_t Entry, const JobSpec &Spec);
  std::uint64_t random(std::uint64_t Below) { return Random_() % Below; }

  SimulationConfig Config_;
  std::mt19937_64 Random_;
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
};

} // namespace chivelanding::fuzz

#endif
