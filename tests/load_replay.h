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

/// From From_ to To_, this share of the jobs on a route contain one task that
/// crashes the endpoint that runs it.
struct CrashingJobs {
  std::string Route_;
  Time From_;
  Time To_;
  double Share_ = 0;
  /// Time from the start of the task to the crash.
  Duration Delay_ = std::chrono::milliseconds(9);
};

/// Arrivals on a route are multiplied by Factor_ from From_ to To_.
struct Burst {
  std::string Route_;
  Time From_;
  Time To_;
  double Factor_ = 1;
};

/// Cordons zone 0 from From_ to To_. Its endpoints return cold: for ColdTime_,
/// runs that start there take SlowFactor_ times as long.
struct CordonPattern {
  Time From_;
  Time To_;
  Duration ColdTime_{0};
  double SlowFactor_ = 1;
};

/// Every Every_-th endpoint is down from From_ to To_.
struct EndpointLoss {
  Time From_;
  Time To_;
  std::size_t Every_ = 7;
};

/// A load on a fleet, without other faults than crashes by tasks and the loss
/// of endpoints.
struct LoadPattern {
  std::size_t Entries_ = 1;
  std::size_t Agents_ = 1;
  std::uint32_t AgentCpu_ = 64000;
  /// CPU of the endpoints in turn, in place of AgentCpu_.
  std::vector<std::uint32_t> AgentCpus_;
  /// Time that an entry needs for one message or job, by entry, in turn; zero
  /// if empty. An entry handles one at a time.
  std::vector<Duration> HandlingTimes_;
  std::vector<JobPattern> Jobs_;
  std::vector<Burst> Bursts_;
  std::vector<CrashingJobs> Crashing_;
  std::vector<EndpointLoss> Losses_;
  /// Time from the crash of an endpoint to its return.
  Duration RestartTime_ = std::chrono::milliseconds(3300);
  Duration Length_ = std::chrono::seconds(8);
  /// One way, between an entry and an agent.
  Duration LinkDelay_ = std::chrono::microseconds(1400);
  /// Agents belong to the zones in turn.
  std::size_t Zones_ = 1;
  std::optional<CordonPattern> Cordon_;
  /// Times of submission whose worth is reported apart.
  std::vector<std::pair<Time, Time>> Windows_;
  std::uint64_t Seed_ = 1;
  /// If above zero, callers wait for the run time and this; otherwise 2 s.
  Duration WaitBeyondRun_{0};

  /// CPU of the endpoint beside this agent.
  std::uint32_t cpuOf(std::size_t A) const {
    return AgentCpus_.empty() ? AgentCpu_ : AgentCpus_[A % AgentCpus_.size()];
  }
  Duration handlingTime(std::size_t E) const {
    return HandlingTimes_.empty() ? Duration(0)
                                  : HandlingTimes_[E % HandlingTimes_.size()];
  }
  Duration callerTimeout(const JobPattern &P) const;
  /// Cores that all jobs use on average, over the cores of the fleet.
  double utilization() const;
};

/// Jobs of one class or one entry.
struct JobCounts {
  std::size_t Jobs_ = 0;
  std::size_t Refused_ = 0;
  std::size_t InTime_ = 0;
};

struct LoadResult {
  std::size_t Jobs_ = 0;
  /// Completed within the objective of their route.
  std::size_t InTime_ = 0;
  std::size_t Late_ = 0;
  std::size_t Refused_ = 0;
  /// Worth earned, over the worth of all jobs. Jobs with a crashing task are in
  /// neither.
  double Worth_ = 0;
  /// The same by route.
  std::map<std::string, double> RouteWorth_;
  /// The same by LoadPattern::Windows_.
  std::vector<double> WindowWorth_;
  std::size_t Crashes_ = 0;
  /// Most crashes that one task has caused.
  std::size_t MostCrashesOfTask_ = 0;
  /// Jobs that could be done and were answered as failed.
  std::size_t WronglyFailed_ = 0;
  std::size_t Runs_ = 0;
  std::map<std::string, JobCounts> ByRoute_;
  std::map<std::size_t, JobCounts> ByEntry_;
  /// Time from submission to the answer of refused jobs, in milliseconds.
  std::vector<double> RefusedAgeMs_;
  /// Runs that an agent refused for lack of room.
  std::size_t RefusedRuns_ = 0;
  /// CPU time that was free at endpoints while jobs that would have fitted
  /// there waited at entries, over the CPU time of the fleet.
  double IdleWhileWaiting_ = 0;
  /// Runs that started in the cordoned zone 100 ms after its cordon or later.
  std::size_t StartsWhileCordoned_ = 0;
  /// Runs that started at endpoints while these were cold.
  std::size_t ColdStarts_ = 0;
  /// Most CPU that runs held at a cold endpoint beyond the share it offers, or
  /// beyond one run if that is more, in thousandths of a core.
  std::int64_t MostCpuAboveColdShare_ = 0;
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
    JobKey Key_;
    Time Sent_;
    Duration Objective_{0};
  };
  struct JobSpec {
    JobPattern Pattern_;
    /// First submission by its caller.
    Time Sent_;
    /// Time from the start of its first task to the crash of the endpoint.
    std::optional<Duration> CrashDelay_;
  };
  struct Credit {
    double Earned_ = 0;
    double Owed_ = 0;
  };
  struct Entry {
    std::unique_ptr<Dispatcher> Dispatcher_;
    Time BusyUntil_;
    std::map<JobNumber, Submission> Waiting_;
  };
  struct Agent {
    std::unique_ptr<RunSupervisor> Supervisor_;
    SimulatedEndpoint Endpoint_;
    std::optional<std::pair<MakePoll, Time>> Poll_;
    std::uint64_t Incarnation_ = 0;
    std::uint64_t Announcements_ = 0;
  };

  void at(Time When, std::function<void()> Do);
  /// Has the entry handle a message that arrives at this time, after those
  /// that arrived before it.
  void atEntry(std::size_t E, Time Arrival, std::function<void()> Do);
  void loseEndpoint(std::size_t A, Time Return);
  void startAgent(std::size_t A);
  void startEndpoint(std::size_t A);
  std::size_t zoneOf(std::size_t A) const { return A % Pattern_.Zones_; }
  void announce(std::size_t A);
  void publishCordons(std::uint64_t Revision, bool Cordoned);
  bool isInWindow(Time T, std::size_t W) const {
    return Pattern_.Windows_[W].first <= T && T < Pattern_.Windows_[W].second;
  }
  Duration coldRemaining(std::size_t A) const;
  void recordStart(std::size_t A);
  void measureColdShare(std::size_t A);
  void crashEndpoint(std::size_t A, std::uint64_t Incarnation);
  void tick();
  void stepEndpoint(std::size_t A);
  void scheduleArrivals();
  void createJob(const JobPattern &P);
  void submit(const JobKey &Key);
  void onAnswer(std::size_t E, const AnswerJob &Answer);
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
  std::map<JobKey, JobSpec> Specs_;
  std::map<JobKey, Time> Unstarted_;
  LoadResult Result_;
  std::size_t IdleSamples_ = 0;
  std::map<std::string, Credit> Credits_;
  std::vector<Credit> WindowCredits_;
  std::map<JobKey, std::size_t> CrashesByJob_;
  std::uint64_t NextJob_ = 1;
};

} // namespace chivelanding::test

#endif
