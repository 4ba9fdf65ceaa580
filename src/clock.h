#ifndef CHIVELANDING_CLOCK_H
#define CHIVELANDING_CLOCK_H

#include "types.h"

#include <cstdint>

namespace chivelanding {

/// Current time on the process's monotonic time line, which goes on while the
/// VM is suspended. Only event handlers call this; decision code receives the
/// value as an argument.
Time steadyNow();

/// Current time of the wall clock in milliseconds since 1970, for display only.
std::int64_t unixMs();

/// Total time for which the VM has been suspended since its start.
Duration suspendedTime();

} // namespace chivelanding

#endif
