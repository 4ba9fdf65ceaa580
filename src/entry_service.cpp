#include "entry_service.h"

#include "api.h"
#include "clock.h"
#include "http_server.h"
#include "job_owner.h"
#include "peer_hub.h"
#include "scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace chivelanding {
namespace {

// Period of the decision modules' timers.
constexpr auto TickPeriod = std::chrono::milliseconds(10);
// Retry-After while the owner of a token is not reachable.
constexpr Duration OwnerRetryAfter = std::chrono::seconds(1);

PeerIdentity identityOf(const ProcessSettings &S, Incarnation Inc) {
  return {Role::Entry, S.Name_, Inc, S.Zone_, S.Region_};
}

Incarnation drawIncarnation() {
  std::random_device Source;
  return Incarnation((static_cast<std::uint64_t>(Source()) << 32) | Source());
}

} // namespace

struct EntryService::Impl : std::enable_shared_from_this<EntryService::Impl> {
  Impl(boost::asio::io_context &Io, EntrySettings Settings, EventLog &Log);

  void onRequest(HttpRequest &&Request, const HttpReplyPtr &Reply);
  void onJobRequest(const HttpRequest &Request, const HttpReplyPtr &Reply);
  void onSingleRequest(HttpRequest &&Request, const Target &T,
                       const HttpReplyPtr &Reply);
  void onCancelRequest(const HttpRequest &Request, const Target &T,
                       const HttpReplyPtr &Reply);
  Result<TeamName> teamOf(const HttpRequest &Request) const;
  void submit(JobSpec Spec, const HttpReplyPtr &Reply, bool Single);
  void relay(JobSpec Spec, ReplyId Id);
  void reply(const HttpReplyPtr &Reply, HttpResponse Response);
  void giveAnswer(ReplyId To, const JobId &Job, const JobAnswer &Answer);

  void onPeerUp(const PeerIdentity &Peer);
  void onPeerMessage(const PeerIdentity &From, const Message &M);
  void onPeerLost(const PeerIdentity &Peer);
  void onEntryMessage(const EntryId &From, const Message &M);
  void onRelayAnswer(const EntryId &From, const RelayAnswer &Answer);

  void apply(OwnerOutputs Outputs);
  void tick();

  /// Whoever waits for an answer: a caller, or a peer that relays.
  struct Waiter {
    HttpReplyPtr Http_;
    bool Single_ = false;
    EntryId RelayedBy_;
    std::uint64_t RelayId_ = 0;
  };
  /// A submission of a caller that its owner is to answer.
  struct Relayed {
    EntryId Owner_;
    JobId Job_;
  };

  boost::asio::io_context &Io_;
  EntrySettings Settings_;
  EventLog &Log_;
  EntryId Self_;
  Scheduler Sched_;
  JobOwner Owner_;
  HttpServer Http_;
  PeerHub Hub_;
  boost::asio::steady_timer Timer_;
  std::unordered_map<std::uint64_t, Waiter> Waiters_;
  std::map<std::uint64_t, Relayed> Relayed_;
  std::set<EntryId> Peers_;
  std::uint64_t NextReply_ = 1;
  bool Stopped_ = false;
};

EntryService::Impl::Impl(boost::asio::io_context &Io, EntrySettings Settings,
                         EventLog &Log)
    : Io_(Io), Settings_(std::move(Settings)),
      Log_(Log), Self_{Settings_.Process_.Name_, drawIncarnation()},
      Owner_(Self_,
             {Settings_.MaxTasksPerJob_, Settings_.TokenEpoch_,
              Settings_.TokenEpochsAccepted_, Settings_.ResultBytes_},
             Sched_, steadyNow()),
      Http_(Io,
            HttpServerLimits{16u << 10, Settings_.MaxBodyBytes_,
                             Settings_.MaxConnections_},
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(std::move(Request), Reply);
            }),
      Hub_(Io, Settings_.Process_,
           identityOf(Settings_.Process_, Self_.Incarnation_), Log,
           {[this](const PeerIdentity &Peer) { onPeerUp(Peer); },
            [this](const PeerIdentity &From, const Message &M) {
              onPeerMessage(From, M);
            },
            [this](const PeerIdentity &Peer) { onPeerLost(Peer); }}),
      Timer_(Io) {}

