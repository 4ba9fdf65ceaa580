#include "job.h"

#include <charconv>
#include <unordered_set>

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

Result<Done> checkSpec(const JobSpec &Spec, std::uint32_t MaxTasks) {
  const auto Bad = [](const char *Code, std::string Detail) {
    return Error{Code, "check submission", "", std::move(Detail)};
  };
  if (Spec.Id_.Key_.empty() || Spec.Service_.empty() || Spec.Kind_.empty())
    return Bad("bad_request", "key, service and kind must not be empty");
  if (Spec.Deadline_ && Spec.Deadline_->count() <= 0)
    return Bad("bad_request", "the deadline must be positive");
  if (Spec.Tasks_.empty())
    return Bad("empty_job", "a job needs at least one task");
  if (Spec.Tasks_.size() > MaxTasks)
    return Bad("too_many_tasks", std::to_string(Spec.Tasks_.size()) +
                                     " tasks exceed the limit of " +
                                     std::to_string(MaxTasks));
  std::unordered_set<std::string> Ids;
  for (const TaskSpec &Task : Spec.Tasks_) {
    if (Task.Id_.empty())
      return Bad("bad_request", "a task id must not be empty");
    if (!Ids.insert(Task.Id_).second)
      return Bad("duplicate_task_id", "task id " + Task.Id_ + " occurs twice");
  }
  return Done();
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
