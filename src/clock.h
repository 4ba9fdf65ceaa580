#ifndef CHIVELANDING_CLOCK_H
#define CHIVELANDING_CLOCK_H

#include "types.h"

namespace chivelanding {

/// Present time on the process's monotonic time line. Only the process's event
/// handlers call this; decisions get the value as an argument.
Time steadyNow();

} // namespace chivelanding

#endif
