#include "agent_service.h"

#include "api.h"
#include "clock.h"
#include "config_service.h"
#include "cordon_edit.h"
#include "drop_log.h"
#include "http_client.h"
#include "http_server.h"
#include "metrics.h"
#include "peer_hub.h"
#include "periodic_timer.h"
#include "random_number.h"
#include "start_controller.h"

#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <optional>

namespace chivelanding {
namespace {

namespace asio = boost::asio;

// Period of the decision modules' timers.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// Time limit of one task at the endpoint, after which it has failed.
constexpr Duration RunTimeout = std::chrono::minutes(10);
// Maximum response body of an endpoint.
constexpr std::uint64_t MaxResultBytes = 16u << 20;
// Maximum request body on the local listener, which receives announcements.
constexpr std::uint64_t MaxLocalBodyBytes = 64u << 10;
constexpr std::uint32_t MaxLocalConnections = 64;

StartControllerLimits startControllerLimits(const AgentSettings &Settings) {
  StartControllerLimits Limits;
  Limits.MaxQueuedTasks_ = Settings.QueueCapacity_;
  Limits.ResultBytes_ = Settings.ResultBytes_;
  Limits.Retention_ = Settings.Retention_;
  return Limits;
}

} // namespace

struct AgentService::Impl : std::enable_shared_from_this<AgentService::Impl> {
  Impl(asio::io_context &Io, AgentSettings Settings, EventLog &Log);

  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  void onAnnouncement(const HttpRequest &Request, const HttpReplyPtr &Reply);
  HttpResponse status() const;
  HttpResponse metrics();
  void onConfig(const AcceptedConfig &Config);
  void apply(StartControllerOutputs Outputs);
  void startRun(RunTask Task);
  void onRunEnded(RunId Run, Time Started, const Result<HttpResponse> &R);
  PeerHandler makeHandler();
  void onTick(Time Now);
  void drain();
  void exitIfDrained(Time Now);

  asio::io_context &Io_;
  AgentSettings Settings_;
  EventLog &Log_;
  AgentId Self_;
  StartController Controller_;
  Metrics Metrics_;
  HttpServer Http_;
  HttpClient Client_;
  PeerHub Hub_;
  ConfigService Config_;
  /// Connected entries, by their names in the configuration exchange.
  std::map<std::string, PeerId> Peers_;
  PeriodicTimer Timer_;
  EndpointInfo Endpoint_;
  SocketAddress EndpointAddress_;
  /// Body of the last accepted announcement; an identical one is acknowledged
  /// without any effect.
  std::string LastAnnouncement_;
  std::map<RunId, CallId> Runs_;
  std::optional<Time> DrainDeadline_;
  bool Stopped_ = false;
};

AgentService::Impl::Impl(asio::io_context &Io, AgentSettings Settings,
                         EventLog &Log)
    : Io_(Io), Settings_(std::move(Settings)),
      Log_(Log), Self_{Settings_.Process_.Name_,
                       Incarnation(drawRandomNumber())},
      Controller_(Self_, startControllerLimits(Settings_)),
      Metrics_({{"role", "agent"}, {"name", Self_.Name_}}),
      Http_(Io,
            HttpServerLimits{16u << 10, MaxLocalBodyBytes, MaxLocalConnections},
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(std::move(Request), Reply);
            }),
      Client_(Io, MaxResultBytes),
      Hub_(Io, Settings_.Process_, PeerId::of(Self_), Log, makeHandler()),
      Config_(Io, Settings_.Process_, Role::Agent, Log,
              {[this](const std::string &Peer, Message M) {
                 const auto It = Peers_.find(Peer);
                 if (It != Peers_.end())
                   Hub_.send(It->second, std::move(M));
               },
               [this](const AcceptedPtr &State) { onConfig(*State); }}),
      Timer_(Io) {
  Log_.setCounter([this](const EventType &Type) { Metrics_.count(Type); });
  Http_.onDrop(makeDropHandler("endpoint", Log_, Metrics_));
}

PeerHandler AgentService::Impl::makeHandler() {
  return {
      [this](const PeerUp &Up) {
        apply(Controller_.onEntryConnected(Up.Peer_.entry(), steadyNow()));
        Peers_[Up.Peer_.str()] = Up.Peer_;
        Config_.onPeerUp(Up.Peer_.str(), Role::Entry);
      },
      [this](const PeerId &Peer) {
        apply(Controller_.onEntryUnreachable(Peer.entry(), true, steadyNow()));
      },
      [this](const PeerId &Peer) {
        apply(Controller_.onEntryUnreachable(Peer.entry(), false, steadyNow()));
      },
      [this](const PeerId &Peer) {
        apply(Controller_.onEntryLost(Peer.entry(), steadyNow()));
        Config_.onPeerLost(Peer.str());
        Peers_.erase(Peer.str());
      },
      [this](const PeerId &From, const Message &M) {
        if (!Config_.onMessage(From.str(), M))
          apply(Controller_.onMessage(From.entry(), M, steadyNow()));
      },
      [this] {
        Log_.write(events::SelfClosed,
                   {{"agent", Self_.str()},
                    {"holder", "a later process of this name"}});
        Io_.stop();
      }};
}

