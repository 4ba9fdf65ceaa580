#include "config_feed.h"
#include "cordon_exchange.h"
#include "cordon_records.h"
#include "memory_store.h"

#include <catch2/catch.hpp>

using namespace chivelanding;
using std::chrono::milliseconds;

namespace {

Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

ZoneCordons cordons(std::uint64_t Revision,
                    const std::vector<std::string> &Zones = {}) {
  ZoneCordons C{Revision, {}};
  for (const std::string &Z : Zones)
    C.Zones_.emplace_back(Z);
  return C;
}

// "REVISION:ZONE,ZONE"
std::string text(const ZoneCordons &C) {
  std::string Text = std::to_string(C.Revision_) + ":";
  for (const ZoneName &Z : C.Zones_)
    Text += (Text.back() == ':' ? "" : ",") + Z.str();
  return Text;
}

PeerId peer(Role R, const char *Name) { return {R, Name, Incarnation(1)}; }

// The names of the peers to which the set is sent.
std::vector<std::string> sentTo(CordonExchange &X) {
  std::vector<std::string> Names;
  for (const CordonOutput &O : X.take())
    if (const auto *Send = std::get_if<CordonsToPeer>(&O))
      Names.push_back(Send->To_.Name_);
  return Names;
}

EndpointReport report(std::uint64_t Revision, bool Cordoned) {
  EndpointReport R;
  R.Zone_ = ZoneName("z1");
  R.CordonRevision_ = Revision;
  R.Cordoned_ = Cordoned;
  return R;
}

using Names = std::vector<std::string>;

} // namespace

// Guards against a cordon that is undone by an older set, or by another set of
// the same revision.
TEST_CASE("Only a set of a higher revision is adopted", "[cordon]") {
  CordonTable T;
  CHECK_FALSE(T.adopt(cordons(0, {"z1"})));
  CHECK_FALSE(T.known());
  CHECK(T.adopt(cordons(7, {"z2", "z1", "z2"})));
  CHECK(text(T.current()) == "7:z1,z2");
  CHECK_FALSE(T.adopt(cordons(6)));
  CHECK_FALSE(T.adopt(cordons(7)));
  CHECK(T.isCordoned(ZoneName("z2")));
  CHECK_FALSE(T.isCordoned(ZoneName()));
}

// Guards against a request that is ignored because of its value, a set or lift
// that is lost within one batch, and a stream that was empty at first.
TEST_CASE("Cordons are derived from records in order", "[cordon]") {
  CordonRecords R("cordon/");
  CHECK(text(R.onNewest({{}, 0})) == "0:");
  CHECK(text(*R.onFollowed({{{"config", "x"}}, 1})) == "1:");
  CHECK_FALSE(R.onFollowed({{{"config", "y"}, {"cordon/", "x"}}, 3}));
  CHECK(text(*R.onFollowed({{{"cordon/z1", "{"}, {"cordon/z2", "{}"}}, 5})) ==
        "5:z1,z2");
  CHECK(text(*R.onFollowed(
            {{{"cordon/z1", ""}, {"cordon/z2", ""}, {"cordon/z1", "again"}},
             8})) == "8:z1");
  CHECK(text(R.onNewest({{{"cordon/z3", std::string(1, '\0')}}, 9})) == "9:z3");
}

// Guards against a cordon or its end that is missed because the store fails
// between the two records or drops the one that ends the cordon.
TEST_CASE("The feed gets each change of the cordons", "[cordon]") {
  boost::asio::io_context Io;
  MemoryStore Store(Io);
  Names Seen;
  ConfigFeed Feed(
      Io, Store, testLog(), [](const std::string &) {},
      [&](const ZoneCordons &C) { Seen.push_back(text(C)); });
  const auto Write = [&](const char *Key, const char *Value) {
    Store.write(StoreStream::Operators, {Key, Value});
  };
  const auto Run = [&] {
    Io.restart();
    Io.run();
  };
  Write("config", "x");
  Write("cordon/z1", "{}");
  Feed.start();
  Run();
  Write("cordon/z2", "{}");
  Run();
  CHECK(Seen == Names{"2:z1", "3:z1,z2"});
  // The store fails for a while, in which z1 is lifted. Only newest shows that.
  Store.Failures_ = 2;
  Store.breakFollowers();
  Write("cordon/z1", "");
  Run();
  CHECK(Seen.back() == "4:z2");
  // The store drops the records at which the feed is.
  Store.Forgotten_ = 6;
  Write("cordon/z2", "");
  Write("config", "y");
  Run();
  CHECK(Seen.back() == "6:");
  CHECK(Store.Newest_ == 5);
  Feed.stop();
}

