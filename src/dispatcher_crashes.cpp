#include "dispatcher.h"

#include <algorithm>
#include <cmath>
#include <functional>

// Tasks that crash endpoints: what is known of them, and where jobs of a route
// that has such tasks may run.
namespace chivelanding {
namespace {

// After a crash, jobs of a confined route use one endpoint at a time for this
// long: with one crash a second or more, a second one at once costs too much.
constexpr Duration OneEndpointPeriod = std::chrono::seconds(2);

// Time constant of the mean of the needed CPU: a few runs of the longest usual
// kind.
constexpr double NeededCpuTimeConstantS = 2;
// Share of the open CPU above which jobs may wait for more.
constexpr double FullShare = 0.85;

// True for the ages of crashes and runs that an agent or entry may report.
bool isPlausibleAge(Duration Age) {
  return Age >= Duration(0) && Age <= std::chrono::hours(24 * 365);
}

} // namespace

void Dispatcher::onCrash(const PeerId &From, const EndpointCrashed &C,
                         Time Now) {
  AgentView *A = Agents_.find(From);
  const bool Plausible =
      isPlausibleAge(C.Age_) &&
      std::all_of(C.Runs_.begin(), C.Runs_.end(),
                  [](const CrashedRun &R) { return isPlausibleAge(R.Age_); });
  if (!Plausible)
    log(events::ItemsSkipped, {{"source", From.str()},
                               {"items", "1"},
                               {"first", "crash with an age out of range"}});
  if (!A || !Plausible || !Crashes_.onCrash(C, Now))
    return;
  A->CrashedAt_ = std::max(A->CrashedAt_, Now - C.Age_);
  std::map<std::string, std::size_t> Runs;
  for (const CrashedRun &R : C.Runs_)
    ++Runs[R.Route_];
  std::string Routes;
  for (const auto &[Route, Count] : Runs)
    Routes += (Routes.empty() ? "" : ",") + Route + ":" + std::to_string(Count);
  log(events::CrashRecorded, {{"agent", From.str()},
                              {"endpoint", C.Endpoint_},
                              {"runs", std::to_string(C.Runs_.size())},
                              {"routes", Routes}});
  applyConfinements(Now);
}

void Dispatcher::onCrashWithdrawn(const PeerId &From, const EndpointAlive &E,
                                  Time Now) {
  if (!Crashes_.onAlive(E, Now))
    return;
  log(events::CrashWithdrawn,
      {{"agent", From.str()}, {"endpoint", E.Endpoint_}});
  applyConfinements(Now);
}

void Dispatcher::onEntryUp(const PeerId &Entry, Time Now) {
  for (const RouteConfined &Confined : Crashes_.provedRoutes(Now))
    Out_.push_back(MessageToEntries{Entry, Confined});
}

void Dispatcher::onEntryMessage(const Message &M, Time Now) {
  if (const auto *Cleared = std::get_if<SuspectCleared>(&M))
    Crashes_.onCompleted(Cleared->Job_, Cleared->Index_, Now);
  else if (const auto *Confined = std::get_if<RouteConfined>(&M);
           Confined && isPlausibleAge(Confined->Age_))
    Crashes_.onConfined(*Confined, Now);
  applyConfinements(Now);
}

void Dispatcher::clearSuspect(const Job &J, TaskIndex Task, Time Now) {
  if (!Crashes_.onCompleted(J.Spec_.Key_, Task, Now))
    return;
  Out_.push_back(MessageToEntries{{}, SuspectCleared{J.Spec_.Key_, Task}});
  applyConfinements(Now);
}

void Dispatcher::applyConfinements(Time Now) {
  const auto Changes = Crashes_.takeChanges();
  for (const CrashLedger::Change &C : Changes) {
    log(C.Confined_ ? events::RouteConfined : events::RouteReleased,
        {{"route", C.Route_}});
    if (C.Confined_)
      ConfinedRoutes_.insert(C.Route_);
    else
      ConfinedRoutes_.erase(C.Route_);
  }
  if (!Changes.empty())
    reserveAgents(Now);
}

// What is in use says how much is needed only while some is free: endpoints
// that are down must not make the need look smaller.
void Dispatcher::updateNeededCpu(Time Now) {
  std::set<ServiceName> Services;
  for (const auto &[Route, Service] : RouteServices_)
    Services.insert(Service);
  const double Decay =
      std::exp(-seconds(Now - NeededCpuAt_) / NeededCpuTimeConstantS);
  NeededCpuAt_ = Now;
  for (const ServiceName &Service : Services) {
    const AgentPool::OpenCpu Open = Agents_.openCpu(Service);
    double &Needed = NeededCpu_.try_emplace(Service, Open.Used_).first->second;
    if (Open.Used_ > Needed || Open.Used_ < FullShare * Open.Capacity_)
      Needed = Open.Used_ + (Needed - Open.Used_) * Decay;
  }
}

// Called on each change and periodically, since agents come and go.
void Dispatcher::reserveAgents(Time Now) {
  std::map<ServiceName, std::vector<std::string>> ByService;
  for (const auto &[Route, Service] : RouteServices_)
    if (ConfinedRoutes_.count(Route) > 0)
      ByService[Service].push_back(Route);
  for (auto &[Peer, A] : Agents_.all())
    if (ConfinedRoutes_.count(A.ReservedFor_) == 0)
      A.ReservedFor_.clear();
  for (const auto &[Service, Routes] : ByService)
    Agents_.reserveFor(Service, Routes, NeededCpu_[Service], Now);
}

bool Dispatcher::isConfined(const Job &J) const {
  return Crashes_.isConfined(J.Spec_.Route_.Name_);
}

std::size_t Dispatcher::waitingNewJobs(const std::string &Route) const {
  return static_cast<std::size_t>(
      std::count_if(Queue_.begin(), Queue_.end(), [&](const QueueKey &Key) {
        const Job &J = Jobs_.at(Key.second);
        return J.Spec_.Route_.Name_ == Route && J.OutstandingRuns_ == 0 &&
               !Crashes_.isSuspect(J.Spec_.Key_);
      }));
}

// A job of a confined route waits only while the endpoints of its route can
// soon take it: one job each. If all of them are down, none is back in time.
void Dispatcher::refuseConfinedSurplus(Job &J, Time Now) {
  const JobRoute &Route = J.Spec_.Route_;
  if (J.OutstandingRuns_ == 0 && !J.MayHaveRun_ &&
      waitingNewJobs(Route.Name_) >
          Agents_.reservedAgents(Route.Service_, Route.Name_).Usable_)
    refuse(J, "route_confined", Now);
}

// A suspect is run again only while the route has endpoints to spare. If it is
// not proved that the route crashes endpoints, its suspects come first: the
// route is acquitted if they complete.
bool Dispatcher::mayTestSuspect(const JobRoute &Route) const {
  const std::uint32_t Empty =
      Agents_.reservedAgents(Route.Service_, Route.Name_).Empty_;
  if (!Crashes_.isProved(Route.Name_))
    return Empty > 0;
  return Empty > 1 && waitingNewJobs(Route.Name_) == 0;
}

// The second case leaves it to the caller to submit the job again: whether it
// is guilty is not known, and to find out may cost another endpoint.
bool Dispatcher::answerSuspect(Job &J, Time Now) {
  if (!Crashes_.isSuspect(J.Spec_.Key_))
    return false;
  for (std::size_t I = 0; I < J.Tasks_.size(); ++I)
    if (Crashes_.isGivenUp(J.Spec_.Key_,
                           TaskIndex(static_cast<std::uint32_t>(I)))) {
      answer(J, JobEnding::Failed, "crashed_endpoints", {}, Now);
      return true;
    }
  if (J.OutstandingRuns_ > 0 || !isConfined(J) ||
      !Crashes_.isProved(J.Spec_.Route_.Name_) ||
      mayTestSuspect(J.Spec_.Route_))
    return false;
  answer(J, JobEnding::Unknown, "crash_suspect", {}, Now);
  return true;
}

// The suspects of one crash belong to several entries, which rerun them at the
// same time. Each entry gives them the same agents, one each: by the position
// of the suspect and the rank of the agent.
std::optional<std::string> Dispatcher::agentForSuspect(const Job &J,
                                                       TaskIndex Task) const {
  const auto Position = Crashes_.positionOf(J.Spec_.Key_, Task);
  if (!Position)
    return std::nullopt;
  std::vector<std::pair<std::size_t, std::string>> Ranks;
  for (const auto &[Peer, A] : Agents_.all())
    if (A.Report_.Service_ == J.Spec_.Route_.Service_ && A.isOpen() &&
        A.ReservedFor_.empty() && !A.Standby_)
      Ranks.emplace_back(
          std::hash<std::string>()(Position->Endpoint_ + '\n' + Peer.Name_),
          Peer.Name_);
  if (Ranks.empty())
    return std::nullopt;
  std::sort(Ranks.begin(), Ranks.end());
  return Ranks[Position->Job_ % Ranks.size()].second;
}

// Runs a job of a confined route beside no other route, and shortly after a
// crash at one endpoint at a time, so that it can crash no more than one. A
// suspect runs alone, where a crash proves its guilt. True if nothing of the
// job waits for room.
bool Dispatcher::placeConfined(Job &J, Time Now) {
  const JobRoute &Route = J.Spec_.Route_;
  const bool Suspect = Crashes_.isSuspect(J.Spec_.Key_);
  const Isolation I = Suspect ? Isolation::SameJob : Isolation::SameRoute;
  const bool OneEndpoint =
      Suspect || Crashes_.crashedWithin(Route.Name_, OneEndpointPeriod, Now);
  std::map<PeerId, StartRuns> Messages;
  while (J.WaitingTasks_ > 0 && (!OneEndpoint || J.OutstandingRuns_ == 0)) {
    AgentPool::ReservedChoice Choice =
        Agents_.chooseReserved(Route.Service_, Route.Name_, J.Spec_.Need_,
                               J.WaitingTasks_, I, OneEndpoint);
    if (!Choice.Agent_)
      break;
    for (std::size_t Index = 0; Index < J.Tasks_.size(); ++Index)
      if (J.Tasks_[Index].State_ == State::Waiting && Choice.Slots_ > 0) {
        --Choice.Slots_;
        dispatchTask(J, Index, *Choice.Agent_, I, Messages);
      }
  }
  sendStarts(J, std::move(Messages), Now);
  return J.WaitingTasks_ == 0 || (OneEndpoint && J.OutstandingRuns_ > 0);
}

} // namespace chivelanding
