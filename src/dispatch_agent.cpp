#include "dispatch_agent.h"

#include "clock.h"
#include "counted_store.h"
#include "drop_log.h"
#include "durations.h"
#include "entry_presence.h"
#include "http_server.h"
#include "lease_plan.h"
#include "metrics.h"
#include "peer_hub.h"
#include "periodic_timer.h"
#include "persisted_endpoint.h"
#include "random_number.h"
#include "resource_plan.h"
#include "run_supervisor.h"
#include "status_server.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelanding {
namespace {

namespace asio = boost::asio;

// Period of the run supervisor's timer; the granularity of stops and polls.
constexpr Duration TickPeriod = std::chrono::milliseconds(20);
// Shortest suspension that matters to leases.
constexpr Duration MinSuspension = std::chrono::milliseconds(5);
// Time limit for a poll of the endpoint on the same VM, in addition to its
// wait. The answer usually takes a millisecond.
constexpr Duration PollTimeout = std::chrono::milliseconds(150);
// Time limits for start and stop calls. They are shorter because such a call is
// repeated if it is not answered.
constexpr Duration StartTimeout = std::chrono::milliseconds(80);
constexpr Duration StopTimeout = std::chrono::milliseconds(80);
constexpr std::uint64_t MaxAnnouncementBytes = 256u << 10;
constexpr std::uint32_t MaxLocalConnections = 64;
// Pause between two look-ups of the entries while none is connected.
constexpr Duration LookUpPause = std::chrono::milliseconds(1500);
// Time for which the addresses found by a look-up are dialled. The store also
// holds the addresses of entries that are gone for good.
constexpr Duration LookUpSeedPeriod = std::chrono::seconds(10);
// Age of the process up to which they are looked up again while fewer entries
// are connected than were found. Entries that are not reachable at once after a
// loss of power return within seconds.
constexpr Duration LookUpRepeatPeriod = std::chrono::minutes(1);
// Share of the time until the process is killed in which active runs may end.
constexpr double DrainShare = 0.9;

RunSupervisorLimits supervisorLimits(const DispatchAgentSettings &Settings) {
  RunSupervisorLimits Limits;
  Limits.Leases_ = planLeases(Settings.Leases_);
  Limits.NeedsCordons_ = Settings.Cordons_.enabled();
  return Limits;
}

HttpServerLimits localLimits(const ResourceLimits &Resources) {
  HttpServerLimits Limits;
  Limits.MaxBodyBytes_ = MaxAnnouncementBytes;
  Limits.MaxConnections_ = MaxLocalConnections;
  Limits.MaxHeldBytes_ = planResources(Resources).RequestBytes_;
  return Limits;
}

std::uint64_t unixTimeMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

struct DispatchAgent::Impl : std::enable_shared_from_this<DispatchAgent::Impl> {
  Impl(asio::io_context &Io, DispatchAgentSettings Settings, AgentPorts Ports,
       EventLog &Log);

  PeerHandler makeHandler();
  void onRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void apply(RunSupervisorOutputs Outputs);
  void callEndpoint(const MakeStart &Make);
  void callEndpoint(const MakeStop &Make);
  void callEndpoint(const MakePoll &Make);
  HttpResponse metrics();
  void saveEndpoint();
  void checkSuspension();
  void onTick(Time Now);
  void exitIfDrained(Time Now);

