#include "recovery.h"

#include <algorithm>
#include <tuple>

namespace chivelanding {

namespace {

/// Retry delay for a submission that would have to be relayed a second time,
/// for example while two recoverers have yielded to each other.
constexpr Duration RelayRetryAfter = std::chrono::seconds(1);

// Two agents have a record of the same task only if an idempotent request was
// retried. A success whose result is still held is preferred to a running task,
// and that to a failure.
int recordRank(const HeldTask &Task) {
  if (!Task.Finished_)
    return 1;
  return Task.Outcome_ == RunOutcome::Success && !Task.Evicted_ ? 2 : 0;
}

bool ranksBelow(const EntryId &A, const EntryId &B, const EntryId &Owner) {
  return std::make_tuple(rendezvousRank(A, Owner), A) <
         std::make_tuple(rendezvousRank(B, Owner), B);
}

} // namespace

// FNV-1a followed by a bit mixer, without which the last bytes of the hashed
// string would have little influence on the rank.
std::uint64_t rendezvousRank(const EntryId &Recoverer, const EntryId &Owner) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const char C : Recoverer.str() + "/" + Owner.str())
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3ULL;
  Hash = (Hash ^ (Hash >> 33)) * 0xff51afd7ed558ccdULL;
  return Hash ^ (Hash >> 33);
}

Recovery::Recovery(EntryId Self) : Self_(std::move(Self)) {}

std::size_t Recovery::waiting() const {
  std::size_t Count = 0;
  for (const auto &[Owner, S] : Owners_)
    Count += S.Waiting_.size();
  return Count;
}

Recovery::OwnerState &Recovery::ownerState(const EntryId &Owner, Time Now) {
  const auto [It, IsNew] = Owners_.try_emplace(Owner);
  if (IsNew)
    It->second.Started_ = Now;
  return It->second;
}

// A resubmission that fails the checks is answered as unknown, not as "not
// run", since an earlier submission with the same id may have run.
RecoveryOutputs Recovery::onSubmit(ResumeRequest Request,
                                   const LostEntry &Owner, Time Now) {
  RecoveryOutputs Out;
  const JobId Id = Request.Spec_.Id_;
  const auto Check = checkSpec(Request.Spec_, DefaultMaxTasks);
  if (!ok(Check)) {
    Out.push_back(SendAnswer{Request.Reply_, Id,
                             plainAnswer(Outcome::Unknown, error(Check).Code_,
                                         error(Check).Detail_)});
    return Out;
  }
  if (ClosedBy_) {
    relay(std::move(Request), *ClosedBy_, Out);
    return Out;
  }
  OwnerState &S = ownerState(Owner.Entry_, Now);
  if (S.Expired_) {
    Out.push_back(SendAnswer{
        Request.Reply_, Id,
        plainAnswer(Outcome::Unknown, "token_expired",
                    "the owner was lost too long ago to collect its tasks")});
    return Out;
  }
  S.Synchronized_ = S.Synchronized_ && Owner.Synchronized_;
  addAgents(Owner.Entry_, S, Owner, Now, Out);
  S.Waiting_.push_back(std::move(Request));
  closeLostHolders(Owner.Entry_, S, Now, Out);
  resolveWaiting(Owner.Entry_, S, Now, Out);
  return Out;
}

void Recovery::addAgents(const EntryId &Owner, OwnerState &S,
                         const LostEntry &From, Time Now,
                         RecoveryOutputs &Out) {
  if (S.Agents_.empty())
    Out.push_back(
        LogEvent{{&events::IncarnationClosing,
                  {{"entry", Owner.str()},
                   {"agents", std::to_string(From.Agents_.size())}}}});
  for (const LostEntryAgent &U : From.Agents_) {
    const auto [It, IsNew] = S.Agents_.try_emplace(U.Agent_);
    AgentClose &A = It->second;
    A.Services_.insert(U.Service_);
    A.Announced_ = A.Announced_ || U.Announced_;
    if (U.AbandonedInEpoch_)
      A.AbandonedInEpoch_ = U.AbandonedInEpoch_;
    if (IsNew)
      sendClose(Owner, U.Agent_, A, Now, Out);
  }
}

