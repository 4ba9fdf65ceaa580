#ifndef CHIVELANDING_JSON_TEXT_H
#define CHIVELANDING_JSON_TEXT_H

#include "skipped_items.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace chivelanding {

/// Bounds of JSON text that another process has written. Without them a text of
/// a megabyte can take a hundred times as much memory, and a document that is
/// nested deeply enough ends the process when it is written again.
struct JsonLimits {
  std::size_t MaxDepth_ = 64;
  /// Arrays and objects.
  std::size_t MaxContainers_ = 100'000;
};

bool exceedsLimits(std::string_view Text, const JsonLimits &Limits);

/// Returns the document, or a value of type discarded if Text is not JSON or
/// exceeds the limits.
nlohmann::json parseJson(const std::string &Text,
                         const JsonLimits &Limits = {});

/// The same for lists whose items come from several writers: a value that makes
/// the text unreadable or exceeds the limits is replaced by an object, and
/// bytes of a string that are not UTF-8 by question marks, so that only the
/// item suffers that contains them. Returns a discarded value if the text as a
/// whole is not JSON.
nlohmann::json parseJsonItems(const std::string &Text,
                              const JsonLimits &Limits = {});

/// The text with these replacements.
std::string repairJson(std::string_view Text, const JsonLimits &Limits);

} // namespace chivelanding

#endif
