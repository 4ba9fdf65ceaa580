#include "agent_gate.h"
#include "recovery.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace chivelanding;
using namespace std::chrono_literals;

namespace {

const EntryId Owner{"owner", Incarnation(1)};
const EntryId X{"x", Incarnation(2)};
const EntryId Y{"y", Incarnation(3)};
const AgentId P{"p", Incarnation(11)};
const AgentId Q{"q", Incarnation(12)};
const ServiceName Service("service");

EndpointInfo endpoint(std::uint32_t Slots) {
  EndpointInfo Info;
  Info.Service_ = Service;
  Info.Slots_ = Slots;
  return Info;
}

struct EntryNode {
  Scheduler Sched_;
  JobOwner Owner_;
  Recovery Recovery_;
  bool Alive_ = true;
  explicit EntryNode(const EntryId &Id)
      : Owner_(Id, {}, Sched_, Time{}), Recovery_(Id) {}
};

struct AgentNode {
  AgentGate Gate_;
  bool Alive_ = true;
  explicit AgentNode(const AgentId &Id)
      : Gate_(Id, {0, 1u << 20, std::chrono::minutes(10)}) {}
};

struct Envelope {
  bool ToAgent_;
  EntryId Entry_;
  AgentId Agent_;
  Message Message_;
};

// Three entries and two agents with one slot each, joined by ordered links.
// Runs end only when a test says so.
struct World {
  Time Now_{};
  std::map<EntryId, EntryNode> Entries_;
  std::map<AgentId, AgentNode> Agents_;
  std::deque<Envelope> Wire_;
  std::map<std::pair<AgentId, RunId>, RunTask> Running_;
  std::map<std::pair<JobId, TaskIndex>, int> Starts_;
  std::map<ReplyId, JobAnswer> Answers_;
  std::vector<RelayToEntry> Relays_;
  std::uint64_t NextReply_ = 1;

  World() {
    for (const EntryId &E : {Owner, X, Y})
      Entries_.emplace(E, E);
    for (const AgentId &A : {P, Q}) {
      AgentNode &Node = Agents_.emplace(A, A).first->second;
      apply(A, Node.Gate_.onEndpointAnnounced(endpoint(1), Now_));
      for (const EntryId &E : {Owner, X, Y})
        apply(A, Node.Gate_.onEntryConnected(E, Now_));
    }
    deliver();
  }

  EntryNode &entry(const EntryId &E) { return Entries_.at(E); }
  AgentGate &gate(const AgentId &A) { return Agents_.at(A).Gate_; }

  void apply(const AgentId &From, const GateOutputs &Out) {
    for (const auto &O : Out) {
      if (const auto *Send = std::get_if<SendToEntry>(&O)) {
        Wire_.push_back({false, Send->To_, From, Send->Message_});
      } else if (const auto *Run = std::get_if<RunTask>(&O)) {
        Running_[{From, Run->Run_}] = *Run;
        ++Starts_[{Run->Job_, Run->Index_}];
      }
    }
  }
  template <typename Outputs>
  void apply(const EntryId &From, const Outputs &Out) {
    for (const auto &O : Out)
      std::visit([&](const auto &Body) { one(From, Body); }, O);
  }
  void one(const EntryId &From, const SendToAgent &Send) {
    Wire_.push_back({true, From, Send.To_, Send.Message_});
  }
  void one(const EntryId &, const GiveAnswer &Answer) {
    CHECK(Answers_.count(Answer.To_) == 0);
    Answers_[Answer.To_] = Answer.Answer_;
  }
  void one(const EntryId &From, const AdoptJob &Adopt) {
    apply(From, entry(From).Owner_.onAdopt(Adopt.Job_, Adopt.Reply_, Now_));
  }
  void one(const EntryId &, const RelayToEntry &Relay) {
    Relays_.push_back(Relay);
  }
  void one(const EntryId &, const LogPlacement &) {}
  void one(const EntryId &, const LogEvent &) {}