void Recovery::sendClose(const EntryId &Owner, const AgentId &Agent,
                         AgentClose &A, Time Now, RecoveryOutputs &Out) {
  A.State_ = CloseState::Pending;
  A.Deadline_ = Now + RecoveryTimeout;
  Out.push_back(SendToAgent{Agent, CloseIncarnation{Owner}});
}

void Recovery::onCallerDisconnected(ReplyId Reply) {
  for (auto &[Owner, S] : Owners_)
    S.Waiting_.erase(std::remove_if(S.Waiting_.begin(), S.Waiting_.end(),
                                    [&](const ResumeRequest &R) {
                                      return R.Reply_ == Reply;
                                    }),
                     S.Waiting_.end());
}

RecoveryOutputs Recovery::onAgentMessage(const AgentId &Agent, const Message &M,
                                         Time Now) {
  RecoveryOutputs Out;
  if (ClosedBy_)
    return Out;
  if (const auto *C = std::get_if<IncarnationClosed>(&M))
    onClosed(Agent, *C, Now, Out);
  else if (const auto *F = std::get_if<TaskFinished>(&M))
    onFinished(Agent, *F);
  return Out;
}

// A report may arrive unrequested: another entry transferred the grant, the
// grant was passed on when its holder was closed, or JobOwner claimed it at a
// new agent.
void Recovery::onClosed(const AgentId &Agent, const IncarnationClosed &C,
                        Time Now, RecoveryOutputs &Out) {
  const auto Known = Owners_.find(C.Entry_);
  if (Known == Owners_.end() && C.Holder_ != Self_)
    return;
  OwnerState &S = ownerState(C.Entry_, Now);
  if (S.Expired_)
    return;
  AgentClose &A = S.Agents_[Agent];
  if (C.Holder_ == Self_) {
    mergeReport(S, Agent, C);
    if (!C.Last_)
      return;
    A.State_ = CloseState::Granted;
    A.Complete_ = C.Complete_;
    if (S.YieldedTo_)
      onGrantAfterYield(C.Entry_, S, Now, Out);
  } else {
    A.State_ = CloseState::HeldByOther;
    A.Holder_ = C.Holder_;
    A.Deadline_ = Now + RecoveryTimeout;
    closeLostHolders(C.Entry_, S, Now, Out);
  }
  resolveWaiting(C.Entry_, S, Now, Out);
}

// Two recoverers may have yielded to each other. The one that ranks higher then
// revokes its yield and waits for the other's grants; the other transfers each
// grant that it still receives. One entry thus ends up with all grants.
void Recovery::onGrantAfterYield(const EntryId &Owner, OwnerState &S, Time Now,
                                 RecoveryOutputs &Out) {
  const EntryId Holder = *S.YieldedTo_;
  if (ranksBelow(Self_, Holder, Owner)) {
    yieldTo(Owner, S, Holder, Out);
    return;
  }
  S.YieldedTo_.reset();
  for (auto &[Agent, A] : S.Agents_)
    if (A.State_ == CloseState::HeldByOther)
      A.Deadline_ = Now + RecoveryTimeout;
}

void Recovery::mergeReport(OwnerState &S, const AgentId &Agent,
                           const IncarnationClosed &C) {
  S.Oldest_ = std::max(S.Oldest_, C.Oldest_);
  for (const HeldJob &Job : C.Jobs_) {
    if (S.Adopted_.count(Job.Job_) != 0)
      continue;
    ReportedJob &State = S.Jobs_[Job.Job_];
    State.Ended_ = State.Ended_ || Job.Ended_;
    for (const HeldTask &Task : Job.Tasks_) {
      const auto [It, IsNew] = State.Tasks_.try_emplace(Task.Index_);
      if (IsNew || It->second.Agent_ == Agent ||
          recordRank(Task) > recordRank(It->second.Task_))
        It->second = {Task, Agent, false};
    }
  }
}

