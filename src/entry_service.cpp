#include "entry_service.h"

#include "api.h"
#include "clock.h"
#include "entry_core.h"
#include "http_server.h"
#include "peer_hub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <random>
#include <unordered_map>

namespace chivelanding {
namespace {

// Period of the decision modules' timers.
constexpr auto TickPeriod = std::chrono::milliseconds(10);
HttpResponse notFound() {
  return {404, "application/json", {}, R"({"code":"not_found"})"};
}

Incarnation drawIncarnation() {
  std::random_device Source;
  return Incarnation((static_cast<std::uint64_t>(Source()) << 32) | Source());
}

} // namespace

struct EntryService::Impl : std::enable_shared_from_this<EntryService::Impl> {
  Impl(boost::asio::io_context &Io, EntrySettings Settings, EventLog &Log);

  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  void onVersioned(HttpRequest &&Request, const Target &T,
                   const HttpReplyPtr &Reply);
  void onJobRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void onSingleRequest(HttpRequest &&Request, const Target &T,
                       const HttpReplyPtr &Reply);
  void onCancelRequest(const HttpRequest &Request, const Target &T,
                       const HttpReplyPtr &Reply);
  Result<TeamName> teamOf(const HttpRequest &Request) const;
  void submit(Result<JobSpec> Spec, const HttpReplyPtr &Reply, bool Single);
  void reply(const HttpReplyPtr &Reply, HttpResponse Response);
  void giveAnswer(ReplyId To, const JobId &Job, const JobAnswer &Answer);

  std::unique_ptr<EntryCore> makeCore();
  PeerHandler makeHandler();
  void rejoin();
  void tick();
  void drain();
  void endIfDrained(Time Now);

  /// A caller that waits for an answer.
  struct Waiter {
    HttpReplyPtr Http_;
    bool Single_ = false;
  };

