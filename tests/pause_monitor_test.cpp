#include "clock.h"
#include "http_server.h"
#include "pause_monitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <ctime>
#include <optional>

using namespace chivelanding;
using std::chrono::milliseconds;

namespace {

Time at(std::int64_t Ms) { return Time(milliseconds(Ms)); }

} // namespace

// Guards against a request that is taken for new although it has waited in the
// socket of a paused process.
TEST_CASE("A request that is read after a pause may be as old as the pause",
          "[pause]") {
  PauseMonitor M;
  M.onTurn(at(1000));
  CHECK(M.maxRequestAge(at(1000)) == Duration(0));
  M.onTurn(at(1010));
  M.onTurn(at(1110));
  CHECK(M.maxRequestAge(at(1110)) == Duration(0));
  M.onTurn(at(3110));
  CHECK(M.maxRequestAge(at(3110)) == milliseconds(2000));
  CHECK(M.maxRequestAge(at(3200)) == milliseconds(2090));
  M.onTurn(at(3210));
  M.onTurn(at(3311));
  M.onTurn(at(3411));
  CHECK(M.maxRequestAge(at(3411)) == Duration(0));
}

// Two pauses with one turn between them: requests of the first are still
// unread.
TEST_CASE("A second pause extends the first", "[pause]") {
  PauseMonitor M;
  M.onTurn(at(1000));
  M.onTurn(at(2000));
  M.onTurn(at(2010));
  M.onTurn(at(3000));
  CHECK(M.maxRequestAge(at(3000)) == milliseconds(2000));
}

// Guards against events within one long turn that hide the length of the turn.
TEST_CASE("Events in a turn do not hide its length", "[pause]") {
  PauseMonitor M;
  CHECK(M.onEvent(at(900)) == Duration(0));
  M.onTurn(at(1000));
  CHECK(M.onEvent(at(1100)) == Duration(0));
  CHECK(M.onEvent(at(1180)) == milliseconds(180));
  CHECK(M.onEvent(at(1190)) == Duration(0));
  CHECK(M.maxRequestAge(at(1190)) == milliseconds(190));
}

// Guards against a time line that stands still while the VM is suspended.
TEST_CASE("The time line includes suspension", "[pause]") {
  timespec T{};
  REQUIRE(clock_gettime(CLOCK_BOOTTIME, &T) == 0);
  const auto Us = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec));
  CHECK(steadyNow() >= Time(Us));
}

// The caller sent a request, gave up and closed its connection before the
// process read anything. Guards against a run for a caller that may have
// submitted the job elsewhere meanwhile.
TEST_CASE("A request behind which the connection ends is marked", "[pause]") {
  namespace asio = boost::asio;
  asio::io_context Io;
  std::optional<bool> SenderGone;
  HttpServer Server(Io, {}, [&](HttpRequest &&R, const HttpReplyPtr &Reply) {
    SenderGone = R.SenderGone_;
    Reply->send({});
  });
  const auto Bound = Server.listen({"127.0.0.1", 0});
  REQUIRE(ok(Bound));
  asio::ip::tcp::socket Caller(Io);
  Caller.connect({asio::ip::make_address("127.0.0.1"), value(Bound).Port_});
  const std::string Text =
      "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
  asio::write(Caller, asio::buffer(Text));
  const bool Closes = GENERATE(true, false);
  if (Closes)
    Caller.close();
  while (!SenderGone)
    Io.run_one();
  CHECK(*SenderGone == Closes);
}
