#ifndef CHIVELANDING_CORDON_RECORDS_H
#define CHIVELANDING_CORDON_RECORDS_H

#include "dispatch_ports.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace chivelanding {

/// Derives the set of cordoned zones from the records of the operators' stream.
/// A zone is cordoned while the newest record of its key has a value. The
/// revision of a set is the offset up to which the stream was read. Performs no
/// I/O.
class CordonRecords {
public:
  /// The key of a zone's record is KeyPrefix and the name of the zone.
  explicit CordonRecords(std::string KeyPrefix);

  /// The newest record of each key. A key that is missing was removed.
  ZoneCordons onNewest(const StoreRecords &Answer);
  /// Later records, in order, from the offset at which the last answer ended;
  /// others may follow. Returns nothing if the set and its revision are
  /// unchanged.
  std::optional<ZoneCordons> onFollowed(const StoreRecords &Answer);

private:
  bool apply(const StoreRecord &Record);
  ZoneCordons current() const;

  std::string KeyPrefix_;
  std::uint64_t Revision_ = 0;
  std::set<ZoneName> Zones_;
};

} // namespace chivelanding

#endif
