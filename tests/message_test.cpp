#include "message.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

JobId jobId() {
  const EntryId Owner{"entry.1", Incarnation(0xabcdef0123456789ULL)};
  return {TeamName("team"), {Owner, Epoch(7)}, JobKey("key")};
}

} // namespace

// Guards against fields that are lost or swapped by the codec.
TEST_CASE("A decoded batch has the fields of the encoded one", "[message]") {
  Batch B;
  B.First_ = 5;
  B.Acknowledged_ = 9;
  StartTasks Start;
  Start.Job_ = jobId();
  Start.Kind_ = KindName("kind");
  Start.Class_ = PriorityClass(2);
  Start.Deadline_ = Duration(1500);
  Start.Tasks_ = {{TaskIndex(3), std::string("\0\xff", 2)}};
  B.Messages_.push_back(Start);
  const auto R = decodeFrame(encodeFrame(B), 1 << 20);
  REQUIRE(ok(R));
  const auto &Read = std::get<Batch>(value(R));
  CHECK(Read.First_ == 5);
  CHECK(Read.Acknowledged_ == 9);
  const auto &ReadStart = std::get<StartTasks>(Read.Messages_.at(0));
  CHECK(ReadStart.Job_ == Start.Job_);
  CHECK(ReadStart.Class_ == PriorityClass(2));
  CHECK(ReadStart.Deadline_ == Duration(1500));
  CHECK(ReadStart.Tasks_.at(0).Payload_ == std::string("\0\xff", 2));
}

// Guards against a crash on a truncated frame, against accepting part of it,
// and against accepting a frame above the size limit.
TEST_CASE("Truncated and oversized frames are refused", "[message]") {
  Batch B;
  B.Messages_.push_back(JobEnded{jobId()});
  const std::string Bytes = encodeFrame(B);
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_FALSE(ok(decodeFrame(Bytes.substr(0, Length), 1 << 20)));
  CHECK_FALSE(ok(decodeFrame(Bytes, Bytes.size() - 1)));
}

// Guards against a token that names another owner after printing and parsing,
// and against accepting a malformed token.
TEST_CASE("A printed owner token parses to the same token", "[message]") {
  const OwnerToken Token = jobId().Token_;
  const auto R = OwnerToken::parse(Token.str());
  REQUIRE(ok(R));
  CHECK(value(R) == Token);
  for (const char *Bad : {"", ".", "a.b", "a.1.", "a..1", "a.x.1", ".1.1"})
    CHECK_FALSE(ok(OwnerToken::parse(Bad)));
}
