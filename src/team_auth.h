#ifndef CHIVELANDING_TEAM_AUTH_H
#define CHIVELANDING_TEAM_AUTH_H

#include "config_objects.h"
#include "http.h"
#include "result.h"
#include "types.h"

namespace chivelanding {

/// The team on whose behalf a caller's request acts. Jobs are identified by
/// their team, so a request reaches only the jobs of this team. While no team
/// has a token, the team is the one named by Chivelanding-Team; afterwards it
/// is that of the bearer token. Error codes: unauthorized, team_required.
Result<TeamName> authorizeTeam(const ConfigSet &Set,
                               const HttpRequest &Request);

} // namespace chivelanding

#endif
