#include "message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <stdexcept>
#include <type_traits>

namespace chivelanding {
namespace {

// Arena for the JSON library's document trees, which live only during one call
// of encodeFrame or decodeFrame. A tree has several nodes per field; allocating
// them on the heap took a fifth of an entry's CPU time.
class Arena {
public:
  void *allocate(std::size_t Bytes) {
    Bytes = (Bytes + Alignment - 1) / Alignment * Alignment;
    if (Blocks_.empty() || Used_ + Bytes > Blocks_.back().Size_)
      addBlock(Bytes);
    void *Memory = Blocks_.back().Memory_.get() + Used_;
    Used_ += Bytes;
    return Memory;
  }

  /// Releases every allocation. Keeps one block of the standard size for reuse.
  void reset() {
    if (Blocks_.size() > 1 ||
        (!Blocks_.empty() && Blocks_.front().Size_ > BlockBytes))
      Blocks_.clear();
    Used_ = 0;
  }

private:
  static constexpr std::size_t Alignment = alignof(std::max_align_t);
  static constexpr std::size_t BlockBytes = 256u << 10;
  struct Block {
    std::unique_ptr<std::byte[]> Memory_;
    std::size_t Size_ = 0;
  };

  void addBlock(std::size_t Bytes) {
    const std::size_t Size = std::max(Bytes, BlockBytes);
    Blocks_.push_back(
        {std::unique_ptr<std::byte[]>(new std::byte[Size]), Size});
    Used_ = 0;
  }

