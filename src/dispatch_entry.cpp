#include "dispatch_entry.h"

#include "clock.h"
#include "config_feed.h"
#include "cordon_exchange.h"
#include "counted_store.h"
#include "dispatch_metrics.h"
#include "drain_plan.h"
#include "drop_log.h"
#include "durations.h"
#include "entry_config.h"
#include "entry_presence.h"
#include "http_server.h"
#include "lease_plan.h"
#include "metrics.h"
#include "pause_monitor.h"
#include "peer_hub.h"
#include "periodic_timer.h"
#include "random_number.h"
#include "resource_plan.h"
#include "status_server.h"
#include "waiting_callers.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace chivelanding {
namespace {

namespace asio = boost::asio;

// Period of the decision modules' timers; a tenth of the shortest wait allowed
// for a job.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// Limits of a caller's request: a job has up to 4,000 bytes of text, which JSON
// may escape, and a few hundred bytes of steps.
constexpr std::uint32_t MaxHeaderBytes = 16u << 10;
constexpr std::uint64_t MaxBodyBytes = 256u << 10;
constexpr Duration ReadTimeout = std::chrono::seconds(3);
constexpr Duration IdleTimeout = std::chrono::seconds(60);
// The kernel takes twice as much. Most requests and all responses fit; with
// 2,460 connections, the buffers of all take 59 MB at most.
constexpr std::uint32_t ReceiveBufferBytes = 8u << 10;
constexpr std::uint32_t SendBufferBytes = 4u << 10;
// Time after a pause in which no run is started, so that the ends of callers'
// connections arrive that were held back with the VM.
constexpr Duration CallerCheckDelay = std::chrono::milliseconds(20);

DispatchLimits dispatchLimits(const LeaseSettings &Leases,
                              const ResourcePlan &Plan) {
  DispatchLimits Limits;
  Limits.Leases_ = planLeases(Leases);
  Limits.MaxJobs_ = Plan.Jobs_;
  Limits.MaxJobBytes_ = Plan.JobBytes_;
  return Limits;
}

HttpServerLimits callerLimits(const ResourcePlan &Plan) {
  HttpServerLimits Limits;
  Limits.MaxHeaderBytes_ = MaxHeaderBytes;
  Limits.MaxBodyBytes_ = MaxBodyBytes;
  Limits.MaxConnections_ = Plan.CallerConnections_;
  Limits.ReadTimeout_ = ReadTimeout;
  Limits.IdleTimeout_ = IdleTimeout;
  Limits.MaxHeldBytes_ = Plan.RequestBytes_;
  Limits.ReceiveBufferBytes_ = ReceiveBufferBytes;
  Limits.SendBufferBytes_ = SendBufferBytes;
  return Limits;
}

} // namespace

struct DispatchEntry::Impl : std::enable_shared_from_this<DispatchEntry::Impl> {
  Impl(asio::io_context &Io, DispatchEntrySettings Settings, EntryPorts Ports,
       EventLog &Log);

  PeerHandler makeHandler();
  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  void onSubmit(SubmitRequest Request, const HttpReplyPtr &Reply, Time Now);
  void refuseSubmission(const JobKey &Job, const char *Code,
                        const HttpReplyPtr &Reply);
  void onCancel(const CancelRequest &Request, const HttpReplyPtr &Reply);
  void onCallerDisconnected(JobNumber Job, const HttpReply *Reply, Time Now);
  void limitCallers(Time Now);
  void onAnswer(const AnswerJob &A);
  void sendAnswer(const AnswerJob &A, const std::vector<WaitingCaller> &Callers,
                  Time Now);
  void onPeerMessage(const PeerId &From, const Message &M);
  void apply();
  void applyCordons(Time Now);
  bool isReady();
  HttpResponse metrics();
  /// Returns the current time. Called before an event is handled, to notice
  /// that the process was paused before it.
  Time beginEvent();
  void onPause(Duration Pause, Time Now);
  void checkCallers(JobNumber Job, Time Now);
  void checkAllCallers(Time Now);
  void onTick(Time Now);
  void checkReady();
  void drain();
  void advanceDrain(Time Now);

