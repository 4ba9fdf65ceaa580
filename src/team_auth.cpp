#include "team_auth.h"
#include "bearer.h"

#include <algorithm>

namespace chivelanding {

namespace {

constexpr std::size_t MaxTeamBytes = 256;

bool hasTokens(const ConfigSet &Set) {
  const auto Teams = Set.all(ObjectType::Team);
  return std::any_of(Teams.begin(), Teams.end(), [](const auto *Team) {
    return !Team->text("token_sha256").empty();
  });
}

} // namespace

// The refusal is the same for a missing, an unknown and another team's token,
// and whether or not the named team exists.
Result<TeamName> authorizeTeam(const ConfigSet &Set,
                               const HttpRequest &Request) {
  const std::string Named(Request.header("Chivelanding-Team"));
  if (!hasTokens(Set)) {
    if (Named.empty() || Named.size() > MaxTeamBytes)
      return Error{"team_required", "read request", "",
                   "header Chivelanding-Team is missing or too long"};
    return TeamName(Named);
  }
  const ConfigObject *Team = findByToken(Set, ObjectType::Team, Request);
  if (!Team || (!Named.empty() && Named != Team->Name_))
    return Error{"unauthorized", "read request", "",
                 "a valid bearer token of the team is required"};
  return TeamName(Team->Name_);
}

} // namespace chivelanding
