#ifndef CHIVELANDING_DIGEST_H
#define CHIVELANDING_DIGEST_H

#include <cstdint>
#include <string>

namespace chivelanding {

/// SHA-256 of Text as 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &Text);

/// The first 64 bits of the SHA-256 of Text.
std::uint64_t shortDigest(const std::string &Text);

/// True if both texts are equal. The time depends on the lengths only, not on
/// the position of the first difference.
bool equalInConstantTime(const std::string &A, const std::string &B);

} // namespace chivelanding

#endif
