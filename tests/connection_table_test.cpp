#include "connection_table.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

Time at(std::int64_t Ms) { return Time(std::chrono::milliseconds(Ms)); }

} // namespace

// Guards against a crowd that keeps idle connections and slow requests, so that
// new callers find none: the one that has made no progress for longest goes.
TEST_CASE("The connection without progress for longest is given up",
          "[connections]") {
  ConnectionTable T({3, 1000});
  const auto Idle = T.add(at(0));
  const auto Slow = T.add(at(1));
  CHECK_FALSE(T.isFull());
  const auto Active = T.add(at(2));
  CHECK(T.isFull());
  T.setPhase(Slow, ConnectionPhase::Receiving, at(3));
  T.setPhase(Idle, ConnectionPhase::Receiving, at(4));
  T.setPhase(Idle, ConnectionPhase::Sending, at(5));
  T.setPhase(Active, ConnectionPhase::Receiving, at(6));
  CHECK(T.longestInPhase() == Slow);
  T.remove(Slow);
  CHECK_FALSE(T.isFull());
  CHECK(T.longestInPhase() == Idle);
}

// Guards against the end of a connection whose request is being served.
TEST_CASE("A connection with a pending reply is kept", "[connections]") {
  ConnectionTable T({2, 10});
  const auto Served = T.add(at(0));
  T.setPhase(Served, ConnectionPhase::Pending, at(1));
  T.setBytes(Served, 50);
  CHECK(T.exceedsBytes());
  CHECK_FALSE(T.longestInPhase());
  CHECK_FALSE(T.largest());
  const auto New = T.add(at(2));
  CHECK(T.longestInPhase() == New);
  CHECK(T.largest() == New);
  T.setPhase(Served, ConnectionPhase::Idle, at(3));
  CHECK(T.largest() == Served);
}

// Guards against small requests that are given up for a crowd of large ones,
// and against bytes that stay in the account of a closed connection.
TEST_CASE("The connection that holds most is given up for its bytes",
          "[connections]") {
  ConnectionTable T({10, 1000});
  const auto Ordinary = T.add(at(0));
  T.setBytes(Ordinary, 10);
  const auto First = T.add(at(1));
  T.setBytes(First, 600);
  const auto Second = T.add(at(2));
  T.setBytes(Second, 500);
  CHECK(T.bytes() == 1110);
  CHECK(T.largest() == First);
  T.remove(First);
  CHECK(T.bytes() == 510);
  CHECK_FALSE(T.exceedsBytes());
  T.setBytes(Second, 0);
  CHECK(T.bytes() == 10);
}
