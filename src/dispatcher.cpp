#include "dispatcher.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace chivelanding {
namespace {

// Largest share of a job's slack that it may wait for its first run; the slack
// is its time objective less its expected run time. A job that starts later
// would end too late.
constexpr double MaxWaitShare = 0.6;
// The answer is sent this long before the caller's timeout.
constexpr Duration AnswerMargin = std::chrono::milliseconds(30);
// Below this share of free slots, runs are packed (best fit) rather than
// spread.
constexpr double PackBelowFreeShare = 0.15;
// Time for which a suspect waits for room at the agent that keeps it apart from
// the others: a few runs of a short kind.
constexpr Duration AgentForSuspectWait = std::chrono::milliseconds(100);
// Consecutive runs of one job that are dispatched to the same agent while
// resources are plentiful: they share a message and a copy of the payload.
constexpr std::uint32_t MaxRunsPerGroup = 4;
// Time constant of the rate at which CPU is released: a few runs of the usual
// 250 ms.
constexpr double ReleaseRateTimeConstantS = 0.4;
// Time without an ended run after which that rate is no longer used.
constexpr Duration ReleaseRateMaxAge = std::chrono::seconds(1);
// A job is refused on submission if its last task is expected to wait for more
// than this multiple of the job's slack: the job would end late and take
// resources from jobs that can be in time. The factor is above 1 because the
// expectation is an approximation.
constexpr double AdmissionWaitFactor = 1.4;
// A service that has had no usable endpoint for longer than this is not
// expected to regain one while a job can wait: processes and endpoints take a
// second or more to return. Shorter gaps are caused by a single lost answer of
// an endpoint.
constexpr Duration EndpointGapTolerance = std::chrono::milliseconds(300);
// Time after the start of this process in which it waits for its first endpoint
// of a service instead of refusing jobs. After a loss of all power, the VMs
// return within 300 ms of each other and their links follow within 200 ms.
constexpr Duration StartupPeriod = std::chrono::milliseconds(500);
// Retry-After is at least 1 s, the unit of the header, and is spread over 2 s
// more, so that refused callers do not return at the same time.
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr std::int64_t RetrySpreadUs = 2'000'000;

} // namespace

const char *jobEndingName(JobEnding E) {
  static constexpr const char *Names[] = {"completed", "failed", "cancelled",
                                          "refused", "unknown"};
  return Names[static_cast<std::size_t>(E)];
}

Dispatcher::Dispatcher(std::string Name, ZoneName Zone, DispatchLimits Limits,
                       std::uint64_t Seed)
    : Limits_(Limits), Agents_(std::move(Zone), Seed),
      Subset_(std::move(Name), Limits.Subset_), Random_(Seed) {}

void Dispatcher::log(const EventType &Type, std::vector<EventField> Fields) {
  Out_.push_back(LogEvent{{&Type, std::move(Fields)}});
}

DispatchOutputs Dispatcher::take() {
  DispatchOutputs Result = std::move(Out_);
  Out_.clear();
  return Result;
}

std::size_t Dispatcher::waiting(const std::string &Route) const {
  std::size_t Count = 0;
  for (const auto &[Number, J] : Jobs_)
    Count += J.Spec_.Route_.Name_ == Route && J.OutstandingRuns_ == 0 &&
                     J.DoneTasks_ == 0 && !J.MayHaveRun_
                 ? 1
                 : 0;
  return Count;
}

bool Dispatcher::find(const JobKey &Key, bool &Running) const {
  const auto It = ByKey_.find(Key);
  if (It == ByKey_.end())
    return false;
  const Job &J = Jobs_.at(It->second);
  Running = J.OutstandingRuns_ > 0 || J.MayHaveRun_;
  return true;
}

