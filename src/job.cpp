#include "job.h"

#include <charconv>

namespace chivelanding {

std::string OwnerToken::str() const {
  return Owner_.Name_ + "." + toHex(Owner_.Incarnation_.value()) + "." +
         std::to_string(Epoch_.value());
}

// Splits from the right, because an entry name may itself contain dots.
Result<OwnerToken> OwnerToken::parse(const std::string &Text) {
  const Error Bad{"bad_token", "parse owner token", "",
                  "expected NAME.INCARNATION.EPOCH as returned by /v1/token"};
  const auto EpochDot = Text.rfind('.');
  if (EpochDot == std::string::npos || EpochDot == 0)
    return Bad;
  const auto NameDot = Text.rfind('.', EpochDot - 1);
  if (NameDot == std::string::npos || NameDot == 0)
    return Bad;
  std::uint64_t Inc = 0;
  std::uint64_t Ep = 0;
  const char *IncBegin = Text.data() + NameDot + 1;
  const char *IncEnd = Text.data() + EpochDot;
  const char *TextEnd = Text.data() + Text.size();
  const auto IncRead = std::from_chars(IncBegin, IncEnd, Inc, 16);
  const auto EpRead = std::from_chars(IncEnd + 1, TextEnd, Ep, 10);
  if (IncRead.ec != std::errc() || IncRead.ptr != IncEnd ||
      EpRead.ec != std::errc() || EpRead.ptr != TextEnd)
    return Bad;
  return OwnerToken{{Text.substr(0, NameDot), Incarnation(Inc)}, Epoch(Ep)};
}

std::string JobId::str() const {
  return Team_.str() + "/" + Token_.str() + "/" + Key_.str();
}

const char *outcomeName(Outcome O) {
  switch (O) {
  case Outcome::Completed:
    return "completed";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::PartlyRun:
    return "partly_run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *taskStateName(TaskState S) {
  switch (S) {
  case TaskState::NotStarted:
    return "not_started";
  case TaskState::Running:
    return "running";
  case TaskState::Finished:
    return "finished";
  case TaskState::Failed:
    return "failed";
  case TaskState::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace chivelanding