  asio::io_context &Io_;
  DispatchAgentSettings Settings_;
  AgentPorts Ports_;
  EventLog &Log_;
  AgentId Self_;
  RunSupervisor Supervisor_;
  Metrics Metrics_;
  CountedStore Store_;
  HttpServer Http_;
  StatusServer MetricsServer_;
  PeerHub Hub_;
  EntryPresence Presence_;
  PersistedEndpoint PersistedEndpoint_;
  PeriodicTimer Timer_;
  SkippedItemLog SkippedFields_{"announcement"};
  std::size_t ConnectedEntries_ = 0;
  /// Addresses of entries that look-ups have found, also of former entries.
  std::set<std::string> FoundEntries_;
  Time StartedAt_;
  Time LastLookUp_;
  /// Total suspension that the supervisor has been told of.
  Duration Suspended_ = suspendedTime();
  std::optional<Time> DrainDeadline_;
  bool Stopped_ = false;
};

DispatchAgent::Impl::Impl(asio::io_context &Io, DispatchAgentSettings Settings,
                          AgentPorts Ports, EventLog &Log)
    : Io_(Io), Settings_(std::move(Settings)), Ports_(std::move(Ports)),
      Log_(Log), Self_{Settings_.Process_.Name_,
                       Incarnation(drawRandomNumber())},
      Supervisor_(supervisorLimits(Settings_), unixTimeMs()),
      Metrics_({{"role", "agent"}, {"name", Self_.Name_}}),
      Store_(*Ports_.Store_, Metrics_),
      Http_(Io, localLimits(Settings_.Process_.Resources_),
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(Request, Reply);
            }),
      MetricsServer_(
          Io, [this] { return Supervisor_.ready(); },
          [this] { return metrics(); },
          planResources(Settings_.Process_.Resources_).StatusConnections_),
      Hub_(Io, Settings_.Process_, PeerId::of(Self_), Log, makeHandler()),
      Presence_(Io, Store_, Log,
                [this](const SocketAddress &Entry) {
                  FoundEntries_.insert(Entry.str());
                  Hub_.addSeed(Entry, LookUpSeedPeriod);
                }),
      PersistedEndpoint_(Io, Store_, Log, Self_.Name_), Timer_(Io) {
  Log_.setCounter([this](const EventType &Type) { Metrics_.count(Type); });
  Http_.onDrop(makeDropHandler("endpoint", Log_, Metrics_));
  MetricsServer_.onDrop(makeDropHandler("metrics", Log_, Metrics_));
}

PeerHandler DispatchAgent::Impl::makeHandler() {
  return {[this](const PeerUp &Up) {
            ++ConnectedEntries_;
            apply(Supervisor_.onEntryUp(Up.Peer_.entry(), steadyNow()));
          },
          [](const PeerId &) {},
          [](const PeerId &) {},
          [this](const PeerId &Peer) {
            --ConnectedEntries_;
            LastLookUp_ = steadyNow();
            apply(Supervisor_.onEntryLost(Peer.entry(), steadyNow()));
          },
          [this](const PeerId &From, const Message &M) {
            if (std::holds_alternative<ZoneCordons>(M) &&
                !Settings_.Cordons_.enabled())
              return;
            apply(Supervisor_.onMessage(From.entry(), M, steadyNow()));
          },
          [this] {
            Log_.write(events::SelfClosed,
                       {{"agent", Self_.str()},
                        {"holder", "a later process of this name"}});
            Io_.stop();
          }};
}

void DispatchAgent::Impl::onRequest(const HttpRequest &Request,
                                    const HttpReplyPtr &Reply) {
  const Announcement A = Ports_.Announcements_->decode(Request);
  if (const auto *Endpoint = std::get_if<EndpointIncarnation>(&A)) {
    Reply->send({200, "application/json", {}, "{}"});
    if (const auto Event =
            SkippedFields_.onRead(Endpoint->Skipped_, steadyNow()))
      Log_.write(*Event);
    apply(Supervisor_.onAnnounced(*Endpoint, steadyNow()));
    saveEndpoint();
  } else if (const auto *Withdrawn = std::get_if<EndpointWithdrawn>(&A)) {
    Reply->send({200, "application/json", {}, "{}"});
    apply(Supervisor_.onWithdrawn(Withdrawn->Id_, steadyNow()));
    saveEndpoint();
  } else {
    Log_.write(events::AnnouncementRefused,
               {{"error", std::get<Error>(A).str()}});
    Reply->send({400, "application/json", {}, "{}"});
  }
}

// Also saves that the endpoint leaves: a restarted agent must not use it again.
void DispatchAgent::Impl::saveEndpoint() {
  if (Supervisor_.endpoint())
    PersistedEndpoint_.save(*Supervisor_.endpoint());
}

