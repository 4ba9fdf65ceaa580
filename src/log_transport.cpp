#include "log_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chivelanding {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = beast::error_code;

// A connection within the platform takes milliseconds; a VM that is gone does
// not answer at all.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
// A batch of 256 records of the largest expected set, in base64.
constexpr std::uint64_t MaxAnswerBytes = 256u << 20;

/// One request from connecting to the whole answer.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(asio::io_context &Context, SocketAddress Log, LogRequest Request,
           LogTransport::Callback Done)
      : Stream_(Context), Log_(std::move(Log)), Timeout_(Request.Timeout_),
        Done_(std::move(Done)) {
    Request_.method_string(Request.Method_);
    Request_.target(Request.Target_);
    Request_.version(11);
    Request_.set(http::field::host, Log_.str());
    Request_.set(http::field::connection, "close");
    Request_.body() = std::move(Request.Body_);
    Request_.prepare_payload();
    Parser_.body_limit(MaxAnswerBytes);
  }

  void start() {
    ErrorCode Bad;
    const auto Address = asio::ip::make_address(Log_.Host_, Bad);
    if (Bad)
      return asio::post(Stream_.get_executor(), [Self = shared_from_this()] {
        Self->fail("not_sent", "the address is not an IP number");
      });
    Stream_.expires_after(ConnectTimeout);
    Stream_.async_connect({Address, Log_.Port_},
                          [Self = shared_from_this()](ErrorCode E) {
                            if (E)
                              return Self->fail("not_sent", E.message());
                            Self->write();
                          });
  }

private:
  void write() {
    Stream_.expires_after(Timeout_);
    http::async_write(Stream_, Request_,
                      [Self = shared_from_this()](ErrorCode E, std::size_t) {
                        if (E)
                          return Self->failLate(E);
                        Self->read();
                      });
  }

  void read() {
    http::async_read(Stream_, Buffer_, Parser_,
                     [Self = shared_from_this()](ErrorCode E, std::size_t) {
                       if (E)
                         return Self->failLate(E);
                       auto &Answer = Self->Parser_.get();
                       Self->Done_(LogResponse{Answer.result_int(),
                                               std::move(Answer.body())});
                     });
  }

  void failLate(ErrorCode E) {
    fail(E == beast::error::timeout ? "timeout" : "connection_lost",
         E.message());
  }

  void fail(const char *Code, const std::string &Detail) {
    Done_(Error{Code, "request", Log_.str(), Detail});
  }

  beast::tcp_stream Stream_;
  SocketAddress Log_;
  Duration Timeout_;
  LogTransport::Callback Done_;
  http::request<http::string_body> Request_;
  http::response_parser<http::string_body> Parser_;
  beast::flat_buffer Buffer_;
};

} // namespace

void BeastLogTransport::send(LogRequest Request, Callback Done) {
  std::make_shared<Exchange>(Context_, Log_, std::move(Request),
                             std::move(Done))
      ->start();
}

} // namespace chivelanding
