#include "entry_service.h"

#include "admin_publisher.h"
#include "api.h"
#include "clock.h"
#include "config_policy.h"
#include "config_service.h"
#include "cordon_edit.h"
#include "drop_log.h"
#include "entry_core.h"
#include "entry_limits.h"
#include "http_server.h"
#include "metrics.h"
#include "peer_hub.h"
#include "periodic_timer.h"
#include "random_number.h"
#include "team_auth.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>

namespace chivelanding {
namespace {

// Period of the decision modules' timers.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);

HttpResponse notFound() {
  return {404, "application/json", {}, R"({"code":"not_found"})"};
}

} // namespace

struct EntryService::Impl : std::enable_shared_from_this<EntryService::Impl> {
  Impl(boost::asio::io_context &Io, EntrySettings Settings, EventLog &Log);

  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  bool onHealthRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void onAdminRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);
  HttpResponse status() const;
  HttpResponse readiness() const;
  HttpResponse metrics();
  void onApiRequest(HttpRequest &&Request, const Target &T,
                    const HttpReplyPtr &Reply);
  void onJobRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void onSingleRequest(HttpRequest &&Request, const Target &T,
                       const HttpReplyPtr &Reply);
  void onCancelRequest(const HttpRequest &Request, const Target &T,
                       const HttpReplyPtr &Reply);
  HttpResponse refusal(const Error &E) const;
  ConfigService::Host makeConfigHost();
  void onConfig(const AcceptedConfig &Config);
  void submit(Result<JobSpec> Spec, const HttpReplyPtr &Reply, bool IsSingle);
  void sendReply(const HttpReplyPtr &Reply, HttpResponse Response);
  void sendAnswer(ReplyId To, const JobId &Job, const JobAnswer &Answer);

  Result<SocketAddress> listenAdmin();
  std::unique_ptr<EntryCore> makeCore();
  PolicyConfig basePolicy() const;
  PeerHandler makeHandler();
  void rejoin();
  void checkConfigKnown();
  void onTick(Time Now);
  void drain();
  void exitIfDrained(Time Now);

  struct WaitingCaller {
    HttpReplyPtr Http_;
    bool IsSingle_ = false;
    Time SubmittedAt_;
  };

  boost::asio::io_context &Io_;
  EntrySettings Settings_;
  EventLog &Log_;
  /// The configuration in force is known; nothing is placed before.
  bool HasConfig_ = false;
  std::set<ZoneName> Cordons_;
  std::unique_ptr<EntryCore> Core_;
  Metrics Metrics_;
  HttpServer Http_;
  HttpServer Admin_;
  PeerHub Hub_;
  ConfigService Config_;
  AdminPublisher Publisher_;
  /// Connected peers, by their names in the configuration exchange.
  std::map<std::string, PeerId> Peers_;
  PeriodicTimer Timer_;
  std::unordered_map<std::uint64_t, WaitingCaller> WaitingCallers_;
  std::uint64_t NextReply_ = 1;
  std::optional<Time> DrainDeadline_;
  bool Stopped_ = false;
};

PolicyConfig EntryService::Impl::basePolicy() const {
  PolicyConfig Policy;
  Policy.MaxWaiting_ = Settings_.MaxWaitingTasks_;
  Policy.HoldsPlacements_ = !HasConfig_;
  return Policy;
}

std::unique_ptr<EntryCore> EntryService::Impl::makeCore() {
  const EntryId Self{Settings_.Process_.Name_, Incarnation(drawRandomNumber())};
  const std::uint64_t Seed =
      Settings_.Seed_ != 0 ? Settings_.Seed_ : Self.Incarnation_.value();
  EntryActions Actions{
      [this](const PeerId &To, Message M) { Hub_.send(To, std::move(M)); },
      [this](ReplyId To, const JobId &Job, const JobAnswer &Answer) {
        sendAnswer(To, Job, Answer);
      },
      [this](const Event &E) { Log_.write(E); },
      [this](const EntryId &) {
        boost::asio::post(Io_, [Self = shared_from_this()] { Self->rejoin(); });
      }};
  return std::make_unique<EntryCore>(
      Self, ownerLimits(Settings_), Settings_.Process_.LostAfter_, basePolicy(),
      Settings_.Process_.Zone_, Seed, std::move(Actions), steadyNow());
}

