#include "scheduler.h"

#include <algorithm>
#include <cmath>

namespace chivelanding {

namespace {

/// Time constant of the exponential decay of a kind's measured start rate.
constexpr double RateTimeConstantUs = 2e6;
constexpr Duration RateTimeConstant = std::chrono::seconds(2);

} // namespace

Scheduler::Scheduler() : Scheduler(PolicyConfig(), 0, ZoneName()) {}

Scheduler::Scheduler(PolicyConfig Config, std::uint64_t Seed, ZoneName Zone)
    : Zone_(std::move(Zone)), Random_(Seed) {
  setConfig(std::move(Config), Time());
}

void Scheduler::setConfig(PolicyConfig Config, Time Now) {
  const bool HasNewCordons = Config.Cordons_ != Config_.Cordons_;
  std::map<ServiceName, std::uint64_t> SlotsBefore;
  for (const auto &[Name, Service] : Services_)
    SlotsBefore[Name] = usableSlots(Name);
  Config_ = std::move(Config);
  Strategy_ = findPlacement(Config_.Placement_);
  if (!Strategy_)
    Strategy_ = findPlacement("credits");
  LeastUrgentClass_ = PriorityClass();
  for (const auto &[Name, Kind] : Config_.Kinds_)
    LeastUrgentClass_ = std::max(LeastUrgentClass_, Kind.Class_);
  Fair_.setConfig(isFair() ? Config_ : PolicyConfig());
  Health_.setMaxEjectedShare(Config_.MaxEjectedShare_);
  for (std::uint32_t A = 0; A < Agents_.size(); ++A) {
    if (Agents_[A].Present_)
      updateUsable(A, Now);
    updateCapacity(A, Now);
  }
  if (HasNewCordons)
    scaleRates(SlotsBefore, Now);
}

std::uint64_t Scheduler::usableSlots(const ServiceName &Service) const {
  std::uint64_t Slots = 0;
  const auto It = Services_.find(Service);
  if (It != Services_.end())
    for (const std::uint32_t A : It->second.Usable_)
      Slots += Agents_[A].Info_.Slots_;
  return Slots;
}

// A measured rate follows the reduced fleet only after RateTimeConstant; until
// then too many jobs would be admitted. A rate without any slots says nothing
// about the fleet that returns, so the guaranteed share is used first.
void Scheduler::scaleRates(
    const std::map<ServiceName, std::uint64_t> &SlotsBefore, Time Now) {
  for (KindRate &R : Rates_) {
    const auto It = SlotsBefore.find(R.Service_);
    const std::uint64_t Before = It == SlotsBefore.end() ? 0 : It->second;
    const std::uint64_t After = usableSlots(R.Service_);
    if (Before == 0 && After > 0)
      R.BackloggedSince_ = Now;
    else if (After > 0)
      R.PerSecond_ *= static_cast<double>(After) / static_cast<double>(Before);
  }
}

JobSlot Scheduler::findOrAddJob(const WaitingTask &Task, Time Now) {
  const auto Known = JobSlots_.find(Task.Task_.Job_);
  if (Known != JobSlots_.end())
    return Known->second;
  JobSlot Slot = static_cast<JobSlot>(Jobs_.size());
  if (FreeJobs_.empty()) {
    Jobs_.emplace_back();
  } else {
    Slot = FreeJobs_.back();
    FreeJobs_.pop_back();
  }
  JobState &J = Jobs_[Slot];
  J = JobState();
  J.Id_ = Task.Task_.Job_;
  J.Service_ = Task.Service_;
  J.KindName_ = Task.Kind_;
  J.Class_ = Task.Class_;
  J.Deadline_ = Task.Deadline_;
  J.WaitingSince_ = Now;
  J.Kind_ = Fair_.kindNumber(Task.Service_, isFair() ? Task.Kind_ : KindName());
  const std::uint32_t Team =
      Fair_.teamNumber(isFair() ? J.Id_.Team_ : TeamName());
  if (Rates_.size() <= J.Kind_)
    Rates_.resize(J.Kind_ + 1);
  Rates_[J.Kind_].Service_ = J.Service_;
  Fair_.addJob(Slot, J.Kind_, Team, Task.Class_);
  JobSlots_.emplace(J.Id_, Slot);
  if (J.Deadline_)
    Deadlines_.emplace(*J.Deadline_, Slot);
  ServiceState &Service = Services_[J.Service_];
  if (Service.Usable_.empty()) {
    if (!Service.NoEndpointSince_)
      Service.NoEndpointSince_ = Now;
    JobsWithoutEndpoint_[J.Service_].insert(Slot);
  }
  return Slot;
}

// A rejected or retried task is placed before the tasks of its job that were
// never sent.
void Scheduler::enqueue(const WaitingTask &Task, Time Now) {
  const JobSlot Slot = findOrAddJob(Task, Now);
  JobState &J = Jobs_[Slot];
  Times_.onHint(Task.Kind_, Task.TimeHint_);
  if (Fair_.kindWaiting(J.Kind_) == 0)
    Rates_[J.Kind_].BackloggedSince_ = Now;
  const std::uint32_t Index = Task.Task_.Index_.value();
  if (!J.Waiting_.empty() && Index < J.Waiting_.front())
    J.Waiting_.push_front(Index);
  else
    J.Waiting_.push_back(Index);
  Fair_.restoreJob(Slot);
  Fair_.onWaiting(Slot, 1);
  ++Waiting_;
}

void Scheduler::removeWaiting(JobSlot Slot) {
  JobState &J = Jobs_[Slot];
  Waiting_ -= J.Waiting_.size();
  Fair_.onWaiting(Slot, -static_cast<std::int64_t>(J.Waiting_.size()));
  Fair_.removeJob(Slot);
  J.Waiting_.clear();
  IdleJobs_.push_back(Slot);
}

// Idle jobs are released only at the next placement or expiry, so that a
// rejected task that is enqueued again at once keeps its place in the queue.
void Scheduler::releaseIdleJobs() {
  for (const JobSlot Slot : IdleJobs_) {
    JobState &J = Jobs_[Slot];
    if (J.Id_.Key_.empty() || !J.Waiting_.empty() || J.InFlight_ > 0)
      continue;
    if (J.Deadline_)
      Deadlines_.erase({*J.Deadline_, Slot});
    const auto Stranded = JobsWithoutEndpoint_.find(J.Service_);
    if (Stranded != JobsWithoutEndpoint_.end())
      Stranded->second.erase(Slot);
    JobSlots_.erase(J.Id_);
    J = JobState();
    FreeJobs_.push_back(Slot);
  }
  IdleJobs_.clear();
}

std::vector<TaskIndex> Scheduler::cancel(const JobId &Job, Time) {
  std::vector<TaskIndex> Removed;
  const auto It = JobSlots_.find(Job);
  if (It == JobSlots_.end())
    return Removed;
  for (const std::uint32_t Index : Jobs_[It->second].Waiting_)
    Removed.emplace_back(Index);
  removeWaiting(It->second);
  return Removed;
}

std::vector<TaskRef> Scheduler::expire(Time Now) {
  std::vector<TaskRef> Expired;
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    const JobSlot Slot = Deadlines_.begin()->second;
    Deadlines_.erase(Deadlines_.begin());
    for (const std::uint32_t Index : Jobs_[Slot].Waiting_)
      Expired.push_back({Jobs_[Slot].Id_, TaskIndex(Index)});
    removeWaiting(Slot);
  }
  releaseIdleJobs();
  return Expired;
}

