#ifndef CHIVELANDING_ENTRY_LIMITS_H
#define CHIVELANDING_ENTRY_LIMITS_H

#include "http_server.h"
#include "job_owner.h"
#include "settings.h"

namespace chivelanding {

/// Limits of the entry's listeners for callers and for administration.
HttpServerLimits callerLimits(const EntrySettings &S);
HttpServerLimits adminLimits(const EntrySettings &S);
/// Limits of the jobs that the entry owns.
OwnerLimits ownerLimits(const EntrySettings &S);

} // namespace chivelanding

#endif
