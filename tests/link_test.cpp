#include "link.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace chivelanding;

namespace {

const PeerId AgentPeer{Role::Agent, "agent", Incarnation(1)};
const PeerId EntryPeer{Role::Entry, "entry", Incarnation(2)};
const Time Start{};

Time at(std::int64_t Milliseconds) {
  return Start + std::chrono::milliseconds(Milliseconds);
}

// An agent and an entry that exchange frames directly, on one connection at a
// time. The agent dials. While DropFrames_ is set, every frame is lost.
struct LinkPair {
  Links Agent_{AgentPeer, ZoneName("z"), RegionName("r"), {}};
  Links Entry_{EntryPeer, ZoneName("z"), RegionName("r"), {}};
  Time Now_ = at(0);
  ConnectionId Current_;
  bool DropFrames_ = false;
  std::vector<LinkOutput> AtAgent_;
  std::vector<LinkOutput> AtEntry_;

  void connect() {
    ++Current_;
    Entry_.onAccepted(Current_, Now_);
    fromAgent(Agent_.onDialled(Current_, Now_));
  }
  void disconnect() {
    fromAgent(Agent_.onClosed(Current_, Now_));
    fromEntry(Entry_.onClosed(Current_, Now_));
  }
  void fromAgent(const LinkOutputs &Out) {
    for (const LinkOutput &O : Out) {
      AtAgent_.push_back(O);
      const auto *Send = std::get_if<SendFrame>(&O);
      if (Send && !DropFrames_)
        fromEntry(Entry_.onFrame(Send->Connection_, Send->Frame_, Now_));
    }
  }
  void fromEntry(const LinkOutputs &Out) {
    for (const LinkOutput &O : Out) {
      AtEntry_.push_back(O);
      const auto *Send = std::get_if<SendFrame>(&O);
      if (Send && !DropFrames_)
        fromAgent(Agent_.onFrame(Send->Connection_, Send->Frame_, Now_));
    }
  }
  void sendFromEntry(std::uint64_t Version) {
    fromEntry(
        Entry_.send(AgentPeer, ConfigRequest{ConfigVersion(Version)}, Now_));
    fromEntry(Entry_.flush(Now_));
  }
  void run(std::int64_t Milliseconds) {
    for (std::int64_t I = 0; I < Milliseconds; I += 100) {
      Now_ += std::chrono::milliseconds(100);
      fromAgent(Agent_.onTimer(Now_));
      fromEntry(Entry_.onTimer(Now_));
    }
  }
  std::vector<std::uint64_t> deliveredAtAgent() const {
    std::vector<std::uint64_t> List;
    for (const LinkOutput &O : AtAgent_)
      if (const auto *D = std::get_if<Deliver>(&O))
        List.push_back(std::get<ConfigRequest>(D->Message_).Have_.value());
    return List;
  }
};

template <typename T> int count(const std::vector<LinkOutput> &Out) {
  int N = 0;
  for (const LinkOutput &O : Out)
    N += std::holds_alternative<T>(O) ? 1 : 0;
  return N;
}

} // namespace

// Guards against messages that are lost or delivered twice when a connection
// breaks while frames are in transit.
TEST_CASE("A reconnect resends what was not received, once", "[link]") {
  LinkPair P;
  P.connect();
  P.sendFromEntry(1);
  P.DropFrames_ = true;
  P.sendFromEntry(2);
  P.sendFromEntry(3);
  P.DropFrames_ = false;
  P.disconnect();
  P.sendFromEntry(4);
  P.connect();
  CHECK(P.deliveredAtAgent() == std::vector<std::uint64_t>{1, 2, 3, 4});
  CHECK(count<PeerUp>(P.AtAgent_) == 1);
  CHECK(count<PeerLost>(P.AtAgent_) == 0);
}

