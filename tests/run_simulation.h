#ifndef CHIVELANDING_RUN_SIMULATION_H
#define CHIVELANDING_RUN_SIMULATION_H

#include "cordon_exchange.h"
#include "cordon_records.h"
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

/// Options of one simulation of the real dispatchers and run supervisors in
/// virtual time, with faults of processes, links, endpoints and calls. An
/// oracle checks the invariants.
struct RunSimulationOptions {
  std::uint64_t Seed_ = 1;
  std::size_t Entries_ = 2;
  std::size_t Agents_ = 4;
  /// Zones of the endpoints. With more than one, operators set and lift cordons
  /// of them, and a new process starts no run before it knows the cordons.
  std::size_t Zones_ = 1;
  /// Defect: agents ignore the sets of cordons that they get.
  bool AgentsIgnoreCordons_ = false;
  /// Endpoints leave half of the start and stop calls unanswered for seconds at
  /// a time and carry them out later. Jobs take longer.
  bool UnansweredCalls_ = false;
  /// Half of the callers leave an entry that is frozen, and submit their jobs
  /// again elsewhere.
  bool CallersLeave_ = false;
  /// Defect: an entry that wakes places runs before it notices that callers
  /// have left.
  bool LeavingNoticedLate_ = false;
  /// Time with faults; a period without faults follows.
  Duration FaultPeriod_ = std::chrono::seconds(18);
  RunSupervisorLimits Supervisor_{planLeases(LeaseSettings())};
  DispatchLimits Dispatch_{planLeases(LeaseSettings())};
  /// Time after which callers submit a job again whose answer they lost.
  Duration CallerRetry_ = std::chrono::milliseconds(1300);
  /// Key of a job. Its log lines and all faults are printed; empty for none.
  std::string Trace_;
};

class RunSimulation {
public:
  explicit RunSimulation(const RunSimulationOptions &Options);
  /// Runs the simulation. Returns the first violated invariant, or an empty
  /// text.
  std::string run();

  std::size_t completed() const { return Completed_; }
  std::size_t faults() const { return Faults_; }

private:
  struct Process {
    std::uint64_t Incarnation_ = 0;
    bool Alive_ = true;
    Time FrozenUntil_;
    /// Offset of its clock from the virtual time.
    Duration Offset_{0};
  };
  struct Submission {
    std::size_t Job_ = 0;
    Time Due_;
  };
  struct Entry : Process {
    std::unique_ptr<Dispatcher> Dispatcher_;
    std::map<JobNumber, Submission> Waiting_;
    CordonExchange Cordons_{false};
    CordonRecords Records_{""};
    /// Offset from which to read on; empty before the first answer.
    std::optional<std::uint64_t> NextRecord_;
    Time StoreBlockedUntil_;
    Time PeersBlockedUntil_;
  };
  struct Agent : Process {
    std::unique_ptr<RunSupervisor> Supervisor_;
    SimulatedEndpoint Endpoint_;
    std::optional<EndpointIncarnation> SavedEndpoint_;
    std::uint64_t Sequence_ = 0;
    /// Runs for which the supervisor has made a start call and that neither it
    /// nor their entry counts as ended.
    std::set<TaskKey> HeldRuns_;
    Time ColdUntil_;
    Time CallsUnansweredUntil_;
  };
  /// Link between one entry and one agent. Index 0 is the direction to the
  /// agent.
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
    /// Since when the link has been undisturbed and the entry has known the
    /// cordon of the endpoint's zone.
    Time KnowsCordonSince_;
  };
  struct Job {
    IdempotentJob Spec_;
    std::size_t Submissions_ = 0;
    bool EverRan_ = false;
    bool Refused_ = false;
    std::set<std::uint32_t> Done_;
  };

  Duration drawDuration(std::int64_t FromMs, std::int64_t ToMs);
  bool chance(double P);
  void at(Time When, std::function<void()> Do);
  /// Runs Do at this time, or later once the process is no longer frozen,
  /// unless it has ended by then.
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

  // In run_simulation_cordons.cpp.
  bool usesCordons() const { return Options_.Zones_ > 1; }
  ZoneName zoneOf(std::size_t A) const;
  void operate();
  void publishCordon(const ZoneName &Zone, bool Set);
  void liftAllCordons();
  void startCordons(std::size_t E);
  void readStore(std::size_t E);
  Duration drawStoreDelay();
  StoreRecords followStream(std::uint64_t From);
  void readNewestPage(std::size_t E, const std::string &After,
                      StoreRecords Collected);
  void onStoreAnswer(std::size_t E, const StoreRecords &Answer);
  PeerId entryPeer(std::size_t E) const;
  bool entriesLinked(std::size_t E, std::size_t Other) const;
  void applyCordons(std::size_t E);
  void sendCordonsToEntry(std::size_t From, std::size_t To);
  void linkToEntries(std::size_t E);
  void trackCordonKnowledge(std::size_t E, std::size_t A, bool Undisturbed);
  void checkStartAllowed(std::size_t A, const TaskKey &Task);

  void submitLoad();
  void submit(std::size_t J, std::size_t E);
  void resubmit(std::size_t J);
  /// Removes the runs of this job from HeldRuns_, since no entry waits for them
  /// any more.
  void releaseHeldRuns(std::size_t J);
  void injectFault();
  void leaveFrozenEntry(std::size_t E, Duration Freeze);
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
  /// Number of runs of each task that run at any endpoint.
  std::map<TaskKey, std::size_t> Running_;
  std::vector<std::size_t> FinalJobs_;
  /// The operators' stream of the store.
  std::vector<StoreRecord> Stream_{{"other", "x"}};
  /// Time and revision of each cordon in force.
  std::map<ZoneName, std::pair<Time, std::uint64_t>> CordonedAt_;
  std::string Failure_;
  std::uint64_t NextIncarnation_ = 1;
  std::uint64_t NextToken_ = 1000;
  std::size_t Completed_ = 0;
  std::size_t Faults_ = 0;
};

} // namespace chivelanding::test

#endif
