#include "api.h"
#include "json_text.h"

#include <openssl/evp.h>

#include <cctype>
#include <charconv>
#include <stdexcept>
#include <unordered_set>

namespace chivelanding {
namespace {

using Json = nlohmann::json;

// Maximum size of a key, id, name or address in a request, in bytes.
constexpr std::size_t MaxNameBytes = 256;

// Payloads are written again by a recursive function. A job may have many
// tasks.
constexpr JsonLimits BodyLimits{64, 4'000'000};

struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string readString(const Json &J, const char *Field, bool Required) {
  const auto It = J.find(Field);
  if (It == J.end()) {
    if (Required)
      throw FieldError(std::string("field '") + Field + "' is missing");
    return {};
  }
  if (!It->is_string())
    throw FieldError(std::string("field '") + Field + "' must be a string");
  return It->get<std::string>();
}

std::string readName(const Json &J, const char *Field) {
  auto Text = readString(J, Field, true);
  if (Text.empty() || Text.size() > MaxNameBytes)
    throw FieldError(std::string("field '") + Field + "' must have 1 to " +
                     std::to_string(MaxNameBytes) + " bytes");
  return Text;
}

std::uint64_t readUnsigned(const Json &J, const char *Field, std::uint64_t Max,
                           std::uint64_t Default) {
  const auto It = J.find(Field);
  if (It == J.end())
    return Default;
  if (!It->is_number_unsigned() || It->get<std::uint64_t>() > Max)
    throw FieldError(std::string("field '") + Field +
                     "' must be an integer from 0 to " + std::to_string(Max));
  return It->get<std::uint64_t>();
}

// Limits times from callers, so that adding them to a point in time cannot
// overflow.
constexpr std::uint64_t MaxMs = 24ULL * 3600 * 1000;

TaskSpec readTask(Json &J) {
  if (!J.is_object())
    throw FieldError("each task must be an object");
  TaskSpec T;
  T.Id_ = readName(J, "id");
  const auto Payload = J.find("payload");
  if (Payload != J.end())
    T.Payload_ = Payload->is_string()
                     ? std::move(Payload->get_ref<std::string &>())
                     : Payload->dump();
  T.TimeHint_ =
      std::chrono::milliseconds(readUnsigned(J, "time_hint_ms", MaxMs, 0));
  return T;
}

JobSpec readJob(Json &J, const TeamName &Team) {
  if (!J.is_object())
    throw FieldError("the body must be an object");
  JobSpec S;
  S.Id_.Team_ = Team;
  S.Id_.Key_ = JobKey(readName(J, "key"));
  S.Service_ = ServiceName(readName(J, "service"));
  S.Kind_ = KindName(readName(J, "kind"));
  if (J.contains("deadline_ms"))
    S.Deadline_ =
        std::chrono::milliseconds(readUnsigned(J, "deadline_ms", MaxMs, 0));
  const auto Tasks = J.find("tasks");
  if (Tasks == J.end() || !Tasks->is_array() || Tasks->empty())
    throw FieldError("field 'tasks' must be a list of at least one task");
  S.Tasks_.reserve(Tasks->size());
  for (Json &T : *Tasks)
    S.Tasks_.push_back(readTask(T));
  return S;
}

Error makeRefusal(const char *Code, std::string Detail) {
  return {Code, "read request", "", std::move(Detail)};
}

Result<Done> checkTasks(const JobSpec &S, std::uint32_t MaxTasks) {
  if (S.Tasks_.size() > MaxTasks)
    return makeRefusal("too_many_tasks", std::to_string(S.Tasks_.size()) +
                                             " tasks, at most " +
                                             std::to_string(MaxTasks) +
                                             " are allowed; split the job");
  std::unordered_set<std::string> Ids;
  for (const TaskSpec &T : S.Tasks_)
    if (!Ids.insert(T.Id_).second)
      return makeRefusal("duplicate_task_id",
                         "task id '" + T.Id_ + "' is repeated");
  return Done();
}

unsigned hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return static_cast<unsigned>(C - '0');
  C = static_cast<char>(C | 0x20);
  return C >= 'a' && C <= 'f' ? static_cast<unsigned>(C - 'a') + 10 : 16;
}

bool percentDecode(std::string_view Text, std::string &Out) {
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Out += Text[I];
      continue;
    }
    if (I + 2 >= Text.size())
      return false;
    const auto High = hexDigit(Text[I + 1]);
    const auto Low = hexDigit(Text[I + 2]);
    if (High > 15 || Low > 15)
      return false;
    Out += static_cast<char>(High * 16 + Low);
    I += 2;
  }
  return true;
}