void DispatchAgent::Impl::apply(RunSupervisorOutputs Outputs) {
  for (RunSupervisorOutput &O : Outputs) {
    if (auto *Send = std::get_if<MessageToEntry>(&O)) {
      Hub_.send(PeerId::of(Send->To_), std::move(Send->Message_));
    } else if (const auto *Start = std::get_if<MakeStart>(&O)) {
      callEndpoint(*Start);
    } else if (const auto *Stop = std::get_if<MakeStop>(&O)) {
      callEndpoint(*Stop);
    } else if (const auto *Poll = std::get_if<MakePoll>(&O)) {
      callEndpoint(*Poll);
    } else if (const auto *Event = std::get_if<LogEvent>(&O)) {
      Log_.write(Event->Event_);
    }
  }
}

void DispatchAgent::Impl::callEndpoint(const MakeStart &Make) {
  const Time Sent = steadyNow();
  Ports_.Endpoint_->start(
      Settings_.Endpoint_, Make.Call_, StartTimeout,
      [Self = shared_from_this(), Id = Make.Id_,
       Sent](const StartStopAnswer &A) {
        if (Self->Stopped_)
          return;
        const Time Now = steadyNow();
        Self->Metrics_.observe(
            "chivelanding_start_call_seconds",
            "Time of a start call of the endpoint.",
            std::chrono::duration<double>(Now - Sent).count());
        Self->Metrics_.count("chivelanding_start_calls_total",
                             "Start calls of the endpoint by their answer.",
                             {{"answer", callAnswerName(A.Answer_)}});
        Self->apply(Self->Supervisor_.onStartAnswer(Id, A, Now));
      });
}

void DispatchAgent::Impl::callEndpoint(const MakeStop &Make) {
  Ports_.Endpoint_->stop(
      Settings_.Endpoint_, Make.Call_, StopTimeout,
      [Self = shared_from_this(), Id = Make.Id_](const StartStopAnswer &A) {
        if (!Self->Stopped_)
          Self->apply(Self->Supervisor_.onStopAnswer(Id, A, steadyNow()));
      });
}

void DispatchAgent::Impl::callEndpoint(const MakePoll &Make) {
  Ports_.Endpoint_->poll(
      Settings_.Endpoint_, Make.Call_, Make.Call_.Wait_ + PollTimeout,
      [Self = shared_from_this(), Id = Make.Id_](const Result<PollAnswer> &A) {
        if (!Self->Stopped_)
          Self->apply(Self->Supervisor_.onPollAnswer(Id, A, steadyNow()));
      });
}

HttpResponse DispatchAgent::Impl::metrics() {
  Metrics_.set("chivelanding_runs", "Runs that hold resources.",
               static_cast<double>(Supervisor_.runs()));
  Metrics_.set("chivelanding_held_cpu", "Thousandths of a core held by runs.",
               Supervisor_.held().Cpu_);
  Metrics_.set("chivelanding_usable", "1 if runs may be started here.",
               Supervisor_.usable() ? 1 : 0);
  if (Settings_.Cordons_.enabled()) {
    Metrics_.set("chivelanding_cordoned",
                 "1 if the zone of the endpoint is cordoned.",
                 Supervisor_.cordoned() ? 1 : 0);
    Metrics_.set("chivelanding_cordon_revision",
                 "Revision of the cordons in force here; 0 if none is known.",
                 static_cast<double>(Supervisor_.cordonRevision()));
    Metrics_.set(
        "chivelanding_cordon_apply_within_seconds",
        "Time from the settings within which a cordon is in force everywhere.",
        seconds(Settings_.Cordons_.ApplyWithin_));
  }
  Metrics_.set(
      "chivelanding_offered_share",
      "Offered share of the capacity; below 1 if the endpoint is cold.",
      Supervisor_.offeredPermille() / double(WholeSharePermille));
  Metrics_.set("chivelanding_entries", "Entries linked to this agent.",
               static_cast<double>(ConnectedEntries_));
  Metrics_.set("chivelanding_log_lines_dropped", "Log lines left out.",
               static_cast<double>(Log_.dropped()));
  return Metrics_.render();
}

