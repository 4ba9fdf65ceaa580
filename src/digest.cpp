#include "digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace chivelanding {

std::string sha256Hex(const std::string &Text) {
  unsigned char Sum[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Sum);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(2 * sizeof Sum);
  for (const unsigned char Byte : Sum) {
    Hex += Digits[Byte >> 4];
    Hex += Digits[Byte & 15];
  }
  return Hex;
}

std::uint64_t shortDigest(const std::string &Text) {
  unsigned char Sum[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Sum);
  std::uint64_t Value = 0;
  for (int I = 0; I < 8; ++I)
    Value = Value << 8 | Sum[I];
  return Value;
}

bool equalInConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace chivelanding
