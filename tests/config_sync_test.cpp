#include "config_delta.h"
#include "config_sync.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace chivelanding;

namespace {

AcceptedPtr makeState(std::uint64_t Version) {
  const auto State = makeAcceptedConfig(
      ConfigVersion(Version),
      "[[quota]]\nname = \"a\"\nrunning = " + std::to_string(Version) +
          "\n[[quota]]\nname = \"v" + std::to_string(Version % 3) + "\"\n");
  REQUIRE(ok(State));
  return value(State);
}

/// Simulation of connected processes whose messages can be lost.
class SyncSimulation {
public:
  explicit SyncSimulation(std::uint64_t Seed) : Random_(Seed) {}

  ConfigSync &add(const std::string &Name, Role R) {
    SyncOptions Options;
    Options.Role_ = R;
    Options.Seed_ = Random_();
    auto &Slot = Nodes_[Name];
    Slot.first = R;
    Slot.second = std::make_unique<ConfigSync>(Options);
    for (auto &[Other, Node] : Nodes_) {
      if (Other == Name || (R == Role::Agent && Node.first == Role::Agent))
        continue;
      perform(Name, Slot.second->onPeerUp(Other, Node.first, Now_));
      perform(Other, Node.second->onPeerUp(Name, R, Now_));
    }
    return *Slot.second;
  }

  void accept(const std::string &Name, const AcceptedPtr &State) {
    perform(Name, Nodes_.at(Name).second->onAccepted(State, Now_));
  }

  void runFor(Duration Length) {
    const Time End = Now_ + Length;
    for (; Now_ < End; Now_ += std::chrono::milliseconds(1)) {
      std::deque<Step> Due;
      Due.swap(Queue_);
      for (const Step &S : Due)
        deliver(S);
      for (auto &[Name, Node] : Nodes_)
        if (Node.second->nextTimer() && *Node.second->nextTimer() <= Now_)
          perform(Name, Node.second->tick(Now_));
    }
  }

  bool allHaveVersion(std::uint64_t Version) const {
    for (const auto &[Name, Node] : Nodes_)
      if (Node.second->version() != ConfigVersion(Version) ||
          Node.second->state()->Hash_ != makeState(Version)->Hash_)
        return false;
    return true;
  }

  std::string versions() const {
    std::string Out;
    for (const auto &[Name, Node] : Nodes_)
      Out += Name + "=" + std::to_string(Node.second->version().value()) + " ";
    return Out;
  }

  int LossPercent_ = 0;
  bool VersionDecreased_ = false;
  std::map<std::string, std::uint64_t> Sent_;

private:
  struct Step {
    std::string From_;
    std::string To_;
    Message Message_;
  };

  void deliver(const Step &S) {
    ConfigSync &Sync = *Nodes_.at(S.To_).second;
    const ConfigVersion Before = Sync.version();
    if (const auto *D = std::get_if<ConfigDigest>(&S.Message_))
      perform(S.To_, Sync.onDigest(S.From_, *D, Now_));
    else if (const auto *R = std::get_if<ConfigRequest>(&S.Message_))
      perform(S.To_, Sync.onRequest(S.From_, *R, Now_));
    else if (const auto *T = std::get_if<ConfigState>(&S.Message_))
      perform(S.To_, Sync.onState(S.From_, *T, Now_));
    else if (const auto *C = std::get_if<ConfigDelta>(&S.Message_))
      perform(S.To_, Sync.onDelta(S.From_, *C, Now_));
    VersionDecreased_ = VersionDecreased_ || Sync.version() < Before;
  }

  void perform(const std::string &From, const SyncOutputs &Outputs) {
    for (const SyncOutput &Output : Outputs) {
      const auto *Send = std::get_if<SyncSend>(&Output);
      if (!Send)
        continue;
      ++Sent_[messageName(Send->Message_)];
      if (static_cast<int>(Random_() % 100) >= LossPercent_)
        Queue_.push_back({From, Send->Peer_, Send->Message_});
    }
  }

  std::mt19937_64 Random_;
  Time Now_;
  std::map<std::string, std::pair<Role, std::unique_ptr<ConfigSync>>> Nodes_;
  std::deque<Step> Queue_;
};

} // namespace

