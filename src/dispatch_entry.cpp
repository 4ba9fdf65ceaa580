#include "dispatch_entry_impl.h"

#include "clock.h"
#include "dispatch_metrics.h"
#include "drop_log.h"
#include "durations.h"
#include "lease_plan.h"
#include "random_number.h"

#include <algorithm>

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
  Metrics_.set("chivelanding_store_records_behind",
               "Records that the last answer of the store left to read.",
               static_cast<double>(ConfigFeed_.recordsBehind()));
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
