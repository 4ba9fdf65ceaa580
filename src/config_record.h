#ifndef CHIVELANDING_CONFIG_RECORD_H
#define CHIVELANDING_CONFIG_RECORD_H

#include "result.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace chivelanding {

/// A proposed change: the whole set that is to replace version Base_.
struct ChangeRecord {
  /// Unique among all changes; the same in every attempt to append this one.
  std::string Id_;
  ConfigVersion Base_;
  std::string Author_;
  std::string Reason_;
  std::string Toml_;
  /// Version of the validation rules that the publisher applied.
  std::uint32_t Rules_ = 0;
  /// When the change was published, by the publisher's clock, in milliseconds
  /// since 1970; 0 if the record does not say.
  std::int64_t UnixMs_ = 0;
};

/// The state after every record before the offset AsOf_.
struct SnapshotRecord {
  ConfigVersion Version_;
  std::uint64_t AsOf_ = 0;
  /// Name of the process that wrote the snapshot.
  std::string Writer_;
  std::string Toml_;
  std::uint32_t Rules_ = 0;
};

using ConfigRecord = std::variant<ChangeRecord, SnapshotRecord>;

/// Encodes a record for the log: a line with a magic prefix, the format number
/// and the SHA-256 of the rest, then a JSON object.
std::string encodeRecord(const ConfigRecord &Record);

/// Error codes: foreign (no magic prefix), corrupt (wrong checksum, truncated,
/// missing fields, or longer than 8 MiB).
Result<ConfigRecord> decodeRecord(const std::string &Data);

/// Generates the id of a change: 128 random bits from OpenSSL, in hexadecimal.
std::string newChangeId();

} // namespace chivelanding

#endif