// The results of tasks whose job has not been resubmitted yet are kept for its
// adoption.
void Recovery::onFinished(const AgentId &Agent, const TaskFinished &F) {
  const auto Owner = Owners_.find(F.Job_.Token_.Owner_);
  if (Owner == Owners_.end())
    return;
  const auto Job = Owner->second.Jobs_.find(F.Job_);
  if (Job == Owner->second.Jobs_.end())
    return;
  const auto Task = Job->second.Tasks_.find(F.Index_);
  if (Task != Job->second.Tasks_.end() && Task->second.Agent_ == Agent)
    Task->second.Task_ = {F.Index_, true, F.Outcome_, F.Result_, false};
}

RecoveryOutputs Recovery::onAgentLost(const AgentId &Agent, Time Now) {
  RecoveryOutputs Out;
  for (auto &[Owner, S] : Owners_) {
    const auto It = S.Agents_.find(Agent);
    if (It == S.Agents_.end())
      continue;
    It->second.AgentLost_ = true;
    if (It->second.State_ != CloseState::Granted)
      It->second.State_ = CloseState::Unreachable;
    for (auto &[Id, Job] : S.Jobs_)
      for (auto &[Index, Task] : Job.Tasks_)
        if (Task.Agent_ == Agent && !Task.Task_.Finished_)
          Task.AgentLost_ = true;
    resolveWaiting(Owner, S, Now, Out);
  }
  return Out;
}

RecoveryOutputs Recovery::onEntryLost(const LostEntry &Entry, Time Now) {
  RecoveryOutputs Out;
  if (ClosedBy_)
    return Out;
  LostEntries_[Entry.Entry_] = Entry;
  for (auto &[Owner, S] : Owners_) {
    if (S.Waiting_.empty())
      continue;
    closeLostHolders(Owner, S, Now, Out);
    resolveWaiting(Owner, S, Now, Out);
  }
  return Out;
}

// If the entry that holds grants for Owner is lost, its incarnation is closed,
// which passes its grants on. It may have started tasks of Owner at any agent
// that it used, so provesNotStarted() requires these agents' reports from then
// on.
void Recovery::closeLostHolders(const EntryId &Owner, OwnerState &S, Time Now,
                                RecoveryOutputs &Out) {
  std::set<EntryId> Holders;
  if (S.YieldedTo_)
    Holders.insert(*S.YieldedTo_);
  for (const auto &[Agent, A] : S.Agents_)
    if (A.State_ == CloseState::HeldByOther)
      Holders.insert(A.Holder_);
  for (const EntryId &Holder : Holders) {
    const auto Lost = LostEntries_.find(Holder);
    if (Lost == LostEntries_.end())
      continue;
    if (S.YieldedTo_ == Holder)
      S.YieldedTo_.reset();
    S.Synchronized_ = S.Synchronized_ && Lost->second.Synchronized_;
    for (const LostEntryAgent &U : Lost->second.Agents_) {
      AgentClose &A = S.Agents_[U.Agent_];
      A.Services_.insert(U.Service_);
      A.Announced_ = A.Announced_ || U.Announced_;
      A.AbandonedInEpoch_.reset();
    }
    for (auto &[Agent, A] : S.Agents_) {
      if (A.AgentLost_)
        continue;
      Out.push_back(SendToAgent{Agent, CloseIncarnation{Holder}});
      sendClose(Owner, Agent, A, Now, Out);
    }
  }
}

RecoveryOutputs Recovery::onSelfClosed(const EntryId &Holder, Time) {
  RecoveryOutputs Out;
  if (ClosedBy_)
    return Out;
  ClosedBy_ = Holder;
  for (auto &[Owner, S] : Owners_)
    for (ResumeRequest &Request : S.Waiting_)
      relay(std::move(Request), Holder, Out);
  Owners_.clear();
  return Out;
}

