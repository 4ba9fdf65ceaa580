#include "run_simulation.h"

#include "store_http.h"

#include <algorithm>
#include <numeric>

// Operators who cordon zones, and how entries and agents learn of it. The
// entries read a model of the store and use the real modules for the rest.
namespace chivelanding::test {
namespace {

// Time for which an agent must be linked to an entry that knows a cordon before
// a start counts as a violation. Shorter than the promised 4 s, because links
// without faults are too rare here for that.
constexpr Duration CordonBound = std::chrono::seconds(1);
constexpr const char *KeyPrefix = "zone/";
// Time for which an endpoint may stay cold after its cordon is lifted.
constexpr Duration ColdTime = std::chrono::seconds(3);

} // namespace

ZoneName RunSimulation::zoneOf(std::size_t A) const {
  return ZoneName(usesCordons() ? "z" + std::to_string(A % Options_.Zones_)
                                : "z");
}

// Sets and lifts cordons of one zone, two or all. An entry may be without the
// store, without other entries, or without both for a while.
void RunSimulation::operate() {
  if (Now_ >= FaultsEnd_)
    return;
  std::vector<std::size_t> Zones(Options_.Zones_);
  std::iota(Zones.begin(), Zones.end(), 0);
  std::shuffle(Zones.begin(), Zones.end(), Random_);
  const std::size_t Counts[] = {1, 1, 1, 2, Zones.size()};
  Zones.resize(Counts[Random_() % std::size(Counts)]);
  for (const std::size_t Z : Zones)
    if (const bool Set = CordonedAt_.count(zoneOf(Z)) == 0; Set || chance(0.5))
      publishCordon(zoneOf(Z), Set);
  if (chance(0.4)) {
    const std::size_t E = Random_() % Entries_.size();
    const Time Until = std::min(FaultsEnd_, Now_ + drawDuration(500, 8000));
    const auto Which = Random_() % 3;
    traceLine("entry " + std::to_string(E) + " loses " +
              (Which == 0   ? "the store"
               : Which == 1 ? "entries"
                            : "both"));
    if (Which != 1)
      Entries_[E].StoreBlockedUntil_ = Until;
    if (Which != 0) {
      Entries_[E].PeersBlockedUntil_ = Until;
      at(Until, [this, E] { linkToEntries(E); });
    }
  }
  at(Now_ + drawDuration(100, 3000), [this] { operate(); });
}

void RunSimulation::publishCordon(const ZoneName &Zone, bool Set) {
  for (auto Others = Random_() % 3; Others > 0; --Others)
    Stream_.push_back({"other", "x"});
  Stream_.push_back({KeyPrefix + Zone.str(), Set ? "x" : ""});
  if (Set)
    CordonedAt_[Zone] = {Now_, Stream_.size()};
  else
    CordonedAt_.erase(Zone);
  traceLine("zone " + Zone.str() + (Set ? " cordoned" : " lifted") +
            ", revision " + std::to_string(Stream_.size()));
  for (std::size_t A = 0; A < Agents_.size(); ++A)
    if (!Set && zoneOf(A) == Zone && chance(0.5))
      Agents_[A].ColdUntil_ = Now_ + ColdTime;
}

void RunSimulation::liftAllCordons() {
  while (!CordonedAt_.empty())
    publishCordon(CordonedAt_.begin()->first, false);
}

void RunSimulation::startCordons(std::size_t E) {
  Entry &X = Entries_[E];
  X.Cordons_ = CordonExchange(usesCordons());
  X.Records_ = CordonRecords(KeyPrefix);
  X.NextRecord_.reset();
  if (!usesCordons())
    return;
  if (chance(0.3))
    X.StoreBlockedUntil_ = std::min(FaultsEnd_, Now_ + drawDuration(500, 5000));
  readStore(E);
  runAtProcess(X, Now_ + drawDuration(50, 250),
               [this, E] { linkToEntries(E); });
}

// Reads the newest records first, and again after an error; otherwise those
// that follow.
void RunSimulation::readStore(std::size_t E) {
  Entry &X = Entries_[E];
  if (X.StoreBlockedUntil_ > Now_) {
    X.NextRecord_.reset();
    runAtProcess(X, X.StoreBlockedUntil_, [this, E] { readStore(E); });
  } else if (X.NextRecord_) {
    runAtProcess(X, Now_ + drawStoreDelay(),
                 [this, E, Answer = followStream(*X.NextRecord_)] {
                   onStoreAnswer(E, Answer);
                 });
  } else {
    readNewestPage(E, "", {});
  }
}

Duration RunSimulation::drawStoreDelay() {
  return chance(0.1) ? drawDuration(50, 250) : drawDuration(1, 5);
}

// An answer in the platform's format, as its client decodes it. The store
// bounds an answer by its bytes, so any number of records may be in it.
StoreRecords RunSimulation::followStream(std::uint64_t From) {
  const std::uint64_t Left = Stream_.size() - From;
  const std::uint64_t Count =
      Left == 0 || chance(0.5) ? Left : 1 + Random_() % Left;
  const auto BigEndian = [](std::uint64_t Value) {
    std::string Bytes;
    for (int Shift = 56; Shift >= 0; Shift -= 8)
      Bytes += static_cast<char>(Value >> Shift & 0xff);
    return Bytes;
  };
  HttpResponse R;
  R.Body_ = BigEndian(Stream_.size()) + BigEndian(0);
  for (std::uint64_t O = From; O < From + Count; ++O)
    R.Body_ += platform::encodeRecord(Stream_[O]);
  return value(platform::decodeRead(R, From));
}

// Pages hold a few keys each and are no snapshot: records may be written
// between two of them.
void RunSimulation::readNewestPage(std::size_t E, const std::string &After,
                                   StoreRecords Collected) {
  std::map<std::string, std::string> Newest;
  for (const StoreRecord &R : Stream_)
    Newest[R.Key_] = R.Value_;
  if (After.empty())
    Collected.Next_ = Stream_.size();
  const auto Bound = 1 + Random_() % 3;
  std::size_t Count = 0;
  std::string Last = After;
  bool More = false;
  for (auto It = Newest.upper_bound(After); It != Newest.end(); ++It) {
    if (It->second.empty())
      continue;
    More = Count++ == Bound;
    if (More)
      break;
    Last = It->first;
    Collected.Records_.push_back({It->first, It->second});
  }
  runAtProcess(Entries_[E], Now_ + drawStoreDelay(),
               [this, E, More, Last, Collected] {
                 if (More)
                   readNewestPage(E, Last, Collected);
                 else
                   onStoreAnswer(E, Collected);
               });
}

void RunSimulation::onStoreAnswer(std::size_t E, const StoreRecords &Answer) {
  Entry &X = Entries_[E];
  const auto Set = X.NextRecord_ ? X.Records_.onFollowed(Answer)
                                 : X.Records_.onNewest(Answer);
  X.NextRecord_ = Answer.Next_;
  if (Set)
    X.Cordons_.onStoreSet(*Set, Now_ + X.Offset_);
  applyCordons(E);
  runAtProcess(X, Now_ + drawDuration(5, 50), [this, E] { readStore(E); });
}

PeerId RunSimulation::entryPeer(std::size_t E) const {
  return {Role::Entry, "entry-" + std::to_string(E),
          Incarnation(Entries_[E].Incarnation_)};
}

void RunSimulation::applyCordons(std::size_t E) {
  Entry &X = Entries_[E];
  for (const CordonOutput &O : X.Cordons_.take()) {
    const ZoneCordons &Set = X.Cordons_.table().current();
    if (const auto *ToPeer = std::get_if<CordonsToPeer>(&O)) {
      for (std::size_t A = 0; A < Agents_.size(); ++A)
        if (Links_[{E, A}].AgentPeer_ == ToPeer->To_)
          send(E, A, 0, Set);
      for (std::size_t Other = 0; Other < Entries_.size(); ++Other)
        if (entryPeer(Other) == ToPeer->To_)
          sendCordonsToEntry(E, Other);
    } else if (std::holds_alternative<CordonsAdopted>(O)) {
      traceLine("entry " + std::to_string(E) + " adopts revision " +
                std::to_string(Set.Revision_));
      X.Dispatcher_->setCordons(Set, Now_ + X.Offset_);
      applyEntryOutputs(E);
    }
  }
}

bool RunSimulation::entriesLinked(std::size_t E, std::size_t Other) const {
  const Entry &X = Entries_[E];
  const Entry &Y = Entries_[Other];
  return E != Other && X.Alive_ && Y.Alive_ && X.PeersBlockedUntil_ <= Now_ &&
         Y.PeersBlockedUntil_ <= Now_;
}

void RunSimulation::sendCordonsToEntry(std::size_t From, std::size_t To) {
  if (!entriesLinked(From, To))
    return;
  runAtProcess(Entries_[To], Now_ + drawDuration(0, 3),
               [this, To, Sender = entryPeer(From),
                Set = Entries_[From].Cordons_.table().current()] {
                 Entry &Y = Entries_[To];
                 Y.Cordons_.onEntrySet(Sender, Set, Now_ + Y.Offset_);
                 applyCordons(To);
               });
}

// Begins a session with each of the other entries.
void RunSimulation::linkToEntries(std::size_t E) {
  for (std::size_t Other = 0; Other < Entries_.size(); ++Other)
    if (entriesLinked(E, Other))
      for (const auto &[From, To] :
           {std::pair(E, Other), std::pair(Other, E)}) {
        Entry &X = Entries_[From];
        X.Cordons_.onPeerUp(entryPeer(To), Now_ + X.Offset_);
        applyCordons(From);
      }
}

// Called each tick of the link. Undisturbed says that neither direction nor one
// of its two processes is blocked.
void RunSimulation::trackCordonKnowledge(std::size_t E, std::size_t A,
                                         bool Undisturbed) {
  const auto It = CordonedAt_.find(zoneOf(A));
  if (!Undisturbed || It == CordonedAt_.end() ||
      Entries_[E].Cordons_.table().current().Revision_ < It->second.second)
    Links_[{E, A}].KnowsCordonSince_ = Now_;
}

void RunSimulation::checkStartAllowed(std::size_t A, const TaskKey &Task) {
  const auto It = CordonedAt_.find(zoneOf(A));
  if (It == CordonedAt_.end())
    return;
  for (std::size_t E = 0; E < Entries_.size(); ++E)
    if (std::max(Links_[{E, A}].KnowsCordonSince_, It->second.first) +
            CordonBound <=
        Now_)
      fail("agent " + std::to_string(A) + " starts a run of " +
           Task.Job_.str() + " in a cordoned zone, which entry " +
           std::to_string(E) + " knows");
}

} // namespace chivelanding::test
