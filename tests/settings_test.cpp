#include "events.h"
#include "settings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace chivelanding;

namespace {

const char *const ValidEntry = R"([process]
name = "entry-1"
zone = "zone-a"
region = "region-1"
heartbeat_ms = 100
[entry]
listen = "127.0.0.1:8080"
peer_listen = "[::1]:8081"
seeds = ["127.0.0.1:9081"]
)";

std::string readPage(const char *Name) {
  std::ifstream File(std::string(CHIVELANDING_SOURCE_DIR) + "/docs/" + Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string parseErrors(const std::string &Text) {
  const auto Loaded = parseEntrySettings(Text, "f.toml");
  std::string All;
  if (const auto *Errors = std::get_if<SettingsErrors>(&Loaded))
    for (const std::string &Line : Errors->Lines_)
      All += Line + "\n";
  return All;
}

} // namespace

// Guards against keys that are stored in the wrong field or unit.
TEST_CASE("Valid settings are read with their units", "[settings]") {
  const auto Loaded = parseEntrySettings(ValidEntry, "f.toml");
  REQUIRE(Loaded.index() == 0);
  const auto &S = std::get<EntrySettings>(Loaded);
  CHECK(S.Process_.Name_ == "entry-1");
  CHECK(S.Process_.Heartbeat_ == std::chrono::milliseconds(100));
  CHECK(S.PeerListen_.Host_ == "::1");
  CHECK(S.Seeds_.at(0).Port_ == 9081);
}

// Guards against a misspelt key that is ignored so that the default applies,
// and against a parser that stops at the first error.
TEST_CASE("All errors are reported with their lines", "[settings]") {
  std::string Text = ValidEntry;
  Text += "max_tasks_per_job = 1701\nmax_boddy_bytes = 5\n"
          "admin_listen = \"localhost:1\"\n";
  const std::string Errors = parseErrors(Text);
  CHECK(Errors.find("f.toml:10:") != std::string::npos);
  CHECK(Errors.find("f.toml:11:1: unknown key 'max_boddy_bytes'") !=
        std::string::npos);
  CHECK(Errors.find("f.toml:12:") != std::string::npos);
}

// Guards against failure timeouts that are too short for the heartbeat period,
// so that live peers are declared lost.
TEST_CASE("Times that contradict each other are refused", "[settings]") {
  std::string Text = ValidEntry;
  Text.replace(Text.find("heartbeat_ms = 100"), 18, "heartbeat_ms = 900");
  CHECK(parseErrors(Text).find("suspect_after_ms") != std::string::npos);
  CHECK(parseErrors("[process\n").find("f.toml:1:") != std::string::npos);
  CHECK_FALSE(parseErrors("").empty());
}

// Guards against generated pages that are out of date.
TEST_CASE("The generated pages equal the code", "[settings]") {
  CHECK(readPage("settings.md") == settingsPage());
  CHECK(readPage("events.md") == eventsPage());
}

// Guards against two events with the same number.
TEST_CASE("Event numbers are unique and ascending", "[settings]") {
  std::uint16_t Last = 0;
  for (const EventType *Type : allEventTypes()) {
    CHECK(Type->Number_ > Last);
    Last = Type->Number_;
  }
}

// Guards against log lines whose fields a parser would split at a space.
TEST_CASE("Event fields with spaces are quoted", "[settings]") {
  const Event E{&events::LinkUp, {{"peer", "a b"}, {"zone", "z"}}};
  CHECK(E.str() == "200 link_up peer=\"a b\" zone=z");
}