void AgentService::Impl::onRequest(HttpRequest &&Request,
                                   const HttpReplyPtr &Reply) {
  const std::string &Method = Request.Method_;
  const std::string &Path = Request.Target_;
  if (Method == "PUT" && Path == "/v1/endpoint") {
    onAnnouncement(Request, Reply);
  } else if (Method == "DELETE" && Path == "/v1/endpoint") {
    Log_.write(events::EndpointLeaving, {{"agent", Self_.str()}});
    apply(Controller_.onLeaving(steadyNow()));
    Reply->send({200, "application/json", {}, "{}"});
  } else if (Method == "GET" && Path == "/healthz") {
    Reply->send({200, "text/plain", {}, "ok\n"});
  } else if (Method == "GET" && Path == "/readyz") {
    Reply->send(DrainDeadline_
                    ? HttpResponse{503, "text/plain", {}, "draining\n"}
                    : HttpResponse{200, "text/plain", {}, "ok\n"});
  } else if (Method == "GET" && Path == "/metrics") {
    Reply->send(metrics());
  } else if (Method == "GET" && Path == "/v1/status") {
    Reply->send(status());
  } else if (Method == "POST" && Path == "/v1/drain") {
    Log_.write(events::AdminAction, {{"action", "drain"}});
    drain();
    Reply->send(status());
  } else {
    Reply->send({404, "application/json", {}, R"({"code":"not_found"})"});
  }
}

HttpResponse AgentService::Impl::status() const {
  HttpResponse R;
  R.Body_ =
      nlohmann::json({{"role", "agent"},
                      {"agent", Self_.str()},
                      {"draining", DrainDeadline_.has_value()},
                      {"endpoint", Endpoint_.EndpointName_},
                      {"service", Endpoint_.Service_.str()},
                      {"slots", Endpoint_.Slots_},
                      {"running", Controller_.running()},
                      {"queued", Controller_.queued()},
                      {"cordoned", Controller_.cordoned()},
                      {"config_version", Config_.state()->Version_.value()}})
          .dump();
  return R;
}

HttpResponse AgentService::Impl::metrics() {
  Metrics_.set("chivelanding_slots", "Slots of the endpoint.",
               Endpoint_.Slots_);
  Metrics_.set("chivelanding_running_tasks", "Tasks at the endpoint.",
               static_cast<double>(Controller_.running()));
  Metrics_.set("chivelanding_queued_tasks", "Tasks that wait at the agent.",
               static_cast<double>(Controller_.queued()));
  Metrics_.set("chivelanding_cordoned", "1 if the agent's zone is cordoned.",
               Controller_.cordoned() ? 1 : 0);
  return Metrics_.render();
}

void AgentService::Impl::onAnnouncement(const HttpRequest &Request,
                                        const HttpReplyPtr &Reply) {
  if (Request.Body_ == LastAnnouncement_) {
    Reply->send({200, "application/json", {}, "{}"});
    return;
  }
  auto Parsed = parseEndpoint(Request.Body_);
  if (!ok(Parsed)) {
    Reply->send(renderRefusal(error(Parsed)));
    return;
  }
  Endpoint_ = std::move(value(Parsed).Info_);
  Endpoint_.Zone_ = Settings_.Process_.Zone_;
  EndpointAddress_ = value(Parsed).Address_;
  LastAnnouncement_ = Request.Body_;
  Log_.write(events::EndpointAnnounced,
             {{"agent", Self_.str()},
              {"endpoint", Endpoint_.EndpointName_},
              {"service", Endpoint_.Service_.str()},
              {"address", EndpointAddress_.str()},
              {"slots", std::to_string(Endpoint_.Slots_)}});
  apply(Controller_.onEndpointAnnounced(Endpoint_, steadyNow()));
  Reply->send({200, "application/json", {}, "{}"});
}

void AgentService::Impl::onConfig(const AcceptedConfig &Config) {
  const ZoneName &Zone = Settings_.Process_.Zone_;
  const bool IsCordoned = cordonedZones(Config.Set_).count(Zone) != 0;
  if (IsCordoned == Controller_.cordoned())
    return;
  const Event Change{IsCordoned ? &events::ZoneCordoned
                                : &events::ZoneCordonLifted,
                     {{"zone", Zone.str()},
                      {"version", std::to_string(Config.Version_.value())},
                      {"running", std::to_string(Controller_.running())},
                      {"returned", std::to_string(Controller_.queued())}}};
  Log_.write(Change);
  apply(Controller_.onCordoned(IsCordoned, steadyNow()));
}