// A service whose endpoints are all in cordoned zones is not without endpoints:
// its running tasks end, and what waits starts when a cordon is lifted.
std::vector<UnplaceableTask> Scheduler::takeUnplaceable(Time Now) {
  std::vector<UnplaceableTask> Removed;
  for (TaskRef &Task : expire(Now))
    Removed.push_back(
        {std::move(Task), "deadline", "deadline passed before start"});
  for (auto &[Name, Jobs] : JobsWithoutEndpoint_) {
    const auto &Since = Services_[Name].NoEndpointSince_;
    if (!Since || *Since + Config_.NoEndpointWait_ > Now || isCordoned(Name))
      continue;
    for (auto It = Jobs.begin(); It != Jobs.end();) {
      const JobSlot Slot = *It;
      if (Jobs_[Slot].WaitingSince_ + Config_.NoEndpointWait_ > Now) {
        ++It;
        continue;
      }
      for (const std::uint32_t Index : Jobs_[Slot].Waiting_)
        Removed.push_back({{Jobs_[Slot].Id_, TaskIndex(Index)},
                           "no_endpoint",
                           "service " + Name.str() + " has no endpoint"});
      It = Jobs.erase(It);
      removeWaiting(Slot);
    }
  }
  releaseIdleJobs();
  return Removed;
}

bool Scheduler::isCordoned(const ServiceName &Service) const {
  const auto It = Services_.find(Service);
  return It != Services_.end() && It->second.Usable_.empty() &&
         !It->second.Cordoned_.empty();
}

