#include "bench.h"

#include <malloc.h>

#include <cstdio>

namespace chivelanding {

void printMetric(const std::string &Name, double Value, const char *Unit,
                 Target Bound) {
  if (Bound.Kind_ == Target::Kind::None) {
    std::printf("%s %.6g %s - -\n", Name.c_str(), Value, Unit);
    return;
  }
  const bool AtMost = Bound.Kind_ == Target::Kind::AtMost;
  const bool Met = AtMost ? Value <= Bound.Bound_ : Value >= Bound.Bound_;
  std::printf("%s %.6g %s %s%.6g %s\n", Name.c_str(), Value, Unit,
              AtMost ? "<=" : ">=", Bound.Bound_, Met ? "ok" : "red");
}

// 64-bit FNV-1a, byte by byte, so that the signature does not depend on the
// machine's byte order.
void Signature::add(std::uint64_t Value) {
  for (int Shift = 0; Shift < 64; Shift += 8) {
    Hash_ ^= (Value >> Shift) & 0xff;
    Hash_ *= 0x100000001b3ULL;
  }
}

void Signature::add(const std::string &Text) {
  add(Text.size());
  for (const char C : Text) {
    Hash_ ^= static_cast<unsigned char>(C);
    Hash_ *= 0x100000001b3ULL;
  }
}

std::uint64_t allocatedBytes() { return mallinfo2().uordblks; }

} // namespace chivelanding
