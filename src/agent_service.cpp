#include "agent_service.h"

#include "agent_gate.h"
#include "api.h"
#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "peer_hub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <random>

namespace chivelanding {
namespace {

namespace asio = boost::asio;

// Period of the decision modules' timers.
constexpr auto TickPeriod = std::chrono::milliseconds(10);
// Longest run of one task before it counts as failed.
constexpr Duration RunTimeout = std::chrono::minutes(10);
// Largest response body of an endpoint.
constexpr std::uint64_t MaxResultBytes = 16u << 20;
// Largest body on the local listener, which carries announcements only.
constexpr std::uint64_t MaxLocalBodyBytes = 64u << 10;
// Connections to the local listener.
constexpr std::uint32_t MaxLocalConnections = 64;

Incarnation drawIncarnation() {
  std::random_device Source;
  return Incarnation((static_cast<std::uint64_t>(Source()) << 32) | Source());
}

} // namespace

struct AgentService::Impl : std::enable_shared_from_this<AgentService::Impl> {
  Impl(asio::io_context &Io, AgentSettings Settings, EventLog &Log);

  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  void onAnnouncement(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void apply(GateOutputs Outputs);
  void run(RunTask Task);
  void onRunEnded(RunId Run, Time Started, const Result<HttpResponse> &R);
  PeerHandler makeHandler();
  void tick();
  void drain();
  void endIfDrained(Time Now);

  asio::io_context &Io_;
  AgentSettings Settings_;
  EventLog &Log_;
  AgentId Self_;
  AgentGate Gate_;
  HttpServer Http_;
  HttpClient Client_;
  PeerHub Hub_;
  asio::steady_timer Timer_;
  EndpointInfo Endpoint_;
  SocketAddress EndpointAddress_;
  /// Body of the announcement in force; a repetition changes nothing.
  std::string LastAnnouncement_;
  std::map<RunId, CallId> Runs_;
  std::optional<Time> DrainEnd_;
  bool Stopped_ = false;
};

AgentService::Impl::Impl(asio::io_context &Io, AgentSettings Settings,
                         EventLog &Log)
    : Io_(Io), Settings_(std::move(Settings)),
      Log_(Log), Self_{Settings_.Process_.Name_, drawIncarnation()},
      Gate_(Self_, {Settings_.QueueRoom_, Settings_.ResultBytes_,
                    Settings_.Retention_}),
      Http_(Io,
            HttpServerLimits{16u << 10, MaxLocalBodyBytes, MaxLocalConnections},
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(std::move(Request), Reply);
            }),
      Client_(Io, MaxResultBytes),
      Hub_(Io, Settings_.Process_, PeerId::of(Self_), Log, makeHandler()),
      Timer_(Io) {}

PeerHandler AgentService::Impl::makeHandler() {
  return {[this](const PeerUp &Up) {
            apply(Gate_.onEntryConnected(Up.Peer_.entry(), steadyNow()));
          },
          [](const PeerId &) {},
          [](const PeerId &) {},
          [this](const PeerId &Peer) {
            apply(Gate_.onEntryLost(Peer.entry(), steadyNow()));
          },
          [this](const PeerId &From, const Message &M) {
            apply(Gate_.onMessage(From.entry(), M, steadyNow()));
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
    apply(Gate_.onLeaving(steadyNow()));
    Reply->send({200, "application/json", {}, "{}"});
  } else if (Method == "GET" && (Path == "/healthz" || Path == "/readyz")) {
    Reply->send({200, "text/plain", {}, "ok\n"});
  } else {
    Reply->send({404, "application/json", {}, R"({"code":"not_found"})"});
  }
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
  apply(Gate_.onEndpointAnnounced(Endpoint_, steadyNow()));
  Reply->send({200, "application/json", {}, "{}"});
}

void AgentService::Impl::apply(GateOutputs Outputs) {
  for (GateOutput &O : Outputs) {
    if (auto *Send = std::get_if<SendToEntry>(&O)) {
      Hub_.send(PeerId::of(Send->To_), std::move(Send->Message_));
    } else if (auto *Run = std::get_if<RunTask>(&O)) {
      run(std::move(*Run));
    } else if (const auto *Stop = std::get_if<StopTask>(&O)) {
      const auto It = Runs_.find(Stop->Run_);
      if (It != Runs_.end())
        Client_.cancel(It->second);
    } else if (const auto *Log = std::get_if<LogEvent>(&O)) {
      Log_.write(Log->Event_);
    }
  }
}

void AgentService::Impl::run(RunTask Task) {
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

// An endpoint that refuses connections has no slots until it announces itself
// again; otherwise it would fail every task that is sent here.
void AgentService::Impl::onRunEnded(RunId Run, Time Started,
                                    const Result<HttpResponse> &R) {
  Runs_.erase(Run);
  const Time Now = steadyNow();
  RunOutcome Outcome = RunOutcome::Success;
  std::string Text;
  if (!ok(R)) {
    const Error &E = error(R);
    Outcome =
        E.Code_ == "cancelled" ? RunOutcome::Stopped : RunOutcome::Failure;
    Text = E.str();
    if (E.Code_ == "connect_failed") {
      LastAnnouncement_.clear();
      apply(Gate_.onRunFinished(Run, Outcome, std::move(Text), Now - Started,
                                Now));
      apply(Gate_.onEndpointFailed(Now));
      return;
    }
  } else if (value(R).Status_ / 100 != 2) {
    Outcome = RunOutcome::Failure;
    Text = "endpoint answered with status " + std::to_string(value(R).Status_) +
           ": " + value(R).Body_.substr(0, 1000);
  } else {
    Text = value(R).Body_;
  }
  apply(Gate_.onRunFinished(Run, Outcome, std::move(Text), Now - Started, Now));
}

void AgentService::Impl::tick() {
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (Ec || Self->Stopped_)
          return;
        const Time Now = steadyNow();
        Self->apply(Self->Gate_.onTimer(Now));
        Self->endIfDrained(Now);
        Self->tick();
      });
}

void AgentService::Impl::drain() {
  if (DrainEnd_)
    return;
  const Time Now = steadyNow();
  DrainEnd_ = Now + Settings_.Process_.DrainLimit_;
  Log_.write(events::DrainStarted, {{"agent", Self_.str()}});
  apply(Gate_.onLeaving(Now));
}

// The results of the last runs count as delivered once the owners have
// acknowledged them.
void AgentService::Impl::endIfDrained(Time Now) {
  if (!DrainEnd_)
    return;
  if ((Gate_.drained() && Hub_.allDelivered(false)) || *DrainEnd_ <= Now)
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
  I.Log_.write(events::ProcessStarted, {{"role", "agent"},
                                        {"agent", I.Self_.str()},
                                        {"listen", value(Local).str()}});
  I.tick();
  return I.Hub_.start();
}

void AgentService::drain() { Impl_->drain(); }

void AgentService::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
  Impl_->Http_.close();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped, {{"agent", Impl_->Self_.str()}});
}

} // namespace chivelanding
