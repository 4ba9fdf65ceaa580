#include "cordon_table.h"

#include <algorithm>

namespace chivelanding {

// Sets may arrive in any order and from stale peers. Only a higher revision is
// adopted, so that no message can undo a later request of an operator.
bool CordonTable::adopt(const ZoneCordons &C) {
  if (C.Revision_ <= Current_.Revision_)
    return false;
  Current_ = C;
  auto &Zones = Current_.Zones_;
  std::sort(Zones.begin(), Zones.end());
  Zones.erase(std::unique(Zones.begin(), Zones.end()), Zones.end());
  return true;
}

bool CordonTable::isCordoned(const ZoneName &Z) const {
  return std::binary_search(Current_.Zones_.begin(), Current_.Zones_.end(), Z);
}

} // namespace chivelanding