std::vector<JobId> Scheduler::cordonedJobs() const {
  std::vector<JobId> Found;
  for (const auto &[Service, Slots] : JobsWithoutEndpoint_)
    if (isCordoned(Service))
      for (const JobSlot Slot : Slots)
        if (!Jobs_[Slot].Waiting_.empty())
          Found.push_back(Jobs_[Slot].Id_);
  return Found;
}

void Scheduler::countStart(std::uint32_t Kind, Time Now) {
  KindRate &R = Rates_[Kind];
  const auto Us = static_cast<double>((Now - R.Updated_).count());
  R.PerSecond_ = R.PerSecond_ * std::exp(-Us / RateTimeConstantUs) +
                 1e6 / RateTimeConstantUs;
  R.Updated_ = Now;
}

// The measured rate is used alone once the kind has had waiting tasks for
// RateTimeConstant. Before, a low rate may only show that demand was low, so
// the guaranteed share is used if it is higher.
double Scheduler::startRate(std::uint32_t Kind, const KindName &Name,
                            const ServiceName &Service, Time Now) const {
  const KindRate &R = Rates_[Kind];
  const auto Us = static_cast<double>((Now - R.Updated_).count());
  const double Measured = R.PerSecond_ * std::exp(-Us / RateTimeConstantUs);
  if (R.BackloggedSince_ + RateTimeConstant < Now)
    return Measured;
  const std::uint64_t Slots = usableSlots(Service);
  const auto MeanUs = static_cast<double>(Times_.expected(Name).count());
  const double Guaranteed = Fair_.share(Kind) * static_cast<double>(Slots) /
                            Fair_.entryCount() * 1e6 / std::max(MeanUs, 1.0);
  return std::max(Measured, Guaranteed);
}

std::optional<AdmissionRefusal> Scheduler::admitJob(const JobSpec &Spec,
                                                    Time Now) const {
  if (!isFair())
    return {};
  AdmissionInput In;
  In.Tasks_ = static_cast<std::uint32_t>(Spec.Tasks_.size());
  In.Waiting_ = static_cast<std::uint32_t>(Waiting_);
  In.MaxWaiting_ = Config_.MaxWaiting_;
  In.MaxWait_ = Config_.MaxWait_;
  In.Deadline_ = Spec.Deadline_;
  In.NoEndpointWait_ = Config_.NoEndpointWait_;
  const auto Kind = Fair_.findKind(Spec.Service_, Spec.Kind_);
  if (Kind) {
    In.KindWaiting_ = Fair_.kindWaiting(*Kind);
    if (In.KindWaiting_ > 0)
      In.KindRate_ = startRate(*Kind, Spec.Kind_, Spec.Service_, Now);
  }
  const auto Service = Services_.find(Spec.Service_);
  if (Service != Services_.end() && Service->second.NoEndpointSince_)
    In.NoEndpointFor_ = Now - *Service->second.NoEndpointSince_;
  In.IsCordoned_ = isCordoned(Spec.Service_);
  return admit(In);
}

// The state of the job is kept until its last task has ended, because its place
// in the queue and its tasks per rack are still needed.
std::optional<Scheduler::InFlightTask>
Scheduler::takeInFlight(const TaskRef &Task, const AgentId &Agent,
                        JobSlot &Slot, Time Now) {
  const auto Job = JobSlots_.find(Task.Job_);
  if (Job == JobSlots_.end())
    return {};
  Slot = Job->second;
  const auto It = InFlightTasks_.find(inFlightKey(Slot, Task.Index_));
  if (It == InFlightTasks_.end() || Agents_[It->second.Agent_].Id_ != Agent)
    return {};
  const InFlightTask F = It->second;
  InFlightTasks_.erase(It);
  Fair_.onEnded(Slot, Now);
  JobState &J = Jobs_[Slot];
  --J.InFlight_;
  if (J.InFlight_ == 0 && J.Waiting_.empty())
    IdleJobs_.push_back(Slot);
  AgentState &A = Agents_[F.Agent_];
  --A.InFlight_;
  if (!A.Present_ && A.InFlight_ == 0)
    FreeAgents_.push_back(F.Agent_);
  else
    updateCapacity(F.Agent_, Now);
  return F;
}

