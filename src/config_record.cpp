#include "config_record.h"
#include "digest.h"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <limits>

namespace chivelanding {

namespace {

using Json = nlohmann::json;

constexpr char MagicPrefix[] = "chivelanding-config 1 ";
constexpr std::size_t MagicPrefixLength = sizeof MagicPrefix - 1;
constexpr std::size_t ChecksumLength = 64;
// Ten times the largest set expected with 250 teams.
constexpr std::size_t MaxRecordBytes = 8u << 20;

Json bodyToJson(const ChangeRecord &C) {
  return {{"record", "change"},      {"id", C.Id_},
          {"base", C.Base_.value()}, {"author", C.Author_},
          {"reason", C.Reason_},     {"toml", C.Toml_},
          {"rules", C.Rules_},       {"time_ms", C.UnixMs_}};
}

Json bodyToJson(const SnapshotRecord &S) {
  return {{"record", "snapshot"}, {"version", S.Version_.value()},
          {"as_of", S.AsOf_},     {"writer", S.Writer_},
          {"toml", S.Toml_},      {"rules", S.Rules_}};
}

std::uint64_t readUnsigned(const Json &Body, const char *Key) {
  const Json &Field = Body.at(Key);
  if (!Field.is_number_unsigned())
    throw std::invalid_argument(std::string(Key) +
                                " is not an unsigned number");
  return Field.get<std::uint64_t>();
}

ConfigRecord parseBody(const Json &Body) {
  const std::uint64_t RulesRead = readUnsigned(Body, "rules");
  if (RulesRead > std::numeric_limits<std::uint32_t>::max())
    throw std::invalid_argument("rules is out of range");
  const auto Rules = static_cast<std::uint32_t>(RulesRead);
  if (Body.at("record") == "change") {
    ChangeRecord C;
    C.Id_ = Body.at("id").get<std::string>();
    C.Base_ = ConfigVersion(readUnsigned(Body, "base"));
    C.Author_ = Body.at("author").get<std::string>();
    C.Reason_ = Body.at("reason").get<std::string>();
    C.Toml_ = Body.at("toml").get<std::string>();
    C.Rules_ = Rules;
    const auto Time = Body.find("time_ms");
    if (Time != Body.end() && Time->is_number_integer())
      C.UnixMs_ = Time->get<std::int64_t>();
    return C;
  }
  if (Body.at("record") != "snapshot")
    throw std::invalid_argument("unknown record type");
  SnapshotRecord S;
  S.Version_ = ConfigVersion(readUnsigned(Body, "version"));
  S.AsOf_ = readUnsigned(Body, "as_of");
  S.Writer_ = Body.at("writer").get<std::string>();
  S.Toml_ = Body.at("toml").get<std::string>();
  S.Rules_ = Rules;
  return S;
}

} // namespace

// Invalid UTF-8 is replaced instead of raising an exception, because authors
// and reasons come from the command line.
std::string encodeRecord(const ConfigRecord &Record) {
  const Json Body =
      std::visit([](const auto &Fields) { return bodyToJson(Fields); }, Record);
  const std::string Text =
      Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return MagicPrefix + sha256Hex(Text) + "\n" + Text;
}

// The checksum covers every field, so that all readers treat a damaged record
// alike.
Result<ConfigRecord> decodeRecord(const std::string &Data) {
  const auto Corrupt = [](const std::string &Detail) {
    return Error{"corrupt", "decode record", "", Detail};
  };
  if (Data.compare(0, MagicPrefixLength, MagicPrefix) != 0)
    return Error{"foreign", "decode record", "", "the magic prefix is missing"};
  if (Data.size() > MaxRecordBytes)
    return Corrupt("longer than 8 MiB");
  const std::size_t BodyOffset = MagicPrefixLength + ChecksumLength + 1;
  if (Data.size() <= BodyOffset || Data[BodyOffset - 1] != '\n')
    return Corrupt("truncated record");
  const std::string Text = Data.substr(BodyOffset);
  if (Data.compare(MagicPrefixLength, ChecksumLength, sha256Hex(Text)) != 0)
    return Corrupt("checksum mismatch");
  try {
    return parseBody(Json::parse(Text));
  } catch (const std::exception &E) {
    return Corrupt(E.what());
  }
}

std::string newChangeId() {
  unsigned char Bytes[16];
  if (RAND_bytes(Bytes, sizeof Bytes) != 1)
    return {};
  std::string Text;
  for (const unsigned char Byte : Bytes) {
    const std::string Hex = toHex(Byte);
    Text += Hex.size() == 1 ? "0" + Hex : Hex;
  }
  return Text;
}

} // namespace chivelanding
