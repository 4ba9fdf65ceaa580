#include "fair_share.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace chivelanding {

namespace {

constexpr Duration RateCheckPeriod = std::chrono::milliseconds(10);
/// Time constant, in microseconds, of the average use that is compared with a
/// kind's guaranteed share. Shorter bursts are ordered by class alone.
constexpr double ShareTimeConstantUs = 2e6;

} // namespace

void FairShare::setConfig(const PolicyConfig &Config) {
  Config_ = Config;
  WeightSum_ = 0;
  for (const auto &[Name, Policy] : Config_.Kinds_)
    WeightSum_ += Policy.Weight_;
  for (Kind &K : Kinds_)
    applyPolicy(K);
  for (std::uint32_t T = 0; T < Teams_.size(); ++T) {
    applyPolicy(Teams_[T]);
    unblock(T);
  }
}

void FairShare::applyPolicy(Kind &K) const {
  const auto Policy = Config_.Kinds_.find(K.Name_);
  K.Policy_ = Policy == Config_.Kinds_.end() ? KindPolicy() : Policy->second;
  const auto Service = Config_.Services_.find(K.Service_);
  K.ServiceLimit_ =
      Service == Config_.Services_.end() ? 0 : Service->second.Limit_;
}

void FairShare::applyPolicy(Team &T) const {
  const auto Policy = Config_.Teams_.find(T.Name_);
  T.Policy_ = Policy == Config_.Teams_.end() ? TeamPolicy() : Policy->second;
}

std::uint32_t FairShare::kindNumber(const ServiceName &Service,
                                    const KindName &Name) {
  const auto Next = static_cast<std::uint32_t>(Kinds_.size());
  const auto [It, IsNew] = KindNumbers_.emplace(std::pair(Service, Name), Next);
  if (IsNew) {
    Kinds_.emplace_back();
    Kinds_.back().Service_ = Service;
    Kinds_.back().Name_ = Name;
    applyPolicy(Kinds_.back());
  }
  return It->second;
}

std::optional<std::uint32_t> FairShare::findKind(const ServiceName &Service,
                                                 const KindName &Name) const {
  const auto It = KindNumbers_.find({Service, Name});
  if (It == KindNumbers_.end())
    return {};
  return It->second;
}

std::uint32_t FairShare::teamNumber(const TeamName &Name) {
  const auto Next = static_cast<std::uint32_t>(Teams_.size());
  const auto [It, IsNew] = TeamNumbers_.emplace(Name, Next);
  if (IsNew) {
    Teams_.emplace_back();
    Teams_.back().Name_ = Name;
    applyPolicy(Teams_.back());
    Teams_.back().Tokens_ = Teams_.back().Policy_.Rate_;
  }
  return It->second;
}

void FairShare::onUsage(const EntryId &Entry, const UsageSummary &Usage) {
  const auto Add = [&](const UsageSummary &S, bool Plus) {
    for (const TeamUsage &U : S.Teams_) {
      const std::uint32_t Number = teamNumber(U.Team_);
      Team &T = Teams_[Number];
      const std::uint32_t Active = U.Waiting_ > 0 ? 1 : 0;
      T.OthersRunning_ += Plus ? U.Running_ : 0 - U.Running_;
      T.OtherEntriesWaiting_ += Plus ? Active : 0 - Active;
      unblock(Number);
    }
  };
  const auto Old = OtherEntries_.find(Entry);
  if (Old != OtherEntries_.end()) {
    Add(Old->second, false);
    OtherEntries_.erase(Old);
  }
  if (Usage.Teams_.empty())
    return;
  Add(Usage, true);
  OtherEntries_.emplace(Entry, Usage);
}

double FairShare::share(std::uint32_t Kind) const {
  const double Weight = Kinds_[Kind].Policy_.Weight_;
  return Weight / std::max(WeightSum_, Weight);
}

// A job is ordered by its virtual start time: the kind's virtual time when the
// job arrives, or the virtual finish of the team's earlier jobs if that is
// later. A team that floods the kind thus queues behind its own jobs, and a job
// that has started stays ahead of later ones, so that its last tasks are not
// delayed.
void FairShare::addJob(JobSlot Slot, std::uint32_t KindNo, std::uint32_t TeamNo,
                       PriorityClass Class) {
  if (Jobs_.size() <= Slot)
    Jobs_.resize(Slot + 1);
  Kind &K = Kinds_[KindNo];
  K.Class_ = Class;
  TeamQueue &Queue = K.Teams_[TeamNo];
  const double VirtualStart = std::max(K.VirtualTime_, Queue.VirtualFinish_);
  Queue.VirtualFinish_ = VirtualStart;
  Jobs_[Slot] = {KindNo, TeamNo, VirtualStart, false};
  Teams_[TeamNo].Kinds_.insert(KindNo);
  insert(Slot);
}

