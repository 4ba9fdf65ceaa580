#include "events.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

// Guards against log lines as long as the request that they tell of, which fill
// the buffer of the log and leave out the lines of others.
TEST_CASE("Long texts are cut in log lines", "[events]") {
  const std::string Long(200'000, 'x');
  const Event E{&events::RequestRefused,
                {{"detail", Long}, {"code", "bad_method"}}};
  for (const std::string &Line : {E.str(), E.json(0)}) {
    CHECK(Line.size() < 2048);
    CHECK(Line.find("x...") != std::string::npos);
    CHECK(Line.find("bad_method") != std::string::npos);
  }
  const std::string Key(1024, 'k');
  const Event Whole{&events::JobAccepted, {{"job", Key}}};
  CHECK(Whole.str().find(Key) != std::string::npos);
  CHECK(Whole.json(0).find(Key + '"') != std::string::npos);
}
