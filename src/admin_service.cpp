#include "admin_service.h"

namespace chivelanding {

namespace {

// A whole set of 250 teams is 50 KB.
constexpr std::uint64_t MaxBodyBytes = 8u << 20;
// Operators and dashboards; enough for each to keep one open.
constexpr std::uint32_t MaxConnections = 64;

} // namespace

AdminService::AdminService(boost::asio::io_context &Io, SocketAddress Listen,
                           ConfigService &Config, EventLog &Log)
    : Listen_(std::move(Listen)), Config_(Config), Log_(Log),
      Http_(Io, HttpServerLimits{16u << 10, MaxBodyBytes, MaxConnections},
            [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
              onRequest(Request, Reply);
            }) {}

Result<Done> AdminService::start() {
  if (Listen_.Port_ == 0)
    return Done();
  const auto Bound = Http_.listen(Listen_);
  if (!ok(Bound))
    return error(Bound);
  return Done();
}

void AdminService::onRequest(const HttpRequest &Request,
                             const HttpReplyPtr &Reply) {
  AdminResult Result = handleAdmin(Request, Config_.view(), newChangeId());
  if (Result.Event_)
    Log_.write(*Result.Event_);
  if (auto *Response = std::get_if<HttpResponse>(&Result.Action_)) {
    Reply->send(std::move(*Response));
    return;
  }
  Config_.publish(std::move(std::get<AdminPublish>(Result.Action_).Change_),
                  [this, Reply](const PublishEnded &End) {
                    Log_.write(publishEndedEvent(End));
                    Reply->send(renderPublishEnded(End));
                  });
}

} // namespace chivelanding
