#include "run_simulation.h"

#include <algorithm>
#include <cstdio>

namespace chivelanding::test {
namespace {

using std::chrono::milliseconds;

constexpr Duration EntryTick = milliseconds(10);
constexpr Duration AgentTick = milliseconds(20);
constexpr Duration EndpointTick = milliseconds(5);
// Longest time for which a fault freezes a process.
constexpr Duration LongestFreeze = milliseconds(2500);
// Time-outs of the agent's calls to its endpoint.
constexpr Duration StartTimeout = milliseconds(80);
constexpr Duration StopTimeout = milliseconds(80);
constexpr Duration PollTimeout = milliseconds(150);
// Time without faults before the end, in which all service must be restored.
constexpr Duration RecoveryTime = std::chrono::seconds(7);
constexpr Duration LongJobRecoveryTime = std::chrono::seconds(20);
// Long jobs have this multiple of the usual estimate, and their callers wait
// longer.
constexpr double LongJobShare = 0.2;
constexpr int LongJobFactor = 5;
constexpr Duration LongCallerTimeout = std::chrono::seconds(9);
// Time without faults for which the last cordons stay in force.
constexpr Duration CordonsAfterFaults = std::chrono::seconds(2);
const Resources Need{1000, 100, 0};

// The task that a log event refers to.
TaskKey taskOf(const Event &E) {
  TaskKey K;
  for (const EventField &F : E.Fields_) {
    if (std::string("job") == F.first)
      K.Job_ = JobKey(F.second);
    else if (std::string("task") == F.first)
      K.Index_ = TaskIndex(static_cast<std::uint32_t>(std::stoul(F.second)));
  }
  return K;
}

} // namespace

RunSimulation::RunSimulation(const RunSimulationOptions &Options)
    : Options_(Options), Random_(Options.Seed_), Now_(std::chrono::hours(1)),
      Entries_(Options.Entries_), Agents_(Options.Agents_) {
  Options_.Supervisor_.NeedsCordons_ =
      usesCordons() && !Options.AgentsIgnoreCordons_;
}

Duration RunSimulation::drawDuration(std::int64_t FromMs, std::int64_t ToMs) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      FromMs * 1000, ToMs * 1000)(Random_));
}

bool RunSimulation::chance(double P) {
  return std::uniform_real_distribution<double>(0, 1)(Random_) < P;
}

void RunSimulation::at(Time When, std::function<void()> Do) {
  Events_.emplace(When, std::move(Do));
}

template <typename P>
void RunSimulation::runAtProcess(P &X, Time When, std::function<void()> Do) {
  at(When, [this, &X, Incarnation = X.Incarnation_, Do = std::move(Do)] {
    if (!X.Alive_ || X.Incarnation_ != Incarnation)
      return;
    if (X.FrozenUntil_ > Now_)
      runAtProcess(X, X.FrozenUntil_, Do);
    else
      Do();
  });
}

void RunSimulation::fail(const std::string &Text) {
  if (Failure_.empty())
    Failure_ =
        "at " +
        std::to_string(Now_.time_since_epoch().count() / 1000 - 3'600'000) +
        " ms: " + Text;
}

void RunSimulation::traceLine(const std::string &Text) {
  if (!Options_.Trace_.empty())
    std::printf("%lld ms %s\n",
                static_cast<long long>(Now_.time_since_epoch().count() / 1000 -
                                       3'600'000),
                Text.c_str());
}

void RunSimulation::traceLine(const std::string &Who, const Event &E) {
  if (Options_.Trace_.empty())
    return;
  std::string Text = Who + " " + E.Type_->Name_;
  bool Matches = false;
  for (const EventField &F : E.Fields_) {
    Matches = Matches || F.second == Options_.Trace_;
    Text += " " + std::string(F.first) + "=" + F.second;
  }
  if (Matches)
    traceLine(Text);
}