void EntryService::Impl::reply(const HttpReplyPtr &Reply,
                               HttpResponse Response) {
  Response.Headers_.push_back(
      {"Chivelanding-Token", Owner_.token(steadyNow()).str()});
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
  const auto &Path = T.Path_;
  const std::string &Method = Request.Method_;
  if (Method == "GET" &&
      (Request.Target_ == "/healthz" || Request.Target_ == "/readyz")) {
    reply(Reply, {200, "text/plain", {}, "ok\n"});
  } else if (Path.size() >= 2 && Path[0] == "v1") {
    if (Method == "GET" && Path[1] == "token" && Path.size() == 2)
      reply(Reply, {200,
                    "application/json",
                    {},
                    "{\"token\":\"" + Owner_.token(steadyNow()).str() + "\"}"});
    else if (Method == "POST" && Path[1] == "jobs" && Path.size() == 2)
      onJobRequest(Request, Reply);
    else if (Method == "DELETE" && Path[1] == "jobs" && Path.size() == 3)
      onCancelRequest(Request, T, Reply);
    else if (Method == "POST" && Path[1] == "requests" && Path.size() == 4)
      onSingleRequest(std::move(Request), T, Reply);
    else
      reply(Reply, {404, "application/json", {}, R"({"code":"not_found"})"});
  } else {
    reply(Reply, {404, "application/json", {}, R"({"code":"not_found"})"});
  }
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
  auto Spec =
      ok(Team) ? parseJob(Request.Body_, value(Team), Settings_.MaxTasksPerJob_)
               : error(Team);
  if (ok(Spec)) {
    submit(std::move(value(Spec)), Reply, false);
    return;
  }
  Log_.write(events::JobRefused, {{"code", error(Spec).Code_}});
  reply(Reply, renderRefusal(error(Spec)));
}

void EntryService::Impl::onSingleRequest(HttpRequest &&Request, const Target &T,
                                         const HttpReplyPtr &Reply) {
  const auto Team = teamOf(Request);
  auto Spec =
      ok(Team) ? parseSingle(std::move(Request), T, value(Team)) : error(Team);
  if (ok(Spec)) {
    submit(std::move(value(Spec)), Reply, true);
    return;
  }
  Log_.write(events::JobRefused, {{"code", error(Spec).Code_}});
  reply(Reply, renderRefusal(error(Spec)));
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
  Log_.write(events::JobCancelled, {{"job", Job.str()}});
  if (Job.Token_.Owner_ == Self_)
    apply(Owner_.onCancel(Job, steadyNow()));
  else
    Hub_.send(Job.Token_.Owner_, RelayCancel{Job});
  reply(Reply, {202, "application/json", {}, "{}"});
}

void EntryService::Impl::submit(JobSpec Spec, const HttpReplyPtr &Reply,
                                bool Single) {
  const ReplyId Id(NextReply_++);
  Waiters_[Id.value()] = {Reply, Single, {}, 0};
  Reply->onGone([Weak = weak_from_this(), Id] {
    const auto Self = Weak.lock();
    if (!Self || Self->Waiters_.erase(Id.value()) == 0)
      return;
    Self->Relayed_.erase(Id.value());
    Self->Owner_.onReplyGone(Id);
  });
  if (Spec.Id_.Token_.Owner_ != Self_) {
    relay(std::move(Spec), Id);
    return;
  }
  if (Log_.enabled(events::JobAccepted))
    Log_.write(events::JobAccepted,
               {{"job", Spec.Id_.str()},
                {"tasks", std::to_string(Spec.Tasks_.size())}});
  apply(Owner_.onSubmit(std::move(Spec), Id, steadyNow()));
}

void EntryService::Impl::relay(JobSpec Spec, ReplyId Id) {
  const EntryId Owner = Spec.Id_.Token_.Owner_;
  if (Peers_.count(Owner) == 0) {
    JobAnswer A;
    A.Outcome_ = Outcome::Unknown;
    A.Code_ = "owner_unreachable";
    A.Detail_ = "entry " + Owner.str() + " does not answer; submit again";
    A.RetryAfter_ = OwnerRetryAfter;
    giveAnswer(Id, Spec.Id_, A);
    return;
  }
  Log_.write(events::JobRelayed,
             {{"job", Spec.Id_.str()}, {"owner", Owner.str()}});
  Relayed_[Id.value()] = {Owner, Spec.Id_};
  Hub_.send(Owner, RelaySubmit{Id.value(), std::move(Spec)});
}

void EntryService::Impl::giveAnswer(ReplyId To, const JobId &Job,
                                    const JobAnswer &Answer) {
  const auto It = Waiters_.find(To.value());
  if (It == Waiters_.end())
    return;
  const Waiter W = std::move(It->second);
  Waiters_.erase(It);
  if (Log_.enabled(events::JobAnswered))
    Log_.write(events::JobAnswered, {{"job", Job.str()},
                                     {"outcome", outcomeName(Answer.Outcome_)},
                                     {"code", Answer.Code_}});
  if (W.Http_)
    reply(W.Http_,
          W.Single_ ? renderSingle(Job, Answer) : renderAnswer(Job, Answer));
  else
    Hub_.send(W.RelayedBy_, RelayAnswer{W.RelayId_, Answer});
}

