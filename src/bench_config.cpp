#include "bench.h"
#include "config_delta.h"
#include "config_sync.h"
#include "digest.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelanding {

namespace {

// Simulated deployment. Each region has the same number of entries, and the
// agents are spread evenly over the regions.
struct Deployment {
  const char *Name_;
  int Regions_;
  int EntriesPerRegion_;
  int Agents_;
};
constexpr Deployment Deployments[] = {{"11", 1, 3, 11}, {"6100", 8, 4, 6100}};

// Of each message.
constexpr double LossProbability = 0.01;
constexpr int ChangeCount = 6;
// Headers of TCP, IP and WebSocket, counted for each message as if each was
// sent in a packet of its own.
constexpr std::size_t HeaderBytes = 60;
// 1700 changes a day.
constexpr double ChangesPerSecond = 1700.0 / 86400.0;
// Limits on the traffic and the CPU time of each process.
constexpr double BudgetBytesPerSecond = 20000;
constexpr double BudgetCpuPercent = 1.8;
constexpr Duration IdleTime = std::chrono::seconds(10);
constexpr Duration ChangeInterval = std::chrono::seconds(10);

double cpuSeconds() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return static_cast<double>(T.tv_sec) + static_cast<double>(T.tv_nsec) / 1e9;
}

std::string makeObjects(int Teams, int Value) {
  std::string Text;
  for (int I = 0; I < Teams; ++I) {
    const std::string N = std::to_string(I);
    const int Running = 100 + (I == Value % Teams ? Value : 0);
    Text.append("[[quota]]\nname = \"quota-").append(N).append("\"\n");
    Text.append("running = ").append(std::to_string(Running));
    Text.append("\nrate = \"500/s\"\n[[team]]\nname = \"team-").append(N);
    Text.append("\"\ntoken_sha256 = \"").append(sha256Hex(N));
    Text.append("\"\nquota = \"quota-").append(N);
    Text.append("\"\nweight = 4\n");
  }
  return Text;
}

AcceptedPtr makeState(int Teams, int Version) {
  const auto State =
      makeAcceptedConfig(ConfigVersion(static_cast<std::uint64_t>(Version)),
                         makeObjects(Teams, Version));
  return ok(State) ? value(State) : nullptr;
}

/// Simulates processes, their links and configuration changes read from the log
/// in virtual time.
class PropagationSimulation {
public:
  PropagationSimulation(const Deployment &D, PropagationStrategy Strategy,
                        std::uint64_t Seed);

  void run(Duration Length);
  /// Adds State to the log as an accepted version. Each entry reads it after 2
  /// to 20 ms.
  void acceptState(const AcceptedPtr &State);
  void stopEntry(std::size_t Index) { Nodes_[Index].Stopped_ = true; }
  /// Time from the last acceptState until the last running process put the
  /// version in force; empty if one has not.
  std::optional<Duration> propagationTime() const;

  std::uint64_t messages() const { return Messages_; }
  /// Bytes sent and received by the process that has the most traffic.
  std::uint64_t busiestBytes() const;
  std::uint64_t totalBytes() const;
  /// CPU seconds that the first entry used. They are measured with the CPU
  /// clock of the thread, not in virtual time.
  double entryCpu() const { return EntryCpu_; }
  std::uint64_t signature() const { return Signature_.value(); }

private:
  struct Node {
    std::string Name_;
    Role Role_ = Role::Agent;
    std::unique_ptr<ConfigSync> Sync_;
    std::uint64_t Bytes_ = 0;
    bool Stopped_ = false;
    Time InForceAt_;
    std::optional<Time> TimerAt_;
  };
  struct Event {
    Time At_;
    std::uint64_t Sequence_ = 0;
    std::size_t Node_ = 0;
    std::size_t From_ = 0;
    /// Null for a timer and for a state read from the log.
    std::shared_ptr<const Message> Message_;
    std::size_t Bytes_ = 0;
    AcceptedPtr LogState_;
    /// Reversed, so that the earliest event is at the top of the queue.
    bool operator<(const Event &Other) const {
      return std::tie(Other.At_, Other.Sequence_) < std::tie(At_, Sequence_);
    }
  };

  void addNode(const std::string &Name, Role R, PropagationStrategy Strategy);
  void connect(std::size_t A, std::size_t B);
  void handleEvent(const Event &E);
  SyncOutputs deliver(Node &N, const Event &E);
  void applyOutputs(std::size_t Index, const SyncOutputs &Outputs);
  void send(std::size_t From, const SyncSend &Send);
  void push(Event E);
  Duration delay(std::int64_t MinUs, std::int64_t MaxUs) {
    return Duration(
        std::uniform_int_distribution<std::int64_t>(MinUs, MaxUs)(Random_));
  }