// Estimates the time until the last waiting task of a job starts: the CPU that
// this job and the jobs ahead of it request, less the free CPU, divided by the
// rate at which runs of this entry release CPU. Waiting entries other than this
// one are assumed to take as much of the free resources as their own runs
// release. Zero for the first job in the queue: the rate of an entry with few
// runs says little about the room that one job finds in a large fleet.
Duration Dispatcher::expectedWait(const Job &J, Time Now) const {
  const double Rate = cpuReleaseRate(J, Now);
  if (Rate <= 0)
    return Duration(0);
  if (!Queue_.empty() && Queue_.begin()->second == J.Number_)
    return Duration(0);
  double RequestedCpu = 0;
  for (const auto &[Class, Number] : Queue_) {
    if (J.Spec_.Route_.Class_ < Class)
      break;
    const Job &Other = Jobs_.at(Number);
    if (isConfined(Other))
      continue;
    if (Other.Spec_.Route_.Class_ < J.Spec_.Route_.Class_ ||
        Number <= J.Number_)
      RequestedCpu += static_cast<double>(Other.WaitingTasks_) *
                      static_cast<double>(Other.Spec_.Need_.Cpu_);
  }
  const AgentPool::Totals T =
      Agents_.totals(J.Spec_.Route_.Service_, J.Spec_.Need_);
  const double FreeCpu = static_cast<double>(T.FreeSlots_) *
                         static_cast<double>(J.Spec_.Need_.Cpu_);
  return Duration(static_cast<std::int64_t>(
      std::max(0.0, RequestedCpu - FreeCpu) / Rate * 1e6));
}

// If no run has ended for ReleaseRateMaxAge, the rate is derived from the
// outstanding runs and the estimated run time of this job. CPU that is released
// in a cordoned zone is of no use to waiting jobs.
double Dispatcher::cpuReleaseRate(const Job &J, Time Now) const {
  double Released = 0;
  bool IsRecent = false;
  for (const auto &[Zone, R] : ReleasedCpu_) {
    if (Agents_.isCordoned(Zone))
      continue;
    Released +=
        R.Sum_ * std::exp(-seconds(Now - R.At_) / ReleaseRateTimeConstantS);
    IsRecent = IsRecent || R.At_ + ReleaseRateMaxAge > Now;
  }
  if (IsRecent)
    return Released / ReleaseRateTimeConstantS;
  double Running = 0;
  for (const auto &[Peer, A] : Agents_.all())
    Running += A.Cordoned_ ? 0 : A.OutstandingRuns_;
  const double Length = std::max(0.01, seconds(J.Estimate_));
  return Running * static_cast<double>(J.Spec_.Need_.Cpu_) / Length;
}

// Maintains an exponentially decaying sum of the released CPU of each zone with
// the time constant ReleaseRateTimeConstantS. A cordon thus leaves out exactly
// the share of its zone, and a lift restores it.
void Dispatcher::recordReleasedCpu(const ZoneName &Zone, std::uint32_t Cpu,
                                   Time Now) {
  ReleasedCpu &R = ReleasedCpu_[Zone];
  R.Sum_ = R.Sum_ * std::exp(-seconds(Now - R.At_) / ReleaseRateTimeConstantS) +
           static_cast<double>(Cpu);
  R.At_ = Now;
}

Duration Dispatcher::drawRetryAfter() {
  std::uniform_int_distribution<std::int64_t> Spread(0, RetrySpreadUs);
  return MinRetryAfter + Duration(Spread(Random_));
}

