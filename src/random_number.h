#ifndef CHIVELANDING_RANDOM_NUMBER_H
#define CHIVELANDING_RANDOM_NUMBER_H

#include <cstdint>

namespace chivelanding {

/// 64 random bits from the operating system, for incarnations, ids and seeds.
/// Decision code draws from generators that are seeded with such a number.
std::uint64_t drawRandomNumber();

} // namespace chivelanding

#endif
