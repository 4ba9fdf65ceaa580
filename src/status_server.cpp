#include "status_server.h"

namespace chivelanding {
namespace {

constexpr std::uint64_t MaxBodyBytes = 4096;

constexpr std::uint32_t MaxHeaderBytes = 8u << 10;
// The kernel takes twice as much; a page of metrics is written in parts.
constexpr std::uint32_t SendBufferBytes = 16u << 10;

HttpServerLimits statusLimits(std::uint32_t MaxConnections) {
  HttpServerLimits Limits;
  Limits.MaxHeaderBytes_ = MaxHeaderBytes;
  Limits.MaxBodyBytes_ = MaxBodyBytes;
  Limits.MaxConnections_ = MaxConnections;
  Limits.ReadTimeout_ = std::chrono::seconds(5);
  Limits.IdleTimeout_ = std::chrono::seconds(30);
  Limits.SendBufferBytes_ = SendBufferBytes;
  return Limits;
}

} // namespace

StatusServer::StatusServer(boost::asio::io_context &Io,
                           std::function<bool()> IsReady,
                           std::function<HttpResponse()> RenderMetrics,
                           std::uint32_t MaxConnections)
    : IsReady_(std::move(IsReady)), RenderMetrics_(std::move(RenderMetrics)),
      Server_(Io, statusLimits(MaxConnections),
              [this](HttpRequest &&Request, const HttpReplyPtr &Reply) {
                answer(Request, Reply);
              }) {}

Result<Done> StatusServer::listen(const SocketAddress &Address) {
  const auto Bound = Server_.listen(Address);
  if (!ok(Bound))
    return error(Bound);
  return Done();
}

void StatusServer::answer(const HttpRequest &Request,
                          const HttpReplyPtr &Reply) const {
  if (Request.Target_ == "/ready" || Request.Target_ == "/readyz")
    Reply->send(IsReady_()
                    ? HttpResponse{200, "text/plain", {}, "ready\n"}
                    : HttpResponse{503, "text/plain", {}, "not ready\n"});
  else if (Request.Target_ == "/healthz")
    Reply->send({200, "text/plain", {}, "ok\n"});
  else if (Request.Target_ == "/metrics")
    Reply->send(RenderMetrics_());
  else
    Reply->send({404, "application/json", {}, R"({"code":"not_found"})"});
}

} // namespace chivelanding