void FairShare::restoreJob(JobSlot Slot) {
  if (!Jobs_[Slot].Queued_)
    insert(Slot);
}

void FairShare::setReady(std::uint32_t KindNo, std::uint32_t TeamNo,
                         bool Ready) {
  Kind &K = Kinds_[KindNo];
  const auto Queue = K.Teams_.find(TeamNo);
  if (Queue == K.Teams_.end() || Queue->second.Jobs_.empty())
    return;
  const auto Entry = std::pair(*Queue->second.Jobs_.begin(), TeamNo);
  if (Ready && !Teams_[TeamNo].Blocked_)
    K.Ready_.insert(Entry);
  else
    K.Ready_.erase(Entry);
}

void FairShare::insert(JobSlot Slot) {
  Job &J = Jobs_[Slot];
  J.Queued_ = true;
  setReady(J.Kind_, J.Team_, false);
  Kinds_[J.Kind_].Teams_[J.Team_].Jobs_.insert({J.VirtualStart_, Slot});
  setReady(J.Kind_, J.Team_, true);
  ActiveKinds_.insert(J.Kind_);
}

void FairShare::removeJob(JobSlot Slot) {
  Job &J = Jobs_[Slot];
  if (!J.Queued_)
    return;
  J.Queued_ = false;
  setReady(J.Kind_, J.Team_, false);
  Kind &K = Kinds_[J.Kind_];
  const auto Queue = K.Teams_.find(J.Team_);
  Queue->second.Jobs_.erase({J.VirtualStart_, Slot});
  setReady(J.Kind_, J.Team_, true);
  // A queue whose virtual finish is not ahead of the kind's virtual time does
  // not affect later jobs.
  if (Queue->second.Jobs_.empty() &&
      Queue->second.VirtualFinish_ <= K.VirtualTime_)
    K.Teams_.erase(Queue);
}

void FairShare::onWaiting(JobSlot Slot, std::int64_t Change) {
  const Job &J = Jobs_[Slot];
  if (Change > 0)
    Kinds_[J.Kind_].Teams_[J.Team_].VirtualFinish_ +=
        static_cast<double>(Change);
  const auto Add = [&](std::uint32_t &Count) {
    Count = static_cast<std::uint32_t>(Count + Change);
  };
  Add(Kinds_[J.Kind_].Waiting_);
  Add(Teams_[J.Team_].Waiting_);
  if (Kinds_[J.Kind_].Waiting_ == 0)
    ActiveKinds_.erase(J.Kind_);
  else
    ActiveKinds_.insert(J.Kind_);
}

// A team's quota and rate are divided among the entries that have waiting tasks
// of the team, because each entry learns the others' usage late. If no other
// entry has any, this entry may use what the others' running tasks leave of the
// quota, and the whole rate.
bool FairShare::mayStart(Team &T, Time Now) const {
  if (T.Policy_.Quota_ > 0) {
    const std::uint32_t Used = T.Running_ + T.OthersRunning_;
    if (Used >= T.Policy_.Quota_)
      return false;
    const std::uint32_t Part = T.Policy_.Quota_ / (T.OtherEntriesWaiting_ + 1);
    if (T.OtherEntriesWaiting_ > 0 && T.Running_ >= std::max(Part, 1u))
      return false;
  }
  if (T.Policy_.Rate_ <= 0)
    return true;
  const double Rate = T.Policy_.Rate_ / (T.OtherEntriesWaiting_ + 1);
  const double Burst = std::max(1.0, Rate);
  const auto Us = static_cast<double>((Now - T.FilledAt_).count());
  T.Tokens_ = std::min(Burst, T.Tokens_ + Rate * Us / 1e6);
  T.FilledAt_ = Now;
  return T.Tokens_ >= 1;
}

void FairShare::block(std::uint32_t TeamNo) {
  Team &T = Teams_[TeamNo];
  for (const std::uint32_t K : T.Kinds_)
    setReady(K, TeamNo, false);
  T.Blocked_ = true;
  if (T.Policy_.Rate_ > 0)
    RateLimitedTeams_.insert(TeamNo);
}

void FairShare::unblock(std::uint32_t TeamNo) {
  Team &T = Teams_[TeamNo];
  if (!T.Blocked_)
    return;
  T.Blocked_ = false;
  RateLimitedTeams_.erase(TeamNo);
  for (const std::uint32_t K : T.Kinds_)
    setReady(K, TeamNo, true);
}

