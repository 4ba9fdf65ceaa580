#ifndef CHIVELANDING_CORDON_SET_H
#define CHIVELANDING_CORDON_SET_H

#include "run_message.h"

#include <set>

namespace chivelanding {

/// The cordoned zones as of the highest revision that was received. Performs
/// no I/O.
class CordonSet {
public:
  /// Adopts a set of a higher revision; true if it was adopted. Sets arrive
  /// from several processes and in any order.
  bool adopt(const ZoneCordons &C) {
    if (C.Revision_ <= Revision_)
      return false;
    Revision_ = C.Revision_;
    Zones_ = {C.Zones_.begin(), C.Zones_.end()};
    return true;
  }
  /// Zero if no set is known.
  std::uint64_t revision() const { return Revision_; }
  bool contains(const ZoneName &Zone) const { return Zones_.count(Zone) > 0; }

private:
  std::uint64_t Revision_ = 0;
  std::set<ZoneName> Zones_;
};

} // namespace chivelanding

#endif
