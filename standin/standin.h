#ifndef CHIVELANDING_STANDIN_H
#define CHIVELANDING_STANDIN_H

#include "cli.h"

namespace chivelanding {

/// An endpoint: announces itself to its agent, runs tasks for the time named in
/// their payload and counts the starts of each task.
int runEndpointStandin(const Arguments &Args);

/// A load driver: sends jobs to an entry, or calls an endpoint directly, and
/// prints counts and response times as one JSON object.
int runLoad(const Arguments &Args);

/// The platform's log, in memory, with faults that are switched over HTTP.
int runLogStandin(const Arguments &Args);

} // namespace chivelanding

#endif
