#include "bearer.h"
#include "digest.h"

namespace chivelanding {

namespace {

constexpr std::string_view Scheme = "Bearer ";

} // namespace

const ConfigObject *findByToken(const ConfigSet &Set, ObjectType Type,
                                const HttpRequest &Request) {
  const std::string_view Header = Request.header("Authorization");
  if (Header.size() <= Scheme.size() ||
      Header.substr(0, Scheme.size()) != Scheme)
    return nullptr;
  const std::string Digest =
      sha256Hex(std::string(Header.substr(Scheme.size())));
  // The loop does not stop at a match, for a constant response time.
  const ConfigObject *Found = nullptr;
  for (const ConfigObject *Object : Set.all(Type))
    if (equalInConstantTime(Object->text("token_sha256"), Digest))
      Found = Object;
  return Found;
}

} // namespace chivelanding
