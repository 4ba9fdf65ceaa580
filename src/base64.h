#ifndef CHIVELANDING_BASE64_H
#define CHIVELANDING_BASE64_H

#include <optional>
#include <string>

namespace chivelanding {

/// Base64 with padding, without line breaks.
std::string encodeBase64(const std::string &Data);
/// Returns std::nullopt if Text is not base64 with padding.
std::optional<std::string> decodeBase64(const std::string &Text);

} // namespace chivelanding

#endif