ConfigService::Host EntryService::Impl::makeConfigHost() {
  return {[this](const std::string &Peer, Message M) {
            const auto It = Peers_.find(Peer);
            if (It != Peers_.end())
              Hub_.send(It->second, std::move(M));
          },
          [this](const AcceptedPtr &State) { onConfig(*State); }};
}

void EntryService::Impl::onConfig(const AcceptedConfig &Config) {
  HasConfig_ = true;
  std::set<ZoneName> Zones = cordonedZones(Config.Set_);
  for (const Event &E : makeCordonEvents(Cordons_, Zones, Config.Version_))
    Log_.write(E);
  Cordons_ = std::move(Zones);
  Core_->setPolicy(makePolicy(Config.Set_, basePolicy()), steadyNow());
}

PeerHandler EntryService::Impl::makeHandler() {
  return {[this](const PeerUp &Up) {
            Peers_[Up.Peer_.str()] = Up.Peer_;
            Core_->onPeerUp(Up.Peer_, steadyNow());
            Config_.onPeerUp(Up.Peer_.str(), Up.Peer_.Role_);
          },
          [this](const PeerId &P) { Core_->onPeerSuspected(P, steadyNow()); },
          [this](const PeerId &P) { Core_->onPeerReachable(P, steadyNow()); },
          [this](const PeerId &P) {
            Core_->onPeerLost(P, steadyNow());
            Config_.onPeerLost(P.str());
            Peers_.erase(P.str());
          },
          [this](const PeerId &P, const Message &M) {
            if (!Config_.onMessage(P.str(), M))
              Core_->onMessage(P, M, steadyNow());
          },
          [this] {
            Log_.write(events::SelfClosed,
                       {{"entry", Core_->self().str()},
                        {"holder", "a later process of this name"}});
            Io_.stop();
          }};
}

EntryService::Impl::Impl(boost::asio::io_context &Io, EntrySettings Settings,
                         EventLog &Log)
    : Io_(Io), Settings_(std::move(Settings)), Log_(Log), Core_(makeCore()),
      Metrics_({{"role", "entry"}, {"name", Settings_.Process_.Name_}}),
      Http_(Io, callerLimits(Settings_),
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(std::move(Request), Reply);
            }),
      Admin_(Io, adminLimits(Settings_),
             [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
               onAdminRequest(Request, Reply);
             }),
      Hub_(Io, Settings_.Process_, PeerId::of(Core_->self()), Log,
           makeHandler()),
      Config_(Io, Settings_.Process_, Role::Entry, Log, makeConfigHost()),
      Publisher_(Config_, Log, Settings_.AdminListen_.isLoopback()),
      Timer_(Io) {
  Log_.setCounter([this](const EventType &Type) { Metrics_.count(Type); });
  Http_.onDrop(makeDropHandler("callers", Log_, Metrics_));
  Admin_.onDrop(makeDropHandler("admin", Log_, Metrics_));
}

