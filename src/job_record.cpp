#include "job_record.h"

#include <algorithm>

namespace chivelanding {

namespace {

// Retry-After of an answer that the owner of the token is unreachable.
constexpr Duration OwnerRetryAfter = std::chrono::seconds(1);

// FNV-1a over the length and the characters of each text. The length keeps
// different splits of the same characters apart.
void hashText(std::uint64_t &Hash, const std::string &Text) {
  const auto Add = [&](std::uint64_t Byte) {
    Hash = (Hash ^ Byte) * 0x100000001b3ULL;
  };
  for (std::size_t Size = Text.size(), I = 0; I < 8; ++I, Size >>= 8)
    Add(Size & 0xff);
  for (const char C : Text)
    Add(static_cast<unsigned char>(C));
}

TaskState stateOf(const OwnedTask &Task) {
  switch (Task.Phase_) {
  case TaskPhase::Sent:
    return TaskState::Running;
  case TaskPhase::Finished:
    return TaskState::Finished;
  case TaskPhase::Failed:
    return TaskState::Failed;
  case TaskPhase::Unknown:
    return TaskState::Unknown;
  case TaskPhase::Queued:
  case TaskPhase::Delayed:
  case TaskPhase::Cancelled:
    break;
  }
  return Task.MayHaveRun_ ? TaskState::Unknown : TaskState::NotStarted;
}

} // namespace

std::uint64_t bodyHash(const JobSpec &Spec) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  hashText(Hash, Spec.Service_.str());
  hashText(Hash, Spec.Kind_.str());
  hashText(Hash, Spec.Idempotent_ ? "idempotent" : "");
  for (const TaskSpec &Task : Spec.Tasks_) {
    hashText(Hash, Task.Id_);
    hashText(Hash, Task.Payload_);
  }
  return Hash;
}

JobAnswer plainAnswer(Outcome O, std::string Code, std::string Detail) {
  JobAnswer A;
  A.Outcome_ = O;
  A.Code_ = std::move(Code);
  A.Detail_ = std::move(Detail);
  return A;
}

JobAnswer ownerUnreachable(std::string Detail) {
  JobAnswer A =
      plainAnswer(Outcome::Unknown, "owner_unreachable", std::move(Detail));
  A.RetryAfter_ = OwnerRetryAfter;
  return A;
}

// The outcome is unknown, because a job of an epoch that is no longer accepted
// may have run and its record been dropped.
std::optional<JobAnswer> checkToken(const OwnerToken &Token,
                                    const EntryId &Self, Epoch Current,
                                    std::uint32_t EpochsAccepted) {
  if (Token.Owner_ != Self)
    return plainAnswer(Outcome::Unknown, "not_owner",
                       "the token names another entry");
  if (Token.Epoch_ > Current)
    return plainAnswer(Outcome::Unknown, "bad_token",
                       "the token's epoch has not begun");
  if (Token.Epoch_.value() + EpochsAccepted < Current.value())
    return plainAnswer(Outcome::Unknown, "token_expired",
                       "fetch a new token for new jobs");
  return std::nullopt;
}

std::uint64_t openJobBytes(const JobSpec &Spec) {
  std::uint64_t Bytes = sizeof(OwnedJob);
  for (const TaskSpec &Task : Spec.Tasks_)
    Bytes += sizeof(TaskSpec) + sizeof(OwnedTask) + Task.Payload_.size();
  return Bytes;
}

std::uint64_t resultBytes(const JobAnswer &Answer) {
  std::uint64_t Bytes = 0;
  for (const TaskAnswer &Task : Answer.Tasks_)
    Bytes += Task.Id_.size() + Task.Result_.size();
  return Bytes;
}

// A job is completed if every task has finished, even if it was cancelled
// meanwhile. One task of unknown outcome makes the outcome of the job unknown.
// "Not run" requires that every task was cancelled before it was sent, or was
// rejected by its agent.
JobAnswer makeAnswer(const OwnedJob &Job) {
  std::set<TaskState> States;
  for (const OwnedTask &Task : Job.Tasks_)
    States.insert(stateOf(Task));
  const auto Has = [&](TaskState S) { return States.count(S) != 0; };
  const bool AllFinished = States.size() == 1 && Has(TaskState::Finished);
  JobAnswer A;
  if (AllFinished) {
    A.Outcome_ = Outcome::Completed;
  } else {
    A.Code_ = Job.FailCode_;
    A.Detail_ = Job.FailDetail_;
    if (Has(TaskState::Unknown) || Has(TaskState::Running))
      A.Outcome_ = Outcome::Unknown;
    else if (Has(TaskState::Finished) || Has(TaskState::Failed))
      A.Outcome_ = Outcome::PartlyRun;
    else
      A.Outcome_ = Outcome::NotRun;
  }
  if (A.Outcome_ == Outcome::NotRun) {
    A.RetryAfter_ = Job.FailRetryAfter_;
    return A;
  }
  for (std::size_t I = 0; I < Job.Tasks_.size(); ++I)
    A.Tasks_.push_back({Job.Spec_.Tasks_[I].Id_, stateOf(Job.Tasks_[I]),
                        AllFinished ? Job.Tasks_[I].Result_ : ""});
  return A;
}

} // namespace chivelanding
