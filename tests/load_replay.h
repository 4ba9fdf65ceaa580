#ifndef CHIVELANDING_LOAD_REPLAY_H
#define CHIVELANDING_LOAD_REPLAY_H

#include "dispatcher.h"
#include "run_supervisor.h"
#include "simulated_endpoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chivelanding::test {

/// Arrivals of one kind of job.
struct JobPattern {
  std::string Route_;
  PriorityClass Class_;
  std::uint32_t Tasks_ = 1;
  std::uint32_t Cpu_ = 1000;
  Duration Length_{0};
  double JobsPerSecond_ = 0;
  /// Worth of a job that ends in time; a fifth of it if it ends late.
  double Worth_ = 1;
};

/// Arrivals on a route are multiplied by Factor_ from From_ to To_.
struct Burst {
  std::string Route_;
  Time From_;
  Time To_;
  double Factor_ = 1;
};

/// A load on a fleet without faults.
struct LoadPattern {
  std::size_t Entries_ = 1;
  std::size_t Agents_ = 1;
  std::uint32_t AgentCpu_ = 64000;
  std::vector<JobPattern> Jobs_;
  std::vector<Burst> Bursts_;
  Duration Length_ = std::chrono::seconds(8);
  /// One way, between an entry and an agent.
  Duration LinkDelay_ = std::chrono::microseconds(1400);
  std::uint64_t Seed_ = 1;

  /// Cores that all jobs use on average, over the cores of the fleet.
  double utilization() const;
};

struct LoadResult {
  std::size_t Jobs_ = 0;
  /// Completed within the objective of their route.
  std::size_t InTime_ = 0;
  std::size_t Late_ = 0;
  std::size_t Refused_ = 0;
  /// Worth earned, over the worth of all jobs.
  double Worth_ = 0;
  std::size_t Runs_ = 0;
  /// Runs that an agent refused for lack of room.
  std::size_t RefusedRuns_ = 0;
  /// CPU time that was free at endpoints while jobs that would have fitted
  /// there waited at entries, over the CPU time of the fleet.
  double IdleWhileWaiting_ = 0;
  /// Time from submission to the first start, in milliseconds, by job.
  std::vector<double> FirstStartMs_;
};

/// Plays a load in virtual time on the real dispatchers and run supervisors.
class LoadReplay {
public:
  explicit LoadReplay(LoadPattern Pattern);
  LoadResult run();

private:
  struct Submission {
    Time Sent_;
    Duration Objective_{0};
    JobPattern Pattern_;
  };
  struct Entry {
    std::unique_ptr<Dispatcher> Dispatcher_;
    std::map<JobNumber, Submission> Waiting_;
  };
  struct Agent {
    std::unique_ptr<RunSupervisor> Supervisor_;
    SimulatedEndpoint Endpoint_;
    std::optional<std::pair<MakePoll, Time>> Poll_;
  };

  void at(Time When, std::function<void()> Do);
  void startAgent(std::size_t A);
  void tick();
  void stepEndpoint(std::size_t A);
  void scheduleArrivals();
  void submit(const JobPattern &P);
  void applyEntry(std::size_t E);
  void applyAgent(std::size_t A, const RunSupervisorOutputs &Out);
  void measureIdle();
  PeerId agentPeer(std::size_t A) const;
  EntryId entryId(std::size_t E) const;

  LoadPattern Pattern_;
  std::mt19937_64 Random_;
  Time Now_;
  std::multimap<Time, std::function<void()>> Events_;
  std::vector<Entry> Entries_;
  std::vector<Agent> Agents_;
  std::map<JobKey, JobPattern> Specs_;
  std::map<JobKey, Time> Unstarted_;
  LoadResult Result_;
  std::size_t IdleSamples_ = 0;
  double OwedWorth_ = 0;
  std::uint64_t NextJob_ = 1;
};

} // namespace chivelanding::test

#endif