void AgentService::Impl::apply(StartControllerOutputs Outputs) {
  for (StartControllerOutput &O : Outputs) {
    if (auto *Send = std::get_if<SendToEntry>(&O)) {
      Hub_.send(PeerId::of(Send->To_), std::move(Send->Message_));
    } else if (auto *Run = std::get_if<RunTask>(&O)) {
      startRun(std::move(*Run));
    } else if (const auto *Stop = std::get_if<StopTask>(&O)) {
      const auto It = Runs_.find(Stop->Run_);
      if (It != Runs_.end())
        Client_.cancel(It->second);
    } else if (const auto *Log = std::get_if<LogEvent>(&O)) {
      Log_.write(Log->Event_);
    }
  }
}

void AgentService::Impl::startRun(RunTask Task) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/run/" + percentEncode(Task.Kind_.str());
  Request.Headers_ = {
      {"Chivelanding-Job", Task.Job_.str()},
      {"Chivelanding-Task", std::to_string(Task.Index_.value())}};
  Request.Body_ = std::move(Task.Payload_);
  const Time Started = steadyNow();
  Runs_[Task.Run_] =
      Client_.send(EndpointAddress_, std::move(Request), RunTimeout,
                   [Self = shared_from_this(), Run = Task.Run_,
                    Started](const Result<HttpResponse> &R) {
                     if (!Self->Stopped_)
                       Self->onRunEnded(Run, Started, R);
                   });
}

// An endpoint that refuses connections gets no slots until it announces itself
// again; otherwise every task sent to it would fail.
void AgentService::Impl::onRunEnded(RunId Run, Time Started,
                                    const Result<HttpResponse> &R) {
  Runs_.erase(Run);
  const Time Now = steadyNow();
  Metrics_.observe("chivelanding_run_seconds",
                   "Time of a task at the endpoint.",
                   std::chrono::duration<double>(Now - Started).count());
  RunOutcome Outcome = RunOutcome::Success;
  std::string ResultText;
  if (!ok(R)) {
    const Error &E = error(R);
    Outcome =
        E.Code_ == "cancelled" ? RunOutcome::Stopped : RunOutcome::Failure;
    ResultText = E.str();
    if (E.Code_ == "connect_failed") {
      LastAnnouncement_.clear();
      apply(Controller_.onRunFinished(Run, Outcome, std::move(ResultText),
                                      Now - Started, Now));
      apply(Controller_.onEndpointFailed(Now));
      return;
    }
  } else if (value(R).Status_ / 100 != 2) {
    Outcome = RunOutcome::Failure;
    ResultText = "endpoint answered with status " +
                 std::to_string(value(R).Status_) + ": " +
                 value(R).Body_.substr(0, 1000);
  } else {
    ResultText = value(R).Body_;
  }
  apply(Controller_.onRunFinished(Run, Outcome, std::move(ResultText),
                                  Now - Started, Now));
}

void AgentService::Impl::onTick(Time Now) {
  apply(Controller_.onTimer(Now));
  Log_.flush();
  exitIfDrained(Now);
}

void AgentService::Impl::drain() {
  if (DrainDeadline_)
    return;
  const Time Now = steadyNow();
  DrainDeadline_ = Now + Settings_.Process_.DrainLimit_;
  Log_.write(events::DrainStarted, {{"agent", Self_.str()}});
  apply(Controller_.onLeaving(Now));
}

// The process exits only after the owners have acknowledged the results of the
// last runs, or at the deadline.
void AgentService::Impl::exitIfDrained(Time Now) {
  if (!DrainDeadline_)
    return;
  if ((Controller_.drained() && Hub_.allDelivered(false)) ||
      *DrainDeadline_ <= Now)
    Io_.stop();
}

AgentService::AgentService(asio::io_context &Io, AgentSettings Settings,
                           EventLog &Log)
    : Impl_(std::make_shared<Impl>(Io, std::move(Settings), Log)) {}

AgentService::~AgentService() { AgentService::stop(); }

Result<Done> AgentService::start() {
  Impl &I = *Impl_;
  const auto Local = I.Http_.listen(I.Settings_.Listen_);
  if (!ok(Local))
    return error(Local);
  for (const SocketAddress &Entry : I.Settings_.Entries_)
    I.Hub_.addSeed(Entry);
  I.Hub_.enableReachabilityReports();
  I.Log_.write(events::ProcessStarted, {{"role", "agent"},
                                        {"agent", I.Self_.str()},
                                        {"listen", value(Local).str()}});
  I.Timer_.start(TickPeriod, [&I](Time Now) { I.onTick(Now); });
  const auto Config = I.Config_.start();
  return ok(Config) ? I.Hub_.start() : Config;
}

void AgentService::drain() { Impl_->drain(); }

void AgentService::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.stop();
  Impl_->Http_.close();
  Impl_->Config_.stop();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped, {{"agent", Impl_->Self_.str()}});
  Impl_->Log_.setCounter(nullptr);
}

} // namespace chivelanding