// The new incarnation relays the submissions of waiting callers to the entry
// that holds this entry's grants, which answers them. The other callers are
// answered that the outcome is unknown and that they must submit again.
void EntryService::Impl::rejoin() {
  const Time Now = steadyNow();
  auto Relays = Core_->takeRelays();
  Core_ = makeCore();
  Core_->setPolicy(makePolicy(Config_.state()->Set_, basePolicy()), Now);
  for (const auto &[Name, Peer] : Peers_)
    Config_.onPeerLost(Name);
  Peers_.clear();
  Hub_.rejoin(PeerId::of(Core_->self()));
  Log_.write(events::ProcessStarted,
             {{"role", "entry"}, {"entry", Core_->self().str()}});
  auto Unanswered = std::move(WaitingCallers_);
  WaitingCallers_.clear();
  for (PendingRelay &Relay : Relays) {
    const auto It = Unanswered.find(Relay.Reply_.value());
    if (It == Unanswered.end())
      continue;
    WaitingCallers_.insert(Unanswered.extract(It));
    Core_->resumeRelay(std::move(Relay), Now);
  }
  const JobAnswer Unknown =
      ownerUnreachable("this entry was closed and rejoins; submit again");
  for (const auto &[Id, W] : Unanswered)
    sendReply(W.Http_, renderAnswer({}, Unknown));
  if (DrainDeadline_)
    Core_->onDrain(Now);
}

void EntryService::Impl::sendReply(const HttpReplyPtr &Reply,
                                   HttpResponse Response) {
  Response.Headers_.push_back(
      {"Chivelanding-Token", Core_->token(steadyNow()).str()});
  Reply->send(std::move(Response));
}

void EntryService::Impl::onRequest(HttpRequest &&Request,
                                   const HttpReplyPtr &Reply) {
  const auto Parsed = Target::parse(Request.Target_);
  if (!ok(Parsed)) {
    sendReply(Reply, renderRefusal(error(Parsed)));
    return;
  }
  const Target &T = value(Parsed);
  if (T.Path_.size() >= 2 && T.Path_[0] == "v1") {
    onApiRequest(std::move(Request), T, Reply);
  } else if (!onHealthRequest(Request, Reply)) {
    sendReply(Reply, notFound());
  }
}

bool EntryService::Impl::onHealthRequest(const HttpRequest &Request,
                                         const HttpReplyPtr &Reply) {
  if (Request.Method_ != "GET")
    return false;
  if (Request.Target_ == "/healthz")
    Reply->send({200, "text/plain", {}, "ok\n"});
  else if (Request.Target_ == "/readyz")
    Reply->send(readiness());
  else if (Request.Target_ == "/metrics")
    Reply->send(metrics());
  else
    return false;
  return true;
}

HttpResponse EntryService::Impl::readiness() const {
  if (DrainDeadline_ || !HasConfig_)
    return {503,
            "text/plain",
            {},
            DrainDeadline_ ? "draining\n" : "no configuration\n"};
  return {200, "text/plain", {}, "ok\n"};
}

HttpResponse EntryService::Impl::metrics() {
  Metrics_.set("chivelanding_open_jobs", "Jobs without an answer.",
               static_cast<double>(Core_->openJobs()));
  Metrics_.set("chivelanding_waiting_tasks", "Tasks that wait for an agent.",
               static_cast<double>(Core_->waitingTasks()));
  Metrics_.set("chivelanding_waiting_callers", "Callers without an answer.",
               static_cast<double>(WaitingCallers_.size()));
  Metrics_.set("chivelanding_connections", "Connections of callers.",
               static_cast<double>(Http_.connections()));
  Metrics_.set("chivelanding_cordoned_zones", "Zones that are cordoned.",
               static_cast<double>(Cordons_.size()));
  return Metrics_.render();
}

HttpResponse EntryService::Impl::status() const {
  HttpResponse R;
  R.Body_ =
      nlohmann::json({{"role", "entry"},
                      {"entry", Core_->self().str()},
                      {"draining", DrainDeadline_.has_value()},
                      {"open_jobs", Core_->openJobs()},
                      {"waiting_tasks", Core_->waitingTasks()},
                      {"waiting_callers", WaitingCallers_.size()},
                      {"connections", Http_.connections()},
                      {"config_version", Config_.state()->Version_.value()}})
          .dump();
  return R;
}