  std::mt19937_64 Random_;
  Time Now_;
  Time AcceptedAt_;
  ConfigVersion Version_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Messages_ = 0;
  double EntryCpu_ = 0;
  std::vector<Node> Nodes_;
  std::unordered_map<std::string, std::size_t> ByName_;
  std::priority_queue<Event> Queue_;
  Signature Signature_;
};

PropagationSimulation::PropagationSimulation(const Deployment &D,
                                             PropagationStrategy Strategy,
                                             std::uint64_t Seed)
    : Random_(Seed) {
  const int Entries = D.Regions_ * D.EntriesPerRegion_;
  for (int I = 0; I < Entries; ++I)
    addNode("entry-" + std::to_string(I), Role::Entry, Strategy);
  for (int I = 0; I < D.Agents_; ++I)
    addNode("agent-" + std::to_string(I), Role::Agent, Strategy);
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    const int Number = static_cast<int>(I);
    const bool IsEntry = Number < Entries;
    const int Region = IsEntry ? Number / D.EntriesPerRegion_
                               : (Number - Entries) % D.Regions_;
    const int Begin = Region * D.EntriesPerRegion_;
    const int End = IsEntry ? Number : Begin + D.EntriesPerRegion_;
    for (int E = Begin; E < End; ++E)
      connect(static_cast<std::size_t>(E), I);
  }
}

void PropagationSimulation::addNode(const std::string &Name, Role R,
                                    PropagationStrategy Strategy) {
  SyncOptions Options;
  Options.Strategy_ = Strategy;
  Options.Role_ = R;
  Options.Seed_ = Random_();
  // Without pushes, only the digest period bounds the propagation time.
  if (Strategy == PropagationStrategy::Periodic)
    Options.DigestPeriod_ = std::chrono::seconds(1);
  Node N;
  N.Name_ = Name;
  N.Role_ = R;
  N.Sync_ = std::make_unique<ConfigSync>(Options);
  ByName_[Name] = Nodes_.size();
  Nodes_.push_back(std::move(N));
}

void PropagationSimulation::connect(std::size_t A, std::size_t B) {
  const auto NotifyPeerUp = [this](std::size_t I, std::size_t Peer) {
    applyOutputs(I, Nodes_[I].Sync_->onPeerUp(Nodes_[Peer].Name_,
                                              Nodes_[Peer].Role_, Now_));
  };
  NotifyPeerUp(A, B);
  NotifyPeerUp(B, A);
}

void PropagationSimulation::push(Event E) {
  E.Sequence_ = ++Sequence_;
  Queue_.push(std::move(E));
}

void PropagationSimulation::acceptState(const AcceptedPtr &State) {
  AcceptedAt_ = Now_;
  Version_ = State->Version_;
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    if (Nodes_[I].Role_ != Role::Entry)
      continue;
    Event E;
    E.At_ = Now_ + delay(2000, 20000);
    E.Node_ = I;
    E.LogState_ = State;
    push(std::move(E));
  }
}

void PropagationSimulation::run(Duration Length) {
  const Time End = Now_ + Length;
  while (!Queue_.empty() && Queue_.top().At_ <= End) {
    const Event E = Queue_.top();
    Queue_.pop();
    Now_ = E.At_;
    handleEvent(E);
  }
  Now_ = End;
}

void PropagationSimulation::handleEvent(const Event &E) {
  Node &N = Nodes_[E.Node_];
  if (N.Stopped_)
    return;
  if (E.Message_)
    N.Bytes_ += E.Bytes_;
  else if (!E.LogState_)
    N.TimerAt_.reset();
  const double StartCpu = E.Node_ == 0 ? cpuSeconds() : 0;
  const SyncOutputs Outputs = deliver(N, E);
  applyOutputs(E.Node_, Outputs);
  if (E.Node_ == 0)
    EntryCpu_ += cpuSeconds() - StartCpu;
}

SyncOutputs PropagationSimulation::deliver(Node &N, const Event &E) {
  if (E.LogState_)
    return N.Sync_->onAccepted(E.LogState_, Now_);
  if (!E.Message_)
    return N.Sync_->tick(Now_);
  const std::string &From = Nodes_[E.From_].Name_;
  const Message &M = *E.Message_;
  if (const auto *Digest = std::get_if<ConfigDigest>(&M))
    return N.Sync_->onDigest(From, *Digest, Now_);
  if (const auto *Request = std::get_if<ConfigRequest>(&M))
    return N.Sync_->onRequest(From, *Request, Now_);
  if (const auto *State = std::get_if<ConfigState>(&M))
    return N.Sync_->onState(From, *State, Now_);
  return N.Sync_->onDelta(From, std::get<ConfigDelta>(M), Now_);
}

