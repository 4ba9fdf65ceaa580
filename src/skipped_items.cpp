#include "skipped_items.h"

namespace chivelanding {
namespace {

constexpr Duration RepeatPeriod = std::chrono::seconds(10);
// Longest description in the log; it may contain text of the item.
constexpr std::size_t MaxDetailBytes = 120;

} // namespace

void SkippedItems::add(std::string Detail) {
  if (Count_++ == 0) {
    First_ = std::move(Detail);
    First_.resize(std::min(First_.size(), MaxDetailBytes));
  }
}

void SkippedItems::add(const SkippedItems &Others) {
  if (Count_ == 0)
    First_ = Others.First_;
  Count_ += Others.Count_;
}

std::optional<Event> SkippedItemLog::onRead(const SkippedItems &Skipped,
                                            Time Now) {
  const bool Same =
      Skipped.Count_ == Last_.Count_ && Skipped.First_ == Last_.First_;
  if (Skipped.Count_ == 0 || (Same && Now < LoggedAt_ + RepeatPeriod)) {
    if (Skipped.Count_ == 0)
      Last_ = {};
    return std::nullopt;
  }
  Last_ = Skipped;
  LoggedAt_ = Now;
  return Event{&events::ItemsSkipped,
               {{"source", Source_},
                {"items", std::to_string(Skipped.Count_)},
                {"first", Skipped.First_}}};
}

} // namespace chivelanding