JobNumber Dispatcher::submit(IdempotentJob Spec, Time Now) {
  const auto Known = ByKey_.find(Spec.Key_);
  if (Known != ByKey_.end()) {
    log(events::JobAttached, {{"job", Spec.Key_.str()}});
    return Known->second;
  }
  const JobNumber Number(NextJob_++);
  Job &J = Jobs_[Number];
  ByKey_[Spec.Key_] = Number;
  J.Number_ = Number;
  J.Spec_ = std::move(Spec);
  const IdempotentJob &S = J.Spec_;
  RouteServices_[S.Route_.Name_] = S.Route_.Service_;
  const auto Factor = LengthFactor_.find(S.Route_.Name_);
  J.Estimate_ =
      scaled(S.Estimate_, Factor == LengthFactor_.end() ? 1 : Factor->second);
  const Duration Objective = S.objective(J.Estimate_);
  J.Received_ = Now;
  J.Deadline_ =
      Now + std::max(Duration(0), S.CallerTimeout_ - AnswerMargin - S.Age_);
  const Duration Slack = std::max(Duration(0), Objective - J.Estimate_);
  J.StartDeadline_ = std::min(J.Deadline_, Now + scaled(Slack, MaxWaitShare));
  J.Tasks_.resize(S.Tasks_);
  J.WaitingTasks_ = S.Tasks_;
  J.Bytes_ = jobBytes(J);
  JobBytes_ += J.Bytes_;
  const AgentPool::Totals T = Agents_.totals(S.Route_.Service_, S.Need_);
  log(events::JobAccepted, {{"job", S.Key_.str()},
                            {"route", S.Route_.Name_},
                            {"class", std::to_string(S.Route_.Class_.value())},
                            {"tasks", std::to_string(S.Tasks_)},
                            {"cpu", std::to_string(S.Need_.Cpu_)},
                            {"estimate_ms", millisecondsText(J.Estimate_)},
                            {"patience_ms", millisecondsText(S.CallerTimeout_)},
                            {"endpoints", std::to_string(T.UsableEndpoints_)},
                            {"free_cpu", std::to_string(T.FreeCpu_)},
                            {"free_places", std::to_string(T.FreeSlots_)},
                            {"waiting_jobs", std::to_string(Queue_.size())}});
  // The caller may have stopped waiting and have submitted the job elsewhere.
  if (J.Deadline_ <= Now) {
    refuse(J, "deadline", Now);
    return Number;
  }
  shedJobs(Now);
  if (Jobs_.count(Number) == 0)
    return Number;
  if (T.LargestCpu_ > 0 && (S.Need_.Cpu_ > T.LargestCpu_ ||
                            S.Need_.MemoryMb_ > T.LargestMemoryMb_)) {
    refuse(J, "too_large", Now);
    return Number;
  }
  if (T.UsableEndpoints_ == 0 && isCordoned(S.Route_.Service_, Now)) {
    refuse(J, "zones_cordoned", Now);
    return Number;
  }
  if (T.UsableEndpoints_ > 0 || Agents_.awaitsLift(S.Route_.Service_)) {
    LastUsable_[S.Route_.Service_] = Now;
  } else if (!expectsEndpoint(S.Route_.Service_, Now)) {
    refuse(J, "no_endpoint", Now);
    return Number;
  }
  if (answerSuspect(J, Now))
    return Number;
  enqueue(J);
  placeWaiting(Now);
  const auto Left = Jobs_.find(Number);
  if (Left != Jobs_.end() && isConfined(J)) {
    refuseConfinedSurplus(J, Now);
    return Number;
  }
  if (Left != Jobs_.end() && J.OutstandingRuns_ == 0 &&
      expectedWait(J, Now) > scaled(Slack, AdmissionWaitFactor))
    refuse(J, "overloaded", Now);
  return Number;
}

bool Dispatcher::isCordoned(const ServiceName &Service, Time Now) const {
  return !isStarting(Now) &&
         Agents_.isCordoned(Service, EndpointGapTolerance, Now);
}

bool Dispatcher::isStarting(Time Now) const {
  return StartedAt_ && Now < *StartedAt_ + StartupPeriod;
}

// True if a service without a usable endpoint is expected to have one soon.
bool Dispatcher::expectsEndpoint(const ServiceName &Service, Time Now) const {
  const auto LastUsable = LastUsable_.find(Service);
  if (LastUsable == LastUsable_.end())
    return isStarting(Now);
  return Now <= LastUsable->second + EndpointGapTolerance;
}

void Dispatcher::enqueue(const Job &J) {
  Queue_.insert({J.Spec_.Route_.Class_, J.Number_});
}

// The first job that cannot have all the resources it needs blocks the later
// ones of its service: otherwise wide jobs would never start beside narrow
// ones. It is given the free resources task by task. A confined route has its
// own resources, so it blocks and is blocked only by itself.
void Dispatcher::placeWaiting(Time Now) {
  if (PlacementHeld_)
    return;
  std::set<std::pair<ServiceName, std::string>> Full;
  const std::vector<QueueKey> Snapshot(Queue_.begin(), Queue_.end());
  for (const auto &[Class, Number] : Snapshot) {
    const auto It = Jobs_.find(Number);
    if (It == Jobs_.end())
      continue;
    Job &J = It->second;
    if (answerSuspect(J, Now))
      continue;
    const bool Confined = isConfined(J);
    const std::pair Resource{J.Spec_.Route_.Service_,
                             Confined ? J.Spec_.Route_.Name_ : std::string()};
    if (Full.count(Resource) > 0)
      continue;
    if (!(Confined ? placeConfined(J, Now) : placeJob(J, Now)))
      Full.insert(Resource);
    else if (J.WaitingTasks_ == 0)
      Queue_.erase({Class, Number});
  }
}

void Dispatcher::releasePlacement(Time Now) {
  PlacementHeld_ = false;
  placeWaiting(Now);
}

