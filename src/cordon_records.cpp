#include "cordon_records.h"

namespace chivelanding {

CordonRecords::CordonRecords(std::string KeyPrefix)
    : KeyPrefix_(std::move(KeyPrefix)) {}

// The former set is discarded: a record that removed a key may be gone from the
// store by now, so that the removal shows only as a missing key.
ZoneCordons CordonRecords::onNewest(const StoreRecords &Answer) {
  Zones_.clear();
  for (const StoreRecord &Record : Answer.Records_)
    apply(Record);
  Revision_ = Answer.Next_;
  return current();
}

// Revision 0 means unknown, so a stream that was empty when it was read first
// yields a set with its first records, whatever their keys are. Otherwise an
// entry that starts before the first configuration is written would never
// become ready.
std::optional<ZoneCordons>
CordonRecords::onFollowed(const StoreRecords &Answer) {
  bool Concerned = Revision_ == 0 && Answer.Next_ > 0;
  for (const StoreRecord &Record : Answer.Records_)
    Concerned = apply(Record) || Concerned;
  if (!Concerned)
    return std::nullopt;
  Revision_ = Answer.Next_;
  return current();
}

// Any value counts, also a malformed one: a request that is ignored would put
// runs into a zone that an operator wants to be empty. Returns true if the
// record concerns a zone.
bool CordonRecords::apply(const StoreRecord &Record) {
  if (Record.Key_.size() <= KeyPrefix_.size() ||
      Record.Key_.compare(0, KeyPrefix_.size(), KeyPrefix_) != 0)
    return false;
  const ZoneName Zone(Record.Key_.substr(KeyPrefix_.size()));
  if (Record.Value_.empty())
    Zones_.erase(Zone);
  else
    Zones_.insert(Zone);
  return true;
}

ZoneCordons CordonRecords::current() const {
  return {Revision_, {Zones_.begin(), Zones_.end()}};
}

} // namespace chivelanding