  void deliverOne() {
    const Envelope E = Wire_.front();
    Wire_.pop_front();
    if (!Entries_.at(E.Entry_).Alive_ || !Agents_.at(E.Agent_).Alive_)
      return;
    if (E.ToAgent_)
      return apply(E.Agent_,
                   gate(E.Agent_).onMessage(E.Entry_, E.Message_, Now_));
    apply(E.Entry_,
          entry(E.Entry_).Recovery_.onAgentMessage(E.Agent_, E.Message_, Now_));
    apply(E.Entry_,
          entry(E.Entry_).Owner_.onAgentMessage(E.Agent_, E.Message_, Now_));
  }
  void deliver() {
    while (!Wire_.empty())
      deliverOne();
  }

  JobSpec spec(const char *Key, int Tasks) {
    JobSpec Spec;
    Spec.Id_ = {TeamName("team"), {Owner, Epoch(0)}, JobKey(Key)};
    Spec.Service_ = Service;
    Spec.Kind_ = KindName("kind");
    for (int I = 0; I < Tasks; ++I)
      Spec.Tasks_.push_back({"t" + std::to_string(I), "payload", {}});
    return Spec;
  }
  LostEntry lost(const EntryId &E, bool Synchronized = true) const {
    return {E, {{P, Service, true, {}}, {Q, Service, true, {}}}, Synchronized};
  }
  ReplyId submit(const EntryId &To, const JobSpec &Spec,
                 const std::optional<EntryId> &RelayedBy = {},
                 bool Synchronized = true) {
    const ReplyId Reply(NextReply_++);
    EntryNode &Node = entry(To);
    if (To == Spec.Id_.Token_.Owner_ || Node.Owner_.knows(Spec.Id_))
      apply(To, Node.Owner_.onSubmit(Spec, Reply, Now_));
    else
      apply(To, Node.Recovery_.onSubmit({Spec, Reply, RelayedBy},
                                        lost(Owner, Synchronized), Now_));
    return Reply;
  }
  // Delivers relayed submissions to their entries.
  void relay(const EntryId &From) {
    std::vector<RelayToEntry> Relays;
    Relays.swap(Relays_);
    for (const RelayToEntry &R : Relays) {
      EntryNode &Node = entry(R.To_);
      if (Node.Owner_.knows(R.Spec_.Id_))
        apply(R.To_, Node.Owner_.onSubmit(R.Spec_, R.Reply_, Now_));
      else
        apply(R.To_, Node.Recovery_.onSubmit({R.Spec_, R.Reply_, From},
                                             lost(Owner), Now_));
    }
    deliver();
  }
  void lose(const EntryId &E) {
    entry(E).Alive_ = false;
    for (auto &[Id, Node] : Agents_)
      apply(Id, Node.Gate_.onEntryLost(E, Now_));
    for (auto &[Id, Node] : Entries_)
      if (Node.Alive_)
        apply(Id, Node.Recovery_.onEntryLost(lost(E), Now_));
  }
  void lose(const AgentId &A) {
    Agents_.at(A).Alive_ = false;
    for (auto &[Id, Node] : Entries_) {
      apply(Id, Node.Recovery_.onAgentLost(A, Now_));
      apply(Id, Node.Owner_.onAgentLost(A, Now_));
    }
  }
  void finish(const AgentId &A, std::string Result = "done") {
    for (auto It = Running_.begin(); It != Running_.end(); ++It) {
      if (It->first.first != A)
        continue;
      const RunId Run = It->first.second;
      Running_.erase(It);
      apply(A, gate(A).onRunFinished(Run, RunOutcome::Success,
                                     std::move(Result), {}, Now_));
      return;
    }
  }
  // Lets every run end until nothing runs any more.
  void finishAll() {
    deliver();
    while (!Running_.empty()) {
      const AgentId Next = Running_.begin()->first.first;
      finish(Next);
      deliver();
    }
  }
  void pass(Duration D) {
    Now_ += D;
    for (auto &[Id, Node] : Entries_) {
      if (!Node.Alive_)
        continue;
      apply(Id, Node.Recovery_.onTimer(Now_));
      apply(Id, Node.Owner_.onTimer(Now_));
    }
    deliver();
  }
  JobAnswer answer(ReplyId Reply) {
    REQUIRE(Answers_.count(Reply) == 1);
    return Answers_[Reply];
  }
  bool noneTwice() const {
    return std::all_of(Starts_.begin(), Starts_.end(),
                       [](const auto &S) { return S.second == 1; });
  }
  EntryId higher() const {
    return rendezvousRank(X, Owner) < rendezvousRank(Y, Owner) ? Y : X;
  }
  EntryId lower() const { return higher() == X ? Y : X; }
};

} // namespace

