#include "http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <list>
#include <memory>
#include <set>

using namespace chivelanding;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// A server that answers requests with their body, those to /hold on demand.
struct Fixture {
  explicit Fixture(const HttpServerLimits &Limits)
      : Server_(Io_, Limits,
                [this](HttpRequest &&R, const HttpReplyPtr &Reply) {
                  if (R.Target_ == "/hold")
                    Held_.push_back(Reply);
                  else
                    Reply->send({200, "text/plain", {}, R.Body_});
                }) {
    Server_.onDrop(
        [this](const DroppedConnection &D) { Dropped_.insert(D.Code_); });
    const auto Bound = Server_.listen({"127.0.0.1", 0});
    Port_ = value(Bound).Port_;
  }

  tcp::socket &connect() {
    Clients_.emplace_back(Io_);
    Clients_.back().connect({asio::ip::make_address("127.0.0.1"), Port_});
    Clients_.back().non_blocking(true);
    return Clients_.back();
  }

  void send(tcp::socket &Client, const std::string &Text) {
    asio::write(Client, asio::buffer(Text));
    settle();
  }

  // Lets the server handle what has arrived.
  void settle() {
    for (int I = 0; I < 50; ++I) {
      Io_.poll();
      Io_.run_one_for(std::chrono::milliseconds(1));
    }
  }

  std::string received(tcp::socket &Client) {
    std::string Text;
    char Part[4096];
    boost::system::error_code Ec;
    while (const auto Bytes = Client.read_some(asio::buffer(Part), Ec))
      Text.append(Part, Bytes);
    return Text;
  }

  bool isClosed(tcp::socket &Client) {
    char Byte = 0;
    boost::system::error_code Ec;
    Client.read_some(asio::buffer(&Byte, 1), Ec);
    return Ec && Ec != asio::error::would_block;
  }

  asio::io_context Io_;
  std::list<tcp::socket> Clients_;
  std::vector<HttpReplyPtr> Held_;
  std::set<std::string> Dropped_;
  HttpServer Server_;
  std::uint16_t Port_ = 0;
};

HttpServerLimits smallLimits() {
  HttpServerLimits Limits;
  Limits.MaxHeaderBytes_ = 1024;
  Limits.MaxBodyBytes_ = 64u << 10;
  Limits.MaxConnections_ = 3;
  Limits.MaxHeldBytes_ = 128u << 10;
  return Limits;
}

const std::string Chunked =
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string post(const std::string &Target, std::size_t Length) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Length) +
         "\r\n\r\n";
}

} // namespace

// Guards against bytes of a pipelined request that are lost or replaced by
// older ones if they arrive in two parts around the reply to the first one.
TEST_CASE("A pipelined request in two parts is read unchanged",
          "[http-server]") {
  Fixture F(smallLimits());
  tcp::socket &Client = F.connect();
  F.send(Client, post("/hold", 0));
  REQUIRE(F.Held_.size() == 1);
  F.send(Client, post("/a", 6));
  F.Held_[0]->send({200, "text/plain", {}, "first"});
  F.settle();
  F.send(Client, "second");
  const std::string Text = F.received(Client);
  CHECK(Text.find("first") != std::string::npos);
  CHECK(Text.find("second") != std::string::npos);
}

// Guards against trailers and chunk extensions without a limit, and against a
// limit that refuses those of ordinary length.
TEST_CASE("Trailers and chunk extensions are limited", "[http-server]") {
  Fixture F(smallLimits());
  tcp::socket &Ordinary = F.connect();
  F.send(Ordinary, Chunked + "1;a=b\r\nx\r\n0\r\nX-Field: v\r\n\r\n");
  CHECK(F.received(Ordinary).find("200 OK") != std::string::npos);
  CHECK(F.Dropped_.empty());
  const std::string Field = "X-Field: " + std::string(500, 'v') + "\r\n";
  tcp::socket &Trailers = F.connect();
  F.send(Trailers, Chunked + "1\r\nx\r\n0\r\n" + Field + Field + Field);
  CHECK(F.received(Trailers).find("431") != std::string::npos);
  tcp::socket &Extension = F.connect();
  F.send(Extension, Chunked + "1;a=" + std::string(2000, 'v'));
  CHECK(F.received(Extension).find("431") != std::string::npos);
  CHECK(F.Dropped_ == std::set<std::string>{"header_too_large"});
}

// Guards against a listener that has no room for new callers, against the end
// of a connection in service, and against a refusal that is not counted.
TEST_CASE("A new connection takes the place of the least useful one",
          "[http-server]") {
  Fixture F(smallLimits());
  tcp::socket &Served = F.connect();
  F.send(Served, post("/hold", 0));
  tcp::socket &Slow = F.connect();
  F.send(Slow, "POST /a HT");
  tcp::socket &Idle = F.connect();
  F.settle();
  tcp::socket &New = F.connect();
  F.send(New, post("/a", 2) + "ok");
  CHECK(F.received(New).find("200 OK") != std::string::npos);
  CHECK(F.received(Slow).find("503") != std::string::npos);
  CHECK(F.Dropped_ == std::set<std::string>{"too_many_connections"});
  CHECK_FALSE(F.isClosed(Idle));
  F.Held_[0]->send({200, "text/plain", {}, "served"});
  F.settle();
  CHECK(F.received(Served).find("served") != std::string::npos);
}

// Guards against bodies that are each within the limit and together fill the
// memory, and against a body within the limits that is refused in calm.
TEST_CASE("Bodies share a limit", "[http-server]") {
  Fixture F(smallLimits());
  const std::string Body(60u << 10, 'x');
  tcp::socket &Alone = F.connect();
  F.send(Alone, post("/a", Body.size()) + Body);
  CHECK(F.received(Alone).find("200 OK") != std::string::npos);
  CHECK(F.Dropped_.empty());
  tcp::socket &First = F.connect();
  F.send(First, post("/a", Body.size()) + Body.substr(1));
  tcp::socket &Second = F.connect();
  F.send(Second, post("/a", Body.size()) + Body.substr(2));
  F.send(Alone, post("/a", 1000) + std::string(1000, 'y'));
  CHECK(F.received(Alone).find("200 OK") != std::string::npos);
  F.send(Alone, post("/a", Body.size()) + Body.substr(3));
  CHECK(F.Dropped_ == std::set<std::string>{"too_many_bytes"});
}

// Guards against a caller that has left but is not noticed behind the bytes
// that it sent after its request.
TEST_CASE("The end of a caller is noticed behind unread bytes",
          "[http-server]") {
  Fixture F(smallLimits());
  tcp::socket &Client = F.connect();
  F.send(Client, post("/hold", 0));
  REQUIRE(F.Held_.size() == 1);
  bool Gone = false;
  F.Held_[0]->onDisconnect([&Gone] { Gone = true; });
  F.send(Client, std::string(20'000, 'x'));
  CHECK_FALSE(Gone);
  Client.close();
  // The check is periodic.
  for (int I = 0; I < 100 && !Gone; ++I)
    F.settle();
  CHECK(Gone);
}
