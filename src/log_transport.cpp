#include "log_transport.h"

namespace chivelanding {

namespace {

// A batch of 256 records of the largest expected set, in base64.
constexpr std::uint64_t MaxAnswerBytes = 256u << 20;

} // namespace

HttpLogTransport::HttpLogTransport(boost::asio::io_context &Io,
                                   SocketAddress Log)
    : Client_(Io, MaxAnswerBytes), Log_(std::move(Log)) {}

void HttpLogTransport::send(HttpRequest Request, Duration Timeout,
                            Callback Done) {
  Client_.send(Log_, std::move(Request), Timeout, std::move(Done));
}

} // namespace chivelanding
