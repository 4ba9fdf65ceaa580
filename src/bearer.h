#ifndef CHIVELANDING_BEARER_H
#define CHIVELANDING_BEARER_H

#include "config_objects.h"
#include "http.h"

namespace chivelanding {

/// The team or operator whose token_sha256 is that of the request's bearer
/// token; null if there is none. Every object of the type is compared in
/// constant time, so that the time does not tell which one matched.
const ConfigObject *findByToken(const ConfigSet &Set, ObjectType Type,
                                const HttpRequest &Request);

} // namespace chivelanding

#endif