  asio::io_context &Io_;
  DispatchEntrySettings Settings_;
  ResourcePlan Resources_;
  EntryPorts Ports_;
  EventLog &Log_;
  EntryId Self_;
  Dispatcher Dispatcher_;
  Metrics Metrics_;
  CountedStore Store_;
  HttpServer Http_;
  StatusServer ReadyServer_;
  StatusServer MetricsServer_;
  PeerHub Hub_;
  EntryConfig Config_;
  CordonExchange Cordons_;
  ConfigFeed ConfigFeed_;
  EntryPresence Presence_;
  PeriodicTimer Timer_;
  PauseMonitor Pauses_;
  /// Set after a pause until the callers have been checked again.
  std::optional<Time> CallerCheckDue_;
  WaitingCallers WaitingCallers_;
  std::set<PeerId> ConnectedEntries_;
  std::optional<DrainPlan> Drain_;
  std::optional<bool> WasReady_;
  bool Stopped_ = false;
};

DispatchEntry::Impl::Impl(asio::io_context &Io, DispatchEntrySettings Settings,
                          EntryPorts Ports, EventLog &Log)
    : Io_(Io), Settings_(std::move(Settings)),
      Resources_(planResources(Settings_.Process_.Resources_)),
      Ports_(std::move(Ports)),
      Log_(Log), Self_{Settings_.Process_.Name_,
                       Incarnation(drawRandomNumber())},
      Dispatcher_(Self_.Name_, Settings_.Process_.Zone_,
                  dispatchLimits(Settings_.Leases_, Resources_),
                  drawRandomNumber()),
      Metrics_({{"role", "entry"}, {"name", Self_.Name_}}),
      Store_(*Ports_.Store_, Metrics_),
      Http_(Io, callerLimits(Resources_),
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(std::move(Request), Reply);
            }),
      ReadyServer_(
          Io, [this] { return isReady(); }, [this] { return metrics(); },
          Resources_.StatusConnections_),
      MetricsServer_(
          Io, [this] { return isReady(); }, [this] { return metrics(); },
          Resources_.StatusConnections_),
      Hub_(Io, Settings_.Process_, PeerId::of(Self_), Log, makeHandler()),
      Config_(
          *Ports_.Configs_, Log,
          [this](const PeerId &To, Message M) { Hub_.send(To, std::move(M)); }),
      Cordons_(Settings_.Cordons_.enabled()),
      ConfigFeed_(
          Io, Store_, Log,
          [this](const std::string &Text) {
            Config_.onText(Text, "store", beginEvent());
          },
          [this](const ZoneCordons &C) {
            const Time Now = beginEvent();
            Cordons_.onStoreSet(C, Now);
            applyCordons(Now);
            apply();
          }),
      Presence_(Io, Store_, Log,
                [this](const SocketAddress &Entry) { Hub_.addSeed(Entry); }),
      Timer_(Io) {
  Log_.setCounter([this](const EventType &Type) { Metrics_.count(Type); });
  Http_.onDrop(makeDropHandler("callers", Log_, Metrics_));
  ReadyServer_.onDrop(makeDropHandler("ready", Log_, Metrics_));
  MetricsServer_.onDrop(makeDropHandler("metrics", Log_, Metrics_));
}

PeerHandler DispatchEntry::Impl::makeHandler() {
  return {
      [this](const PeerUp &Up) {
        const Time Now = beginEvent();
        Cordons_.onPeerUp(Up.Peer_, Now);
        applyCordons(Now);
        if (Up.Peer_.Role_ == Role::Entry) {
          ConnectedEntries_.insert(Up.Peer_);
          Config_.onEntryUp(Up.Peer_);
          Dispatcher_.onEntryUp(Up.Peer_, Now);
          apply();
          return;
        }
        Dispatcher_.onAgentUp(Up.Peer_, Now);
      },
      [this](const PeerId &Peer) {
        Dispatcher_.onAgentSuspected(Peer, true, beginEvent());
      },
      [this](const PeerId &Peer) {
        Dispatcher_.onAgentSuspected(Peer, false, beginEvent());
      },
      [this](const PeerId &Peer) {
        Cordons_.onPeerLost(Peer);
        if (Peer.Role_ == Role::Entry) {
          ConnectedEntries_.erase(Peer);
          Config_.onEntryLost(Peer);
          return;
        }
        Dispatcher_.onAgentLost(Peer, beginEvent());
        apply();
      },
      [this](const PeerId &From, const Message &M) { onPeerMessage(From, M); },
      [this] {
        Log_.write(events::SelfClosed,
                   {{"entry", Self_.str()},
                    {"holder", "a later process of this name"}});
        Io_.stop();
      }};
}

