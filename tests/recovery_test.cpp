#include "recovery.h"
#include "start_controller.h"

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
  StartController Controller_;
  bool Alive_ = true;
  explicit AgentNode(const AgentId &Id)
      : Controller_(Id, {0, 1u << 20, std::chrono::minutes(10)}) {}
};

struct Envelope {
  bool ToAgent_;
  EntryId Entry_;
  AgentId Agent_;
  Message Message_;
};

// Simulates three entries and two agents with one slot each, connected by links
// that keep the order of messages. A run ends only when the test calls
// finishRun() or finishAllRuns().
struct RecoverySimulation {
  Time Now_{};
  std::map<EntryId, EntryNode> Entries_;
  std::map<AgentId, AgentNode> Agents_;
  std::deque<Envelope> InTransit_;
  std::map<std::pair<AgentId, RunId>, RunTask> Running_;
  std::map<std::pair<JobId, TaskIndex>, int> Starts_;
  std::map<ReplyId, JobAnswer> Answers_;
  std::vector<RelayToEntry> Relays_;
  std::uint64_t NextReply_ = 1;

  RecoverySimulation() {
    for (const EntryId &E : {Owner, X, Y})
      Entries_.emplace(E, E);
    for (const AgentId &A : {P, Q}) {
      AgentNode &Node = Agents_.emplace(A, A).first->second;
      apply(A, Node.Controller_.onEndpointAnnounced(endpoint(1), Now_));
      for (const EntryId &E : {Owner, X, Y})
        apply(A, Node.Controller_.onEntryConnected(E, Now_));
    }
    deliver();
  }

  EntryNode &entry(const EntryId &E) { return Entries_.at(E); }
  StartController &controller(const AgentId &A) {
    return Agents_.at(A).Controller_;
  }

  void apply(const AgentId &From, const StartControllerOutputs &Out) {
    for (const auto &O : Out) {
      if (const auto *Send = std::get_if<SendToEntry>(&O)) {
        InTransit_.push_back({false, Send->To_, From, Send->Message_});
      } else if (const auto *Run = std::get_if<RunTask>(&O)) {
        Running_[{From, Run->Run_}] = *Run;
        ++Starts_[{Run->Job_, Run->Index_}];
      }
    }
  }
  template <typename Outputs>
  void apply(const EntryId &From, const Outputs &Out) {
    for (const auto &O : Out)
      std::visit([&](const auto &Body) { handle(From, Body); }, O);
  }
  void handle(const EntryId &From, const SendToAgent &Send) {
    InTransit_.push_back({true, From, Send.To_, Send.Message_});
  }
  void handle(const EntryId &, const SendAnswer &Answer) {
    CHECK(Answers_.count(Answer.To_) == 0);
    Answers_[Answer.To_] = Answer.Answer_;
  }
  void handle(const EntryId &From, const AdoptJob &Adopt) {
    apply(From, entry(From).Owner_.onAdopt(Adopt.Job_, Adopt.Reply_, Now_));
  }
  void handle(const EntryId &, const RelayToEntry &Relay) {
    Relays_.push_back(Relay);
  }
  void handle(const EntryId &, const LogPlacement &) {}
  void handle(const EntryId &, const LogEvent &) {}

  void deliverOne() {
    const Envelope E = InTransit_.front();
    InTransit_.pop_front();
    if (!Entries_.at(E.Entry_).Alive_ || !Agents_.at(E.Agent_).Alive_)
      return;
    if (E.ToAgent_)
      return apply(E.Agent_,
                   controller(E.Agent_).onMessage(E.Entry_, E.Message_, Now_));
    apply(E.Entry_,
          entry(E.Entry_).Recovery_.onAgentMessage(E.Agent_, E.Message_, Now_));
    apply(E.Entry_,
          entry(E.Entry_).Owner_.onAgentMessage(E.Agent_, E.Message_, Now_));
  }
  void deliver() {
    while (!InTransit_.empty())
      deliverOne();
  }

