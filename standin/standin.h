#ifndef CHIVELANDING_STANDIN_H
#define CHIVELANDING_STANDIN_H

#include "cli.h"

namespace chivelanding {

/// The platform's log, in memory, with faults that are switched over HTTP.
int runLogStandin(const Arguments &Args);

} // namespace chivelanding

#endif