void RunSimulation::startEntry(std::size_t E) {
  Entry &X = Entries_[E];
  X.Alive_ = true;
  X.Incarnation_ = NextIncarnation_++;
  X.Offset_ = drawDuration(0, 100'000);
  X.Waiting_.clear();
  X.Dispatcher_ =
      std::make_unique<Dispatcher>("entry-" + std::to_string(E), ZoneName("z"),
                                   Options_.Dispatch_, Random_());
  for (std::size_t A = 0; A < Agents_.size(); ++A)
    for (Time &Since : Links_[{E, A}].LastReachable_)
      Since = Now_;
  runEntryTimer(E);
  startCordons(E);
}

void RunSimulation::startAgent(std::size_t A) {
  Agent &X = Agents_[A];
  X.Alive_ = true;
  X.Incarnation_ = NextIncarnation_++;
  X.Offset_ = drawDuration(0, 100'000);
  X.HeldRuns_.clear();
  X.Supervisor_ =
      std::make_unique<RunSupervisor>(Options_.Supervisor_, NextToken_++);
  if (X.SavedEndpoint_ && chance(0.5))
    applyAgentOutputs(
        A, X.Supervisor_->onRestored(*X.SavedEndpoint_, Now_ + X.Offset_));
  runAgentTimer(A);
}

// Callers notice that their connection was closed, and submit their jobs again
// to any entry after the pause for which the leases are planned.
void RunSimulation::killEntry(std::size_t E) {
  Entry &X = Entries_[E];
  X.Alive_ = false;
  X.Dispatcher_.reset();
  for (const auto &[Number, S] : X.Waiting_) {
    releaseHeldRuns(S.Job_);
    at(Now_ + Options_.CallerRetry_, [this, J = S.Job_] { resubmit(J); });
  }
  X.Waiting_.clear();
}

void RunSimulation::releaseHeldRuns(std::size_t J) {
  for (Agent &X : Agents_)
    for (std::uint32_t I = 0; I < Jobs_[J].Spec_.Tasks_; ++I)
      X.HeldRuns_.erase({Jobs_[J].Spec_.Key_, TaskIndex(I)});
}

void RunSimulation::resubmit(std::size_t J) {
  if (Jobs_[J].Submissions_ >= 3)
    return;
  std::vector<std::size_t> Alive;
  for (std::size_t E = 0; E < Entries_.size(); ++E)
    if (Entries_[E].Alive_ && Entries_[E].FrozenUntil_ <= Now_)
      Alive.push_back(E);
  if (!Alive.empty())
    submit(J, Alive[Random_() % Alive.size()]);
}

void RunSimulation::submit(std::size_t J, std::size_t E) {
  Entry &X = Entries_[E];
  ++Jobs_[J].Submissions_;
  // Such an entry refuses jobs as it does without a configuration.
  if (!X.Cordons_.mayStartRuns()) {
    Jobs_[J].Refused_ = Jobs_[J].Submissions_ == 1;
    return;
  }
  const JobNumber Number =
      X.Dispatcher_->submit(Jobs_[J].Spec_, Now_ + X.Offset_);
  X.Waiting_[Number] = {J, Now_ + Jobs_[J].Spec_.CallerTimeout_};
  applyEntryOutputs(E);
}

void RunSimulation::runEntryTimer(std::size_t E) {
  Entry &X = Entries_[E];
  X.Dispatcher_->onTimer(Now_ + X.Offset_);
  applyEntryOutputs(E);
  // A process that was frozen recently may answer late, which is no fault of
  // its decisions.
  for (auto &[Number, S] : X.Waiting_)
    if (S.Due_ + milliseconds(50) < Now_ &&
        X.FrozenUntil_ + LongestFreeze < Now_)
      fail("job " + std::to_string(S.Job_) + " was not answered in time");
  runAtProcess(X, Now_ + EntryTick, [this, E] { runEntryTimer(E); });
}

void RunSimulation::runAgentTimer(std::size_t A) {
  Agent &X = Agents_[A];
  applyAgentOutputs(A, X.Supervisor_->onTimer(Now_ + X.Offset_));
  runAtProcess(X, Now_ + AgentTick, [this, A] { runAgentTimer(A); });
}

void RunSimulation::runEndpointTimer(std::size_t A) {
  Agents_[A].Endpoint_.advance(Now_);
  at(Now_ + EndpointTick, [this, A] { runEndpointTimer(A); });
}

void RunSimulation::announce(std::size_t A) {
  Agent &X = Agents_[A];
  if (X.Endpoint_.alive() && X.Alive_) {
    EndpointIncarnation Announced =
        X.Endpoint_.announcement(++X.Sequence_, Now_);
    Announced.Zone_ = zoneOf(A);
    Announced.ColdRemaining_ = std::max(Duration(0), X.ColdUntil_ - Now_);
    runAtProcess(X, Now_ + drawDuration(1, 3), [this, A, Announced] {
      Agent &Y = Agents_[A];
      applyAgentOutputs(
          A, Y.Supervisor_->onAnnounced(Announced, Now_ + Y.Offset_));
      Y.SavedEndpoint_ = Y.Supervisor_->endpoint();
    });
  }
  at(Now_ + drawDuration(400, 900), [this, A] { announce(A); });
}

void RunSimulation::applyEntryOutputs(std::size_t E) {
  for (const DispatchOutput &O : Entries_[E].Dispatcher_->take()) {
    if (const auto *M = std::get_if<MessageToAgent>(&O)) {
      for (std::size_t A = 0; A < Agents_.size(); ++A)
        if (Links_[{E, A}].AgentPeer_ == M->To_)
          send(E, A, 0, M->Message_);
    } else if (const auto *Answer = std::get_if<AnswerJob>(&O)) {
      onAnswer(E, *Answer);
    } else if (const auto *Line = std::get_if<LogEvent>(&O)) {
      traceLine("entry-" + std::to_string(E), Line->Event_);
      if (Line->Event_.Type_ == &events::TaskRerun)
        for (Agent &X : Agents_)
          X.HeldRuns_.erase(taskOf(Line->Event_));
    }
  }
}

void RunSimulation::onAnswer(std::size_t E, const AnswerJob &Answer) {
  Entry &X = Entries_[E];
  const auto It = X.Waiting_.find(Answer.Job_);
  if (It == X.Waiting_.end()) {
    // The job was answered during its submission, before it was added to
    // Waiting_.
    at(Now_, [this, E, Answer, Incarnation = X.Incarnation_] {
      Entry &Y = Entries_[E];
      if (Y.Alive_ && Y.Incarnation_ == Incarnation &&
          Y.Waiting_.count(Answer.Job_) > 0)
        onAnswer(E, Answer);
    });
    return;
  }
  const std::size_t J = It->second.Job_;
  Job &Answered = Jobs_[J];
  X.Waiting_.erase(It);
  releaseHeldRuns(J);
  const std::string Name = "job " + std::to_string(J);
  if (Answer.Ending_ == JobEnding::Completed) {
    ++Completed_;
    FinalJobs_.erase(std::remove(FinalJobs_.begin(), FinalJobs_.end(), J),
                     FinalJobs_.end());
    if (Answered.Done_.size() != Answered.Spec_.Tasks_)
      fail(Name + " completed with a task that did not succeed");
  } else if (Answer.Ending_ == JobEnding::Refused &&
             Answered.Submissions_ == 1) {
    Answered.Refused_ = true;
    if (Answered.EverRan_)
      fail(Name + " was refused although it ran");
  } else if (Answer.Ending_ == JobEnding::Unknown) {
    at(Now_ + Options_.CallerRetry_, [this, J] { resubmit(J); });
  }
}

void RunSimulation::applyAgentOutputs(std::size_t A,
                                      const RunSupervisorOutputs &Out) {
  for (const RunSupervisorOutput &O : Out) {
    if (const auto *M = std::get_if<MessageToEntry>(&O)) {
      for (std::size_t E = 0; E < Entries_.size(); ++E)
        if (Links_[{E, A}].EntryPeer_ == M->To_)
          send(E, A, 1, M->Message_);
    } else if (const auto *Start = std::get_if<MakeStart>(&O)) {
      checkStartAllowed(A, Start->Call_.Task_);
      executeCall(A, *Start);
    } else if (const auto *Stop = std::get_if<MakeStop>(&O)) {
      executeCall(A, *Stop);
    } else if (const auto *Poll = std::get_if<MakePoll>(&O)) {
      poll(A, *Poll);
    } else if (const auto *Line = std::get_if<LogEvent>(&O)) {
      traceLine("agent-" + std::to_string(A), Line->Event_);
      if (Line->Event_.Type_ == &events::RunEnded)
        Agents_[A].HeldRuns_.erase(taskOf(Line->Event_));
    }
  }
}

// Most calls are carried out and answered within milliseconds. Some answers are
// lost, and some calls are carried out seconds later without an answer. A later
// incarnation with the same id knows nothing of the previous one, so nobody can
// protect it from a late start if the agent does not run, or if agent or entry
// count the run as ended. docs/platform.md lists that case; the simulation
// leaves it out.
template <typename Make>
void RunSimulation::executeCall(std::size_t A, const Make &M) {
  constexpr bool IsStart = std::is_same_v<Make, MakeStart>;
  Agent &X = Agents_[A];
  const auto Answer = [this, A, Id = M.Id_](StartStopAnswer R) {
    Agent &Y = Agents_[A];
    const Time Local = Now_ + Y.Offset_;
    if constexpr (IsStart)
      applyAgentOutputs(A, Y.Supervisor_->onStartAnswer(Id, R, Local));
    else
      applyAgentOutputs(A, Y.Supervisor_->onStopAnswer(Id, R, Local));
  };
  if (IsStart)
    X.HeldRuns_.insert(M.Call_.Task_);
  const bool FaultsOver = Now_ >= FaultsEnd_;
  const bool Unanswered = Now_ < X.CallsUnansweredUntil_;
  const bool Late = !FaultsOver && chance(Unanswered ? 0.5 : 0.02);
  const bool Lost = Late || (!FaultsOver && chance(0.02));
  const Time Executed = Now_ + (!Late        ? drawDuration(0, 2)
                                : Unanswered ? drawDuration(2000, 12000)
                                             : drawDuration(200, 4000));
  if (Lost)
    runAtProcess(X, Now_ + (IsStart ? StartTimeout : StopTimeout), [Answer] {
      Answer({CallAnswer::Unanswered, std::nullopt});
    });
  at(Executed, [this, A, Call = M.Call_, Lost, Answer,
                Incarnation = X.Incarnation_,
                Started = X.Endpoint_.startedMs()] {
    Agent &Y = Agents_[A];
    if (Y.Endpoint_.startedMs() != Started &&
        (!Y.Alive_ || Y.FrozenUntil_ > Now_ || Y.Incarnation_ != Incarnation ||
         Y.HeldRuns_.count(Call.Task_) == 0))
      return;
    StartStopAnswer R;
    if constexpr (IsStart)
      R.Answer_ = Y.Endpoint_.start(Call, Need, Now_);
    else
      R.Answer_ = Y.Endpoint_.stop(Call, Now_);
    if (Lost || Y.Incarnation_ != Incarnation)
      return;
    if (Y.Endpoint_.alive())
      R.ClockMs_ = Y.Endpoint_.clockMs(Now_);
    runAtProcess(Y, Now_ + drawDuration(0, 2), [Answer, R] { Answer(R); });
  });
}

void RunSimulation::poll(std::size_t A, const MakePoll &M) {
  Agent &X = Agents_[A];
  const auto Answer = [this, A, Id = M.Id_](const Result<PollAnswer> &R) {
    Agent &Y = Agents_[A];
    applyAgentOutputs(A, Y.Supervisor_->onPollAnswer(Id, R, Now_ + Y.Offset_));
  };
  if (Now_ < FaultsEnd_ && chance(0.02)) {
    runAtProcess(X, Now_ + M.Call_.Wait_ + PollTimeout, [Answer] {
      Answer(Error{"timeout", "hold", "", ""});
    });
    return;
  }
  // The endpoint answers when a run has ended or the wait is over.
  auto Poll = std::make_shared<std::function<void()>>();
  *Poll = [this, A, Call = M.Call_, Answer, Until = Now_ + M.Call_.Wait_,
           Incarnation = X.Incarnation_,
           Weak = std::weak_ptr<std::function<void()>>(Poll)] {
    Agent &Y = Agents_[A];
    if (Y.Incarnation_ != Incarnation)
      return;
    if (Y.Endpoint_.alive() && !Y.Endpoint_.hasEnds(Call) && Now_ < Until) {
      at(Now_ + EndpointTick, [Self = Weak.lock()] { (*Self)(); });
      return;
    }
    const auto R = Y.Endpoint_.poll(Call, Now_);
    runAtProcess(Y, Now_ + drawDuration(0, 2), [Answer, R] { Answer(R); });
  };
  at(Now_ + drawDuration(0, 2), [Poll] { (*Poll)(); });
}

void RunSimulation::submitLoad() {
  std::vector<std::size_t> Alive;
  for (std::size_t E = 0; E < Entries_.size(); ++E)
    if (Entries_[E].Alive_ && Entries_[E].FrozenUntil_ <= Now_)
      Alive.push_back(E);
  if (!Alive.empty()) {
    Job J;
    const std::size_t Number = Jobs_.size();
    J.Spec_.Key_ = JobKey("job-" + std::to_string(Number));
    J.Spec_.Route_.Name_ = "route-" + std::to_string(Random_() % 3);
    J.Spec_.Route_.Service_ = ServiceName("tasks");
    J.Spec_.Route_.Class_ =
        PriorityClass(static_cast<std::uint32_t>(Random_() % 3));
    J.Spec_.Route_.Attempts_ = 3;
    J.Spec_.Route_.ObjectiveFactor_ = 1.6;
    J.Spec_.Route_.Target_ = milliseconds(100);
    J.Spec_.Tasks_ = 1 + static_cast<std::uint32_t>(Random_() % 4);
    J.Spec_.Need_ = Need;
    J.Spec_.Estimate_ = drawDuration(50, 900);
    J.Spec_.CallerTimeout_ = milliseconds(2500);
    if (Options_.UnansweredCalls_ && Now_ < FaultsEnd_ &&
        chance(LongJobShare)) {
      J.Spec_.Estimate_ *= LongJobFactor;
      J.Spec_.CallerTimeout_ = LongCallerTimeout;
    }
    Jobs_.push_back(std::move(J));
    ByKey_[Jobs_.back().Spec_.Key_] = Number;
    const std::size_t E = Alive[Random_() % Alive.size()];
    submit(Number, E);
    if (Now_ < FaultsEnd_ && chance(0.03))
      runAtProcess(Entries_[E], Now_ + drawDuration(1, 500), [this, E, Number] {
        Entry &X = Entries_[E];
        for (const auto &[Id, S] : X.Waiting_)
          if (S.Job_ == Number) {
            X.Dispatcher_->cancel(JobNumber(Id), "caller_gone",
                                  Now_ + X.Offset_);
            break;
          }
        applyEntryOutputs(E);
      });
  }
  if (Now_ < FaultsEnd_)
    at(Now_ + drawDuration(20, 80), [this] { submitLoad(); });
}

// Each entry gets a job 3 s before the end (FinalJobs_), which must be
// completed.
void RunSimulation::checkFinalState() {
  for (const Entry &X : Entries_) {
    for (std::size_t J = 0; J < Jobs_.size(); ++J) {
      bool Running = false;
      if (X.Dispatcher_->find(Jobs_[J].Spec_.Key_, Running))
        fail("job " + std::to_string(J) + " is still open at the end");
    }
    for (const auto &[Peer, A] : X.Dispatcher_->agents().all())
      if (A.OutstandingRuns_ > 0)
        fail("an entry counts runs as running at the end");
  }
  for (const Agent &X : Agents_)
    if (X.Supervisor_->runs() > 0 || X.Supervisor_->held().Cpu_ > 0)
      fail("an agent holds resources at the end");
  for (std::size_t A = 0; usesCordons() && A < Agents_.size(); ++A)
    if (!Agents_[A].Supervisor_->usable())
      fail("agent " + std::to_string(A) + " is not usable at the end");
  if (!FinalJobs_.empty())
    fail("job " + std::to_string(FinalJobs_[0]) +
         " after the last fault was not completed");
}

std::string RunSimulation::run() {
  FaultsEnd_ = Now_ + Options_.FaultPeriod_;
  const Time End = FaultsEnd_ + (Options_.UnansweredCalls_ ? LongJobRecoveryTime
                                                           : RecoveryTime);
  for (std::size_t A = 0; A < Agents_.size(); ++A) {
    startAgent(A);
    startEndpoint(A);
    announce(A);
    runEndpointTimer(A);
  }
  for (std::size_t E = 0; E < Entries_.size(); ++E)
    startEntry(E);
  for (std::size_t E = 0; E < Entries_.size(); ++E)
    for (std::size_t A = 0; A < Agents_.size(); ++A)
      checkLink(E, A);
  at(Now_ + milliseconds(600), [this] { submitLoad(); });
  at(Now_ + milliseconds(1500), [this] { injectFault(); });
  if (usesCordons()) {
    at(Now_ + milliseconds(1500), [this] { operate(); });
    at(FaultsEnd_ + CordonsAfterFaults, [this] { liftAllCordons(); });
  }
  at(End - milliseconds(3000), [this] {
    for (std::size_t E = 0; E < Entries_.size(); ++E) {
      FinalJobs_.push_back(Jobs_.size());
      submitLoad();
    }
  });
  while (Failure_.empty() && !Events_.empty() &&
         Events_.begin()->first <= End) {
    Now_ = std::max(Now_, Events_.begin()->first);
    const auto Do = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    Do();
  }
  if (Failure_.empty())
    checkFinalState();
  return Failure_;
}

} // namespace chivelanding::test