void DispatchEntry::Impl::onPeerMessage(const PeerId &From, const Message &M) {
  const Time Now = beginEvent();
  if (From.Role_ == Role::Agent) {
    if (const auto *Report = std::get_if<EndpointReport>(&M))
      Cordons_.onReport(From, *Report, Now);
    // The task may be started again, while the end of its caller's connection
    // waits behind this message.
    if (const auto *Ended = std::get_if<RunsEnded>(&M))
      for (const EndedRun &E : Ended->Runs_)
        if (E.Ending_ != RunEnding::Done && E.Ending_ != RunEnding::NoRoom)
          checkCallers(JobNumber(E.Run_.Submission_), Now);
    Dispatcher_.onMessage(From, M, Now);
  } else if (const auto *Set = std::get_if<ZoneCordons>(&M)) {
    Cordons_.onEntrySet(From, *Set, Now);
  } else if (const auto *Cancel = std::get_if<CancelJob>(&M)) {
    Dispatcher_.cancelByKey(Cancel->Job_, Now);
  } else if (!Config_.onMessage(From, M, Now)) {
    Dispatcher_.onEntryMessage(M, Now);
  }
  applyCordons(Now);
  apply();
}

void DispatchEntry::Impl::onRequest(HttpRequest &&Request,
                                    const HttpReplyPtr &Reply) {
  const Time Now = steadyNow();
  onPause(Pauses_.onTurn(Now), Now);
  const bool SenderGone = Request.SenderGone_;
  CallerRequest Decoded =
      Ports_.Callers_->decode(std::move(Request), Config_.current());
  if (auto *Submit = std::get_if<SubmitRequest>(&Decoded)) {
    if (SenderGone || !Cordons_.mayStartRuns()) {
      refuseSubmission(Submit->Job_.Key_,
                       SenderGone ? "caller_gone" : "cordons_unknown", Reply);
      return;
    }
    Submit->Job_.Age_ = Pauses_.maxRequestAge(Now);
    onSubmit(std::move(*Submit), Reply, Now);
  } else if (const auto *Cancel = std::get_if<CancelRequest>(&Decoded)) {
    onCancel(*Cancel, Reply);
  } else if (const auto *State = std::get_if<StateRequest>(&Decoded)) {
    bool IsRunning = false;
    const bool IsActive = Dispatcher_.find(State->Job_, IsRunning);
    Reply->send(Ports_.Callers_->state(IsActive, IsRunning));
  } else if (const auto *Queue = std::get_if<WaitingRequest>(&Decoded)) {
    Reply->send(Ports_.Callers_->waiting(Dispatcher_.waiting(Queue->Route_)));
  } else {
    auto &Refused = std::get<RefusedRequest>(Decoded);
    Log_.write(events::RequestRefused,
               {{"code", Refused.Reason_.Code_},
                {"step", Refused.Reason_.Step_},
                {"detail", Refused.Reason_.Detail_},
                {"status", std::to_string(Refused.Response_.Status_)},
                {"version", std::to_string(Config_.version().value())}});
    Reply->send(std::move(Refused.Response_));
  }
}

// Answers that a job has not run, without submitting it to the dispatcher.
void DispatchEntry::Impl::refuseSubmission(const JobKey &Job, const char *Code,
                                           const HttpReplyPtr &Reply) {
  Log_.write(events::JobRefused, {{"job", Job.str()}, {"code", Code}});
  Reply->send(Ports_.Callers_->answer({JobNumber(), JobEnding::Refused, Code,
                                       Duration(std::chrono::seconds(1))}));
}

