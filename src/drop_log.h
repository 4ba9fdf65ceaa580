#ifndef CHIVELANDING_DROP_LOG_H
#define CHIVELANDING_DROP_LOG_H

#include "http_server.h"
#include "log.h"
#include "metrics.h"

#include <string>

namespace chivelanding {

/// Returns a handler that logs and counts what the listener of this name drops.
/// Log and Counters must outlive the listener.
DropHandler makeDropHandler(std::string Listener, EventLog &Log,
                            Metrics &Counters);

} // namespace chivelanding

#endif