void EntryService::Impl::apply(OwnerOutputs Outputs) {
  for (OwnerOutput &O : Outputs) {
    if (auto *Send = std::get_if<SendToAgent>(&O)) {
      Hub_.send(Send->To_, std::move(Send->Message_));
    } else if (const auto *Give = std::get_if<GiveAnswer>(&O)) {
      giveAnswer(Give->To_, Give->Job_, Give->Answer_);
    } else if (const auto *Log = std::get_if<LogPlacement>(&O)) {
      if (!Log_.enabled(events::TaskPlaced))
        continue;
      const Placement &P = Log->Placement_;
      Log_.write(events::TaskPlaced,
                 {{"job", P.Task_.Job_.str()},
                  {"task", std::to_string(P.Task_.Index_.value())},
                  {"agent", P.Agent_.str()},
                  {"reason", P.Reason_}});
    }
  }
}

void EntryService::Impl::onPeerUp(const PeerIdentity &Peer) {
  if (Peer.Role_ == Role::Entry)
    Peers_.insert(Peer.entry());
}

void EntryService::Impl::onPeerMessage(const PeerIdentity &From,
                                       const Message &M) {
  if (From.Role_ == Role::Entry) {
    onEntryMessage(From.entry(), M);
    return;
  }
  if (const auto *Info = std::get_if<AnnounceEndpoint>(&M))
    Log_.write(Info->Info_.Leaving_ ? events::EndpointLeaving
                                    : events::EndpointAnnounced,
               {{"agent", From.str()},
                {"service", Info->Info_.Service_.str()},
                {"slots", std::to_string(Info->Info_.Slots_)}});
  if (const auto *Rejected = std::get_if<TasksRejected>(&M))
    Log_.write(events::TaskRejected,
               {{"job", Rejected->Job_.str()},
                {"agent", From.str()},
                {"tasks", std::to_string(Rejected->Tasks_.size())},
                {"reason", rejectReasonName(Rejected->Reason_)}});
  apply(Owner_.onAgentMessage(From.agent(), M, steadyNow()));
}

void EntryService::Impl::onEntryMessage(const EntryId &From, const Message &M) {
  if (const auto *Submit = std::get_if<RelaySubmit>(&M)) {
    const ReplyId Id(NextReply_++);
    Waiters_[Id.value()] = {nullptr, false, From, Submit->RelayId_};
    apply(Owner_.onSubmit(Submit->Spec_, Id, steadyNow()));
  } else if (const auto *Answer = std::get_if<RelayAnswer>(&M)) {
    onRelayAnswer(From, *Answer);
  } else if (const auto *Cancel = std::get_if<RelayCancel>(&M)) {
    apply(Owner_.onCancel(Cancel->Job_, steadyNow()));
  }
}

void EntryService::Impl::onRelayAnswer(const EntryId &From,
                                       const RelayAnswer &Answer) {
  const auto It = Relayed_.find(Answer.RelayId_);
  if (It == Relayed_.end() || It->second.Owner_ != From)
    return;
  const JobId Job = It->second.Job_;
  Relayed_.erase(It);
  giveAnswer(ReplyId(Answer.RelayId_), Job, Answer.Answer_);
}

void EntryService::Impl::onPeerLost(const PeerIdentity &Peer) {
  if (Peer.Role_ == Role::Agent) {
    apply(Owner_.onAgentLost(Peer.agent(), steadyNow()));
    return;
  }
  Peers_.erase(Peer.entry());
  std::vector<std::pair<std::uint64_t, JobId>> Open;
  for (const auto &[Id, R] : Relayed_)
    if (R.Owner_ == Peer.entry())
      Open.emplace_back(Id, R.Job_);
  JobAnswer A;
  A.Outcome_ = Outcome::Unknown;
  A.Code_ = "owner_unreachable";
  A.Detail_ = "entry " + Peer.str() + " was lost; submit again";
  A.RetryAfter_ = OwnerRetryAfter;
  for (const auto &[Id, Job] : Open) {
    Relayed_.erase(Id);
    giveAnswer(ReplyId(Id), Job, A);
  }
}

void EntryService::Impl::tick() {
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Ec) {
        if (Ec || Self->Stopped_)
          return;
        Self->apply(Self->Owner_.onTimer(steadyNow()));
        Self->tick();
      });
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
    I.Hub_.keepDialled(Seed);
  I.Log_.write(events::ProcessStarted, {{"role", "entry"},
                                        {"entry", I.Self_.str()},
                                        {"listen", value(Callers).str()},
                                        {"peer_listen", value(Peers).str()}});
  I.tick();
  return I.Hub_.start();
}

void EntryService::stop() {
  if (Impl_->Stopped_)
    return;
  Impl_->Stopped_ = true;
  Impl_->Timer_.cancel();
  Impl_->Http_.close();
  Impl_->Hub_.stop();
  Impl_->Log_.write(events::ProcessStopped, {{"entry", Impl_->Self_.str()}});
}

} // namespace chivelanding