// Reading the two clocks one after the other gives a difference of microseconds
// without any suspension.
void DispatchAgent::Impl::checkSuspension() {
  const Duration Suspended = suspendedTime();
  if (Suspended - Suspended_ < MinSuspension)
    return;
  Log_.write(events::ProcessPaused,
             {{"agent", Self_.str()},
              {"suspended_ms", millisecondsText(Suspended - Suspended_)}});
  Supervisor_.onSuspended(Suspended - Suspended_);
  Suspended_ = Suspended;
}

void DispatchAgent::Impl::onTick(Time Now) {
  checkSuspension();
  apply(Supervisor_.onTimer(Now));
  // None of the seeds may exist any more, so the entries are looked up again.
  const bool IsIncomplete = ConnectedEntries_ < FoundEntries_.size() &&
                            Now < StartedAt_ + LookUpRepeatPeriod;
  if ((ConnectedEntries_ == 0 && LastLookUp_ + LookUpPause <= Now) ||
      (IsIncomplete && LastLookUp_ + LookUpSeedPeriod <= Now)) {
    LastLookUp_ = Now;
    Presence_.lookUp();
  }
  Log_.flush();
  exitIfDrained(Now);
}

void DispatchAgent::Impl::exitIfDrained(Time Now) {
  if (!DrainDeadline_)
    return;
  if ((Supervisor_.runs() == 0 && Hub_.allDelivered(true)) ||
      *DrainDeadline_ <= Now)
    Io_.stop();
}

DispatchAgent::DispatchAgent(asio::io_context &Io,
                             DispatchAgentSettings Settings, AgentPorts Ports,
                             EventLog &Log)
    : Impl_(std::make_shared<Impl>(Io, std::move(Settings), std::move(Ports),
                                   Log)) {}

DispatchAgent::~DispatchAgent() { DispatchAgent::stop(); }

Result<Done> DispatchAgent::start() {
  Impl &I = *Impl_;
  const auto Local = I.Http_.listen(I.Settings_.Listen_);
  if (!ok(Local))
    return error(Local);
  if (I.Settings_.MetricsListen_.Port_ != 0) {
    const auto Metrics = I.MetricsServer_.listen(I.Settings_.MetricsListen_);
    if (!ok(Metrics))
      return error(Metrics);
  }
  addSeeds(I.Settings_.Seeds_);
  I.StartedAt_ = I.LastLookUp_ = steadyNow();
  std::vector<EventField> Fields{{"role", "dispatch-agent"},
                                 {"agent", I.Self_.str()},
                                 {"listen", value(Local).str()}};
  if (I.Settings_.Cordons_.enabled())
    Fields.emplace_back("cordons_apply_within_ms",
                        millisecondsText(I.Settings_.Cordons_.ApplyWithin_));
  I.Log_.write(events::ProcessStarted, std::move(Fields));
  I.Timer_.start(TickPeriod, [&I](Time Now) { I.onTick(Now); });
  // After a loss of all power the seeds may be the last entries to return.
  I.Presence_.lookUp();
  I.PersistedEndpoint_.load([&I](const EndpointIncarnation &Endpoint) {
    I.apply(I.Supervisor_.onRestored(Endpoint, steadyNow()));
  });
  return I.Hub_.start();
}

void DispatchAgent::addSeeds(const std::vector<SocketAddress> &Seeds) {
  for (const SocketAddress &Seed : Seeds)
    Impl_->Hub_.addSeed({Seed.Host_, Impl_->Settings_.PeerListen_.Port_});
}

void DispatchAgent::drain() {
  Impl &I = *Impl_;
  if (I.DrainDeadline_)
    return;
  const Time Now = steadyNow();
  I.DrainDeadline_ = Now + scaled(I.Settings_.Grace_, DrainShare);
  I.Log_.write(events::DrainStarted,
               {{"agent", I.Self_.str()},
                {"runs", std::to_string(I.Supervisor_.runs())}});
  I.apply(I.Supervisor_.onDrain(Now));
}

void DispatchAgent::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.stop();
  Impl_->Presence_.stop();
  Impl_->PersistedEndpoint_.stop();
  Impl_->Http_.close();
  Impl_->MetricsServer_.close();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped, {{"agent", Impl_->Self_.str()}});
  Impl_->Log_.setCounter(nullptr);
}

} // namespace chivelanding
