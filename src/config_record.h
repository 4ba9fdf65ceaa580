#ifndef CHIVELANDING_CONFIG_RECORD_H
#define CHIVELANDING_CONFIG_RECORD_H

#include "result.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace chivelanding {

/// A proposed change: the whole set that is to follow version Base_.
struct ChangeRecord {
  /// Unique over all changes; the same in every attempt to append this one.
  std::string Id_;
  ConfigVersion Base_;
  std::string Author_;
  std::string Reason_;
  std::string Toml_;
  /// Version of the check rules that the publisher applied.
  std::uint32_t Rules_ = 0;
};

/// The state that a reader had when it had read every record before AsOf_.
struct SnapshotRecord {
  ConfigVersion Version_;
  std::uint64_t AsOf_ = 0;
  /// Name of the process that wrote it.
  std::string Writer_;
  std::string Toml_;
  std::uint32_t Rules_ = 0;
};

using ConfigRecord = std::variant<ChangeRecord, SnapshotRecord>;

/// Bytes of a record in the log: one line with a mark, the format's number and
/// a SHA-256 of the rest, then a JSON object.
std::string encodeRecord(const ConfigRecord &Record);

/// Error codes: foreign (no mark), corrupt (wrong checksum, cut off, missing
/// fields, or longer than 8 MiB).
Result<ConfigRecord> decodeRecord(const std::string &Data);

/// A new id for a change: 128 random bits from OpenSSL, in hexadecimal.
std::string newChangeId();

} // namespace chivelanding

#endif
