#include "team_auth.h"
#include "bearer.h"

#include <algorithm>

namespace chivelanding {

namespace {

constexpr std::size_t MaxTeamNameBytes = 256;

bool anyTeamHasToken(const ConfigSet &Set) {
  const auto Teams = Set.all(ObjectType::Team);
  return std::any_of(Teams.begin(), Teams.end(), [](const auto *Team) {
    return !Team->text("token_sha256").empty();
  });
}

} // namespace

// The refusal is the same for a missing token, an unknown token and the token
// of another team, and whether or not the named team exists, so that it does
// not reveal which teams exist.
Result<TeamName> authorizeTeam(const ConfigSet &Set,
                               const HttpRequest &Request) {
  const std::string NamedTeam(Request.header("Chivelanding-Team"));
  if (!anyTeamHasToken(Set)) {
    if (NamedTeam.empty() || NamedTeam.size() > MaxTeamNameBytes)
      return Error{"team_required", "read request", "",
                   "header Chivelanding-Team is missing or too long"};
    return TeamName(NamedTeam);
  }
  const ConfigObject *Team = findByToken(Set, ObjectType::Team, Request);
  if (!Team || (!NamedTeam.empty() && NamedTeam != Team->Name_))
    return Error{"unauthorized", "read request", "",
                 "a valid bearer token of the team is required"};
  return TeamName(Team->Name_);
}

} // namespace chivelanding