// A job that could not be finished before the end of the drain is refused
// before any of its tasks runs.
void DispatchEntry::Impl::onSubmit(SubmitRequest Request,
                                   const HttpReplyPtr &Reply, Time Now) {
  if (Drain_ && !Drain_->mayAcceptJob(Request.Job_.Estimate_, Now)) {
    refuseSubmission(Request.Job_.Key_, "draining", Reply);
    return;
  }
  const IdempotentJob &Job = Request.Job_;
  WaitingCaller Caller{Reply, Now, Job.Route_.Name_,
                       Job.objective(Job.Estimate_)};
  // The dispatcher limits what its jobs hold.
  Reply->retain(0);
  const JobNumber Number = Dispatcher_.submit(std::move(Request.Job_), Now);
  WaitingCallers_.add(Number, std::move(Caller));
  apply();
  limitCallers(Now);
  if (!WaitingCallers_.of(Number).empty())
    Reply->onDisconnect([Self = shared_from_this(), Number, Raw = Reply.get()] {
      Self->onCallerDisconnected(Number, Raw, Self->beginEvent());
    });
}

void DispatchEntry::Impl::onCallerDisconnected(JobNumber Job,
                                               const HttpReply *Reply,
                                               Time Now) {
  if (Stopped_ || !WaitingCallers_.remove(Job, Reply))
    return;
  Dispatcher_.cancel(Job, "caller_gone", Now);
  apply();
}

// Jobs may keep only a part of the callers' connections, and a job that was
// submitted often no more than its part. Status 504 says that the job may run.
void DispatchEntry::Impl::limitCallers(Time Now) {
  while (WaitingCallers_.size() > Resources_.Jobs_) {
    JobNumber Job;
    const auto Surplus = WaitingCallers_.takeRepeated(Job);
    if (Surplus.empty())
      return;
    sendAnswer({Job, JobEnding::Unknown, "submitted_again", {}}, Surplus, Now);
  }
}

// The job may be active at another entry, which the caller cannot know, so the
// cancellation is forwarded to all connected entries.
void DispatchEntry::Impl::onCancel(const CancelRequest &Request,
                                   const HttpReplyPtr &Reply) {
  const bool WasActive = Dispatcher_.cancelByKey(Request.Job_, steadyNow());
  apply();
  if (!WasActive)
    for (const PeerId &Peer : ConnectedEntries_)
      Hub_.send(Peer, CancelJob{Request.Job_});
  Reply->send(Ports_.Callers_->cancelled(WasActive));
}

void DispatchEntry::Impl::onAnswer(const AnswerJob &A) {
  sendAnswer(A, WaitingCallers_.take(A.Job_), steadyNow());
}

void DispatchEntry::Impl::sendAnswer(const AnswerJob &A,
                                     const std::vector<WaitingCaller> &Callers,
                                     Time Now) {
  for (const WaitingCaller &W : Callers) {
    W.Reply_->send(Ports_.Callers_->answer(A));
    countAnswer(Metrics_, A, {W.Route_, Now - W.Received_, W.Objective_});
  }
}

void DispatchEntry::Impl::apply() {
  for (DispatchOutput &O : Dispatcher_.take()) {
    if (auto *Send = std::get_if<MessageToAgent>(&O)) {
      Hub_.send(Send->To_, std::move(Send->Message_));
    } else if (const auto *M = std::get_if<MessageToEntries>(&O)) {
      for (const PeerId &Peer : ConnectedEntries_)
        if (!M->To_ || *M->To_ == Peer)
          Hub_.send(Peer, M->Message_);
    } else if (const auto *A = std::get_if<AnswerJob>(&O)) {
      onAnswer(*A);
    } else if (const auto *Event = std::get_if<LogEvent>(&O)) {
      Log_.write(Event->Event_);
    }
  }
}

