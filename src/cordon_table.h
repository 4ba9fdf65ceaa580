#ifndef CHIVELANDING_CORDON_TABLE_H
#define CHIVELANDING_CORDON_TABLE_H

#include "run_message.h"

namespace chivelanding {

/// The zones in which no run may start, as far as this process knows. Performs
/// no I/O.
class CordonTable {
public:
  /// Adopts a set with a higher revision. Returns true if the set was adopted.
  bool adopt(const ZoneCordons &C);
  /// False until the first set is adopted.
  bool known() const { return Current_.Revision_ > 0; }
  bool isCordoned(const ZoneName &Z) const;
  /// The zones are sorted and without duplicates.
  const ZoneCordons &current() const { return Current_; }

private:
  ZoneCordons Current_;
};

} // namespace chivelanding

#endif
