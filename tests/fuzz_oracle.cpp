#include "fuzz_oracle.h"

namespace chivelanding::fuzz {
namespace {

// Bound of invariant 6 in the design page.
constexpr Duration LeavingBound = std::chrono::seconds(2);

} // namespace

void Oracle::report(int Invariant, std::string Text) {
  if (!Violation_)
    Violation_ = Violation{Invariant, std::move(Text)};
}

void Oracle::onSubmit(RequestId Id, const JobSpec &Spec, Time) {
  Job &J = Jobs_[Spec.Id_];
  if (J.Tasks_.empty()) {
    J.Spec_ = Spec;
    J.Tasks_.resize(Spec.Tasks_.size());
  }
  J.AnsweredNotRun_ = false;
  Requests_[Id].Job_ = Spec.Id_;
}

void Oracle::checkResults(const Job &J, const JobAnswer &Answer) {
  const std::string Name = J.Spec_.Id_.str();
  if (Answer.Tasks_.size() != J.Tasks_.size()) {
    report(2, Name + " completed with " + std::to_string(Answer.Tasks_.size()) +
                  " of " + std::to_string(J.Tasks_.size()) + " results");
    return;
  }
  for (std::size_t I = 0; I < J.Tasks_.size(); ++I) {
    const TaskAnswer &TaskResult = Answer.Tasks_[I];
    if (TaskResult.State_ != TaskState::Finished ||
        J.Tasks_[I].Results_.empty())
      report(2, Name + " completed without task " + std::to_string(I));
    else if (TaskResult.Id_ != J.Spec_.Tasks_[I].Id_ ||
             J.Tasks_[I].Results_.count(TaskResult.Result_) == 0)
      report(3, Name + " has another result for task " + std::to_string(I) +
                    ": " + TaskResult.Result_);
  }
}

// The answer not_run guarantees that no task of the job has started or will
// start, unless the job is submitted again after the answer.
void Oracle::onAnswer(RequestId Id, const JobAnswer &Answer, Time) {
  Request &R = Requests_[Id];
  const std::string Name = R.Job_.str();
  if (R.Answered_)
    report(3, "request " + std::to_string(Id) + " answered twice");
  R.Answered_ = true;
  ++Outcomes_[Answer.Outcome_];
  if (!Answer.Code_.empty())
    ++Codes_[Answer.Code_];
  Job &J = Jobs_[R.Job_];
  if (Answer.Outcome_ == Outcome::Completed) {
    checkResults(J, Answer);
  } else if (Answer.Code_.empty()) {
    report(2, Name + " failed without a code");
  } else if (Answer.Outcome_ == Outcome::NotRun) {
    J.AnsweredNotRun_ = true;
    if (J.Started_)
      report(4, Name + " answered not_run (" + Answer.Code_ +
                    ") after a task had started");
  }
}

void Oracle::onStart(const JobId &Id, TaskIndex Index, const std::string &Agent,
                     Time Now) {
  ++Starts_;
  const std::string Name = Id.str() + " task " + std::to_string(Index.value());
  const auto It = Jobs_.find(Id);
  if (It == Jobs_.end() || Index.value() >= It->second.Tasks_.size()) {
    report(1, Name + " started and was never submitted");
    return;
  }
  Job &J = It->second;
  J.Started_ = true;
  if (J.AnsweredNotRun_)
    report(4, Name + " started after its job was answered not_run");
  const std::uint32_t Starts = ++J.Tasks_[Index.value()].Starts_;
  if (Starts > 1 && !J.Spec_.Idempotent_)
    report(J.Tasks_.size() == 1 ? 5 : 1, Name + " started again on " + Agent);
  const auto LeavingSince = LeavingSince_.find(Agent);
  if (LeavingSince != LeavingSince_.end() &&
      Now - LeavingSince->second > LeavingBound)
    report(6, Name + " started on " + Agent + ", which left before");
  if (Cordoned_.count(Agent) != 0)
    report(9, Name + " started on " + Agent + ", whose zone is cordoned");
}

void Oracle::onEnd(const JobId &Id, TaskIndex Index, bool Success,
                   const std::string &Result) {
  // onStart has reported the start of an unknown task already.
  const auto It = Jobs_.find(Id);
  if (It == Jobs_.end() || Index.value() >= It->second.Tasks_.size())
    return;
  Task &T = It->second.Tasks_[Index.value()];
  if (Success)
    T.Results_.insert(Result);
}

void Oracle::onLeaving(const std::string &Agent, Time Now) {
  LeavingSince_.emplace(Agent, Now);
}

void Oracle::onInterrupted(const std::string &Process,
                           const std::string &What) {
  report(7, Process + " ended gracefully and cut off " + What);
}

void Oracle::onConfig(const std::string &Process, std::uint64_t Version) {
  std::uint64_t &Latest = ConfigVersions_[Process];
  if (Version < Latest)
    report(8, Process + " went back from configuration " +
                  std::to_string(Latest) + " to " + std::to_string(Version));
  Latest = Version;
}

void Oracle::onCordoned(const std::string &Agent, bool IsCordoned) {
  if (IsCordoned)
    Cordoned_.insert(Agent);
  else
    Cordoned_.erase(Agent);
}

void Oracle::expectConfig(const std::string &Process, std::uint64_t Version,
                          std::uint64_t Wanted) {
  if (Version != Wanted)
    report(8, Process + " has configuration " + std::to_string(Version) +
                  " instead of " + std::to_string(Wanted));
}

void Oracle::expectAnswered(const std::set<RequestId> &Open) {
  for (const RequestId Id : Open)
    if (!Requests_[Id].Answered_)
      report(3, "request " + std::to_string(Id) + " for " +
                    Requests_[Id].Job_.str() + " was never answered");
}

} // namespace chivelanding::fuzz