  std::vector<Block> Blocks_;
  std::size_t Used_ = 0;
};

// The library default-constructs its allocators, so the arena cannot be passed
// to them. Each thread has its own arena.
Arena &arena() {
  thread_local Arena ThreadArena;
  return ThreadArena;
}

struct ArenaScope {
  ArenaScope() = default;
  ArenaScope(const ArenaScope &) = delete;
  ArenaScope &operator=(const ArenaScope &) = delete;
  ~ArenaScope() { arena().reset(); }
};

// The library prescribes the lower-case names.
// NOLINTBEGIN(readability-identifier-naming)
template <typename T> struct ArenaAllocator {
  using value_type = T;
  ArenaAllocator() = default;
  template <typename U> ArenaAllocator(const ArenaAllocator<U> &) {}
  T *allocate(std::size_t Count) {
    return static_cast<T *>(arena().allocate(Count * sizeof(T)));
  }
  void deallocate(T *, std::size_t) {}
  friend bool operator==(const ArenaAllocator &, const ArenaAllocator &) {
    return true;
  }
  friend bool operator!=(const ArenaAllocator &, const ArenaAllocator &) {
    return false;
  }
};
// NOLINTEND(readability-identifier-naming)

using ArenaBytes = std::vector<std::uint8_t, ArenaAllocator<std::uint8_t>>;
using Json =
    nlohmann::basic_json<std::map, std::vector, std::string, bool, std::int64_t,
                         std::uint64_t, double, ArenaAllocator,
                         nlohmann::adl_serializer, ArenaBytes>;

struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <typename T> struct IsName : std::false_type {};
template <typename Tag> struct IsName<Name<Tag>> : std::true_type {};
template <typename T> struct IsNumber : std::false_type {};
template <typename Tag, typename Rep>
struct IsNumber<Number<Tag, Rep>> : std::true_type {};
template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};
template <typename T> struct IsOptional : std::false_type {};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T> struct IsPeer : std::false_type {};
template <typename Tag> struct IsPeer<Peer<Tag>> : std::true_type {};

// Field tables of the structs that are not messages themselves.
template <typename T> constexpr auto fieldsOf() { return T::fields(); }
template <> constexpr auto fieldsOf<EntryId>() {
  return std::make_tuple(&EntryId::Name_, &EntryId::Incarnation_);
}
template <> constexpr auto fieldsOf<AgentId>() {
  return std::make_tuple(&AgentId::Name_, &AgentId::Incarnation_);
}
template <> constexpr auto fieldsOf<OwnerToken>() {
  return std::make_tuple(&OwnerToken::Owner_, &OwnerToken::Epoch_);
}
template <> constexpr auto fieldsOf<JobId>() {
  return std::make_tuple(&JobId::Team_, &JobId::Token_, &JobId::Key_);
}
template <> constexpr auto fieldsOf<TaskSpec>() {
  return std::make_tuple(&TaskSpec::Id_, &TaskSpec::Payload_,
                         &TaskSpec::TimeHint_);
}
template <> constexpr auto fieldsOf<JobSpec>() {
  return std::make_tuple(&JobSpec::Id_, &JobSpec::Service_, &JobSpec::Kind_,
                         &JobSpec::Class_, &JobSpec::Idempotent_,
                         &JobSpec::Deadline_, &JobSpec::Tasks_);
}
template <> constexpr auto fieldsOf<TaskAnswer>() {
  return std::make_tuple(&TaskAnswer::Id_, &TaskAnswer::State_,
                         &TaskAnswer::Result_);
}
template <> constexpr auto fieldsOf<JobAnswer>() {
  return std::make_tuple(&JobAnswer::Outcome_, &JobAnswer::Code_,
                         &JobAnswer::Detail_, &JobAnswer::RetryAfter_,
                         &JobAnswer::Tasks_);
}

// Strings are encoded as CBOR byte strings, since payloads need not be UTF-8.
template <typename T> Json encode(const T &V) {
  if constexpr (std::is_same_v<T, std::string>) {
    return Json::binary(ArenaBytes(V.begin(), V.end()));
  } else if constexpr (std::is_arithmetic_v<T>) {
    return V;
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<std::uint64_t>(V);
  } else if constexpr (std::is_same_v<T, Duration>) {
    return V.count();
  } else if constexpr (IsName<T>::value) {
    return encode(V.str());
  } else if constexpr (IsNumber<T>::value) {
    return V.value();
  } else if constexpr (IsOptional<T>::value) {
    return V ? encode(*V) : Json();
  } else if constexpr (IsVector<T>::value) {
    Json List = Json::array();
    for (const auto &Item : V)
      List.push_back(encode(Item));
    return List;
  } else {
    Json List = Json::array();
    std::apply([&](auto... Field) { (List.push_back(encode(V.*Field)), ...); },
               fieldsOf<T>());
    return List;
  }
}

// Highest value of each enumeration; decoding rejects larger numbers.
std::uint64_t maxValueOf(RejectReason) {
  return static_cast<std::uint64_t>(RejectReason::NoEndpoint);
}
std::uint64_t maxValueOf(RunOutcome) {
  return static_cast<std::uint64_t>(RunOutcome::Stopped);
}
std::uint64_t maxValueOf(Outcome) {
  return static_cast<std::uint64_t>(Outcome::Unknown);
}
std::uint64_t maxValueOf(TaskState) {
  return static_cast<std::uint64_t>(TaskState::Unknown);
}
std::uint64_t maxValueOf(RunEnding) {
  return static_cast<std::uint64_t>(RunEnding::Expired);
}
std::uint64_t maxValueOf(Isolation) {
  return static_cast<std::uint64_t>(Isolation::SameJob);
}
std::uint64_t maxValueOf(Role) {
  return static_cast<std::uint64_t>(Role::Agent);
}

std::uint64_t readUnsigned(const Json &J, std::uint64_t Max) {
  if (!J.is_number_unsigned())
    throw DecodeError("expected an unsigned number");
  const auto V = J.get<std::uint64_t>();
  if (V > Max)
    throw DecodeError("number out of range");
  return V;
}

template <typename T> void decode(Json &J, T &Out) {
  if constexpr (std::is_same_v<T, std::string>) {
    if (!J.is_binary())
      throw DecodeError("expected a byte string");
    const auto &Bytes = J.get_binary();
    Out.assign(Bytes.begin(), Bytes.end());
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!J.is_boolean())
      throw DecodeError("expected a boolean");
    Out = J.get<bool>();
  } else if constexpr (std::is_unsigned_v<T>) {
    Out = static_cast<T>(readUnsigned(J, std::numeric_limits<T>::max()));
  } else if constexpr (std::is_enum_v<T>) {
    Out = static_cast<T>(readUnsigned(J, maxValueOf(T())));
  } else if constexpr (std::is_same_v<T, Duration>) {
    if (!J.is_number_integer())
      throw DecodeError("expected a duration");
    Out = Duration(J.get<std::int64_t>());
  } else if constexpr (IsName<T>::value) {
    std::string Text;
    decode(J, Text);
    Out = T(std::move(Text));
  } else if constexpr (IsNumber<T>::value) {
    using Rep = decltype(Out.value());
    Out = T(static_cast<Rep>(readUnsigned(J, std::numeric_limits<Rep>::max())));
  } else if constexpr (IsOptional<T>::value) {
    if (J.is_null()) {
      Out.reset();
    } else {
      Out.emplace();
      decode(J, *Out);
    }
  } else if constexpr (IsVector<T>::value) {
    if (!J.is_array())
      throw DecodeError("expected a list");
    Out.resize(J.size());
    for (std::size_t I = 0; I < J.size(); ++I)
      decode(J[I], Out[I]);
  } else {
    constexpr auto Fields = fieldsOf<T>();
    if (!J.is_array() || J.size() != std::tuple_size_v<decltype(Fields)>)
      throw DecodeError("wrong number of fields");
    std::size_t I = 0;
    std::apply([&](auto... Field) { (decode(J[I++], Out.*Field), ...); },
               Fields);
  }
}