template <typename Visit>
bool forEachPart(std::string_view Text, char Separator, Visit Use) {
  while (!Text.empty()) {
    const auto End = std::min(Text.find(Separator), Text.size());
    if (!Use(Text.substr(0, End)))
      return false;
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return true;
}

unsigned httpStatusFor(const JobAnswer &A) {
  static constexpr std::pair<const char *, unsigned> NotRun[] = {
      {"bad_json", 400},          {"bad_job", 400},
      {"bad_token", 400},         {"bad_target", 400},
      {"bad_endpoint", 400},      {"duplicate_task_id", 400},
      {"too_many_tasks", 413},    {"token_required", 428},
      {"unauthorized", 401},      {"quota", 429},
      {"overloaded", 503},        {"queue_full", 503},
      {"no_endpoint", 503},       {"deadline_unreachable", 503},
      {"draining", 503},          {"not_ready", 503},
      {"owner_unreachable", 503}, {"zones_cordoned", 503},
      {"no_configuration", 503}};
  switch (A.Outcome_) {
  case Outcome::Completed:
    return 200;
  case Outcome::PartlyRun:
    return 502;
  case Outcome::Unknown:
    return A.Code_ == "owner_unreachable" ? 503 : 504;
  case Outcome::NotRun:
    break;
  }
  for (const auto &[Code, Status] : NotRun)
    if (A.Code_ == Code)
      return Status;
  return 409;
}

bool isUtf8(const std::string &Text) {
  try {
    // By default the serializer throws on the first invalid byte.
    (void)Json(Text).dump();
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

std::string toBase64(const std::string &Bytes) {
  // The encoder adds a terminating zero.
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::string dump(const Json &J) {
  return J.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse failedResponse(const JobAnswer &A) {
  Json J = {{"outcome", "failed"},
            {"cause", outcomeName(A.Outcome_)},
            {"code", A.Code_},
            {"detail", A.Detail_}};
  if (A.Outcome_ != Outcome::NotRun) {
    Json List = Json::array();
    for (const TaskAnswer &T : A.Tasks_)
      List.push_back({{"id", T.Id_}, {"state", taskStateName(T.State_)}});
    J["tasks"] = std::move(List);
  }
  HttpResponse R;
  R.Status_ = httpStatusFor(A);
  R.Body_ = dump(J);
  if (A.RetryAfter_) {
    // The header has whole seconds; rounded up, it does not let callers retry
    // too early.
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*A.RetryAfter_).count();
    R.Headers_.push_back({"Retry-After", std::to_string(Seconds)});
  }
  return R;
}

} // namespace

std::string Target::query(std::string_view Name) const {
  for (const HttpHeader &Q : Query_)
    if (Q.Name_ == Name)
      return Q.Value_;
  return {};
}

std::string percentEncode(std::string_view Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Out;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) || C == '-' || C == '_' || C == '.' || C == '~') {
      Out += C;
    } else {
      Out += '%';
      Out += Digits[Byte >> 4];
      Out += Digits[Byte & 15];
    }
  }
  return Out;
}

Result<Target> Target::parse(std::string_view Text) {
  Target T;
  const auto QueryStart = std::min(Text.find('?'), Text.size());
  std::string_view Path = Text.substr(0, QueryStart);
  if (!Path.empty() && Path.front() == '/')
    Path.remove_prefix(1);
  const bool PathOk = forEachPart(Path, '/', [&](std::string_view Part) {
    return percentDecode(Part, T.Path_.emplace_back());
  });
  const auto Query = Text.substr(std::min(QueryStart + 1, Text.size()));
  const bool QueryOk = forEachPart(Query, '&', [&](std::string_view Part) {
    const auto Equal = std::min(Part.find('='), Part.size());
    HttpHeader &Q = T.Query_.emplace_back();
    return percentDecode(Part.substr(0, Equal), Q.Name_) &&
           percentDecode(Part.substr(std::min(Equal + 1, Part.size())),
                         Q.Value_);
  });
  if (!PathOk || !QueryOk)
    return makeRefusal("bad_target",
                       "the request target is not percent-encoded");
  return T;
}

// The JSON library reports errors by exceptions, which are converted to results
// here.
Result<JobSpec> parseJob(const std::string &Body, const TeamName &Team,
                         std::uint32_t MaxTasks) {
  try {
    if (exceedsLimits(Body, BodyLimits))
      return makeRefusal("bad_json", "nested too deeply or too many values");
    Json J = Json::parse(Body);
    JobSpec S = readJob(J, Team);
    const auto TokenText = readString(J, "token", false);
    if (TokenText.empty())
      return makeRefusal("token_required", "fetch a token from GET /v1/token");
    const auto Token = OwnerToken::parse(TokenText);
    if (!ok(Token))
      return error(Token);
    S.Id_.Token_ = value(Token);
    const auto Checked = checkTasks(S, MaxTasks);
    if (!ok(Checked))
      return error(Checked);
    return S;
  } catch (const Json::exception &E) {
    return makeRefusal("bad_json", E.what());
  } catch (const FieldError &E) {
    return makeRefusal("bad_job", E.what());
  }
}