void EntryService::Impl::onAdminRequest(const HttpRequest &Request,
                                        const HttpReplyPtr &Reply) {
  const bool IsStatus =
      Request.Method_ == "GET" && Request.Target_ == "/v1/status";
  const bool IsDrain =
      Request.Method_ == "POST" && Request.Target_ == "/v1/drain";
  if ((IsStatus || IsDrain) && !Publisher_.mayAdminister(Request, IsDrain)) {
    Reply->send({401, "application/json", {}, R"({"code":"unauthorized"})"});
  } else if (IsStatus) {
    Reply->send(status());
  } else if (IsDrain) {
    Log_.write(events::AdminAction, {{"action", "drain"}});
    drain();
    Reply->send(status());
  } else if (!onHealthRequest(Request, Reply)) {
    Publisher_.onRequest(Request, Reply);
  }
}

void EntryService::Impl::onApiRequest(HttpRequest &&Request, const Target &T,
                                      const HttpReplyPtr &Reply) {
  const std::string &Method = Request.Method_;
  const std::string &Name = T.Path_[1];
  const std::size_t Parts = T.Path_.size();
  if (Method == "GET" && Name == "token" && Parts == 2)
    sendReply(Reply,
              {200,
               "application/json",
               {},
               "{\"token\":\"" + Core_->token(steadyNow()).str() + "\"}"});
  else if (Method == "POST" && Name == "jobs" && Parts == 2)
    onJobRequest(Request, Reply);
  else if (Method == "DELETE" && Name == "jobs" && Parts == 3)
    onCancelRequest(Request, T, Reply);
  else if (Method == "POST" && Name == "requests" && Parts == 4)
    onSingleRequest(std::move(Request), T, Reply);
  else
    sendReply(Reply, notFound());
}

// Without the configuration the team of a bearer token is unknown, and with it
// whether the job has run, so the caller is told to submit again.
HttpResponse EntryService::Impl::refusal(const Error &E) const {
  if (HasConfig_ || E.Code_ != "team_required")
    return renderRefusal(E);
  return renderAnswer({}, ownerUnreachable(NoConfigurationDetail));
}

void EntryService::Impl::onJobRequest(const HttpRequest &Request,
                                      const HttpReplyPtr &Reply) {
  const auto Team = authorizeTeam(Config_.state()->Set_, Request);
  submit(ok(Team)
             ? parseJob(Request.Body_, value(Team), Settings_.MaxTasksPerJob_)
             : error(Team),
         Reply, false);
}

void EntryService::Impl::onSingleRequest(HttpRequest &&Request, const Target &T,
                                         const HttpReplyPtr &Reply) {
  const auto Team = authorizeTeam(Config_.state()->Set_, Request);
  submit(ok(Team) ? parseSingle(std::move(Request), T, value(Team))
                  : error(Team),
         Reply, true);
}

void EntryService::Impl::onCancelRequest(const HttpRequest &Request,
                                         const Target &T,
                                         const HttpReplyPtr &Reply) {
  const auto Team = authorizeTeam(Config_.state()->Set_, Request);
  const auto Token = OwnerToken::parse(T.query("token"));
  if (!ok(Team) || !ok(Token)) {
    sendReply(Reply, refusal(ok(Team) ? error(Token) : error(Team)));
    return;
  }
  const JobId Job{value(Team), value(Token), JobKey(T.Path_[2])};
  Core_->onCancel(Job, steadyNow());
  sendReply(Reply, {202, "application/json", {}, "{}"});
}

void EntryService::Impl::submit(Result<JobSpec> Spec, const HttpReplyPtr &Reply,
                                bool IsSingle) {
  if (ok(Spec)) {
    const auto Applied = applyKind(Config_.state()->Set_,
                                   Settings_.Process_.Region_, value(Spec));
    if (!ok(Applied))
      Spec = error(Applied);
  }
  if (!ok(Spec)) {
    Log_.write(events::JobRefused, {{"code", error(Spec).Code_}});
    sendReply(Reply, refusal(error(Spec)));
    return;
  }
  const ReplyId Id(NextReply_++);
  WaitingCallers_[Id.value()] = {Reply, IsSingle, steadyNow()};
  Reply->onDisconnect([Weak = weak_from_this(), Id] {
    const auto Self = Weak.lock();
    if (Self && Self->WaitingCallers_.erase(Id.value()) > 0)
      Self->Core_->onCallerDisconnected(Id);
  });
  Core_->onSubmit(std::move(value(Spec)), Id, steadyNow());
}