void PropagationSimulation::applyOutputs(std::size_t Index,
                                         const SyncOutputs &Outputs) {
  Node &N = Nodes_[Index];
  for (const SyncOutput &Output : Outputs) {
    if (const auto *Send = std::get_if<SyncSend>(&Output))
      send(Index, *Send);
    else if (const auto *State = std::get_if<SyncInForce>(&Output))
      if (State->State_->Version_ == Version_)
        N.InForceAt_ = Now_;
  }
  const auto At = N.Sync_->nextTimer();
  if (!At || (N.TimerAt_ && *N.TimerAt_ <= *At))
    return;
  N.TimerAt_ = At;
  Event E;
  E.At_ = std::max(*At, Now_);
  E.Node_ = Index;
  push(std::move(E));
}

void PropagationSimulation::send(std::size_t From, const SyncSend &Send) {
  Batch B;
  B.Messages_.push_back(Send.Message_);
  Event E;
  E.Bytes_ = encodeFrame(B).size() + HeaderBytes;
  E.From_ = From;
  E.Node_ = ByName_.at(Send.Peer_);
  E.At_ = Now_ + delay(500, 2500);
  E.Message_ = std::make_shared<const Message>(Send.Message_);
  Nodes_[From].Bytes_ += E.Bytes_;
  ++Messages_;
  Signature_.add(E.Node_);
  Signature_.add(static_cast<std::uint64_t>(E.At_.time_since_epoch().count()));
  if (std::uniform_real_distribution<double>(0, 1)(Random_) >= LossProbability)
    push(std::move(E));
}

std::optional<Duration> PropagationSimulation::propagationTime() const {
  Duration Longest{0};
  for (const Node &N : Nodes_) {
    if (N.Stopped_)
      continue;
    if (N.Sync_->version() < Version_)
      return std::nullopt;
    Longest = std::max(Longest, N.InForceAt_ - AcceptedAt_);
  }
  return Longest;
}

std::uint64_t PropagationSimulation::busiestBytes() const {
  std::uint64_t Most = 0;
  for (const Node &N : Nodes_)
    Most = std::max(Most, N.Bytes_);
  return Most;
}

std::uint64_t PropagationSimulation::totalBytes() const {
  std::uint64_t Sum = 0;
  for (const Node &N : Nodes_)
    Sum += N.Bytes_;
  // Each message is counted at its sender and at its receiver. A lost or
  // undelivered one is counted only at the sender, so it adds half its size.
  return Sum / 2;
}

double milliseconds(Duration D) { return static_cast<double>(D.count()) / 1e3; }

/// Counters at one point in a run: messages, bytes and CPU seconds.
struct Sample {
  double Messages_ = 0;
  double Busiest_ = 0;
  double Total_ = 0;
  double Cpu_ = 0;
};
Sample takeSample(const PropagationSimulation &Simulation) {
  return {static_cast<double>(Simulation.messages()),
          static_cast<double>(Simulation.busiestBytes()),
          static_cast<double>(Simulation.totalBytes()), Simulation.entryCpu()};
}

// Measures the traffic first without and then with changes, to separate the
// idle rate from the cost per change. The budgets are checked at
// ChangesPerSecond, since the run makes changes far more often: one every 10 s.
// A change that did not reach all processes is reported as 1e9 ms.
void runStrategy(const Deployment &D, PropagationStrategy Strategy,
                 bool IsDefault, std::uint64_t Seed, Signature &Sum) {
  PropagationSimulation Simulation(D, Strategy, Seed);
  constexpr int Teams = 10;
  Simulation.run(std::chrono::seconds(2));
  Simulation.acceptState(makeState(Teams, 1));
  Simulation.run(ChangeInterval);
  const Sample Start = takeSample(Simulation);
  Simulation.run(IdleTime);
  const Sample Idle = takeSample(Simulation);
  double WorstMs = 0;
  // A random offset lets changes fall at any point of the digest period.
  std::mt19937_64 PhaseRandom(Seed);
  for (int Change = 2; Change < 2 + ChangeCount; ++Change) {
    const Duration PhaseOffset(
        static_cast<std::int64_t>(PhaseRandom() % 1000000));
    Simulation.run(PhaseOffset);
    Simulation.acceptState(makeState(Teams, Change));
    Simulation.run(ChangeInterval - PhaseOffset);
    const auto PropagationTime = Simulation.propagationTime();
    WorstMs = std::max(WorstMs,
                       PropagationTime ? milliseconds(*PropagationTime) : 1e9);
  }
  const Sample End = takeSample(Simulation);
  const double IdleSeconds = milliseconds(IdleTime) / 1e3;
  const double Seconds = ChangeCount * milliseconds(ChangeInterval) / 1e3;
  const auto IdleRate = [&](double Sample::*F) {
    return (Idle.*F - Start.*F) / IdleSeconds;
  };
  const auto PerChange = [&](double Sample::*F) {
    return std::max(0.0, End.*F - Idle.*F - IdleRate(F) * Seconds) /
           ChangeCount;
  };
  const auto AtTargetRate = [&](double Sample::*F) {
    return IdleRate(F) + PerChange(F) * ChangesPerSecond;
  };
  const std::string Name = std::string("config_") + D.Name_ + "_" +
                           propagationStrategyName(Strategy) + "_";
  const auto TargetAtMost = [IsDefault](double Limit) {
    return IsDefault ? Target::atMost(Limit) : Target::none();
  };
  printMetric(Name + "reach_all_worst", WorstMs, "ms", TargetAtMost(1000));
  printMetric(Name + "messages_idle", IdleRate(&Sample::Messages_), "1/s");
  printMetric(Name + "messages_per_change", PerChange(&Sample::Messages_),
              "messages");
  printMetric(Name + "bytes_per_change", PerChange(&Sample::Total_), "B");
  printMetric(Name + "busiest_node_bytes", AtTargetRate(&Sample::Busiest_),
              "B/s", TargetAtMost(BudgetBytesPerSecond));
  printMetric(Name + "busiest_node_cpu", 100 * AtTargetRate(&Sample::Cpu_),
              "%core", TargetAtMost(BudgetCpuPercent));
  Sum.add(Simulation.signature());
}