void Scheduler::onFinished(const TaskRef &Task, const AgentId &Agent,
                           RunOutcome Outcome, Duration RunTime, Time Now) {
  JobSlot Slot = 0;
  const auto F = takeInFlight(Task, Agent, Slot, Now);
  if (!F || !Agents_[F->Agent_].Present_)
    return;
  const KindName &Kind = Jobs_[Slot].KindName_;
  const bool Success = Outcome == RunOutcome::Success;
  const bool Counts = Success && !Health_.isEjected(F->Agent_);
  Times_.onFinished(F->Agent_, Kind, inFlightKey(Slot, Task.Index_), RunTime,
                    Counts, Now);
  if (Counts) {
    constexpr double Weight = 1.0 / 64;
    const auto Us = static_cast<double>(RunTime.count());
    MeanRunTimeUs_ += (Us - MeanRunTimeUs_) * (MeanRunTimeUs_ > 0 ? Weight : 1);
  }
  if (Outcome != RunOutcome::Stopped)
    Health_.onFinished(F->Agent_, Kind, Success, F->SentAt_, Now);
  recordHealthChange(F->Agent_);
  updateCapacity(F->Agent_, Now);
}

void Scheduler::onRejected(const TaskRef &Task, const AgentId &Agent,
                           RejectReason, Time Now) {
  JobSlot Slot = 0;
  if (const auto F = takeInFlight(Task, Agent, Slot, Now))
    Times_.onLost(F->Agent_, inFlightKey(Slot, Task.Index_));
}

void Scheduler::onLost(const TaskRef &Task, const AgentId &Agent, Time Now) {
  JobSlot Slot = 0;
  if (const auto F = takeInFlight(Task, Agent, Slot, Now))
    Times_.onLost(F->Agent_, inFlightKey(Slot, Task.Index_));
}

// A trial uses a task of the least urgent class that is configured, because the
// task may be lost or delayed.
std::optional<std::uint32_t>
Scheduler::findTrialAgent(ServiceState &Service, const JobState &Job) const {
  if (Service.Trials_.empty() || Job.Class_ < LeastUrgentClass_)
    return {};
  return *Service.Trials_.begin();
}

Placement Scheduler::recordPlacement(JobSlot Slot, std::uint32_t Agent,
                                     std::string Reason, Time Now) {
  JobState &J = Jobs_[Slot];
  AgentState &A = Agents_[Agent];
  const TaskIndex Index(J.Waiting_.front());
  J.Waiting_.pop_front();
  --Waiting_;
  Fair_.onWaiting(Slot, -1);
  Fair_.onStarted(Slot, Now);
  if (J.Waiting_.empty())
    Fair_.removeJob(Slot);
  ++J.InFlight_;
  ++J.Racks_[A.Info_.Rack_];
  ++A.InFlight_;
  ++A.StartsSent_;
  InFlightTasks_[inFlightKey(Slot, Index)] = {Agent, Now};
  Times_.onStarted(Agent, J.KindName_, inFlightKey(Slot, Index), Now);
  countStart(J.Kind_, Now);
  updateCapacity(Agent, Now);
  return {{J.Id_, Index}, A.Id_, std::move(Reason)};
}

std::vector<Placement> Scheduler::place(Time Now) {
  releaseIdleJobs();
  if (Now >= NextEvaluation_)
    evaluate(Now);
  std::vector<Placement> Placements;
  if (Waiting_ == 0 || Config_.HoldsPlacements_)
    return Placements;
  const auto HasCapacity = [&](const ServiceName &Name) {
    return !Services_[Name].Index_.empty();
  };
  while (const auto Next = Fair_.next(HasCapacity, Now)) {
    const JobState &J = Jobs_[Next->Job_];
    ServiceState &Service = Services_[J.Service_];
    if (const auto Trial = findTrialAgent(Service, J)) {
      Health_.onTrial(*Trial, Now);
      Placements.push_back(recordPlacement(
          Next->Job_, *Trial,
          "trial of an ejected endpoint: " + Health_.reason(*Trial), Now));
      continue;
    }
    const PlacementChoice Choice =
        Strategy_(Service.Index_, {Zone_, &J.Racks_}, Random_);
    // A report becomes stale with time, and no event signals it, so the
    // capacity in the index is recomputed before it is used.
    const std::uint32_t Capacity =
        Service.Index_.agents().at(Choice.Agent_).Capacity_;
    if (availableCapacity(Choice.Agent_, Now) != Capacity) {
      updateCapacity(Choice.Agent_, Now);
      continue;
    }
    Placements.push_back(recordPlacement(
        Next->Job_, Choice.Agent_, Next->Reason_ + "; " + Choice.Reason_, Now));
  }
  return Placements;
}

void Scheduler::onUsage(const EntryId &Entry, const UsageSummary &Usage, Time) {
  Fair_.onUsage(Entry, Usage);
}

std::vector<HealthChange> Scheduler::takeHealthChanges() {
  std::vector<HealthChange> Changes;
  Changes.swap(HealthChanges_);
  return Changes;
}

} // namespace chivelanding