// Tokens accrue with time, and no event signals that a team has enough of them.
void FairShare::unblockRateLimited(Time Now) {
  if (RateLimitedTeams_.empty() || Now < NextRateCheck_)
    return;
  NextRateCheck_ = Now + RateCheckPeriod;
  std::vector<std::uint32_t> AllowedTeams;
  for (const std::uint32_t T : RateLimitedTeams_)
    if (mayStart(Teams_[T], Now))
      AllowedTeams.push_back(T);
  for (const std::uint32_t T : AllowedTeams)
    unblock(T);
}

// Limits of kinds and services are divided evenly among the entries, because
// the entries exchange usage only per team.
bool FairShare::withinLimits(const Kind &K) const {
  const auto Part = [&](std::uint32_t Limit) {
    return std::max(1u, Limit / entryCount());
  };
  if (K.Policy_.Limit_ > 0 && K.Running_ >= Part(K.Policy_.Limit_))
    return false;
  if (K.ServiceLimit_ == 0)
    return true;
  const auto Running = ServiceRunning_.find(K.Service_);
  return Running == ServiceRunning_.end() ||
         Running->second < Part(K.ServiceLimit_);
}

void FairShare::updateAverage(Kind &K, Time Now) {
  const auto Us = static_cast<double>((Now - K.AveragedAt_).count());
  if (Us <= 0)
    return;
  K.Average_ +=
      (K.Running_ - K.Average_) * (1 - std::exp(-Us / ShareTimeConstantUs));
  K.AveragedAt_ = Now;
}

double FairShare::averageRunning(const ServiceName &Service, Time Now) {
  double Sum = 0;
  for (Kind &K : Kinds_) {
    if (K.Service_ != Service)
      continue;
    updateAverage(K, Now);
    Sum += K.Average_;
  }
  return Sum;
}

// Kinds below their guaranteed share come first, then the others, both by
// class. The guarantee is a fraction of the average number of slots that this
// entry uses. The share that a kind does not use thus goes to the other kinds
// until it has tasks again, and it then gets the next free slot. The average
// use is compared, not the current use: otherwise a kind that has used more
// than its share would delay a more urgent burst whenever few of its tasks run.
std::optional<NextJob>
FairShare::next(const std::function<bool(const ServiceName &)> &HasCapacity,
                Time Now) {
  unblockRateLimited(Now);
  while (true) {
    const Kind *Best = nullptr;
    std::tuple<bool, PriorityClass, double> BestKey;
    const ServiceName *Averaged = nullptr;
    double Total = 0;
    for (const std::uint32_t Number : ActiveKinds_) {
      const Kind &K = Kinds_[Number];
      if (K.Ready_.empty() || !withinLimits(K) || !HasCapacity(K.Service_))
        continue;
      if (!Averaged || *Averaged != K.Service_) {
        Averaged = &K.Service_;
        Total = averageRunning(K.Service_, Now);
      }
      const double Guaranteed = share(Number) * Total;
      const std::tuple Key(K.Average_ >= Guaranteed, K.Class_,
                           K.Running_ / std::max(K.Policy_.Weight_, 1e-9));
      if (!Best || Key < BestKey) {
        Best = &K;
        BestKey = Key;
      }
    }
    if (!Best)
      return {};
    const auto [First, TeamNo] = *Best->Ready_.begin();
    if (!mayStart(Teams_[TeamNo], Now)) {
      block(TeamNo);
      continue;
    }
    char Text[96];
    std::snprintf(Text, sizeof Text, "class %u, %s share, %u running",
                  Best->Class_.value(),
                  std::get<0>(BestKey) ? "above" : "below", Best->Running_);
    return NextJob{First.second, Text};
  }
}

void FairShare::onStarted(JobSlot Slot, Time Now) {
  const Job &J = Jobs_[Slot];
  Kind &K = Kinds_[J.Kind_];
  updateAverage(K, Now);
  ++K.Running_;
  K.VirtualTime_ = std::max(K.VirtualTime_, J.VirtualStart_);
  ++ServiceRunning_[K.Service_];
  Team &T = Teams_[J.Team_];
  ++T.Running_;
  if (T.Policy_.Rate_ > 0)
    T.Tokens_ -= 1;
}

void FairShare::onEnded(JobSlot Slot, Time Now) {
  const Job &J = Jobs_[Slot];
  updateAverage(Kinds_[J.Kind_], Now);
  --Kinds_[J.Kind_].Running_;
  --ServiceRunning_[Kinds_[J.Kind_].Service_];
  --Teams_[J.Team_].Running_;
  unblock(J.Team_);
}

UsageSummary FairShare::usage() const {
  UsageSummary Summary;
  for (const auto &[Name, Number] : TeamNumbers_) {
    const Team &T = Teams_[Number];
    if (T.Running_ > 0 || T.Waiting_ > 0)
      Summary.Teams_.push_back({Name, T.Running_, T.Waiting_});
  }
  return Summary;
}

} // namespace chivelanding