  JobSpec makeSpec(const char *Key, int Tasks) {
    JobSpec Spec;
    Spec.Id_ = {TeamName("team"), {Owner, Epoch(0)}, JobKey(Key)};
    Spec.Service_ = Service;
    Spec.Kind_ = KindName("kind");
    for (int I = 0; I < Tasks; ++I)
      Spec.Tasks_.push_back({"t" + std::to_string(I), "payload", {}});
    return Spec;
  }
  LostEntry lostEntry(const EntryId &E, bool Synchronized = true) const {
    return {E, {{P, Service, true, {}}, {Q, Service, true, {}}}, Synchronized};
  }
  ReplyId submit(const EntryId &To, const JobSpec &Spec,
                 const std::optional<EntryId> &RelayedBy = {},
                 bool Synchronized = true) {
    const ReplyId Reply(NextReply_++);
    EntryNode &Node = entry(To);
    if (To == Spec.Id_.Token_.Owner_ || Node.Owner_.hasRecord(Spec.Id_))
      apply(To, Node.Owner_.onSubmit(Spec, Reply, Now_));
    else
      apply(To, Node.Recovery_.onSubmit({Spec, Reply, RelayedBy},
                                        lostEntry(Owner, Synchronized), Now_));
    return Reply;
  }
  // Delivers the relayed submissions to the entries that they are relayed to.
  void deliverRelays(const EntryId &From) {
    std::vector<RelayToEntry> Relays;
    Relays.swap(Relays_);
    for (const RelayToEntry &R : Relays) {
      EntryNode &Node = entry(R.To_);
      if (Node.Owner_.hasRecord(R.Spec_.Id_))
        apply(R.To_, Node.Owner_.onSubmit(R.Spec_, R.Reply_, Now_));
      else
        apply(R.To_, Node.Recovery_.onSubmit({R.Spec_, R.Reply_, From},
                                             lostEntry(Owner), Now_));
    }
    deliver();
  }
  void lose(const EntryId &E) {
    entry(E).Alive_ = false;
    for (auto &[Id, Node] : Agents_)
      apply(Id, Node.Controller_.onEntryLost(E, Now_));
    for (auto &[Id, Node] : Entries_)
      if (Node.Alive_)
        apply(Id, Node.Recovery_.onEntryLost(lostEntry(E), Now_));
  }
  void lose(const AgentId &A) {
    Agents_.at(A).Alive_ = false;
    for (auto &[Id, Node] : Entries_) {
      apply(Id, Node.Recovery_.onAgentLost(A, Now_));
      apply(Id, Node.Owner_.onAgentLost(A, Now_));
    }
  }
  void finishRun(const AgentId &A, std::string Result = "done") {
    for (auto It = Running_.begin(); It != Running_.end(); ++It) {
      if (It->first.first != A)
        continue;
      const RunId Run = It->first.second;
      Running_.erase(It);
      apply(A, controller(A).onRunFinished(Run, RunOutcome::Success,
                                           std::move(Result), {}, Now_));
      return;
    }
  }
  // Ends runs, including those that start meanwhile, until none is left.
  void finishAllRuns() {
    deliver();
    while (!Running_.empty()) {
      const AgentId Next = Running_.begin()->first.first;
      finishRun(Next);
      deliver();
    }
  }
  void advance(Duration D) {
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
  bool noTaskStartedTwice() const {
    return std::all_of(Starts_.begin(), Starts_.end(),
                       [](const auto &S) { return S.second == 1; });
  }
  EntryId higherRanked() const {
    return rendezvousRank(X, Owner) < rendezvousRank(Y, Owner) ? Y : X;
  }
  EntryId lowerRanked() const { return higherRanked() == X ? Y : X; }
};

} // namespace

// Guards against lost results, duplicate starts and tasks that never start when
// the owner of a job is lost while one task has finished, one runs and two
// wait.
TEST_CASE("A lost owner's job is resumed and completed", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 4));
  Sim.deliver();
  Sim.lose(Owner);
  Sim.finishRun(P, "by p");
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 4));
  CHECK(Sim.entry(X).Recovery_.waiting() == 1);
  Sim.deliver();
  const ReplyId Again = Sim.submit(X, Sim.makeSpec("j", 4));
  Sim.finishAllRuns();
  CHECK(Sim.answer(R).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(R).Tasks_.at(0).Result_ == "by p");
  CHECK(Sim.answer(Again).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
  CHECK(Sim.Starts_.size() == 4);
}