Result<JobSpec> parseSingle(HttpRequest &&Request, const Target &T,
                            const TeamName &Team) {
  JobSpec S;
  S.Id_.Team_ = Team;
  S.Service_ = ServiceName(T.Path_[2]);
  S.Kind_ = KindName(T.Path_[3]);
  const auto Key = Request.header("Chivelanding-Key");
  if (Key.empty() || Key.size() > MaxNameBytes)
    return makeRefusal("bad_job",
                       "header Chivelanding-Key is missing or too long");
  S.Id_.Key_ = JobKey(std::string(Key));
  const auto TokenText = Request.header("Chivelanding-Token");
  if (TokenText.empty())
    return makeRefusal("token_required", "fetch a token from GET /v1/token");
  const auto Token = OwnerToken::parse(std::string(TokenText));
  if (!ok(Token))
    return error(Token);
  S.Id_.Token_ = value(Token);
  const auto Idempotent = Request.header("Chivelanding-Idempotent");
  if (!Idempotent.empty() && Idempotent != "true" && Idempotent != "false")
    return makeRefusal("bad_job",
                       "Chivelanding-Idempotent must be true or false");
  S.Idempotent_ = Idempotent == "true";
  S.Tasks_.push_back({"0", std::move(Request.Body_), {}});
  return S;
}

// Most results are valid UTF-8. The serializer checks this anyway, so the
// results are checked one by one only after it has failed.
HttpResponse renderAnswer(const JobId &Job, const JobAnswer &A) {
  if (A.Outcome_ != Outcome::Completed)
    return failedResponse(A);
  Json Results = Json::array();
  for (const TaskAnswer &T : A.Tasks_)
    Results.push_back({{"id", T.Id_}, {"result", T.Result_}});
  Json Answer = {{"outcome", "completed"},
                 {"job", Job.str()},
                 {"results", std::move(Results)}};
  HttpResponse R;
  try {
    R.Body_ = Answer.dump();
  } catch (const Json::exception &) {
    for (std::size_t I = 0; I < A.Tasks_.size(); ++I)
      if (!isUtf8(A.Tasks_[I].Result_))
        Answer["results"][I]["result"] = {
            {"base64", toBase64(A.Tasks_[I].Result_)}};
    R.Body_ = dump(Answer);
  }
  return R;
}

HttpResponse renderSingle(const JobId &, const JobAnswer &A) {
  if (A.Outcome_ != Outcome::Completed || A.Tasks_.size() != 1)
    return failedResponse(A);
  HttpResponse R;
  R.ContentType_ = "application/octet-stream";
  R.Body_ = A.Tasks_[0].Result_;
  return R;
}

HttpResponse renderRefusal(const Error &E) {
  JobAnswer A;
  A.Outcome_ = Outcome::NotRun;
  A.Code_ = E.Code_;
  A.Detail_ = E.Detail_;
  return failedResponse(A);
}

Result<SocketAddress> parseAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  SocketAddress A;
  if (Colon != std::string::npos) {
    A.Host_ = Text.substr(0, Colon);
    const char *End = Text.data() + Text.size();
    const auto R = std::from_chars(Text.data() + Colon + 1, End, A.Port_);
    if (R.ec == std::errc() && R.ptr == End && !A.Host_.empty())
      return A;
  }
  return Error{"bad_address", "read address", Text, "expected IP:PORT"};
}

Result<EndpointAnnouncement> parseEndpoint(const std::string &Body) {
  constexpr std::uint64_t Max32 = UINT32_MAX;
  try {
    if (exceedsLimits(Body, BodyLimits))
      return makeRefusal("bad_json", "nested too deeply or too many values");
    const Json J = Json::parse(Body);
    if (!J.is_object())
      throw FieldError("the body must be an object");
    EndpointAnnouncement A;
    A.Info_.EndpointName_ = readName(J, "name");
    A.Info_.Service_ = ServiceName(readName(J, "service"));
    A.Info_.Rack_ = RackName(readString(J, "rack", false));
    A.Info_.Slots_ =
        static_cast<std::uint32_t>(readUnsigned(J, "slots", Max32, 0));
    A.Info_.Connections_ =
        static_cast<std::uint32_t>(readUnsigned(J, "connections", Max32, 64));
    A.Info_.Cores_ =
        static_cast<std::uint32_t>(readUnsigned(J, "cores", Max32, 0));
    A.Info_.MemoryBytes_ = readUnsigned(J, "memory_bytes", UINT64_MAX, 0);
    auto Address = parseAddress(readName(J, "address"));
    if (!ok(Address))
      return Error{"bad_endpoint", "read request", "", error(Address).str()};
    A.Address_ = std::move(value(Address));
    return A;
  } catch (const Json::exception &E) {
    return makeRefusal("bad_json", E.what());
  } catch (const FieldError &E) {
    return makeRefusal("bad_endpoint", E.what());
  }
}

} // namespace chivelanding
