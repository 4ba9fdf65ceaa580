#include "run_agents.h"

#include <algorithm>

namespace chivelanding {
namespace {

// Agents looked at for one choice. Two random choices already bound the
// imbalance; more make up for reports that are a few milliseconds old, and the
// cost does not grow with the fleet.
constexpr std::size_t Candidates = 6;
// An agent is set aside above this share of failed runs, if its peers are
// better by Margin. A kind that fails everywhere sets nobody aside.
constexpr std::uint32_t FailedLimit = 450;
constexpr std::uint32_t FailedMargin = 250;
// An agent is set aside above this multiple of the median slowness.
constexpr double SlownessLimit = 1.8;
// Share of the fleet that may be set aside at once.
constexpr double MaxSetAside = 0.4;
// Free share of an endpoint that a tenfold slowness outweighs.
constexpr double SlownessWeight = 0.6;
// Preference for the own zone, as a free share: it saves a millisecond a way.
constexpr double OwnZoneBonus = 0.04;
// Preference for the rack of a task's data, as a free share: runs elsewhere
// take half as long again or more, so only a nearly full rack is passed over.
constexpr double DataRackBonus = 0.8;

// Places of an endpoint for runs that state no processor need.
constexpr std::uint32_t MaxPlaces = 1000;

std::uint32_t median(std::vector<std::uint32_t> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

// Runs of this size that fit into Room.
std::uint32_t places(const Resources &Room, const Resources &Need) {
  std::uint32_t Count = Need.Cpu_ > 0 ? Room.Cpu_ / Need.Cpu_ : MaxPlaces;
  if (Need.MemoryMb_ > 0)
    Count = std::min(Count, Room.MemoryMb_ / Need.MemoryMb_);
  return Count;
}

} // namespace

RunAgents::RunAgents(ZoneName Zone, std::uint64_t Seed)
    : Zone_(std::move(Zone)), Random_(Seed) {}

RunAgent &RunAgents::onUp(const PeerId &Peer, Time Now) {
  RunAgent &A = Agents_[Peer];
  A.Peer_ = Peer;
  A.ReportedAt_ = Now;
  A.Suspected_ = false;
  A.Standby_ = false;
  A.InUseSince_ = Now;
  return A;
}

void RunAgents::onReport(RunAgent &A, const EndpointReport &R, Time Now) {
  A.Report_ = R;
  A.ReportedAt_ = Now;
  while (!A.Unseen_.empty() && A.Unseen_.front().first <= R.SeenSequence_)
    A.Unseen_.pop_front();
}

void RunAgents::setStandby(RunAgent &A, bool Standby, Time Now) {
  A.Standby_ = Standby;
  if (!Standby)
    A.InUseSince_ = Now;
}

void RunAgents::remove(const PeerId &Peer) { Agents_.erase(Peer); }

RunAgent *RunAgents::find(const PeerId &Peer) {
  const auto It = Agents_.find(Peer);
  return It == Agents_.end() ? nullptr : &It->second;
}

void RunAgents::reserve(RunAgent &A, std::uint64_t Sequence, Resources Need) {
  A.Unseen_.emplace_back(Sequence, Need);
}

Resources RunAgents::freeRoom(const RunAgent &A) {
  if (!A.ready())
    return {};
  Resources Free = A.Report_.Free_;
  for (const auto &[Sequence, Need] : A.Unseen_)
    Free = minus(Free, Need);
  return Free;
}

double RunAgents::score(const RunAgent &A, const Wish &W) const {
  const Resources Free = freeRoom(A);
  const double Left = static_cast<double>(Free.Cpu_ - W.Need_.Cpu_) /
                      std::max<double>(1, A.Report_.Capacity_.Cpu_);
  const double Share = W.Tight_ ? -Left : Left;
  const double Slow = A.Report_.SlownessPermille_ / MedianSlowness_ - 1;
  const double Zone = A.Report_.Zone_ == Zone_ ? OwnZoneBonus : 0;
  const double Near =
      !W.Rack_.empty() && A.Report_.Rack_ == W.Rack_ ? DataRackBonus : 0;
  return Share + Zone + Near - SlownessWeight * Slow;
}

// Looks at a few agents from a random position on. All of them are looked at
// before the answer is "none", so that no free place is missed. The avoided
// agent is taken only if the service has no other that may be used.
RunAgent *RunAgents::choose(const Wish &W) {
  if (Agents_.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> Position(0, Agents_.size() - 1);
  auto It = std::next(Agents_.begin(),
                      static_cast<std::ptrdiff_t>(Position(Random_)));
  RunAgent *Best = nullptr;
  RunAgent *Last = nullptr;
  double BestScore = 0;
  std::size_t Fitting = 0;
  bool HasOther = false;
  for (std::size_t I = 0;
       I < Agents_.size() && (Fitting < Candidates || !W.Rack_.empty()); ++I) {
    if (It == Agents_.end())
      It = Agents_.begin();
    RunAgent &A = (It++)->second;
    if (A.Report_.Service_ != W.Service_ || !A.ready())
      continue;
    const bool Avoided = W.Avoid_ && A.Peer_.Name_ == *W.Avoid_;
    HasOther = HasOther || !Avoided;
    if (!fits(W.Need_, freeRoom(A)))
      continue;
    if (Avoided) {
      Last = &A;
      continue;
    }
    if (A.SetAside_ && A.Running_ > 0)
      continue;
    ++Fitting;
    const double Score = score(A, W);
    if (!Best || Score > BestScore) {
      Best = &A;
      BestScore = Score;
    }
  }
  return Best || HasOther ? Best : Last;
}

RunAgents::Totals RunAgents::totals(const ServiceName &Service,
                                    const Resources &Need) const {
  Totals T;
  for (const auto &[Peer, A] : Agents_) {
    if (A.Report_.Service_ != Service)
      continue;
    T.LargestCpu_ = std::max(T.LargestCpu_, A.Report_.Capacity_.Cpu_);
    T.LargestMemoryMb_ =
        std::max(T.LargestMemoryMb_, A.Report_.Capacity_.MemoryMb_);
    if (!A.ready() || A.SetAside_)
      continue;
    ++T.Usable_;
    const Resources Free = freeRoom(A);
    T.FreeCpu_ += Free.Cpu_;
    T.Places_ += places(A.Report_.Capacity_, Need);
    T.FreePlaces_ += places(Free, Need);
  }
  return T;
}

std::vector<const RunAgent *> RunAgents::compare() {
  std::vector<std::uint32_t> Slowness;
  std::vector<std::uint32_t> Failed;
  std::vector<RunAgent *> Usable;
  for (auto &[Peer, A] : Agents_) {
    if (!A.Report_.Usable_)
      continue;
    Slowness.push_back(A.Report_.SlownessPermille_);
    Failed.push_back(A.Report_.FailedPermille_);
    Usable.push_back(&A);
  }
  MedianSlowness_ = std::max<double>(1, median(Slowness));
  const std::uint32_t MedianFailed = median(Failed);
  const auto Badness = [&](const RunAgent &A) {
    const double Slow = A.Report_.SlownessPermille_ / MedianSlowness_;
    const bool Fails = A.Report_.FailedPermille_ > FailedLimit &&
                       A.Report_.FailedPermille_ > MedianFailed + FailedMargin;
    return Fails ? 10 + Slow : (Slow > SlownessLimit ? Slow : 0);
  };
  std::sort(Usable.begin(), Usable.end(),
            [&](const RunAgent *A, const RunAgent *B) {
              return Badness(*A) > Badness(*B);
            });
  std::size_t Left = static_cast<std::size_t>(
      MaxSetAside * static_cast<double>(Usable.size()));
  std::vector<const RunAgent *> Changed;
  for (RunAgent *A : Usable) {
    const bool Bad = Badness(*A) > 0 && Left > 0;
    Left -= Bad ? 1 : 0;
    if (A->SetAside_ != Bad)
      Changed.push_back(A);
    A->SetAside_ = Bad;
  }
  return Changed;
}

} // namespace chivelanding