// Guards against starting a task that may have run at an agent that does not
// report within RecoveryTimeout.
TEST_CASE("Tasks at an agent that does not report are unknown", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.lose(Owner);
  Sim.Agents_.at(Q).Alive_ = false;
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.advance(4s);
  CHECK(Sim.Answers_.empty());
  Sim.advance(1s);
  Sim.finishRun(P);
  Sim.deliver();
  const JobAnswer A = Sim.answer(R);
  CHECK(A.Outcome_ == Outcome::Unknown);
  CHECK(A.Tasks_.at(0).State_ == TaskState::Finished);
  CHECK(A.Tasks_.at(1).State_ == TaskState::Unknown);
  CHECK(A.Tasks_.at(2).State_ == TaskState::Unknown);
  CHECK(Sim.Starts_.size() == 2);
}

// Guards against starting a task again that ran at an agent that is lost before
// or after its report.
TEST_CASE("A running task is unknown after its owner and agent are lost",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 2));
  Sim.deliver();
  Sim.lose(Owner);
  SECTION("during recovery") {
    const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 2));
    Sim.lose(Q);
    Sim.finishAllRuns();
    CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  }
  SECTION("after recovery") {
    const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 2));
    Sim.deliver();
    Sim.lose(Q);
    Sim.finishAllRuns();
    CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
    CHECK(Sim.answer(R).Tasks_.at(0).State_ == TaskState::Finished);
  }
  SECTION("between the report and the resubmission of another job") {
    Sim.submit(X, Sim.makeSpec("other", 1));
    Sim.deliver();
    Sim.lose(Q);
    const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 2));
    Sim.finishAllRuns();
    CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  }
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against a recoverer that starts tasks without records although it may
// not know every agent that the owner used.
TEST_CASE("Without synchronization only reported tasks are resumed",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("whole", 1));
  Sim.submit(Owner, Sim.makeSpec("part", 2));
  Sim.deliver();
  Sim.lose(Owner);
  const ReplyId Whole = Sim.submit(X, Sim.makeSpec("whole", 1), {}, false);
  const ReplyId Part = Sim.submit(X, Sim.makeSpec("part", 2), {}, false);
  Sim.finishAllRuns();
  CHECK(Sim.answer(Whole).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(Part).Outcome_ == Outcome::Unknown);
  CHECK(Sim.Starts_.size() == 2);
}

// Guards against running a job again that ran and was answered: the agents keep
// only tombstones of its records.
TEST_CASE("An ended job is not run again", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 1));
  Sim.finishAllRuns();
  Sim.lose(Owner);
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 1));
  Sim.finishAllRuns();
  CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  CHECK(Sim.Starts_.size() == 1);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against running an idempotent request again although its owner may
// have answered it.
TEST_CASE("An ended idempotent request is not run again", "[recovery]") {
  RecoverySimulation Sim;
  JobSpec Spec = Sim.makeSpec("j", 1);
  Spec.Idempotent_ = true;
  Sim.submit(Owner, Spec);
  Sim.finishAllRuns();
  Sim.lose(Owner);
  Sim.lose(Q);
  const ReplyId R = Sim.submit(X, Spec);
  Sim.finishAllRuns();
  Sim.advance(RecoveryTimeout);
  Sim.advance(1s);
  CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against the answer "not run" from an owner that was paused and closed
// while its job was resumed and run elsewhere, and against a run after the
// answer "not run".
TEST_CASE("A paused owner does not answer not_run", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("first", 2));
  Sim.deliver();
  const ReplyId R = Sim.submit(Owner, Sim.makeSpec("j", 1));
  SECTION("closed before the cancel") {
    Sim.submit(X, Sim.makeSpec("j", 1));
    Sim.deliver();
    Sim.apply(Owner, Sim.entry(Owner).Owner_.onCancel(Sim.makeSpec("j", 1).Id_,
                                                      Sim.Now_));
    Sim.finishAllRuns();
    CHECK(Sim.Answers_.count(R) == 0);
    CHECK(Sim.Starts_.size() == 3);
  }
  SECTION("lost after the answer") {
    Sim.apply(Owner, Sim.entry(Owner).Owner_.onCancel(Sim.makeSpec("j", 1).Id_,
                                                      Sim.Now_));
    Sim.deliver();
    CHECK(Sim.answer(R).Outcome_ == Outcome::NotRun);
    Sim.lose(Owner);
    const ReplyId Late = Sim.submit(X, Sim.makeSpec("j", 1));
    Sim.finishAllRuns();
    CHECK(Sim.answer(Late).Outcome_ == Outcome::Unknown);
    CHECK(Sim.Starts_.size() == 2);
  }
}