RecoveryOutputs Recovery::onTimer(Time Now) {
  RecoveryOutputs Out;
  for (auto &[Owner, S] : Owners_) {
    for (auto &[Agent, A] : S.Agents_)
      if (A.State_ == CloseState::Pending && A.Deadline_ <= Now)
        A.State_ = CloseState::Unreachable;
    resolveWaiting(Owner, S, Now, Out);
    if (S.Expired_ || !S.Waiting_.empty() ||
        S.Started_ + RecoveryRetention > Now)
      continue;
    S = OwnerState();
    S.Expired_ = true;
  }
  return Out;
}

// This entry yields if it ranks below another holder, if it has no grant and
// can get none, or if the other holder has not transferred its grants in time.
// It never yields after it has resumed a job, because no other entry knows
// which tasks it started.
std::optional<EntryId> Recovery::yieldTarget(const EntryId &Owner,
                                             const OwnerState &S,
                                             Time Now) const {
  if (S.YieldedTo_ || !S.Adopted_.empty())
    return std::nullopt;
  std::optional<EntryId> Best;
  bool MayGainGrants = false;
  bool AwaitsTransfer = false;
  for (const auto &[Agent, A] : S.Agents_) {
    if (A.State_ == CloseState::Granted || A.State_ == CloseState::Pending)
      MayGainGrants = true;
    if (A.State_ != CloseState::HeldByOther)
      continue;
    AwaitsTransfer = AwaitsTransfer || A.Deadline_ > Now;
    if (!Best || ranksBelow(*Best, A.Holder_, Owner))
      Best = A.Holder_;
  }
  if (!Best ||
      (ranksBelow(*Best, Self_, Owner) && MayGainGrants && AwaitsTransfer))
    return std::nullopt;
  return Best;
}

// The collected task records are dropped, since the agents report them to the
// entry that receives the grants. A lost agent cannot report again; it becomes
// unreachable, so that its earlier report is no evidence if this entry recovers
// the owner again later.
void Recovery::yieldTo(const EntryId &Owner, OwnerState &S,
                       const EntryId &Holder, RecoveryOutputs &Out) {
  S.YieldedTo_ = Holder;
  S.Jobs_.clear();
  for (auto &[Agent, A] : S.Agents_) {
    if (A.State_ != CloseState::Granted)
      continue;
    A.State_ = A.AgentLost_ ? CloseState::Unreachable : CloseState::HeldByOther;
    A.Holder_ = Holder;
    if (!A.AgentLost_)
      Out.push_back(SendToAgent{Agent, TransferGrant{Owner, Holder}});
  }
}

// Relays every waiting submission if this entry has yielded; otherwise adopts
// each job whose relevant agents have reported or timed out.
void Recovery::resolveWaiting(const EntryId &Owner, OwnerState &S, Time Now,
                              RecoveryOutputs &Out) {
  if (const auto Holder = yieldTarget(Owner, S, Now))
    yieldTo(Owner, S, *Holder, Out);
  std::vector<ResumeRequest> StillWaiting;
  for (ResumeRequest &Request : S.Waiting_) {
    if (S.YieldedTo_) {
      relay(std::move(Request), *S.YieldedTo_, Out);
    } else if (isReady(S, Request.Spec_, Now)) {
      const ReplyId Reply = Request.Reply_;
      Out.push_back(AdoptJob{adopt(S, std::move(Request.Spec_)), Reply});
    } else {
      StillWaiting.push_back(std::move(Request));
    }
  }
  S.Waiting_ = std::move(StillWaiting);
}

bool Recovery::isRelevant(const AgentClose &A, const JobSpec &Spec) {
  if (A.AbandonedInEpoch_ && *A.AbandonedInEpoch_ < Spec.Id_.Token_.Epoch_)
    return false;
  return A.Services_.empty() || A.Services_.count(Spec.Service_) != 0;
}

