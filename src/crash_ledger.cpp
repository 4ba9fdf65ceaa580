#include "crash_ledger.h"

#include <algorithm>
#include <utility>

namespace chivelanding {
namespace {

// Bounds the memory for records, each of which has the runs of one endpoint.
constexpr std::size_t MaxRecords = 256;
// A task is given up after this many crashes, at least one of which took an
// endpoint that ran no other job: neighbours on an endpoint share its crash.
constexpr std::uint32_t GiveUpCrashes = 2;
// A task is given up after this many crashes in any company.
constexpr std::uint32_t GiveUpSharedCrashes = 3;
// Crashes under one task that show that its route crashes endpoints.
constexpr std::uint32_t ConfineCrashes = 2;
// A series: this many crashes within SeriesLength, each at least SeriesGap
// after the one before. Endpoints that fail together, such as those of a rack,
// are found within less.
constexpr std::size_t SeriesCrashes = 3;
constexpr Duration SeriesLength = std::chrono::seconds(1);
constexpr Duration SeriesGap = std::chrono::milliseconds(50);

bool isRun(const CrashedRun &Run, const JobKey &Job, TaskIndex Task) {
  return Run.Index_ == Task && Run.Job_ == Job;
}

} // namespace

std::deque<CrashLedger::Record>::iterator
CrashLedger::find(const std::string &Endpoint, std::uint64_t StartedMs) {
  return std::find_if(Records_.begin(), Records_.end(), [&](const Record &R) {
    return R.Crash_.Endpoint_ == Endpoint && R.Crash_.StartedMs_ == StartedMs;
  });
}

void CrashLedger::forget(const std::deque<Record>::iterator &R) {
  for (const CrashedRun &Run : R->Crash_.Runs_) {
    const auto It = RunsByJob_.find(Run.Job_);
    if (--It->second == 0)
      RunsByJob_.erase(It);
  }
  Records_.erase(R);
}

bool CrashLedger::onCrash(const EndpointCrashed &Crash, Time Now) {
  if (Crash.Runs_.empty() || Crash.Age_ >= Limits_.Retention_ ||
      find(Crash.Endpoint_, Crash.StartedMs_) != Records_.end())
    return false;
  const CrashedRun &First = Crash.Runs_.front();
  Record R{Crash, Now - Crash.Age_, true, true, {}};
  for (const CrashedRun &Run : Crash.Runs_) {
    R.OneJob_ = R.OneJob_ && Run.Job_ == First.Job_;
    R.OneRoute_ = R.OneRoute_ && Run.Route_ == First.Route_;
    ++RunsByJob_[Run.Job_];
    if (R.Jobs_.empty() || !(R.Jobs_.back() == Run.Job_))
      R.Jobs_.push_back(Run.Job_);
    const auto It = Confined_.find(Run.Route_);
    if (It != Confined_.end())
      It->second.LastCrash_ = std::max(It->second.LastCrash_, R.At_);
  }
  const auto Only = Confined_.find(First.Route_);
  if (R.OneRoute_ && Only != Confined_.end())
    Only->second.Proved_ = true;
  Records_.push_back(std::move(R));
  if (Records_.size() > MaxRecords)
    forget(Records_.begin());
  evaluate(Now);
  return true;
}

bool CrashLedger::onAlive(const EndpointAlive &Endpoint, Time Now) {
  const auto Known = find(Endpoint.Endpoint_, Endpoint.StartedMs_);
  if (Known == Records_.end())
    return false;
  forget(Known);
  evaluate(Now);
  return true;
}

bool CrashLedger::onCompleted(const JobKey &Job, TaskIndex Task, Time Now) {
  const auto Known = RunsByJob_.find(Job);
  if (Known == RunsByJob_.end())
    return false;
  std::uint32_t Removed = 0;
  for (Record &R : Records_) {
    auto &Runs = R.Crash_.Runs_;
    const auto End =
        std::remove_if(Runs.begin(), Runs.end(), [&](const CrashedRun &Run) {
          return isRun(Run, Job, Task);
        });
    Removed += static_cast<std::uint32_t>(Runs.end() - End);
    Runs.erase(End, Runs.end());
  }
  Known->second -= Removed;
  if (Known->second == 0)
    RunsByJob_.erase(Known);
  if (Removed > 0)
    evaluate(Now);
  return Removed > 0;
}

// The confined route to which a crash is attributed; null if there is none.
const std::string *CrashLedger::explanation(const Record &R) const {
  for (const CrashedRun &Run : R.Crash_.Runs_)
    if (Confined_.count(Run.Route_) > 0)
      return &Run.Route_;
  return nullptr;
}

// Acquits the routes whose suspects have completed, unless endpoints that ran
// nothing else have crashed, and confines those against which the remaining
// evidence speaks. After a series, the quiet time decides: until the endpoints
// of the route are empty, neither new jobs nor suspects show anything.
void CrashLedger::evaluate(Time Now) {
  if (Records_.empty() && Confined_.empty())
    return;
  std::vector<std::string> Acquitted;
  for (const auto &[Route, C] : Confined_)
    if (!C.Proved_ && !C.OfSeries_ && !hasRepeatedSuspect(Route))
      Acquitted.push_back(Route);
  for (const std::string &Route : Acquitted) {
    Confined_.erase(Route);
    Changes_.push_back({Route, false});
  }
  for (std::string Route = routeToConfine(Now); !Route.empty();
       Route = routeToConfine(Now))
    confine(Route, Now);
  const std::string Series = routeOfSeries(Now);
  if (Series.empty())
    return;
  confine(Series, Now);
  Confined_[Series].OfSeries_ = true;
}

// Endpoints that crash one after the other, each right after a run of the same
// route was started there, leave no time to wait for a task to meet its second
// crash: that takes until the leases have expired.
std::string CrashLedger::routeOfSeries(Time Now) const {
  const std::string *Route = nullptr;
  Time Next = Now + SeriesGap;
  std::size_t Crashes = 0;
  for (auto R = Records_.rbegin();
       R != Records_.rend() && Crashes < SeriesCrashes; ++R) {
    if (R->At_ + SeriesLength < Now)
      break;
    if (R->At_ + SeriesGap > Next)
      continue;
    if (R->Crash_.Runs_.empty() || explanation(*R))
      return "";
    const auto Youngest =
        std::min_element(R->Crash_.Runs_.begin(), R->Crash_.Runs_.end(),
                         [](const CrashedRun &A, const CrashedRun &B) {
                           return A.Age_ < B.Age_;
                         });
    if (Route && *Route != Youngest->Route_)
      return "";
    Route = &Youngest->Route_;
    Next = R->At_;
    ++Crashes;
  }
  return Crashes == SeriesCrashes ? *Route : "";
}

bool CrashLedger::hasRepeatedSuspect(const std::string &Route) const {
  std::map<std::pair<JobKey, TaskIndex>, std::uint32_t> Crashes;
  for (const Record &R : Records_)
    for (const CrashedRun &Run : R.Crash_.Runs_)
      if (Run.Route_ == Route &&
          ++Crashes[{Run.Job_, Run.Index_}] >= ConfineCrashes)
        return true;
  return false;
}

// A task that was on two crashed endpoints is the cause of both, or has met a
// culprit twice. Of several such tasks, the one with the most crashes is the
// likeliest, then the one that was started last before them: neighbours were
// at any point of their run at the first crash. Crashes that are older than
// the time for which a route is confined, or that a confined route
// explains prove nothing about the neighbours of its tasks.
std::string CrashLedger::routeToConfine(Time Now) const {
  struct Suspect {
    std::uint32_t Crashes_ = 0;
    Duration Ages_{0};
    const std::string *Route_ = nullptr;
  };
  std::map<std::pair<JobKey, TaskIndex>, Suspect> Suspects;
  for (const Record &R : Records_) {
    if (R.At_ + Limits_.Hold_ <= Now || explanation(R))
      continue;
    for (const CrashedRun &Run : R.Crash_.Runs_) {
      Suspect &S = Suspects[{Run.Job_, Run.Index_}];
      ++S.Crashes_;
      S.Ages_ += Run.Age_;
      S.Route_ = &Run.Route_;
    }
  }
  const Suspect *Best = nullptr;
  for (const auto &[Task, S] : Suspects)
    if (S.Crashes_ >= ConfineCrashes &&
        (!Best || S.Crashes_ > Best->Crashes_ ||
         (S.Crashes_ == Best->Crashes_ && S.Ages_ < Best->Ages_)))
      Best = &S;
  return Best ? *Best->Route_ : "";
}

void CrashLedger::confine(const std::string &Route, Time Now) {
  Confinement C;
  C.Hold_ = Limits_.Hold_;
  const auto Before = Released_.find(Route);
  if (Before != Released_.end() &&
      Before->second.At_ + Limits_.RelapseTime_ > Now)
    C.Hold_ = std::min(2 * Before->second.Hold_, Limits_.MaxHold_);
  for (const Record &R : Records_)
    for (const CrashedRun &Run : R.Crash_.Runs_)
      if (Run.Route_ == Route)
        C.LastCrash_ = std::max(C.LastCrash_, R.At_);
  Confined_[Route] = C;
  Changes_.push_back({Route, true});
}

void CrashLedger::onConfined(const RouteConfined &Confined, Time Now) {
  if (isConfined(Confined.Route_) || Confined.Age_ >= Limits_.Hold_)
    return;
  Confined_[Confined.Route_] = {Now - Confined.Age_, Limits_.Hold_, true};
  Changes_.push_back({Confined.Route_, true});
}

std::vector<RouteConfined> CrashLedger::provedRoutes(Time Now) const {
  std::vector<RouteConfined> Result;
  for (const auto &[Route, C] : Confined_)
    if (C.Proved_)
      Result.push_back({Route, Now - C.LastCrash_});
  return Result;
}

// The crashes that the route explains are forgotten with it, so that they
// confine neither it nor the neighbours of its tasks.
void CrashLedger::release(const std::string &Route, Time Now) {
  for (auto It = Records_.begin(); It != Records_.end();) {
    const std::string *Explanation = explanation(*It);
    const auto Index = It - Records_.begin();
    if (Explanation && *Explanation == Route) {
      forget(It);
      It = Records_.begin() + Index;
    } else {
      ++It;
    }
  }
  Released_[Route] = {Now, Confined_.at(Route).Hold_};
  Confined_.erase(Route);
  Changes_.push_back({Route, false});
}

void CrashLedger::onTimer(Time Now) {
  while (!Records_.empty() && Records_.front().At_ + Limits_.Retention_ <= Now)
    forget(Records_.begin());
  for (auto It = Released_.begin(); It != Released_.end();)
    It = It->second.At_ + Limits_.RelapseTime_ <= Now ? Released_.erase(It)
                                                      : std::next(It);
  std::vector<std::string> Due;
  for (const auto &[Route, C] : Confined_)
    if (C.LastCrash_ + C.Hold_ <= Now)
      Due.push_back(Route);
  for (const std::string &Route : Due)
    release(Route, Now);
  evaluate(Now);
}

std::vector<CrashLedger::Change> CrashLedger::takeChanges() {
  std::vector<Change> Result = std::move(Changes_);
  Changes_.clear();
  return Result;
}

bool CrashLedger::crashedWithin(const std::string &Route, Duration Age,
                                Time Now) const {
  const auto It = Confined_.find(Route);
  return It != Confined_.end() && It->second.LastCrash_ + Age >= Now;
}

bool CrashLedger::isSuspect(const JobKey &Job) const {
  if (RunsByJob_.count(Job) == 0)
    return false;
  return std::any_of(Records_.begin(), Records_.end(), [&](const Record &R) {
    const std::string *Explanation = explanation(R);
    return std::any_of(R.Crash_.Runs_.begin(), R.Crash_.Runs_.end(),
                       [&](const CrashedRun &Run) {
                         return Run.Job_ == Job &&
                                (!Explanation || *Explanation == Run.Route_);
                       });
  });
}

bool CrashLedger::isGivenUp(const JobKey &Job, TaskIndex Task) const {
  if (RunsByJob_.count(Job) == 0)
    return false;
  std::uint32_t Crashes = 0;
  std::uint32_t Alone = 0;
  for (const Record &R : Records_) {
    const std::string *Explanation = explanation(R);
    const auto Run =
        std::find_if(R.Crash_.Runs_.begin(), R.Crash_.Runs_.end(),
                     [&](const CrashedRun &X) { return isRun(X, Job, Task); });
    if (Run == R.Crash_.Runs_.end() ||
        (Explanation && *Explanation != Run->Route_))
      continue;
    ++Crashes;
    Alone += R.OneJob_ ? 1 : 0;
  }
  return Crashes >= GiveUpSharedCrashes ||
         (Crashes >= GiveUpCrashes && Alone > 0);
}

std::optional<CrashLedger::Position>
CrashLedger::positionOf(const JobKey &Job, TaskIndex Task) const {
  if (RunsByJob_.count(Job) == 0)
    return std::nullopt;
  for (auto R = Records_.rbegin(); R != Records_.rend(); ++R) {
    const auto &Runs = R->Crash_.Runs_;
    if (std::none_of(Runs.begin(), Runs.end(), [&](const CrashedRun &Run) {
          return isRun(Run, Job, Task);
        }))
      continue;
    const auto Place = std::find(R->Jobs_.begin(), R->Jobs_.end(), Job);
    return Position{R->Crash_.Endpoint_,
                    static_cast<std::size_t>(Place - R->Jobs_.begin())};
  }
  return std::nullopt;
}

bool CrashLedger::isProved(const std::string &Route) const {
  const auto It = Confined_.find(Route);
  return It != Confined_.end() && It->second.Proved_;
}

} // namespace chivelanding