void DispatchEntry::Impl::applyCordons(Time Now) {
  for (const CordonOutput &O : Cordons_.take()) {
    if (const auto *Send = std::get_if<CordonsToPeer>(&O))
      Hub_.send(Send->To_, Cordons_.table().current());
    else if (const auto *Event = std::get_if<LogEvent>(&O))
      Log_.write(Event->Event_);
    else
      Dispatcher_.setCordons(Cordons_.table().current(), Now);
  }
}

// The entry is ready if it has a configuration and an agent to send work to,
// and knows the cordoned zones if there may be any.
bool DispatchEntry::Impl::isReady() {
  return Config_.current() && Cordons_.mayStartRuns() && !Drain_ &&
         Dispatcher_.hasReadyAgent(steadyNow());
}

void DispatchEntry::Impl::checkReady() {
  const bool Ready = isReady();
  if (WasReady_ == Ready)
    return;
  WasReady_ = Ready;
  Log_.write(events::ReadinessChanged,
             {{"ready", Ready ? "true" : "false"},
              {"version", std::to_string(Config_.version().value())},
              {"agents", std::to_string(Dispatcher_.agents().all().size())},
              {"draining", Drain_ ? "true" : "false"}});
}

HttpResponse DispatchEntry::Impl::metrics() {
  const Time Now = steadyNow();
  setDispatchMetrics(Metrics_, Dispatcher_, Now);
  Metrics_.set("chivelanding_config_version", "Configuration in force.",
               static_cast<double>(Config_.version().value()));
  Metrics_.set("chivelanding_config_age_seconds",
               "Time since that version came into force.",
               Config_.current() ? seconds(Now - Config_.adoptedAt()) : 0);
  setCordonMetrics(Metrics_, Settings_.Cordons_, Cordons_.table().current(),
                   Dispatcher_.agents());
  Metrics_.set("chivelanding_store_available",
               "1 if the last call to the store was answered.",
               ConfigFeed_.available() ? 1 : 0);
  Metrics_.set("chivelanding_connections", "Callers' connections.",
               static_cast<double>(Http_.connections()));
  Metrics_.set("chivelanding_log_lines_dropped", "Log lines left out.",
               static_cast<double>(Log_.dropped()));
  return Metrics_.render();
}

Time DispatchEntry::Impl::beginEvent() {
  const Time Now = steadyNow();
  onPause(Pauses_.onEvent(Now), Now);
  return Now;
}

// The events that have become ready during a pause are handled in any order:
// agents that have stopped the runs of this entry may be heard before callers
// that have left and had their jobs run elsewhere. So all callers are checked
// before the first event is handled, and again before a run is started.
void DispatchEntry::Impl::onPause(Duration Pause, Time Now) {
  if (Pause == Duration(0))
    return;
  Log_.write(events::ProcessPaused,
             {{"entry", Self_.str()}, {"paused_ms", millisecondsText(Pause)}});
  Dispatcher_.holdPlacement();
  CallerCheckDue_ = Now + CallerCheckDelay;
  checkAllCallers(Now);
}

void DispatchEntry::Impl::checkCallers(JobNumber Job, Time Now) {
  std::vector<const HttpReply *> Gone;
  for (const WaitingCaller &C : WaitingCallers_.of(Job))
    if (C.Reply_->callerGone())
      Gone.push_back(C.Reply_.get());
  for (const HttpReply *Reply : Gone)
    onCallerDisconnected(Job, Reply, Now);
}

void DispatchEntry::Impl::checkAllCallers(Time Now) {
  for (const JobNumber Job : WaitingCallers_.jobs())
    checkCallers(Job, Now);
}

void DispatchEntry::Impl::onTick(Time Now) {
  onPause(Pauses_.onTurn(Now), Now);
  if (CallerCheckDue_ && *CallerCheckDue_ <= Now) {
    CallerCheckDue_.reset();
    checkAllCallers(Now);
    Dispatcher_.releasePlacement(Now);
  }
  Dispatcher_.onTimer(Now);
  apply();
  Config_.requestNewer(Now);
  checkReady();
  Log_.flush();
  advanceDrain(Now);
}