// Messages whose loss is made up for: the sender repeats them, sends the latest
// state from time to time, or the receiver asks for it.
template <typename T>
constexpr bool MayBeLeftOut =
    std::is_same_v<T, AgentReport> || std::is_same_v<T, EntriesHeard> ||
    std::is_same_v<T, KnownEntries> || std::is_same_v<T, ConfigDigest> ||
    std::is_same_v<T, EndpointReport> || std::is_same_v<T, SlowRuns> ||
    std::is_same_v<T, ConfigText> || std::is_same_v<T, EndpointCrashed> ||
    std::is_same_v<T, EndpointAlive> || std::is_same_v<T, SuspectCleared> ||
    std::is_same_v<T, RouteConfined> || std::is_same_v<T, ZoneCordons>;

template <std::size_t I = 0> bool mayBeLeftOut(std::size_t Type) {
  if constexpr (I < std::variant_size_v<Message>)
    return Type == I ? MayBeLeftOut<std::variant_alternative_t<I, Message>>
                     : mayBeLeftOut<I + 1>(Type);
  else
    return false;
}

template <std::size_t I = 0> Message decodeMessage(std::size_t Type, Json &J) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (Type != I)
      return decodeMessage<I + 1>(Type, J);
    std::variant_alternative_t<I, Message> M;
    decode(J, M);
    return M;
  } else {
    throw DecodeError("unknown message type");
  }
}

Json encodeMessage(const Message &M) {
  Json Body = std::visit([](const auto &Body) { return encode(Body); }, M);
  return Json::array({M.index(), std::move(Body)});
}

// Deepest nesting of a frame, and most items of one.
constexpr std::size_t MaxFrameDepth = 16;
constexpr std::size_t MaxFrameItems = 2'000'000;

// Checks the structure of a frame without recursion. The library's parser calls
// itself for each array in an array, and its documents take many times the
// memory of the text. Maps, tags and items of indefinite length do not occur in
// frames.
bool hasFrameStructure(const std::string &Bytes) {
  std::vector<std::uint64_t> Open; // Items left in each array.
  std::size_t Items = 0;
  std::size_t Position = 0;
  do {
    if (Position >= Bytes.size() || ++Items > MaxFrameItems)
      return false;
    const auto Initial = static_cast<unsigned char>(Bytes[Position++]);
    const unsigned Type = Initial >> 5;
    const unsigned Short = Initial & 31;
    constexpr unsigned FirstLong = 24;
    constexpr unsigned LastLong = 27;
    if (Short > LastLong)
      return false;
    const std::size_t Length =
        Short < FirstLong ? 0 : std::size_t(1) << (Short - FirstLong);
    if (Length > Bytes.size() - Position)
      return false;
    std::uint64_t Value = Short;
    if (Length > 0)
      Value = 0;
    for (std::size_t I = 0; I < Length; ++I)
      Value = Value << 8 | static_cast<unsigned char>(Bytes[Position++]);
    if (!Open.empty())
      --Open.back();
    switch (Type) {
    case 2: // Byte string.
    case 3: // Text.
      if (Value > Bytes.size() - Position)
        return false;
      Position += Value;
      break;
    case 4: // Array.
      if (Value > Bytes.size() - Position || Open.size() >= MaxFrameDepth)
        return false;
      Open.push_back(Value);
      break;
    case 5: // Map.
    case 6: // Tag.
      return false;
    default: // Numbers and simple values.
      break;
    }
    while (!Open.empty() && Open.back() == 0)
      Open.pop_back();
  } while (!Open.empty());
  return Position == Bytes.size();
}