// Guards against two recoverers that both start the tasks that the lost owner
// had not started.
TEST_CASE("A second recoverer relays to the holder", "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.lose(Owner);
  const ReplyId First = Sim.submit(Sim.lowerRanked(), Sim.makeSpec("j", 3));
  Sim.deliver();
  const ReplyId Second = Sim.submit(Sim.higherRanked(), Sim.makeSpec("j", 3));
  Sim.deliver();
  REQUIRE(Sim.Relays_.size() == 1);
  CHECK(Sim.Relays_[0].To_ == Sim.lowerRanked());
  Sim.deliverRelays(Sim.higherRanked());
  Sim.finishAllRuns();
  CHECK(Sim.answer(First).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(Second).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against grants that stay divided between two entries that recover the
// same owner at once, so that neither can start the remaining tasks.
TEST_CASE("Divided grants are transferred to the higher-ranked entry",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.lose(Owner);
  const EntryId High = Sim.higherRanked();
  const EntryId Low = Sim.lowerRanked();
  Sim.apply(
      P, Sim.controller(P).onMessage(High, CloseIncarnation{Owner}, Sim.Now_));
  Sim.apply(
      Q, Sim.controller(Q).onMessage(Low, CloseIncarnation{Owner}, Sim.Now_));
  const ReplyId A = Sim.submit(High, Sim.makeSpec("j", 3));
  const ReplyId B = Sim.submit(Low, Sim.makeSpec("j", 3));
  Sim.deliver();
  Sim.deliverRelays(Low);
  Sim.finishAllRuns();
  CHECK(Sim.answer(A).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(B).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against a submission that two entries relay back and forth.
TEST_CASE("A relayed submission is not relayed again", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.submit(Sim.lowerRanked(), Sim.makeSpec("i", 1));
  Sim.deliver();
  const ReplyId R =
      Sim.submit(Sim.higherRanked(), Sim.makeSpec("j", 1), Sim.lowerRanked());
  Sim.deliver();
  CHECK(Sim.Relays_.empty());
  CHECK(Sim.answer(R).Code_ == "owner_unreachable");
  CHECK(Sim.answer(R).Outcome_ == Outcome::Unknown);
}

// Guards against a job that hangs or runs twice when its recoverer is lost too,
// during the recovery or after the recoverer has started tasks.
TEST_CASE("A lost recoverer is recovered with the jobs it resumed",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.submit(Owner, Sim.makeSpec("j", 4));
  Sim.deliver();
  Sim.lose(Owner);
  const ReplyId First = Sim.submit(X, Sim.makeSpec("j", 4));
  SECTION("closes are on their way") { Sim.deliverOne(); }
  SECTION("one agent has reported") {
    for (int I = 0; I < 3; ++I)
      Sim.deliverOne();
  }
  SECTION("tasks are started") {
    Sim.deliver();
    Sim.finishRun(P);
    Sim.deliver();
  }
  SECTION("the second recoverer relays to it") {
    Sim.deliver();
    Sim.submit(Y, Sim.makeSpec("j", 4));
    Sim.deliver();
  }
  Sim.lose(X);
  const ReplyId Second = Sim.submit(Y, Sim.makeSpec("j", 4));
  Sim.finishAllRuns();
  Sim.advance(5s);
  Sim.finishAllRuns();
  CHECK(Sim.Answers_.count(First) == 0);
  CHECK(Sim.answer(Second).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
  CHECK(Sim.Starts_.size() == 4);
}

// Guards against late starts and answers by an owner that was only paused and
// whose incarnation was closed meanwhile.
TEST_CASE("A paused owner starts and answers nothing once it is closed",
          "[recovery]") {
  RecoverySimulation Sim;
  const ReplyId Waiting = Sim.submit(Owner, Sim.makeSpec("j", 3));
  const auto Late = Sim.InTransit_;
  Sim.deliver();
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 3));
  Sim.deliver();
  for (const Envelope &E : Late)
    Sim.InTransit_.push_back(E);
  Sim.deliver();
  Sim.apply(Owner, Sim.entry(Owner).Owner_.onSelfClosed(X, Sim.Now_));
  REQUIRE(Sim.Relays_.size() == 1);
  Sim.deliverRelays(Owner);
  Sim.finishAllRuns();
  CHECK(Sim.answer(R).Outcome_ == Outcome::Completed);
  CHECK(Sim.answer(Waiting).Outcome_ == Outcome::Completed);
  CHECK(Sim.noTaskStartedTwice());
}

// Guards against submissions that wait forever at a closed recoverer.
TEST_CASE("A closed recoverer relays its submissions", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.submit(X, Sim.makeSpec("j", 1));
  Sim.apply(X, Sim.entry(X).Recovery_.onSelfClosed(Y, Sim.Now_));
  REQUIRE(Sim.Relays_.size() == 1);
  CHECK(Sim.Relays_[0].To_ == Y);
}

// Guards against collected task records that are used after the agents have
// dropped theirs, and against records that are never released.
TEST_CASE("Collected task records expire", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.submit(X, Sim.makeSpec("i", 1));
  Sim.finishAllRuns();
  Sim.advance(RecoveryRetention);
  const ReplyId R = Sim.submit(X, Sim.makeSpec("j", 1));
  CHECK(Sim.answer(R).Code_ == "token_expired");
}

// Guards against an unknown outcome of every job because an agent of the owner
// failed long before the job was submitted.
TEST_CASE("An agent abandoned before the job's epoch needs no grant",
          "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  Sim.lose(Q);
  JobSpec Spec = Sim.makeSpec("j", 1);
  Spec.Id_.Token_.Epoch_ = Epoch(2);
  LostEntry Known = Sim.lostEntry(Owner);
  Known.Agents_[1].AbandonedInEpoch_ = Epoch(1);
  Sim.apply(X, Sim.entry(X).Recovery_.onSubmit({Spec, ReplyId(77), {}}, Known,
                                               Sim.Now_));
  Sim.finishAllRuns();
  CHECK(Sim.answer(ReplyId(77)).Outcome_ == Outcome::Completed);
  Spec.Id_.Token_.Epoch_ = Epoch(1);
  Sim.apply(X, Sim.entry(X).Recovery_.onSubmit({Spec, ReplyId(78), {}}, Known,
                                               Sim.Now_));
  Sim.finishAllRuns();
  Sim.advance(RecoveryTimeout);
  CHECK(Sim.answer(ReplyId(78)).Outcome_ == Outcome::Unknown);
}

// Guards against two entries that each start the tasks of a job for which
// neither knows any agent.
TEST_CASE("Without a grant no task is started", "[recovery]") {
  RecoverySimulation Sim;
  Sim.lose(Owner);
  LostEntry Known = Sim.lostEntry(Owner);
  Known.Agents_.clear();
  Sim.apply(X, Sim.entry(X).Recovery_.onSubmit(
                   {Sim.makeSpec("j", 1), ReplyId(77), {}}, Known, Sim.Now_));
  Sim.finishAllRuns();
  CHECK(Sim.answer(ReplyId(77)).Outcome_ == Outcome::Unknown);
  CHECK(Sim.Starts_.empty());
}