// Guards against a session that never gets beyond a frame that the peer cannot
// decode and that is sent again on each connection.
TEST_CASE("A frame that is bad twice ends the session", "[link]") {
  LinkPair P;
  P.connect();
  P.sendFromEntry(1);
  const Error Bad{"bad_frame", "decode frame", "", "wrong type"};
  P.fromAgent(P.Agent_.onBadFrame(P.Current_, Bad, P.Now_));
  CHECK(count<PeerLost>(P.AtAgent_) == 0);
  P.fromEntry(P.Entry_.onClosed(P.Current_, P.Now_));
  P.DropFrames_ = true;
  P.sendFromEntry(2);
  P.DropFrames_ = false;
  ++P.Current_;
  // The session is resumed, but the frame with message 2 is bad.
  P.Entry_.onAccepted(P.Current_, P.Now_);
  P.DropFrames_ = false;
  P.fromAgent(P.Agent_.onDialled(P.Current_, P.Now_));
  P.fromAgent(P.Agent_.onBadFrame(P.Current_, Bad, P.Now_));
  P.fromEntry(P.Entry_.onClosed(P.Current_, P.Now_));
  const bool WasDelivered = P.deliveredAtAgent().back() == 2;
  if (WasDelivered) { // The good frame in between counts as progress.
    CHECK(count<PeerLost>(P.AtAgent_) == 0);
    P.connect();
    P.fromAgent(P.Agent_.onBadFrame(P.Current_, Bad, P.Now_));
    P.fromEntry(P.Entry_.onClosed(P.Current_, P.Now_));
  }
  CHECK(count<PeerLost>(P.AtAgent_) == 1);
  P.connect();
  CHECK(count<PeerUp>(P.AtAgent_) == 2);
  P.sendFromEntry(3);
  CHECK(P.deliveredAtAgent().back() == 3);
}

// Guards against a session number that leaves none for the next session.
TEST_CASE("A Hello with an absurd session number is refused", "[link]") {
  LinkPair P;
  P.Entry_.onAccepted(ConnectionId(1), P.Now_);
  Hello H;
  H.Role_ = Role::Agent;
  H.Name_ = "agent";
  H.Incarnation_ = Incarnation(1);
  P.Entry_.onFrame(ConnectionId(1), H, P.Now_);
  H.Session_ = ~std::uint64_t(0);
  H.PeerName_ = "entry";
  H.Peer_ = EntryPeer.Incarnation_;
  const LinkOutputs Out = P.Entry_.onFrame(ConnectionId(1), H, P.Now_);
  CHECK(count<CloseConnection>(Out) == 1);
  CHECK(count<PeerUp>(Out) == 0);
}

// Guards against a repeated frame that is delivered again, and against a gap
// that is accepted as if no message were missing.
TEST_CASE("Repeated frames are dropped and gaps refused", "[link]") {
  LinkPair P;
  P.connect();
  P.sendFromEntry(1);
  Batch Again{1, 0, {ConfigRequest{ConfigVersion(1)}}};
  P.fromAgent(P.Agent_.onFrame(P.Current_, Again, P.Now_));
  CHECK(P.deliveredAtAgent().size() == 1);
  Batch Gap{3, 0, {ConfigRequest{ConfigVersion(3)}}};
  P.fromAgent(P.Agent_.onFrame(P.Current_, Gap, P.Now_));
  CHECK(P.deliveredAtAgent().size() == 1);
  CHECK(count<CloseConnection>(P.AtAgent_) == 1);
}

// Guards against the loss of the last message on a connection that stays open:
// without a later message, no gap ever shows.
TEST_CASE("A message that is never acknowledged is sent again", "[link]") {
  LinkPair P;
  P.connect();
  P.DropFrames_ = true;
  P.sendFromEntry(1);
  P.DropFrames_ = false;
  P.run(4000);
  CHECK(P.deliveredAtAgent() == std::vector<std::uint64_t>{1});
  CHECK(count<PeerUp>(P.AtAgent_) == 1);
}

// Guards against a link that stays blocked by a connection on which nothing
// arrives, while a new connection would work.
TEST_CASE("A connection without frames is replaced by a second one", "[link]") {
  LinkPair P;
  P.connect();
  P.DropFrames_ = true;
  P.sendFromEntry(1);
  P.run(1200);
  CHECK(count<PeerSuspected>(P.AtAgent_) == 1);
  CHECK(count<DialPeer>(P.AtAgent_) >= 1);
  P.DropFrames_ = false;
  P.connect();
  CHECK(P.deliveredAtAgent() == std::vector<std::uint64_t>{1});
  CHECK(count<PeerReachable>(P.AtAgent_) == 1);
  CHECK(P.Agent_.isReachable(EntryPeer));
}

