#include "base64.h"
#include "log_client.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

namespace {

HttpResponse response(unsigned Status, const std::string &Body) {
  HttpResponse R;
  R.Status_ = Status;
  R.Body_ = Body;
  return R;
}

/// Answers every request with one fixed result.
class FixedTransport : public LogTransport {
public:
  Result<HttpResponse> Answer_ = HttpResponse();
  HttpRequest Last_;
  void send(HttpRequest Request, Duration, Callback Done) override {
    Last_ = std::move(Request);
    Done(Answer_);
  }
};

std::string readCode(FixedTransport &Transport, LogBatch *Out = nullptr) {
  LogClient Client(Transport, "config");
  std::string Code = "no answer";
  Client.read({1, 3, 10, Duration(0)}, [&](const Result<LogBatch> &R) {
    Code = ok(R) ? "ok" : error(R).Code_;
    if (ok(R) && Out)
      *Out = value(R);
  });
  return Code;
}

} // namespace

// Guards against binary records that are altered in transfer.
TEST_CASE("Base64 restores data of every length and rejects invalid text",
          "[log]") {
  std::string Data;
  for (int Length = 0; Length < 9; ++Length) {
    CHECK(decodeBase64(encodeBase64(Data)) == Data);
    Data += static_cast<char>(Length * 37);
  }
  CHECK(encodeBase64("ab") == "YWI=");
  CHECK_FALSE(decodeBase64("YWI"));
  CHECK_FALSE(decodeBase64("Y!I="));
}

// Guards against a damaged answer or an error being used as records, after
// which two readers could have different states.
TEST_CASE("Only a complete answer of the log is used", "[log]") {
  FixedTransport T;
  T.Answer_ = response(
      200, R"({"first":2,"next":4,"records":[{"offset":3,"data":"YWI="}]})");
  LogBatch Batch;
  REQUIRE(readCode(T, &Batch) == "ok");
  CHECK(Batch.FromOffset_ == 3);
  CHECK(Batch.Records_ == std::vector<std::string>{"ab"});
  CHECK(T.Last_.Target_ == "/streams/config?from=3&max=10&wait_ms=0");
  for (const char *Bad :
       {"", "[]", "{}", R"({"first":2,"next":4,"records":[{"offset":4}]})",
        R"({"first":2,"next":4,"records":[{"offset":4,"data":"YWI="}]})",
        R"({"first":2,"next":4,"records":[{"offset":3,"data":"?"}]})"}) {
    T.Answer_ = response(200, Bad);
    INFO(Bad);
    CHECK(readCode(T) == "bad_answer");
  }
}

// Guards against an append that is reported as not written although it may be.
TEST_CASE("Only a rate limit or a failed connection means not written",
          "[log]") {
  const auto NotWritten = [](Result<HttpResponse> Answer) {
    FixedTransport T;
    T.Answer_ = std::move(Answer);
    LogClient Client(T, "config");
    bool Out = false;
    Client.append({1, "x"}, [&](const Result<std::uint64_t> &R) {
      REQUIRE_FALSE(ok(R));
      Out = isNotWritten(error(R));
    });
    return Out;
  };
  CHECK(NotWritten(response(429, "")));
  CHECK(NotWritten(Error{"connect_failed", "", "", ""}));
  CHECK_FALSE(NotWritten(response(503, "")));
  CHECK_FALSE(NotWritten(response(200, "{}")));
  CHECK_FALSE(NotWritten(Error{"timeout", "", "", ""}));
  CHECK_FALSE(NotWritten(Error{"connection_lost", "", "", ""}));
}