  boost::asio::io_context &Io_;
  EntrySettings Settings_;
  EventLog &Log_;
  std::unique_ptr<EntryCore> Core_;
  HttpServer Http_;
  PeerHub Hub_;
  boost::asio::steady_timer Timer_;
  std::unordered_map<std::uint64_t, Waiter> Waiters_;
  std::uint64_t NextReply_ = 1;
  std::optional<Time> DrainEnd_;
  bool Stopped_ = false;
};

std::unique_ptr<EntryCore> EntryService::Impl::makeCore() {
  const EntryId Self{Settings_.Process_.Name_, drawIncarnation()};
  const OwnerLimits Limits{Settings_.MaxTasksPerJob_, Settings_.TokenEpoch_,
                           Settings_.TokenEpochsAccepted_,
                           Settings_.ResultBytes_};
  const std::uint64_t Seed =
      Settings_.Seed_ != 0 ? Settings_.Seed_ : Self.Incarnation_.value();
  EntryActions Actions{
      [this](const PeerId &To, Message M) { Hub_.send(To, std::move(M)); },
      [this](ReplyId To, const JobId &Job, const JobAnswer &Answer) {
        giveAnswer(To, Job, Answer);
      },
      [this](const Event &E) { Log_.write(E); },
      [this](const EntryId &) {
        boost::asio::post(Io_, [Self = shared_from_this()] { Self->rejoin(); });
      }};
  return std::make_unique<EntryCore>(Self, Limits,
                                     Settings_.Process_.LostAfter_, Seed,
                                     std::move(Actions), steadyNow());
}

PeerHandler EntryService::Impl::makeHandler() {
  return {[this](const PeerUp &Up) { Core_->onPeerUp(Up.Peer_, steadyNow()); },
          [this](const PeerId &P) { Core_->onPeerSuspected(P, steadyNow()); },
          [this](const PeerId &P) { Core_->onPeerHeard(P, steadyNow()); },
          [this](const PeerId &P) { Core_->onPeerLost(P, steadyNow()); },
          [this](const PeerId &P, const Message &M) {
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
      Http_(Io,
            HttpServerLimits{16u << 10, Settings_.MaxBodyBytes_,
                             Settings_.MaxConnections_},
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(std::move(Request), Reply);
            }),
      Hub_(Io, Settings_.Process_, PeerId::of(Core_->self()), Log,
           makeHandler()),
      Timer_(Io) {}

// The callers that waited here are answered by the holder of the grants, to
// which the new incarnation relays their submissions.
void EntryService::Impl::rejoin() {
  const Time Now = steadyNow();
  auto Relays = Core_->takeRelays();
  Core_ = makeCore();
  Hub_.rejoin(PeerId::of(Core_->self()));
  Log_.write(events::ProcessStarted,
             {{"role", "entry"}, {"entry", Core_->self().str()}});
  auto Left = std::move(Waiters_);
  Waiters_.clear();
  for (PendingRelay &Relay : Relays) {
    const auto It = Left.find(Relay.Reply_.value());
    if (It == Left.end())
      continue;
    Waiters_.insert(Left.extract(It));
    Core_->resumeRelay(std::move(Relay), Now);
  }
  JobAnswer Unknown;
  Unknown.Code_ = "owner_unreachable";
  Unknown.Detail_ = "this entry was closed and rejoins; submit again";
  for (const auto &[Id, W] : Left)
    reply(W.Http_, renderAnswer({}, Unknown));
  if (DrainEnd_)
    Core_->onDrain(Now);
}

void EntryService::Impl::reply(const HttpReplyPtr &Reply,
                               HttpResponse Response) {
  Response.Headers_.push_back(
      {"Chivelanding-Token", Core_->token(steadyNow()).str()});
  Reply->send(std::move(Response));
}

void EntryService::Impl::onRequest(HttpRequest &&Request,
                                   const HttpReplyPtr &Reply) {
  const auto Parsed = Target::parse(Request.Target_);
  if (!ok(Parsed)) {
    reply(Reply, renderRefusal(error(Parsed)));
    return;
  }
  const Target &T = value(Parsed);
  if (T.Path_.size() >= 2 && T.Path_[0] == "v1") {
    onVersioned(std::move(Request), T, Reply);
  } else if (Request.Method_ == "GET" && Request.Target_ == "/healthz") {
    reply(Reply, {200, "text/plain", {}, "ok\n"});
  } else if (Request.Method_ == "GET" && Request.Target_ == "/readyz") {
    reply(Reply, DrainEnd_ ? HttpResponse{503, "text/plain", {}, "draining\n"}
                           : HttpResponse{200, "text/plain", {}, "ok\n"});
  } else {
    reply(Reply, notFound());
  }
}

void EntryService::Impl::onVersioned(HttpRequest &&Request, const Target &T,
                                     const HttpReplyPtr &Reply) {
  const std::string &Method = Request.Method_;
  const std::string &Name = T.Path_[1];
  const std::size_t Parts = T.Path_.size();
  if (Method == "GET" && Name == "token" && Parts == 2)
    reply(Reply, {200,
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
    reply(Reply, notFound());
}

Result<TeamName> EntryService::Impl::teamOf(const HttpRequest &Request) const {
  const auto Team = Request.header("Chivelanding-Team");
  if (Team.empty() || Team.size() > 256)
    return Error{"team_required", "read request", "",
                 "header Chivelanding-Team is missing or too long"};
  return TeamName(std::string(Team));
}

void EntryService::Impl::onJobRequest(const HttpRequest &Request,
                                      const HttpReplyPtr &Reply) {
  const auto Team = teamOf(Request);
  submit(ok(Team)
             ? parseJob(Request.Body_, value(Team), Settings_.MaxTasksPerJob_)
             : error(Team),
         Reply, false);
}

void EntryService::Impl::onSingleRequest(HttpRequest &&Request, const Target &T,
                                         const HttpReplyPtr &Reply) {
  const auto Team = teamOf(Request);
  submit(ok(Team) ? parseSingle(std::move(Request), T, value(Team))
                  : error(Team),
         Reply, true);
}

void EntryService::Impl::onCancelRequest(const HttpRequest &Request,
                                         const Target &T,
                                         const HttpReplyPtr &Reply) {
  const auto Team = teamOf(Request);
  const auto Token = OwnerToken::parse(T.query("token"));
  if (!ok(Team) || !ok(Token)) {
    reply(Reply, renderRefusal(ok(Team) ? error(Token) : error(Team)));
    return;
  }
  const JobId Job{value(Team), value(Token), JobKey(T.Path_[2])};
  Core_->onCancel(Job, steadyNow());
  reply(Reply, {202, "application/json", {}, "{}"});
}

void EntryService::Impl::submit(Result<JobSpec> Spec, const HttpReplyPtr &Reply,
                                bool Single) {
  if (!ok(Spec)) {
    Log_.write(events::JobRefused, {{"code", error(Spec).Code_}});
    reply(Reply, renderRefusal(error(Spec)));
    return;
  }
  const ReplyId Id(NextReply_++);
  Waiters_[Id.value()] = {Reply, Single};
  Reply->onGone([Weak = weak_from_this(), Id] {
    const auto Self = Weak.lock();
    if (Self && Self->Waiters_.erase(Id.value()) > 0)
      Self->Core_->onReplyGone(Id);
  });
  Core_->onSubmit(std::move(value(Spec)), Id, steadyNow());
}

void EntryService::Impl::giveAnswer(ReplyId To, const JobId &Job,
                                    const JobAnswer &Answer) {
  const auto It = Waiters_.find(To.value());
  if (It == Waiters_.end())
    return;
  const Waiter W = std::move(It->second);
  Waiters_.erase(It);
  reply(W.Http_,
        W.Single_ ? renderSingle(Job, Answer) : renderAnswer(Job, Answer));
}

void EntryService::Impl::tick() {
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (Ec || Self->Stopped_)
          return;
        const Time Now = steadyNow();
        Self->Core_->onTimer(Now);
        Self->endIfDrained(Now);
        Self->tick();
      });
}

// Idle connections are closed so that callers go elsewhere; those with a
// pending reply close after it.
void EntryService::Impl::drain() {
  if (DrainEnd_)
    return;
  const Time Now = steadyNow();
  DrainEnd_ = Now + Settings_.Process_.DrainLimit_;
  Log_.write(events::DrainStarted, {{"entry", Core_->self().str()}});
  Core_->onDrain(Now);
  Http_.drain();
}

void EntryService::Impl::endIfDrained(Time Now) {
  if (!DrainEnd_)
    return;
  const bool IsDone = Core_->idle() && Waiters_.empty() &&
                      Http_.connections() == 0 && Hub_.allDelivered(true);
  if (IsDone || *DrainEnd_ <= Now)
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
  for (const SocketAddress &Seed : I.Settings_.Seeds_)
    I.Hub_.addSeed(Seed);
  I.Log_.write(events::ProcessStarted, {{"role", "entry"},
                                        {"entry", I.Core_->self().str()},
                                        {"listen", value(Callers).str()},
                                        {"peer_listen", value(Peers).str()}});
  I.tick();
  return I.Hub_.start();
}

void EntryService::drain() { Impl_->drain(); }

void EntryService::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
  Impl_->Http_.close();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped,
                    {{"entry", Impl_->Core_->self().str()}});
}

} // namespace chivelanding