// Guards against messages of an ended session that reach the next one, and
// against an end that continues a session which the other has ended.
TEST_CASE("A session ended by one end ends at both", "[link]") {
  LinkPair P;
  P.connect();
  P.DropFrames_ = true;
  P.sendFromEntry(1);
  while (count<PeerLost>(P.AtEntry_) == 0) {
    P.Now_ += std::chrono::milliseconds(100);
    P.fromEntry(P.Entry_.onTimer(P.Now_));
  }
  CHECK(count<PeerLost>(P.AtAgent_) == 0);
  P.DropFrames_ = false;
  P.connect();
  P.sendFromEntry(2);
  CHECK(count<PeerLost>(P.AtAgent_) == 1);
  CHECK(count<PeerUp>(P.AtAgent_) == 2);
  CHECK(P.deliveredAtAgent() == std::vector<std::uint64_t>{2});
}

// Guards against a delayed Hello of an old process that ends the session of its
// successor.
TEST_CASE("A superseded incarnation is refused", "[link]") {
  LinkPair P;
  P.connect();
  Links Later({Role::Agent, "agent", Incarnation(9)}, {}, {}, {});
  const auto Dial = [&](Links &From, ConnectionId C) {
    P.Entry_.onAccepted(C, P.Now_);
    LinkOutputs ToEntry = From.onDialled(C, P.Now_);
    std::vector<LinkOutput> Seen;
    while (!ToEntry.empty()) {
      LinkOutputs Next;
      for (const LinkOutput &O : ToEntry)
        if (const auto *S = std::get_if<SendFrame>(&O))
          for (const LinkOutput &R : P.Entry_.onFrame(C, S->Frame_, P.Now_))
            if (const auto *Back = std::get_if<SendFrame>(&R))
              for (const LinkOutput &F : From.onFrame(C, Back->Frame_, P.Now_))
                Next.push_back(F);
      Seen.insert(Seen.end(), Next.begin(), Next.end());
      ToEntry = Next;
    }
    return Seen;
  };
  CHECK(count<PeerUp>(Dial(Later, ConnectionId(50))) == 1);
  CHECK_FALSE(P.Entry_.isUp(AgentPeer));
  CHECK(count<SelfSuperseded>(Dial(P.Agent_, ConnectionId(51))) == 1);
  CHECK(P.Entry_.isUp({Role::Agent, "agent", Incarnation(9)}));
}

// Guards against a process that considers all peers lost after a pause of its
// own, although their frames wait in its socket buffers.
TEST_CASE("A pause of the process does not make its peers lost", "[link]") {
  LinkPair P;
  P.connect();
  P.run(500);
  P.Now_ += std::chrono::seconds(20);
  P.fromEntry(P.Entry_.onTimer(P.Now_));
  CHECK(count<PeerLost>(P.AtEntry_) == 0);
}

// Guards against unbounded memory use for a peer that does not acknowledge.
TEST_CASE("A full buffer ends the session", "[link]") {
  LinkPair P;
  P.connect();
  P.DropFrames_ = true;
  const std::size_t Limit = SessionLimits().MaxUnacknowledged_;
  for (std::size_t I = 0; I <= Limit; ++I)
    P.fromEntry(P.Entry_.send(AgentPeer, ConfigRequest{}, P.Now_));
  CHECK(count<PeerLost>(P.AtEntry_) == 1);
  CHECK_FALSE(P.Entry_.isUp(AgentPeer));
}