// Guards against processes that are left without the set, and against a peer
// that keeps an older one.
TEST_CASE("A set is sent to whoever lacks it", "[cordon]") {
  const PeerId E = peer(Role::Entry, "e");
  const PeerId A = peer(Role::Agent, "a");
  CordonExchange X(true);
  X.onPeerUp(E, at(0));
  X.onPeerUp(A, at(0));
  CHECK(sentTo(X).empty());
  CHECK_FALSE(X.mayStartRuns());
  X.onStoreSet(cordons(5, {"z1"}), at(0));
  CHECK(sentTo(X) == Names{"e", "a"});
  CHECK(X.mayStartRuns());
  X.onPeerUp(peer(Role::Agent, "late"), at(0));
  CHECK(sentTo(X) == Names{"late"});
  // A stale peer changes nothing and is answered; the same set is not.
  X.onEntrySet(E, cordons(4), at(0));
  CHECK(sentTo(X) == Names{"e"});
  CHECK(X.table().isCordoned(ZoneName("z1")));
  X.onEntrySet(E, cordons(5, {"z1"}), at(0));
  CHECK(sentTo(X).empty());
  // A store that answers from an older state changes nothing either.
  X.onStoreSet(cordons(3), at(0));
  CHECK(sentTo(X).empty());
  CHECK(text(X.table().current()) == "5:z1");
  X.onPeerLost(A);
  X.onEntrySet(E, cordons(6), at(0));
  CHECK(sentTo(X) == Names{"e", "late"});
}

// Guards against an agent that never gets the set, and against a message for
// each of its reports.
TEST_CASE("An agent that missed the set gets it again", "[cordon]") {
  const PeerId A = peer(Role::Agent, "a");
  CordonExchange X(true);
  X.onPeerUp(A, at(0));
  X.onReport(A, report(0, false), at(0));
  X.onStoreSet(cordons(5, {"z1"}), at(0));
  CHECK(sentTo(X) == Names{"a"});
  X.onReport(A, report(0, false), at(499));
  CHECK(sentTo(X).empty());
  X.onReport(A, report(0, false), at(500));
  X.onReport(A, report(4, false), at(999));
  CHECK(sentTo(X) == Names{"a"});
  X.onReport(A, report(4, false), at(1000));
  CHECK(sentTo(X) == Names{"a"});
  // An older set that agrees, and a newer one, need no message.
  X.onReport(A, report(4, true), at(2000));
  X.onReport(A, report(6, false), at(2000));
  X.onReport(peer(Role::Agent, "unknown"), report(0, false), at(2000));
  CHECK(sentTo(X).empty());
}

// Guards against an entry that the store rejects and that keeps an old set, or
// none, and against two entries that answer each other forever.
TEST_CASE("Entries that the store rejects learn the set from others",
          "[cordon]") {
  const std::vector<PeerId> Ids = {peer(Role::Entry, "0"),
                                   peer(Role::Entry, "1")};
  std::vector<CordonExchange> X(2, CordonExchange(true));
  X[0].onStoreSet(cordons(5, {"z1"}), at(0));
  X[0].onPeerUp(Ids[1], at(0));
  X[1].onPeerUp(Ids[0], at(0));
  const auto Deliver = [&] {
    std::size_t Messages = 0;
    for (std::size_t I = 0, Idle = 0; Idle < 2 && Messages < 20; I = 1 - I) {
      const std::size_t Sent = sentTo(X[I]).size();
      for (std::size_t N = 0; N < Sent; ++N)
        X[1 - I].onEntrySet(Ids[I], X[I].table().current(), at(0));
      Messages += Sent;
      Idle = Sent == 0 ? Idle + 1 : 0;
    }
    return Messages;
  };
  CHECK(Deliver() == 2);
  CHECK(text(X[1].table().current()) == "5:z1");
  // The store serves the other one now, after the lift.
  X[1].onStoreSet(cordons(6), at(0));
  CHECK(Deliver() == 2);
  CHECK(text(X[0].table().current()) == "6:");
}

// Guards against effects on platforms whose settings have no cordons.
TEST_CASE("Without the setting, cordons have no effect", "[cordon]") {
  CordonExchange X(false);
  X.onPeerUp(peer(Role::Entry, "e"), at(0));
  X.onPeerUp(peer(Role::Agent, "a"), at(0));
  X.onStoreSet(cordons(5, {"z1"}), at(0));
  X.onEntrySet(peer(Role::Entry, "e"), cordons(6, {"z1"}), at(0));
  X.onReport(peer(Role::Agent, "a"), report(0, false), at(0));
  CHECK(X.take().empty());
  CHECK_FALSE(X.table().known());
  CHECK(X.mayStartRuns());
}