void Dispatcher::dispatchTask(Job &J, std::size_t Index, AgentView &A,
                              Isolation I,
                              std::map<PeerId, StartRuns> &Messages) {
  const auto [It, New] = Messages.try_emplace(A.Peer_);
  StartRuns &Start = It->second;
  if (New) {
    Start.Job_ = J.Spec_.Key_;
    Start.Submission_ = J.Number_.value();
    Start.Payload_ = J.Spec_.Payload_;
    Start.Need_ = J.Spec_.Need_;
    Start.Estimate_ = J.Estimate_;
    Start.Sequence_ = ++A.LastSequence_;
    Start.AgentClock_ = A.Report_.AgentClock_;
    Start.Route_ = J.Spec_.Route_.Name_;
    Start.Isolation_ = I;
    A.OwnerLeaseFrom_ = A.ReportedAt_;
    A.RenewedClock_ = A.Report_.AgentClock_;
  }
  AgentPool::reserve(A, Start.Sequence_, J.Spec_.Need_);
  ++A.OutstandingRuns_;
  Task &T = J.Tasks_[Index];
  T.State_ = State::Dispatched;
  T.Agent_ = A.Peer_;
  ++T.Attempt_;
  Start.Runs_.push_back(
      {TaskIndex(static_cast<std::uint32_t>(Index)), T.Attempt_});
  --J.WaitingTasks_;
  ++J.OutstandingRuns_;
}

void Dispatcher::sendStarts(Job &J, std::map<PeerId, StartRuns> Messages,
                            Time Now) {
  if (Messages.empty())
    return;
  std::string Agents;
  const Isolation I = Messages.begin()->second.Isolation_;
  for (auto &[Peer, Start] : Messages) {
    const auto &Report = Agents_.find(Peer)->Report_;
    Agents += (Agents.empty() ? "" : ",") + Peer.Name_ + ":" +
              std::to_string(Start.Runs_.size()) + "/" +
              std::to_string(Report.Free_.Cpu_);
    Out_.push_back(MessageToAgent{Peer, std::move(Start)});
  }
  log(events::JobPlaced, {{"job", J.Spec_.Key_.str()},
                          {"agents", Agents},
                          {"isolation", isolationName(I)},
                          {"unplaced", std::to_string(J.WaitingTasks_)},
                          {"age_ms", millisecondsText(Now - J.Received_)}});
}

// Dispatches the waiting tasks for which there are free resources. True if none
// is left waiting for them. Jobs that were on the same crashed endpoint are
// kept apart: a second crash then shows which of them is the cause.
bool Dispatcher::placeJob(Job &J, Time Now) {
  AgentPool::Totals T = Agents_.totals(J.Spec_.Route_.Service_, J.Spec_.Need_);
  const bool Pack = static_cast<double>(T.FreeSlots_) <
                    PackBelowFreeShare * static_cast<double>(T.Slots_);
  const bool Suspect = Crashes_.isSuspect(J.Spec_.Key_);
  bool SuspectWaits = false;
  std::map<PeerId, StartRuns> Messages;
  AgentView *Group = nullptr;
  std::uint32_t GroupSize = 0;
  for (std::size_t I = 0; I < J.Tasks_.size() && J.WaitingTasks_ > 0; ++I) {
    const Task &Waiting = J.Tasks_[I];
    if (Waiting.State_ != State::Waiting)
      continue;
    if (T.FreeSlots_ == 0)
      break;
    const bool Grouped =
        Group && !Pack && !Suspect && GroupSize < MaxRunsPerGroup &&
        (!Waiting.AvoidedAgent_ ||
         *Waiting.AvoidedAgent_ != Group->Peer_.Name_) &&
        fits(J.Spec_.Need_, AgentPool::freeResources(*Group)) &&
        !Group->Ejected_ && Group->ReservedFor_.empty();
    AgentView *A = Group;
    if (!Grouped) {
      AgentPool::RunRequest Request;
      Request.Service_ = J.Spec_.Route_.Service_;
      Request.Need_ = J.Spec_.Need_;
      Request.Rack_ = J.Spec_.Rack_;
      Request.AvoidedAgent_ = Waiting.AvoidedAgent_;
      Request.Pack_ = Pack;
      if (Suspect) {
        Request.PreferredAgent_ =
            agentForSuspect(J, TaskIndex(static_cast<std::uint32_t>(I)));
        Request.OnlyPreferred_ = Request.PreferredAgent_ &&
                                 Now < Waiting.FailedAt_ + AgentForSuspectWait;
        SuspectWaits = SuspectWaits || Request.OnlyPreferred_;
      }
      A = Agents_.chooseAgent(Request);
    }
    if (!A)
      continue;
    GroupSize = A == Group ? GroupSize + 1 : 1;
    Group = A;
    --T.FreeSlots_;
    dispatchTask(J, I, *A, Isolation::Any, Messages);
  }
  sendStarts(J, std::move(Messages), Now);
  return J.WaitingTasks_ == 0 || SuspectWaits;
}

