#ifndef CHIVELANDING_STANDIN_H
#define CHIVELANDING_STANDIN_H

#include "cli.h"

namespace chivelanding {

/// Runs a stand-in for an endpoint: announces itself to its agent, runs tasks
/// for the time given in their payload and counts the starts of each task.
int runEndpointStandin(const Arguments &Args);

/// Runs a load driver: sends jobs to an entry, or calls an endpoint directly,
/// and prints counts and response times as one JSON object.
int runLoad(const Arguments &Args);

/// Runs a stand-in for the platform's log, kept in memory, with faults that are
/// injected over HTTP.
int runLogStandin(const Arguments &Args);

} // namespace chivelanding

#endif
