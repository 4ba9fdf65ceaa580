#include "ws_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <list>

using namespace chivelanding;
namespace asio = boost::asio;
using asio::ip::tcp;

// After a loss of power, agents dial entries that are not up yet. The kernel
// repeats the opening packet of such a connection after a second. Guards
// against links that are up only then although the entry started long before.
TEST_CASE("A dial without an answer fails before the kernel repeats it",
          "[ws-transport]") {
  asio::io_context Io;
  // A listener whose queue is full drops opening packets.
  tcp::acceptor Full(Io);
  Full.open(tcp::v4());
  Full.bind({asio::ip::make_address("127.0.0.1"), 0});
  Full.listen(0);
  std::list<tcp::socket> Queued;
  for (int I = 0; I < 8; ++I) {
    Queued.emplace_back(Io).async_connect(
        Full.local_endpoint(), [](const boost::system::error_code &) {});
  }

  bool Failed = false;
  bool KernelRepeats = false;
  TransportHandler Handler;
  Handler.Opened_ = [](ConnectionId, bool) {};
  Handler.Received_ = [](ConnectionId, const std::string &) {};
  Handler.Closed_ = [&](ConnectionId, const std::string &) { Failed = true; };
  WsTransport Transport(Io, 1 << 20, Handler);
  // Both timers are of one queue, so that load does not change their order.
  asio::steady_timer Repeat(Io, std::chrono::milliseconds(900));
  Repeat.async_wait(
      [&](const boost::system::error_code &) { KernelRepeats = true; });
  REQUIRE(ok(Transport.dial({"127.0.0.1", Full.local_endpoint().port()})));
  while (!Failed && !KernelRepeats)
    Io.run_one();
  CHECK(Failed);
}
