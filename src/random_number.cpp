#include "random_number.h"

#include <random>

namespace chivelanding {

std::uint64_t drawRandomNumber() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

} // namespace chivelanding