bool Recovery::isReady(const OwnerState &S, const JobSpec &Spec, Time Now) {
  return std::all_of(S.Agents_.begin(), S.Agents_.end(), [&](const auto &Pair) {
    const AgentClose &A = Pair.second;
    if (!isRelevant(A, Spec) || A.State_ == CloseState::Granted ||
        A.State_ == CloseState::Unreachable)
      return true;
    return A.State_ == CloseState::HeldByOther && A.Deadline_ <= Now;
  });
}

// A task without a record was never started if this entry knows every agent
// that the owner may have used, and holds the grant of each with complete
// records. At least one grant is required: without a common agent, two
// recoverers could both conclude that the job was never started.
bool Recovery::provesNotStarted(const OwnerState &S, const JobSpec &Spec) {
  if (!S.Synchronized_ || Spec.Id_.Token_.Epoch_ < S.Oldest_)
    return false;
  bool HasGrant = false;
  for (const auto &[Agent, A] : S.Agents_) {
    if (!isRelevant(A, Spec))
      continue;
    if (A.State_ == CloseState::HeldByOther)
      return false;
    if (!A.Announced_)
      continue;
    if (A.State_ != CloseState::Granted || !A.Complete_)
      return false;
    HasGrant = true;
  }
  return HasGrant;
}

// The task states of a job are passed to JobOwner once. A later submission is
// passed on without them: it attaches to the job if JobOwner still knows it,
// and is answered as unknown otherwise.
AdoptedJob Recovery::adopt(OwnerState &S, JobSpec Spec) const {
  AdoptedJob Job;
  const JobId Id = Spec.Id_;
  const bool NotStartedProven = provesNotStarted(S, Spec);
  Job.Spec_ = std::move(Spec);
  if (!S.Adopted_.insert(Id).second)
    return Job;
  const ReportedJob Reported = std::move(S.Jobs_[Id]);
  S.Jobs_.erase(Id);
  const std::size_t Count = Job.Spec_.Tasks_.size();
  const bool IndicesFit = Reported.Tasks_.empty() ||
                          Reported.Tasks_.rbegin()->first.value() < Count;
  Job.Tasks_.resize(Count);
  if (NotStartedProven && !Reported.Ended_ && IndicesFit)
    for (AdoptedTask &Task : Job.Tasks_)
      Task.State_ = TaskState::NotStarted;
  for (const auto &[Index, H] : Reported.Tasks_) {
    if (Index.value() >= Count)
      break;
    AdoptedTask &Task = Job.Tasks_[Index.value()];
    Task = {TaskState::Unknown, H.Agent_, H.Task_.Result_};
    if (H.Task_.Finished_ && H.Task_.Outcome_ != RunOutcome::Success)
      Task.State_ = TaskState::Failed;
    else if (H.Task_.Finished_ && !H.Task_.Evicted_)
      Task.State_ = TaskState::Finished;
    else if (!H.Task_.Finished_ && !H.AgentLost_)
      Task.State_ = TaskState::Running;
  }
  for (const auto &[Agent, A] : S.Agents_)
    if (A.State_ == CloseState::Granted && !A.AgentLost_)
      Job.Granted_.push_back(Agent);
  return Job;
}

// A submission is relayed at most once, so that two entries that yielded to
// each other do not relay it back and forth.
void Recovery::relay(ResumeRequest Request, const EntryId &To,
                     RecoveryOutputs &Out) {
  const JobId Id = Request.Spec_.Id_;
  if (Request.RelayedBy_) {
    JobAnswer A = plainAnswer(Outcome::Unknown, "owner_unreachable",
                              "the job is resumed by " + To.str());
    A.RetryAfter_ = RelayRetryAfter;
    Out.push_back(SendAnswer{Request.Reply_, Id, std::move(A)});
    return;
  }
  Out.push_back(jobEvent(events::JobRelayed, Id, {{"to", To.str()}}));
  Out.push_back(RelayToEntry{To, Request.Reply_, std::move(Request.Spec_)});
}

} // namespace chivelanding