void EntryService::Impl::sendAnswer(ReplyId To, const JobId &Job,
                                    const JobAnswer &Answer) {
  const auto It = WaitingCallers_.find(To.value());
  if (It == WaitingCallers_.end())
    return;
  const WaitingCaller W = std::move(It->second);
  WaitingCallers_.erase(It);
  Metrics_.observe(
      "chivelanding_answer_seconds", "Time from a submission to its answer.",
      std::chrono::duration<double>(steadyNow() - W.SubmittedAt_).count());
  sendReply(W.Http_, W.IsSingle_ ? renderSingle(Job, Answer)
                                 : renderAnswer(Job, Answer));
}

// A log without any version is noticed here, since no version comes into force.
void EntryService::Impl::checkConfigKnown() {
  if (!HasConfig_ && Config_.isKnown())
    onConfig(*Config_.state());
}

void EntryService::Impl::onTick(Time Now) {
  checkConfigKnown();
  Core_->onTimer(Now);
  Log_.flush();
  exitIfDrained(Now);
}

Result<SocketAddress> EntryService::Impl::listenAdmin() {
  const SocketAddress &Address = Settings_.AdminListen_;
  return Address.Host_.empty() ? Address : Admin_.listen(Address);
}

// Closes idle connections so that callers connect to another entry; connections
// with a pending reply are closed after it.
void EntryService::Impl::drain() {
  if (DrainDeadline_)
    return;
  const Time Now = steadyNow();
  DrainDeadline_ = Now + Settings_.Process_.DrainLimit_;
  Log_.write(events::DrainStarted, {{"entry", Core_->self().str()}});
  Core_->onDrain(Now);
  Http_.drain();
  Admin_.drain();
}

void EntryService::Impl::exitIfDrained(Time Now) {
  if (!DrainDeadline_)
    return;
  const bool IsDone = Core_->isIdle() && WaitingCallers_.empty() &&
                      Http_.connections() == 0 && Hub_.allDelivered(true);
  if (IsDone || *DrainDeadline_ <= Now)
    Io_.stop();
}

EntryService::EntryService(boost::asio::io_context &Io, EntrySettings Settings,
                           EventLog &Log)
    : Impl_(std::make_shared<Impl>(Io, std::move(Settings), Log)) {}

EntryService::~EntryService() { EntryService::stop(); }

Result<Done> EntryService::start() {
  Impl &I = *Impl_;
  const auto Peers = I.Hub_.listen(I.Settings_.PeerListen_);
  if (!ok(Peers))
    return error(Peers);
  const auto Callers = I.Http_.listen(I.Settings_.Listen_);
  if (!ok(Callers))
    return error(Callers);
  const auto Admin = I.listenAdmin();
  if (!ok(Admin))
    return error(Admin);
  for (const SocketAddress &Seed : I.Settings_.Seeds_)
    I.Hub_.addSeed(Seed);
  I.Log_.write(events::ProcessStarted, {{"role", "entry"},
                                        {"entry", I.Core_->self().str()},
                                        {"listen", value(Callers).str()},
                                        {"peer_listen", value(Peers).str()},
                                        {"admin", value(Admin).str()}});
  I.Timer_.start(TickPeriod, [&I](Time Now) { I.onTick(Now); });
  const auto Config = I.Config_.start();
  I.checkConfigKnown();
  return ok(Config) ? I.Hub_.start() : Config;
}

void EntryService::drain() { Impl_->drain(); }

void EntryService::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.stop();
  Impl_->Http_.close();
  Impl_->Admin_.close();
  Impl_->Config_.stop();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped,
                    {{"entry", Impl_->Core_->self().str()}});
  Impl_->Log_.setCounter(nullptr);
}

} // namespace chivelanding