// Guards against lost results, second starts and forgotten tasks at the loss of
// an owner: one task has finished, one runs, two wait.
TEST_CASE("A lost owner's job is resumed and completed", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 4));
  W.deliver();
  W.lose(Owner);
  W.finish(P, "by p");
  const ReplyId R = W.submit(X, W.spec("j", 4));
  CHECK(W.entry(X).Recovery_.waiting() == 1);
  W.deliver();
  const ReplyId Again = W.submit(X, W.spec("j", 4));
  W.finishAll();
  CHECK(W.answer(R).Outcome_ == Outcome::Completed);
  CHECK(W.answer(R).Tasks_.at(0).Result_ == "by p");
  CHECK(W.answer(Again).Outcome_ == Outcome::Completed);
  CHECK(W.noneTwice());
  CHECK(W.Starts_.size() == 4);
}

// Guards against a start of a task that may have run at an agent that cannot
// report.
TEST_CASE("An agent that stays silent makes its tasks unknown", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 3));
  W.deliver();
  W.lose(Owner);
  W.Agents_.at(Q).Alive_ = false;
  const ReplyId R = W.submit(X, W.spec("j", 3));
  W.deliver();
  W.pass(4s);
  CHECK(W.Answers_.empty());
  W.pass(1s);
  W.finish(P);
  W.deliver();
  const JobAnswer A = W.answer(R);
  CHECK(A.Outcome_ == Outcome::Unknown);
  CHECK(A.Tasks_.at(0).State_ == TaskState::Finished);
  CHECK(A.Tasks_.at(1).State_ == TaskState::Unknown);
  CHECK(A.Tasks_.at(2).State_ == TaskState::Unknown);
  CHECK(W.Starts_.size() == 2);
}

// Guards against the same at an agent that is lost after its report.
TEST_CASE("Owner and agent lost: its running task is unknown", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 2));
  W.deliver();
  W.lose(Owner);
  SECTION("during recovery") {
    const ReplyId R = W.submit(X, W.spec("j", 2));
    W.lose(Q);
    W.finishAll();
    CHECK(W.answer(R).Outcome_ == Outcome::Unknown);
  }
  SECTION("after recovery") {
    const ReplyId R = W.submit(X, W.spec("j", 2));
    W.deliver();
    W.lose(Q);
    W.finishAll();
    CHECK(W.answer(R).Outcome_ == Outcome::Unknown);
    CHECK(W.answer(R).Tasks_.at(0).State_ == TaskState::Finished);
  }
  SECTION("between the report and the resubmission of another job") {
    W.submit(X, W.spec("other", 1));
    W.deliver();
    W.lose(Q);
    const ReplyId R = W.submit(X, W.spec("j", 2));
    W.finishAll();
    CHECK(W.answer(R).Outcome_ == Outcome::Unknown);
  }
  CHECK(W.noneTwice());
}

// Guards against a recoverer that takes its knowledge of agents for complete.
TEST_CASE("Without synchronization only found tasks count", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("whole", 1));
  W.submit(Owner, W.spec("part", 2));
  W.deliver();
  W.lose(Owner);
  const ReplyId Whole = W.submit(X, W.spec("whole", 1), {}, false);
  const ReplyId Part = W.submit(X, W.spec("part", 2), {}, false);
  W.finishAll();
  CHECK(W.answer(Whole).Outcome_ == Outcome::Completed);
  CHECK(W.answer(Part).Outcome_ == Outcome::Unknown);
  CHECK(W.Starts_.size() == 2);
}

// Guards against a job that ran and was answered being run again, because its
// records at the agents are only tombstones.
TEST_CASE("An ended job is not run again", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 1));
  W.finishAll();
  W.lose(Owner);
  const ReplyId R = W.submit(X, W.spec("j", 1));
  W.finishAll();
  CHECK(W.answer(R).Outcome_ == Outcome::Unknown);
  CHECK(W.Starts_.size() == 1);
  CHECK(W.noneTwice());
}

