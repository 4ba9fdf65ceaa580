#include "types.h"

#include <cinttypes>
#include <cstdio>

namespace chivelanding {

std::string toHex(std::uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%" PRIx64, Value);
  return Text;
}

} // namespace chivelanding
