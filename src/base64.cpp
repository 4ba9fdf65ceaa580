#include "base64.h"

#include <openssl/evp.h>

namespace chivelanding {

std::string encodeBase64(const std::string &Data) {
  // EVP_EncodeBlock also writes a terminating zero.
  std::string Text(4 * ((Data.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Data.data()),
                      static_cast<int>(Data.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

// EVP_DecodeBlock includes the padding in the length, so it is subtracted here.
std::optional<std::string> decodeBase64(const std::string &Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  if (Text.empty())
    return std::string();
  std::string Data(Text.size() / 4 * 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Data.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  const std::size_t Padding =
      Text[Text.size() - 1] != '=' ? 0 : (Text[Text.size() - 2] == '=' ? 2 : 1);
  Data.resize(static_cast<std::size_t>(Length) - Padding);
  return Data;
}

} // namespace chivelanding