// Guards against an idempotent request that is run again although its owner may
// have answered it.
TEST_CASE("An ended idempotent request is not run again", "[recovery]") {
  World W;
  JobSpec Spec = W.spec("j", 1);
  Spec.Idempotent_ = true;
  W.submit(Owner, Spec);
  W.finishAll();
  W.lose(Owner);
  W.lose(Q);
  const ReplyId R = W.submit(X, Spec);
  W.finishAll();
  W.pass(RecoveryWait);
  W.pass(1s);
  CHECK(W.answer(R).Outcome_ == Outcome::Unknown);
  CHECK(W.noneTwice());
}

// Guards against "not run" from an owner that was paused and closed while its
// job was resumed and run elsewhere, and against a run after "not run".
TEST_CASE("A paused owner does not answer not_run", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("first", 2));
  W.deliver();
  const ReplyId R = W.submit(Owner, W.spec("j", 1));
  SECTION("closed before the cancel") {
    W.submit(X, W.spec("j", 1));
    W.deliver();
    W.apply(Owner, W.entry(Owner).Owner_.onCancel(W.spec("j", 1).Id_, W.Now_));
    W.finishAll();
    CHECK(W.Answers_.count(R) == 0);
    CHECK(W.Starts_.size() == 3);
  }
  SECTION("lost after the answer") {
    W.apply(Owner, W.entry(Owner).Owner_.onCancel(W.spec("j", 1).Id_, W.Now_));
    W.deliver();
    CHECK(W.answer(R).Outcome_ == Outcome::NotRun);
    W.lose(Owner);
    const ReplyId Late = W.submit(X, W.spec("j", 1));
    W.finishAll();
    CHECK(W.answer(Late).Outcome_ == Outcome::Unknown);
    CHECK(W.Starts_.size() == 2);
  }
}

// Guards against two recoverers that both start the unstarted tasks.
TEST_CASE("A second recoverer relays to the holder", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 3));
  W.deliver();
  W.lose(Owner);
  const ReplyId First = W.submit(W.lower(), W.spec("j", 3));
  W.deliver();
  const ReplyId Second = W.submit(W.higher(), W.spec("j", 3));
  W.deliver();
  REQUIRE(W.Relays_.size() == 1);
  CHECK(W.Relays_[0].To_ == W.lower());
  W.relay(W.higher());
  W.finishAll();
  CHECK(W.answer(First).Outcome_ == Outcome::Completed);
  CHECK(W.answer(Second).Outcome_ == Outcome::Completed);
  CHECK(W.noneTwice());
}

// Guards against grants that stay divided when two entries recover at once.
TEST_CASE("Divided grants come together at the higher rank", "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 3));
  W.deliver();
  W.lose(Owner);
  const EntryId High = W.higher();
  const EntryId Low = W.lower();
  W.apply(P, W.gate(P).onMessage(High, CloseIncarnation{Owner}, W.Now_));
  W.apply(Q, W.gate(Q).onMessage(Low, CloseIncarnation{Owner}, W.Now_));
  const ReplyId A = W.submit(High, W.spec("j", 3));
  const ReplyId B = W.submit(Low, W.spec("j", 3));
  W.deliver();
  W.relay(Low);
  W.finishAll();
  CHECK(W.answer(A).Outcome_ == Outcome::Completed);
  CHECK(W.answer(B).Outcome_ == Outcome::Completed);
  CHECK(W.noneTwice());
}

// Guards against submissions that two entries pass to and fro.
TEST_CASE("A relayed submission is not relayed again", "[recovery]") {
  World W;
  W.lose(Owner);
  W.submit(W.lower(), W.spec("i", 1));
  W.deliver();
  const ReplyId R = W.submit(W.higher(), W.spec("j", 1), W.lower());
  W.deliver();
  CHECK(W.Relays_.empty());
  CHECK(W.answer(R).Code_ == "owner_unreachable");
  CHECK(W.answer(R).Outcome_ == Outcome::Unknown);
}

