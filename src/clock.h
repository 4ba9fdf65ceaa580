#ifndef CHIVELANDING_CLOCK_H
#define CHIVELANDING_CLOCK_H

#include "types.h"

namespace chivelanding {

/// Current time on the process's monotonic time line. Only event handlers call
/// this; decision code receives the value as an argument.
Time steadyNow();

} // namespace chivelanding

#endif