// Guards against frequent heartbeats on standby links and against suspecting a
// peer that sends rarely because its link is on standby.
TEST_CASE("A standby link is quiet and not suspected", "[link]") {
  LinkPair P;
  P.connect();
  P.Entry_.setStandby(AgentPeer, true, P.Now_);
  P.Agent_.setStandby(EntryPeer, true, P.Now_);
  P.AtAgent_.clear();
  P.AtEntry_.clear();
  P.run(9000);
  const auto Sent = [](const std::vector<LinkOutput> &Out) {
    return std::count_if(Out.begin(), Out.end(), [](const LinkOutput &O) {
      return std::holds_alternative<SendFrame>(O);
    });
  };
  // One heartbeat per ten ordinary periods of 200 ms.
  CHECK(Sent(P.AtAgent_) <= 5);
  CHECK(Sent(P.AtEntry_) <= 5);
  CHECK(P.Entry_.isReachable(AgentPeer));
  CHECK(P.Agent_.isReachable(EntryPeer));
  // The time on standby does not count against the timeout of the ordinary
  // link.
  P.run(1500);
  P.Entry_.setStandby(AgentPeer, false, P.Now_);
  P.fromEntry(P.Entry_.onTimer(P.Now_));
  CHECK(P.Entry_.isReachable(AgentPeer));
  // Without further frames, the peer is then suspected after the ordinary time.
  P.DropFrames_ = true;
  P.run(1100);
  CHECK_FALSE(P.Entry_.isReachable(AgentPeer));
}

namespace {

// Two entries that dial each other at the same time. The frames of a connection
// and its close wait until the test delivers them, in order.
struct CrossedPair {
  struct Wire {
    std::deque<std::optional<Frame>> Frames_;
  };
  explicit CrossedPair(std::uint64_t Seed) : Random_(Seed) {}

  Links Ends_[2] = {{PeerId{Role::Entry, "a", Incarnation(1)},
                     ZoneName("z"),
                     RegionName("r"),
                     {}},
                    {PeerId{Role::Entry, "b", Incarnation(2)},
                     ZoneName("z"),
                     RegionName("r"),
                     {}}};
  std::mt19937_64 Random_;
  Time Now_ = at(0);
  /// By connection and receiving end. An empty optional closes the connection.
  std::map<std::pair<ConnectionId, int>, Wire> Wires_;
  int Suspicions_ = 0;

  void apply(int End, const LinkOutputs &Out) {
    for (const LinkOutput &O : Out) {
      if (const auto *Send = std::get_if<SendFrame>(&O))
        Wires_[{Send->Connection_, 1 - End}].Frames_.emplace_back(Send->Frame_);
      else if (const auto *Close = std::get_if<CloseConnection>(&O))
        Wires_[{Close->Connection_, 1 - End}].Frames_.emplace_back();
      else if (const auto *Dial = std::get_if<DialPeer>(&O))
        dial(End);
      else if (std::holds_alternative<PeerSuspected>(O))
        ++Suspicions_;
    }
  }
  void dial(int End) {
    const ConnectionId C(++Connections_);
    Ends_[1 - End].onAccepted(C, Now_);
    apply(End, Ends_[End].onDialled(C, Now_));
  }
  // Delivers all waiting frames and closes, each from a random connection.
  void deliverAll() {
    for (int Guard = 0; Guard < 1000; ++Guard) {
      std::vector<std::pair<ConnectionId, int>> Ready;
      for (const auto &[Key, W] : Wires_)
        if (!W.Frames_.empty())
          Ready.push_back(Key);
      if (Ready.empty())
        return;
      const auto Key = Ready[Random_() % Ready.size()];
      auto &Frames = Wires_[Key].Frames_;
      const auto F = std::move(Frames.front());
      Frames.pop_front();
      apply(Key.second, F ? Ends_[Key.second].onFrame(Key.first, *F, Now_)
                          : Ends_[Key.second].onClosed(Key.first, Now_));
    }
    FAIL("the ends did not stop dialling after 1000 deliveries");
  }
  std::uint64_t Connections_ = 0;
};

} // namespace

// Guards against two entries that each keep the connection which the other has
// closed. Neither end then receives frames, and both consider a running entry
// lost. Seen once in process-kill_entry.
TEST_CASE("Entries that dial each other at once agree on a connection",
          "[link]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    INFO("seed " << Seed);
    CrossedPair P(Seed);
    P.dial(0);
    P.dial(1);
    P.deliverAll();
    for (int I = 0; I < 20; ++I) {
      P.Now_ += std::chrono::milliseconds(100);
      for (int End = 0; End < 2; ++End)
        P.apply(End, P.Ends_[End].onTimer(P.Now_));
      P.deliverAll();
    }
    CHECK(P.Suspicions_ == 0);
  }
}