// Stops the first entry during the propagation of a change: 5 ms after it was
// accepted, when some entries may not have read it from the log. A change that
// did not reach all running processes is reported as 1e9 ms.
void runEntryLost(const Deployment &D, std::uint64_t Seed, Signature &Sum) {
  const PropagationStrategy DefaultStrategy = SyncOptions().Strategy_;
  PropagationSimulation Simulation(D, DefaultStrategy, Seed);
  Simulation.run(std::chrono::seconds(2));
  Simulation.acceptState(makeState(10, 1));
  Simulation.run(std::chrono::seconds(5));
  Simulation.acceptState(makeState(10, 2));
  Simulation.run(std::chrono::milliseconds(5));
  Simulation.stopEntry(0);
  Simulation.run(ChangeInterval);
  const auto PropagationTime = Simulation.propagationTime();
  printMetric(std::string("config_") + D.Name_ + "_" +
                  propagationStrategyName(DefaultStrategy) +
                  "_entry_lost_reach",
              PropagationTime ? milliseconds(*PropagationTime) : 1e9, "ms",
              Target::atMost(5000));
  Sum.add(Simulation.signature());
}

// Size and CPU time of one change with 250 teams, the target number, compared
// with sending and checking the whole configuration.
void runDeltaCost() {
  constexpr int Teams = 250;
  constexpr int Rounds = 20;
  const AcceptedPtr Before = makeState(Teams, 1);
  const AcceptedPtr After = makeState(Teams, 2);
  const ConfigDelta Delta = makeDelta(*Before, *After);
  Batch B;
  B.Messages_.push_back(Delta);
  printMetric("config_delta_size", static_cast<double>(encodeFrame(B).size()),
              "B");
  printMetric("config_set_size", static_cast<double>(After->Toml_.size()), "B");
  const auto MeasureMs = [](const std::function<void()> &Work) {
    const double StartCpu = cpuSeconds();
    for (int I = 0; I < Rounds; ++I)
      Work();
    return (cpuSeconds() - StartCpu) / Rounds * 1e3;
  };
  const double ApplyMs = MeasureMs([&] { (void)applyDelta(*Before, Delta); });
  const double CheckMs = MeasureMs(
      [&] { (void)makeAcceptedConfig(ConfigVersion(2), After->Toml_); });
  printMetric("config_delta_apply_cpu", ApplyMs, "ms");
  printMetric("config_set_check_cpu", CheckMs, "ms");
  printMetric("config_agent_cpu_at_1700_changes",
              ApplyMs / 1e3 * ChangesPerSecond * 100, "%core",
              Target::atMost(BudgetCpuPercent));
}

} // namespace

int benchConfig(std::uint64_t Seed) {
  Signature Sum;
  for (const Deployment &D : Deployments) {
    for (const PropagationStrategy Strategy :
         {PropagationStrategy::Periodic, PropagationStrategy::Push,
          PropagationStrategy::Suppressed})
      runStrategy(D, Strategy, Strategy == SyncOptions().Strategy_, Seed, Sum);
    runEntryLost(D, Seed, Sum);
  }
  runDeltaCost();
  std::printf("config_signature %s hex - -\n", toHex(Sum.value()).c_str());
  return ExitOk;
}

} // namespace chivelanding
