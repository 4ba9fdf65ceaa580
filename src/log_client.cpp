#include "log_client.h"
#include "base64.h"

#include <nlohmann/json.hpp>

namespace chivelanding {

namespace {

using Json = nlohmann::json;

// The log syncs an append in milliseconds, a slow log within seconds. After
// this time, reading the log back gives the outcome sooner.
constexpr Duration AnswerTimeout = std::chrono::seconds(5);

Error logError(const std::string &Code, const std::string &Step,
               const std::string &Detail) {
  return {Code, Step, "log", Detail};
}

// Returns the answer as JSON, or the error for its status.
Result<Json> parseAnswer(const Result<HttpResponse> &R,
                         const std::string &Step) {
  if (!ok(R))
    return error(R);
  const HttpResponse &Response = value(R);
  if (Response.Status_ == 429)
    return logError("rate_limited", Step, "the log limits the rate");
  if (Response.Status_ < 200 || Response.Status_ > 299)
    return logError("log_error", Step,
                    "status " + std::to_string(Response.Status_));
  Json Body = Json::parse(Response.Body_, nullptr, false);
  if (!Body.is_object())
    return logError("bad_answer", Step, "the answer is not a JSON object");
  return Body;
}

LogBatch readBatch(const Json &Body, std::uint64_t From) {
  LogBatch Batch;
  Batch.FirstRetained_ = Body.at("first").get<std::uint64_t>();
  Batch.NextOffset_ = Body.at("next").get<std::uint64_t>();
  Batch.FromOffset_ = std::max(From, Batch.FirstRetained_);
  std::uint64_t Offset = Batch.FromOffset_;
  for (const Json &Record : Body.at("records")) {
    if (Record.at("offset").get<std::uint64_t>() != Offset++)
      throw std::invalid_argument("gap in the offsets of the records");
    auto Data = decodeBase64(Record.at("data").get_ref<const std::string &>());
    if (!Data)
      throw std::invalid_argument("the data of a record is not valid base64");
    Batch.Records_.push_back(std::move(*Data));
  }
  return Batch;
}

} // namespace

bool isNotWritten(const Error &E) {
  return E.Code_ == "connect_failed" || E.Code_ == "rate_limited";
}

void LogClient::read(const ReadLog &Request,
                     const std::function<void(Result<LogBatch>)> &Done) {
  const auto WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Request.Wait_)
          .count();
  HttpRequest Http;
  Http.Method_ = "GET";
  Http.Target_ = "/streams/" + Stream_ +
                 "?from=" + std::to_string(Request.FromOffset_) +
                 "&max=" + std::to_string(Request.MaxRecords_) +
                 "&wait_ms=" + std::to_string(WaitMs);
  Transport_.send(
      std::move(Http), Request.Wait_ + AnswerTimeout,
      [Done, From = Request.FromOffset_](const Result<HttpResponse> &R) {
        const Result<Json> Body = parseAnswer(R, "read log");
        if (!ok(Body))
          return Done(error(Body));
        Result<LogBatch> Batch = LogBatch();
        try {
          Batch = readBatch(value(Body), From);
        } catch (const std::exception &E) {
          Batch = logError("bad_answer", "read log", E.what());
        }
        Done(std::move(Batch));
      });
}

void LogClient::append(const AppendLog &Request,
                       const std::function<void(Result<std::uint64_t>)> &Done) {
  HttpRequest Http;
  Http.Method_ = "POST";
  Http.Target_ = "/streams/" + Stream_;
  Http.Body_ = Request.Data_;
  Transport_.send(
      std::move(Http), AnswerTimeout, [Done](const Result<HttpResponse> &R) {
        const Result<Json> Body = parseAnswer(R, "append to log");
        if (!ok(Body))
          return Done(error(Body));
        const auto Offset = value(Body).find("offset");
        if (Offset == value(Body).end() || !Offset->is_number_unsigned())
          return Done(logError("bad_answer", "append to log", "no offset"));
        Done(Offset->get<std::uint64_t>());
      });
}

} // namespace chivelanding
