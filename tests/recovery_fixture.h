#ifndef CHIVELANDING_RECOVERY_FIXTURE_H
#define CHIVELANDING_RECOVERY_FIXTURE_H

#include "recovery.h"
#include "start_controller.h"

#include <catch2/catch.hpp>

#include <deque>

namespace chivelanding::test {

inline const EntryId Owner{"owner", Incarnation(1)};
inline const EntryId X{"x", Incarnation(2)};
inline const EntryId Y{"y", Incarnation(3)};
inline const AgentId P{"p", Incarnation(11)};
inline const AgentId Q{"q", Incarnation(12)};
inline const ServiceName Service("service");

inline EndpointInfo endpoint(std::uint32_t Slots) {
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

} // namespace chivelanding::test

#endif
