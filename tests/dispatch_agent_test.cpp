#include "dispatch_agent.h"
#include "memory_store.h"
#include "worker_http.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chivelanding;

namespace {

// Records which streams are read as a whole.
class ObservedStore : public MemoryStore {
public:
  ObservedStore(boost::asio::io_context &Io, std::vector<StoreStream> &Read)
      : MemoryStore(Io), Read_(Read) {}

  void newest(StoreStream Stream, Duration Timeout,
              RecordsCallback Done) override {
    Read_.push_back(Stream);
    MemoryStore::newest(Stream, Timeout, std::move(Done));
  }

private:
  std::vector<StoreStream> &Read_;
};

} // namespace

// Guards against an agent that depends on its seeds after a loss of all power:
// they may be the last entries to return.
TEST_CASE("An agent looks up the entries at its start", "[dispatch_agent]") {
  boost::asio::io_context Io;
  DispatchAgentSettings S;
  S.Process_.Name_ = "a";
  S.Listen_ = S.PeerListen_ = {"127.0.0.1", 0};
  S.Endpoint_ = {"127.0.0.1", 1};
  S.Service_ = ServiceName("s");
  std::vector<StoreStream> Read;
  DispatchAgent Agent(
      Io, S,
      {std::make_unique<platform::WorkerHeartbeat>(S.Endpoint_, S.Service_),
       std::make_unique<platform::WorkerHttp>(Io),
       std::make_unique<ObservedStore>(Io, Read)},
      testLog());
  REQUIRE(ok(Agent.start()));
  CHECK(std::count(Read.begin(), Read.end(), StoreStream::Entries) == 1);
  Agent.stop();
}
