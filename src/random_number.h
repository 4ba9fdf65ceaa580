#ifndef CHIVELANDING_RANDOM_NUMBER_H
#define CHIVELANDING_RANDOM_NUMBER_H

#include <cstdint>

namespace chivelanding {

/// 64 bits from the system, for incarnations, ids and seeds. Decisions draw
/// from generators that get such a number as their seed.
std::uint64_t drawRandomNumber();

} // namespace chivelanding

#endif