// Guards against processes that stay behind after message loss, and against a
// version that decreases when two entries have read the log to different
// offsets.
TEST_CASE("All processes reach the last version despite message loss",
          "[config_sync]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    SyncSimulation M(Seed);
    M.LossPercent_ = 30;
    for (const char *Name : {"e1", "e2", "e3"})
      M.add(Name, Role::Entry);
    for (const char *Name : {"a1", "a2", "a3", "a4"})
      M.add(Name, Role::Agent);
    for (std::uint64_t V = 1; V <= 12; ++V) {
      M.accept("e1", makeState(V));
      M.runFor(std::chrono::milliseconds(50));
      if (V > 4)
        M.accept("e2", makeState(V - 4));
    }
    M.runFor(std::chrono::seconds(30));
    INFO(M.versions());
    CHECK(M.allHaveVersion(12));
    CHECK_FALSE(M.VersionDecreased_);
  }
}

// Guards against an entry that starts during an outage of the log and has no
// configuration although its agents have one.
TEST_CASE("An entry without access to the log takes the state from agents",
          "[config_sync]") {
  SyncSimulation M(1);
  M.add("a1", Role::Agent);
  M.accept("a1", makeState(7));
  M.add("e1", Role::Entry);
  M.runFor(std::chrono::seconds(1));
  CHECK(M.allHaveVersion(7));
}

// Guards against sending the whole set where the changed objects are enough.
TEST_CASE("A peer with a recent version receives only the changed objects",
          "[config_sync]") {
  SyncSimulation M(1);
  M.add("e1", Role::Entry);
  for (const char *Name : {"a1", "a2", "a3"})
    M.add(Name, Role::Agent);
  M.accept("e1", makeState(1));
  M.runFor(std::chrono::seconds(1));
  CHECK(M.Sent_["ConfigState"] == 3);
  M.accept("e1", makeState(2));
  M.runFor(std::chrono::seconds(1));
  CHECK(M.Sent_["ConfigState"] == 3);
  CHECK(M.Sent_["ConfigDelta"] == 3);
  CHECK(M.allHaveVersion(2));
}

// Guards against a delta that is applied to another base and gives a set that
// was never accepted.
TEST_CASE("A delta with another base or result is rejected", "[config_sync]") {
  const ConfigDelta Good = makeDelta(*makeState(1), *makeState(2));
  REQUIRE(ok(applyDelta(*makeState(1), Good)));
  CHECK(value(applyDelta(*makeState(1), Good))->Toml_ == makeState(2)->Toml_);
  CHECK_FALSE(ok(applyDelta(*makeState(2), Good)));
  CHECK_FALSE(ok(applyDelta(*makeState(3), Good)));
  ConfigDelta Bad = Good;
  Bad.Toml_ += "[[quota]]\nname = \"z\"\n";
  CHECK_FALSE(ok(applyDelta(*makeState(1), Bad)));
  Bad.Toml_ = "[[";
  CHECK_FALSE(ok(applyDelta(*makeState(1), Bad)));
  Bad = Good;
  Bad.Removed_.emplace_back("quota");
  CHECK(ok(applyDelta(*makeState(1), Bad)));
}

// Guards against a process with an older program, which rejects every set,
// saturating the link with repeated sends.
TEST_CASE("Repeated sends to a peer that stays behind back off",
          "[config_sync]") {
  SyncOptions Options;
  ConfigSync Entry(Options);
  Time Now;
  Entry.onPeerUp("old", Role::Agent, Now);
  Entry.onAccepted(makeState(1), Now);
  int Sent = 0;
  for (int Second = 0; Second < 600; ++Second) {
    Now += std::chrono::seconds(1);
    for (const SyncOutput &O : Entry.onDigest("old", ConfigDigest(), Now))
      Sent += std::holds_alternative<SyncSend>(O);
    for (const SyncOutput &O : Entry.tick(Now))
      Sent += std::holds_alternative<SyncSend>(O);
  }
  CHECK(Sent > 5);
  CHECK(Sent < 25);
}