void DispatchEntry::Impl::drain() {
  if (Drain_)
    return;
  Drain_.emplace(steadyNow(), Settings_.Grace_);
  Http_.closeAfterReplies();
  Log_.write(events::DrainStarted,
             {{"entry", Self_.str()},
              {"jobs", std::to_string(Dispatcher_.jobs())},
              {"connections", std::to_string(Http_.connections())}});
  checkReady();
}

// Callers go on using their open connections, and new connections arrive until
// the load balancer has seen the readiness change. Each response closes its
// connection, so that their number falls to zero. Jobs that are still open at
// the exit deadline are abandoned and answered.
void DispatchEntry::Impl::advanceDrain(Time Now) {
  if (!Drain_)
    return;
  if (Drain_->mustExit(Now)) {
    for (const JobNumber Number : WaitingCallers_.jobs())
      Dispatcher_.abandon(Number, "draining", Now);
    apply();
  }
  if (Drain_->mayExit(Dispatcher_.jobs(), Http_.connections(), Now)) {
    Http_.drain();
    Io_.stop();
  }
}

DispatchEntry::DispatchEntry(asio::io_context &Io,
                             DispatchEntrySettings Settings, EntryPorts Ports,
                             EventLog &Log)
    : Impl_(std::make_shared<Impl>(Io, std::move(Settings), std::move(Ports),
                                   Log)) {}

DispatchEntry::~DispatchEntry() { DispatchEntry::stop(); }

Result<Done> DispatchEntry::start() {
  Impl &I = *Impl_;
  const auto Peers = I.Hub_.listen(I.Settings_.PeerListen_);
  if (!ok(Peers))
    return error(Peers);
  const SocketAddress &Advertised = I.Settings_.PeerAdvertise_.Port_ != 0
                                        ? I.Settings_.PeerAdvertise_
                                        : I.Settings_.PeerListen_;
  I.Hub_.advertise(Advertised);
  const auto Ready = I.ReadyServer_.listen(I.Settings_.ReadyListen_);
  if (!ok(Ready))
    return error(Ready);
  if (I.Settings_.MetricsListen_.Port_ != 0) {
    const auto Metrics = I.MetricsServer_.listen(I.Settings_.MetricsListen_);
    if (!ok(Metrics))
      return error(Metrics);
  }
  const auto Callers = I.Http_.listen(I.Settings_.Listen_);
  if (!ok(Callers))
    return error(Callers);
  addSeeds(I.Settings_.Seeds_);
  std::vector<EventField> Fields{{"role", "dispatch-entry"},
                                 {"entry", I.Self_.str()},
                                 {"listen", value(Callers).str()},
                                 {"peers", value(Peers).str()},
                                 {"zone", I.Settings_.Process_.Zone_.str()}};
  if (I.Settings_.Cordons_.enabled())
    Fields.emplace_back("cordons_apply_within_ms",
                        millisecondsText(I.Settings_.Cordons_.ApplyWithin_));
  I.Log_.write(events::ProcessStarted, std::move(Fields));
  I.Dispatcher_.onTimer(steadyNow());
  I.Timer_.start(TickPeriod, [&I](Time Now) { I.onTick(Now); });
  I.ConfigFeed_.start();
  I.Presence_.announce(I.Self_.Name_, Advertised);
  return I.Hub_.start();
}

void DispatchEntry::addSeeds(const std::vector<SocketAddress> &Seeds) {
  const DispatchEntrySettings &S = Impl_->Settings_;
  for (const SocketAddress &Seed : Seeds)
    if (Seed.Host_ != S.PeerListen_.Host_ &&
        Seed.Host_ != S.PeerAdvertise_.Host_)
      Impl_->Hub_.addSeed({Seed.Host_, Impl_->Settings_.PeerListen_.Port_});
}

void DispatchEntry::drain() { Impl_->drain(); }

void DispatchEntry::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.stop();
  Impl_->ConfigFeed_.stop();
  Impl_->Presence_.stop();
  Impl_->Http_.close();
  Impl_->ReadyServer_.close();
  Impl_->MetricsServer_.close();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped, {{"entry", Impl_->Self_.str()}});
  Impl_->Log_.setCounter(nullptr);
}

} // namespace chivelanding