// Guards against a job that hangs or runs twice when its recoverer is lost too,
// during the recovery or after it has started tasks.
TEST_CASE("A lost recoverer is recovered with the jobs it resumed",
          "[recovery]") {
  World W;
  W.submit(Owner, W.spec("j", 4));
  W.deliver();
  W.lose(Owner);
  const ReplyId First = W.submit(X, W.spec("j", 4));
  SECTION("closes are on their way") { W.deliverOne(); }
  SECTION("one agent has reported") {
    for (int I = 0; I < 3; ++I)
      W.deliverOne();
  }
  SECTION("tasks are started") {
    W.deliver();
    W.finish(P);
    W.deliver();
  }
  SECTION("the second recoverer relays to it") {
    W.deliver();
    W.submit(Y, W.spec("j", 4));
    W.deliver();
  }
  W.lose(X);
  const ReplyId Second = W.submit(Y, W.spec("j", 4));
  W.finishAll();
  W.pass(5s);
  W.finishAll();
  CHECK(W.Answers_.count(First) == 0);
  CHECK(W.answer(Second).Outcome_ == Outcome::Completed);
  CHECK(W.noneTwice());
  CHECK(W.Starts_.size() == 4);
}

// Guards against late starts of a closed owner that was only paused, and
// against its answers.
TEST_CASE("A paused owner does nothing after its close", "[recovery]") {
  World W;
  const ReplyId Waiting = W.submit(Owner, W.spec("j", 3));
  const auto Late = W.Wire_;
  W.deliver();
  const ReplyId R = W.submit(X, W.spec("j", 3));
  W.deliver();
  for (const Envelope &E : Late)
    W.Wire_.push_back(E);
  W.deliver();
  W.apply(Owner, W.entry(Owner).Owner_.onSelfClosed(X, W.Now_));
  REQUIRE(W.Relays_.size() == 1);
  W.relay(Owner);
  W.finishAll();
  CHECK(W.answer(R).Outcome_ == Outcome::Completed);
  CHECK(W.answer(Waiting).Outcome_ == Outcome::Completed);
  CHECK(W.noneTwice());
}

// Guards against submissions that wait for ever at a closed recoverer.
TEST_CASE("A closed recoverer hands on its submissions", "[recovery]") {
  World W;
  W.lose(Owner);
  W.submit(X, W.spec("j", 1));
  W.apply(X, W.entry(X).Recovery_.onSelfClosed(Y, W.Now_));
  REQUIRE(W.Relays_.size() == 1);
  CHECK(W.Relays_[0].To_ == Y);
}

// Guards against holdings that are used after the agents have dropped theirs,
// and against memory that keeps them.
TEST_CASE("A recovery expires", "[recovery]") {
  World W;
  W.lose(Owner);
  W.submit(X, W.spec("i", 1));
  W.finishAll();
  W.pass(RecoveryRetention);
  const ReplyId R = W.submit(X, W.spec("j", 1));
  CHECK(W.answer(R).Code_ == "token_expired");
}

// Guards against an unknown outcome for every job once any agent of the owner
// has failed long ago.
TEST_CASE("An agent given up before the job's epoch is not asked for proof",
          "[recovery]") {
  World W;
  W.lose(Owner);
  W.lose(Q);
  JobSpec Spec = W.spec("j", 1);
  Spec.Id_.Token_.Epoch_ = Epoch(2);
  LostEntry Known = W.lost(Owner);
  Known.Agents_[1].GivenUpIn_ = Epoch(1);
  W.apply(
      X, W.entry(X).Recovery_.onSubmit({Spec, ReplyId(77), {}}, Known, W.Now_));
  W.finishAll();
  CHECK(W.answer(ReplyId(77)).Outcome_ == Outcome::Completed);
  Spec.Id_.Token_.Epoch_ = Epoch(1);
  W.apply(
      X, W.entry(X).Recovery_.onSubmit({Spec, ReplyId(78), {}}, Known, W.Now_));
  W.finishAll();
  W.pass(RecoveryWait);
  CHECK(W.answer(ReplyId(78)).Outcome_ == Outcome::Unknown);
}

// Guards against two entries that each take a job without any agent for
// unstarted.
TEST_CASE("Without a grant nothing is proved", "[recovery]") {
  World W;
  W.lose(Owner);
  LostEntry Known = W.lost(Owner);
  Known.Agents_.clear();
  W.apply(X, W.entry(X).Recovery_.onSubmit({W.spec("j", 1), ReplyId(77), {}},
                                           Known, W.Now_));
  W.finishAll();
  CHECK(W.answer(ReplyId(77)).Outcome_ == Outcome::Unknown);
  CHECK(W.Starts_.empty());
}
