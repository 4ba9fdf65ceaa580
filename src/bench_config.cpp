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

// Deployment of a run: regions with the same number of entries, and agents
// spread evenly over regions.
struct Shape {
  const char *Name_;
  int Regions_;
  int EntriesPerRegion_;
  int Agents_;
};
constexpr Shape Shapes[] = {{"11", 1, 3, 11}, {"6100", 8, 4, 6100}};

constexpr double Loss = 0.01;
constexpr int Changes = 6;
// Headers of TCP, IP and the websocket, for each message on its own.
constexpr std::size_t HeaderBytes = 60;
constexpr double ChangesPerSecond = 1700.0 / 86400.0;
constexpr double BudgetBytesPerSecond = 20000;
constexpr double BudgetCpuPercent = 1.8;
constexpr Duration IdleTime = std::chrono::seconds(10);
constexpr Duration ChangeTime = std::chrono::seconds(10);

double cpuSeconds() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return static_cast<double>(T.tv_sec) + static_cast<double>(T.tv_nsec) / 1e9;
}

std::string objectsFor(int Teams, int Value) {
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

AcceptedPtr stateOf(int Teams, int Version) {
  const auto State =
      makeAcceptedConfig(ConfigVersion(static_cast<std::uint64_t>(Version)),
                         objectsFor(Teams, Version));
  return ok(State) ? value(State) : nullptr;
}

/// Processes, links and the log's changes in virtual time.
class SpreadWorld {
public:
  SpreadWorld(const Shape &S, PropagationStrategy Strategy, std::uint64_t Seed);

  void run(Duration Length);
  /// The entries read this state from the log within a few milliseconds.
  void accept(const AcceptedPtr &State);
  void stopEntry(std::size_t Index) { Nodes_[Index].Stopped_ = true; }
  /// Time from accept until every running process had the version; empty if
  /// one has not.
  std::optional<Duration> reachTime() const;

  std::uint64_t messages() const { return Messages_; }
  /// Bytes sent and received by the process with most of them.
  std::uint64_t busiestBytes() const;
  std::uint64_t totalBytes() const;
  /// CPU seconds of the first entry.
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
  struct Step {
    Time At_;
    std::uint64_t Order_ = 0;
    std::size_t Node_ = 0;
    std::size_t From_ = 0;
    /// Empty for a timer.
    std::shared_ptr<const Message> Message_;
    std::size_t Bytes_ = 0;
    AcceptedPtr Log_;
    bool operator<(const Step &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  void addNode(const std::string &Name, Role R, PropagationStrategy Strategy);
  void link(std::size_t A, std::size_t B);
  void handle(const Step &S);
  SyncOutputs deliver(Node &N, const Step &S);
  void perform(std::size_t Index, const SyncOutputs &Outputs);
  void send(std::size_t From, const SyncSend &Send);
  void push(Step S);
  Duration delay(std::int64_t MinUs, std::int64_t MaxUs) {
    return Duration(
        std::uniform_int_distribution<std::int64_t>(MinUs, MaxUs)(Random_));
  }

  std::mt19937_64 Random_;
  Time Now_;
  Time AcceptedAt_;
  ConfigVersion Version_;
  std::uint64_t Order_ = 0;
  std::uint64_t Messages_ = 0;
  double EntryCpu_ = 0;
  std::vector<Node> Nodes_;
  std::unordered_map<std::string, std::size_t> ByName_;
  std::priority_queue<Step> Queue_;
  Signature Signature_;
};

SpreadWorld::SpreadWorld(const Shape &S, PropagationStrategy Strategy,
                         std::uint64_t Seed)
    : Random_(Seed) {
  const int Entries = S.Regions_ * S.EntriesPerRegion_;
  for (int I = 0; I < Entries; ++I)
    addNode("entry-" + std::to_string(I), Role::Entry, Strategy);
  for (int I = 0; I < S.Agents_; ++I)
    addNode("agent-" + std::to_string(I), Role::Agent, Strategy);
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    const int Number = static_cast<int>(I);
    const bool IsEntry = Number < Entries;
    const int Region = IsEntry ? Number / S.EntriesPerRegion_
                               : (Number - Entries) % S.Regions_;
    const int Begin = Region * S.EntriesPerRegion_;
    const int End = IsEntry ? Number : Begin + S.EntriesPerRegion_;
    for (int E = Begin; E < End; ++E)
      link(static_cast<std::size_t>(E), I);
  }
}

void SpreadWorld::addNode(const std::string &Name, Role R,
                          PropagationStrategy Strategy) {
  SyncOptions Options;
  Options.Strategy_ = Strategy;
  Options.Role_ = R;
  Options.Seed_ = Random_();
  // The plain exchange has nothing but its period to be in time.
  if (Strategy == PropagationStrategy::Periodic)
    Options.DigestPeriod_ = std::chrono::seconds(1);
  Node N;
  N.Name_ = Name;
  N.Role_ = R;
  N.Sync_ = std::make_unique<ConfigSync>(Options);
  ByName_[Name] = Nodes_.size();
  Nodes_.push_back(std::move(N));
}

void SpreadWorld::link(std::size_t A, std::size_t B) {
  const auto Up = [this](std::size_t I, std::size_t Peer) {
    perform(I, Nodes_[I].Sync_->onPeerUp(Nodes_[Peer].Name_, Nodes_[Peer].Role_,
                                         Now_));
  };
  Up(A, B);
  Up(B, A);
}

void SpreadWorld::push(Step S) {
  S.Order_ = ++Order_;
  Queue_.push(std::move(S));
}

void SpreadWorld::accept(const AcceptedPtr &State) {
  AcceptedAt_ = Now_;
  Version_ = State->Version_;
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    if (Nodes_[I].Role_ != Role::Entry)
      continue;
    Step S;
    S.At_ = Now_ + delay(2000, 20000);
    S.Node_ = I;
    S.Log_ = State;
    push(std::move(S));
  }
}

void SpreadWorld::run(Duration Length) {
  const Time End = Now_ + Length;
  while (!Queue_.empty() && Queue_.top().At_ <= End) {
    const Step S = Queue_.top();
    Queue_.pop();
    Now_ = S.At_;
    handle(S);
  }
  Now_ = End;
}

void SpreadWorld::handle(const Step &S) {
  Node &N = Nodes_[S.Node_];
  if (N.Stopped_)
    return;
  if (S.Message_)
    N.Bytes_ += S.Bytes_;
  else if (!S.Log_)
    N.TimerAt_.reset();
  const double Began = S.Node_ == 0 ? cpuSeconds() : 0;
  const SyncOutputs Outputs = deliver(N, S);
  perform(S.Node_, Outputs);
  if (S.Node_ == 0)
    EntryCpu_ += cpuSeconds() - Began;
}

SyncOutputs SpreadWorld::deliver(Node &N, const Step &S) {
  if (S.Log_)
    return N.Sync_->onAccepted(S.Log_, Now_);
  if (!S.Message_)
    return N.Sync_->tick(Now_);
  const std::string &From = Nodes_[S.From_].Name_;
  const Message &M = *S.Message_;
  if (const auto *Digest = std::get_if<ConfigDigest>(&M))
    return N.Sync_->onDigest(From, *Digest, Now_);
  if (const auto *Request = std::get_if<ConfigRequest>(&M))
    return N.Sync_->onRequest(From, *Request, Now_);
  if (const auto *State = std::get_if<ConfigState>(&M))
    return N.Sync_->onState(From, *State, Now_);
  return N.Sync_->onDelta(From, std::get<ConfigDelta>(M), Now_);
}

void SpreadWorld::perform(std::size_t Index, const SyncOutputs &Outputs) {
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
  Step S;
  S.At_ = std::max(*At, Now_);
  S.Node_ = Index;
  push(std::move(S));
}

void SpreadWorld::send(std::size_t From, const SyncSend &Send) {
  Batch B;
  B.Messages_.push_back(Send.Message_);
  Step S;
  S.Bytes_ = encodeFrame(B).size() + HeaderBytes;
  S.From_ = From;
  S.Node_ = ByName_.at(Send.Peer_);
  S.At_ = Now_ + delay(500, 2500);
  S.Message_ = std::make_shared<const Message>(Send.Message_);
  Nodes_[From].Bytes_ += S.Bytes_;
  ++Messages_;
  Signature_.add(S.Node_);
  Signature_.add(static_cast<std::uint64_t>(S.At_.time_since_epoch().count()));
  if (std::uniform_real_distribution<double>(0, 1)(Random_) >= Loss)
    push(std::move(S));
}

std::optional<Duration> SpreadWorld::reachTime() const {
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

std::uint64_t SpreadWorld::busiestBytes() const {
  std::uint64_t Most = 0;
  for (const Node &N : Nodes_)
    Most = std::max(Most, N.Bytes_);
  return Most;
}

std::uint64_t SpreadWorld::totalBytes() const {
  std::uint64_t Sum = 0;
  for (const Node &N : Nodes_)
    Sum += N.Bytes_;
  return Sum / 2;
}

double milliseconds(Duration D) { return static_cast<double>(D.count()) / 1e3; }

/// Counters at one point of a run.
struct Sample {
  double Messages_ = 0;
  double Busiest_ = 0;
  double Total_ = 0;
  double Cpu_ = 0;
};
Sample sampleOf(const SpreadWorld &W) {
  return {static_cast<double>(W.messages()),
          static_cast<double>(W.busiestBytes()),
          static_cast<double>(W.totalBytes()), W.entryCpu()};
}

// Traffic is measured without changes and with them; the budget is judged at
// the target rate of changes, which is far below that of the run.
void runStrategy(const Shape &S, PropagationStrategy Strategy, bool IsChosen,
                 std::uint64_t Seed, Signature &Sum) {
  SpreadWorld World(S, Strategy, Seed);
  constexpr int Teams = 10;
  World.run(std::chrono::seconds(2));
  World.accept(stateOf(Teams, 1));
  World.run(ChangeTime);
  const Sample Start = sampleOf(World);
  World.run(IdleTime);
  const Sample Idle = sampleOf(World);
  double Worst = 0;
  // Changes come at any point of the digest period.
  std::mt19937_64 Phase(Seed);
  for (int Change = 2; Change < 2 + Changes; ++Change) {
    const Duration Early(static_cast<std::int64_t>(Phase() % 1000000));
    World.run(Early);
    World.accept(stateOf(Teams, Change));
    World.run(ChangeTime - Early);
    const auto Reach = World.reachTime();
    Worst = std::max(Worst, Reach ? milliseconds(*Reach) : 1e9);
  }
  const Sample End = sampleOf(World);
  const double IdleSeconds = milliseconds(IdleTime) / 1e3;
  const double Seconds = Changes * milliseconds(ChangeTime) / 1e3;
  const auto Rate = [&](double Sample::*F) {
    return (Idle.*F - Start.*F) / IdleSeconds;
  };
  const auto PerChange = [&](double Sample::*F) {
    return std::max(0.0, End.*F - Idle.*F - Rate(F) * Seconds) / Changes;
  };
  const auto AtTarget = [&](double Sample::*F) {
    return Rate(F) + PerChange(F) * ChangesPerSecond;
  };
  const std::string Name = std::string("config_") + S.Name_ + "_" +
                           propagationStrategyName(Strategy) + "_";
  const auto Bound = [IsChosen](double Limit) {
    return IsChosen ? Target::atMost(Limit) : Target::none();
  };
  printFigure(Name + "reach_all_worst", Worst, "ms", Bound(1000));
  printFigure(Name + "messages_idle", Rate(&Sample::Messages_), "1/s");
  printFigure(Name + "messages_per_change", PerChange(&Sample::Messages_),
              "messages");
  printFigure(Name + "bytes_per_change", PerChange(&Sample::Total_), "B");
  printFigure(Name + "busiest_node_bytes", AtTarget(&Sample::Busiest_), "B/s",
              Bound(BudgetBytesPerSecond));
  printFigure(Name + "busiest_node_cpu", 100 * AtTarget(&Sample::Cpu_), "%core",
              Bound(BudgetCpuPercent));
  Sum.add(World.signature());
}

// An entry stops while it spreads a change.
void runEntryLost(const Shape &S, std::uint64_t Seed, Signature &Sum) {
  const PropagationStrategy Chosen = SyncOptions().Strategy_;
  SpreadWorld World(S, Chosen, Seed);
  World.run(std::chrono::seconds(2));
  World.accept(stateOf(10, 1));
  World.run(std::chrono::seconds(5));
  World.accept(stateOf(10, 2));
  World.run(std::chrono::milliseconds(5));
  World.stopEntry(0);
  World.run(ChangeTime);
  const auto Reach = World.reachTime();
  printFigure(std::string("config_") + S.Name_ + "_" +
                  propagationStrategyName(Chosen) + "_entry_lost_reach",
              Reach ? milliseconds(*Reach) : 1e9, "ms", Target::atMost(5000));
  Sum.add(World.signature());
}

// Size and cost of one change at the target number of teams: what each process
// spends, and what the whole set would take instead.
void runFullSet() {
  constexpr int Teams = 250;
  constexpr int Rounds = 20;
  const AcceptedPtr Before = stateOf(Teams, 1);
  const AcceptedPtr After = stateOf(Teams, 2);
  const ConfigDelta Delta = makeDelta(*Before, *After);
  Batch B;
  B.Messages_.push_back(Delta);
  printFigure("config_delta_size", static_cast<double>(encodeFrame(B).size()),
              "B");
  printFigure("config_set_size", static_cast<double>(After->Toml_.size()), "B");
  const auto CostOf = [](const std::function<void()> &Work) {
    const double Began = cpuSeconds();
    for (int I = 0; I < Rounds; ++I)
      Work();
    return (cpuSeconds() - Began) / Rounds * 1e3;
  };
  const double Apply = CostOf([&] { (void)applyDelta(*Before, Delta); });
  const double Check =
      CostOf([&] { (void)makeAcceptedConfig(ConfigVersion(2), After->Toml_); });
  printFigure("config_delta_apply_cpu", Apply, "ms");
  printFigure("config_set_check_cpu", Check, "ms");
  printFigure("config_agent_cpu_at_1700_changes",
              Apply / 1e3 * ChangesPerSecond * 100, "%core",
              Target::atMost(BudgetCpuPercent));
}

} // namespace

int benchConfig(std::uint64_t Seed) {
  Signature Sum;
  for (const Shape &S : Shapes) {
    for (const PropagationStrategy Strategy :
         {PropagationStrategy::Periodic, PropagationStrategy::Push,
          PropagationStrategy::Suppressed})
      runStrategy(S, Strategy, Strategy == SyncOptions().Strategy_, Seed, Sum);
    runEntryLost(S, Seed, Sum);
  }
  runFullSet();
  std::printf("config_signature %s hex - -\n", toHex(Sum.value()).c_str());
  return ExitOk;
}

} // namespace chivelanding
