#ifndef CHIVELANDING_SKIPPED_ITEMS_H
#define CHIVELANDING_SKIPPED_ITEMS_H

#include "events.h"
#include "types.h"

#include <cstddef>
#include <optional>
#include <string>

namespace chivelanding {

/// Malformed items that a reader has left out of a list, or fields that it has
/// not used as they were sent. The other items hold.
struct SkippedItems {
  std::size_t Count_ = 0;
  /// Description of the first one.
  std::string First_;

  void add(std::string Detail);
  void add(const SkippedItems &Others);
};

/// Decides when malformed items are logged that are read again and again: each
/// change at once, the same items every 10 s.
class SkippedItemLog {
public:
  /// Source names the list for the log and must outlive this object.
  explicit SkippedItemLog(const char *Source) : Source_(Source) {}
  /// Returns the event to log after the list was read.
  std::optional<Event> onRead(const SkippedItems &Skipped, Time Now);

private:
  const char *Source_;
  SkippedItems Last_;
  Time LoggedAt_;
};

} // namespace chivelanding

#endif