Batch decodeBatch(Json &J) {
  if (J.size() != 4 || !J[3].is_array())
    throw DecodeError("wrong number of fields");
  Batch B;
  decode(J[1], B.First_);
  decode(J[2], B.Acknowledged_);
  for (Json &Item : J[3]) {
    if (!Item.is_array() || Item.size() != 2)
      throw DecodeError("expected a message");
    const auto Type = readUnsigned(Item[0], std::variant_size_v<Message>);
    try {
      B.Messages_.push_back(decodeMessage(Type, Item[1]));
    } catch (const DecodeError &) {
      if (!mayBeLeftOut(Type))
        throw;
      B.Unreadable_.insert(B.Messages_.size());
      B.Messages_.emplace_back();
    }
  }
  return B;
}

Frame decodeFrameBody(Json &J) {
  if (!J.is_array() || J.size() < 2)
    throw DecodeError("expected a frame");
  switch (readUnsigned(J[0], 2)) {
  case 0: {
    Hello H;
    decode(J[1], H);
    return H;
  }
  case 1: {
    Heartbeat H;
    decode(J[1], H);
    return H;
  }
  default:
    return decodeBatch(J);
  }
}

} // namespace

const char *rejectReasonName(RejectReason R) {
  static constexpr const char *Names[] = {"no_room",    "leaving",  "closed",
                                          "not_owner",  "deadline", "cancelled",
                                          "no_endpoint"};
  return Names[static_cast<std::size_t>(R)];
}

const char *runEndingName(RunEnding E) {
  static constexpr const char *Names[] = {
      "done", "failed", "stopped", "lost", "no_room", "unavailable", "expired"};
  return Names[static_cast<std::size_t>(E)];
}

const char *isolationName(Isolation I) {
  static constexpr const char *Names[] = {"any", "same_route", "same_job"};
  return Names[static_cast<std::size_t>(I)];
}

const char *messageName(const Message &M) {
  static constexpr const char *Names[] = {
      "AnnounceEndpoint",   "StartTasks",      "TasksRejected",
      "TaskFinished",       "CancelTasks",     "JobEnded",
      "AgentReport",        "Demand",          "CloseIncarnation",
      "IncarnationClosed",  "TransferGrant",   "YouAreClosed",
      "EntriesHeard",       "AgentAnnounced",  "AgentAnnouncedAck",
      "KnownEntries",       "RelaySubmit",     "RelayAnswer",
      "RelayCancel",        "ConfigDigest",    "ConfigRequest",
      "ConfigState",        "UsageSummary",    "EpochsExpired",
      "AgentsSynchronized", "ConfigDelta",     "WithdrawJobs",
      "JobsWithdrawn",      "StartRuns",       "StopRuns",
      "HoldRuns",           "RunsEnded",       "SlowRuns",
      "EndpointReport",     "ConfigText",      "CancelJob",
      "SetStandby",         "EndpointCrashed", "EndpointAlive",
      "SuspectCleared",     "RouteConfined",   "ZoneCordons"};
  static_assert(std::size(Names) == std::variant_size_v<Message>);
  return Names[M.index()];
}

std::string encodeFrame(const Frame &F) {
  const ArenaScope Scope;
  Json J = Json::array({F.index()});
  if (const auto *B = std::get_if<Batch>(&F)) {
    J.push_back(B->First_);
    J.push_back(B->Acknowledged_);
    Json List = Json::array();
    for (const Message &M : B->Messages_)
      List.push_back(encodeMessage(M));
    J.push_back(std::move(List));
  } else if (const auto *H = std::get_if<Hello>(&F)) {
    J.push_back(encode(*H));
  } else {
    J.push_back(encode(std::get<Heartbeat>(F)));
  }
  std::string Bytes;
  Json::to_cbor(J, Bytes);
  return Bytes;
}

// The library reports parse errors as exceptions. They are caught here and
// returned as errors, so that a malformed frame cannot terminate the process.
Result<Frame> decodeFrame(const std::string &Bytes, std::size_t MaxBytes) {
  const auto Failed = [](const std::string &Detail) {
    return Error{"bad_frame", "decode frame", "", Detail};
  };
  if (Bytes.size() > MaxBytes)
    return Failed("frame of " + std::to_string(Bytes.size()) +
                  " bytes exceeds the limit of " + std::to_string(MaxBytes));
  if (!hasFrameStructure(Bytes))
    return Failed("not the structure of a frame");
  const ArenaScope Scope;
  try {
    Json J = Json::from_cbor(Bytes);
    return decodeFrameBody(J);
  } catch (const Json::exception &E) {
    return Failed(E.what());
  } catch (const DecodeError &E) {
    return Failed(E.what());
  }
}

} // namespace chivelanding
