#ifndef CHIVELANDING_TEAM_AUTH_H
#define CHIVELANDING_TEAM_AUTH_H

#include "config_objects.h"
#include "http.h"
#include "result.h"
#include "types.h"

namespace chivelanding {

/// Returns the team for which a caller's request acts. The id of a job contains
/// its team, so a request can reach only the jobs of this team. If no team has
/// a token, the team is the one named by the header Chivelanding-Team;
/// otherwise it is the team of the bearer token. Error codes: unauthorized,
/// team_required.
Result<TeamName> authorizeTeam(const ConfigSet &Set,
                               const HttpRequest &Request);

} // namespace chivelanding

#endif