void Dispatcher::refuse(Job &J, const char *Code, Time Now) {
  answer(J, JobEnding::Refused, Code, drawRetryAfter() + expectedWait(J, Now),
         Now);
}

// Stops the outstanding runs of the job. Their agents report the ends later,
// which findRun then ignores because the job is no longer known.
void Dispatcher::stopAll(Job &J) {
  std::map<PeerId, StopRuns> Stops;
  for (std::size_t I = 0; I < J.Tasks_.size(); ++I) {
    Task &T = J.Tasks_[I];
    if (T.State_ != State::Dispatched && T.State_ != State::Stopping)
      continue;
    releaseRun(T, J);
    if (T.State_ == State::Dispatched && Agents_.find(T.Agent_))
      Stops[T.Agent_].Runs_.push_back({J.Spec_.Key_,
                                       TaskIndex(static_cast<std::uint32_t>(I)),
                                       T.Attempt_, J.Number_.value()});
  }
  for (auto &[Peer, Stop] : Stops)
    Out_.push_back(MessageToAgent{Peer, std::move(Stop)});
}

// A run of an agent that was lost meanwhile is not counted in the view of the
// same agent since it returned.
void Dispatcher::releaseRun(const Task &T, Job &J) {
  AgentView *A = Agents_.find(T.Agent_);
  if (A && !T.LeasesExpireAt_)
    A->OutstandingRuns_ -= std::min(A->OutstandingRuns_, 1u);
  --J.OutstandingRuns_;
}

void Dispatcher::answer(Job &J, JobEnding Ending, const char *Code,
                        std::optional<Duration> RetryAfter, Time Now) {
  log(Ending == JobEnding::Refused ? events::JobRefused : events::JobAnswered,
      {{"job", J.Spec_.Key_.str()},
       {"route", J.Spec_.Route_.Name_},
       {"ending", jobEndingName(Ending)},
       {"code", Code},
       {"age_ms", millisecondsText(Now - J.Received_)},
       {"tasks", std::to_string(J.Tasks_.size())},
       {"done", std::to_string(J.DoneTasks_)},
       {"outstanding", std::to_string(J.OutstandingRuns_)},
       {"retry_after_ms", RetryAfter ? millisecondsText(*RetryAfter) : ""}});
  stopAll(J);
  Out_.push_back(AnswerJob{J.Number_, Ending, Code, RetryAfter});
  Queue_.erase({J.Spec_.Route_.Class_, J.Number_});
  ByKey_.erase(J.Spec_.Key_);
  JobBytes_ -= J.Bytes_;
  Jobs_.erase(JobNumber(J.Number_));
}

void Dispatcher::cancel(JobNumber Number, const char *Reason, Time Now) {
  const auto It = Jobs_.find(Number);
  if (It == Jobs_.end())
    return;
  log(events::JobCancelled,
      {{"job", It->second.Spec_.Key_.str()}, {"reason", Reason}});
  answer(It->second, JobEnding::Cancelled, Reason, {}, Now);
  placeWaiting(Now);
}

void Dispatcher::abandon(JobNumber Number, const char *Code, Time Now) {
  const auto It = Jobs_.find(Number);
  if (It == Jobs_.end())
    return;
  Job &J = It->second;
  if (J.MayHaveRun_ || J.OutstandingRuns_ > 0)
    answer(J, JobEnding::Unknown, Code, {}, Now);
  else
    refuse(J, Code, Now);
}

bool Dispatcher::cancelByKey(const JobKey &Key, Time Now) {
  const auto It = ByKey_.find(Key);
  if (It == ByKey_.end())
    return false;
  cancel(JobNumber(It->second), "caller_request", Now);
  return true;
}

} // namespace chivelanding
