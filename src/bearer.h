#ifndef CHIVELANDING_BEARER_H
#define CHIVELANDING_BEARER_H

#include "config_objects.h"
#include "http.h"

namespace chivelanding {

/// Returns the team or operator whose token_sha256 matches the request's bearer
/// token (the last one if several match), or null. Compares with every object
/// of the type in constant time, so that the response time does not reveal
/// which one matched.
const ConfigObject *findByToken(const ConfigSet &Set, ObjectType Type,
                                const HttpRequest &Request);

} // namespace chivelanding

#endif
