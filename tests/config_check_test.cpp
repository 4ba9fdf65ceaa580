#include "config_check.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace chivelanding;

namespace {

ParsedConfig check(const std::string &Text) {
  return checkConfig({{"set.toml", Text}});
}

// Text of every problem, one per line.
std::string problems(const std::string &Text) {
  std::string Out;
  for (const ConfigProblem &P : check(Text).Problems_)
    Out += P.str() + "\n";
  return Out;
}

} // namespace

// Guards against a documented example that does not pass the check, and against
// a canonical text that parses to another set.
TEST_CASE("The example is valid and its canonical text is stable", "[config]") {
  std::ifstream File(CHIVELANDING_SOURCE_DIR "/examples/config.toml");
  std::stringstream Text;
  Text << File.rdbuf();
  const ParsedConfig Config = check(Text.str());
  for (const ConfigProblem &P : Config.Problems_)
    FAIL_CHECK(P.str());
  CHECK(Config.Set_.Objects_.size() == 14);
  const std::string Canonical = Config.Set_.toml();
  CHECK(check(Canonical).Set_.toml() == Canonical);
}

// Guards against mistakes that the check does not report. Each case is a small
// set with one mistake and a part of the expected message.
TEST_CASE("Each mistake is found at its line with a remedy", "[config]") {
  const std::string Digest(64, 'a');
  const struct {
    const char *Text_;
    const char *Expected_;
  } Cases[] = {
      {"[[team]]\nname = 'a'\nquota = 'none'\n",
       "set.toml:3: team a: quota refers to quota none, which does not"},
      {"[[quota]]\nname = 'a'\nparent = 'b'\n[[quota]]\nname = 'b'\n"
       "parent = 'a'\n",
       "set.toml:6: quota b: circular reference b -> a -> b"},
      {"[[quota]]\nname = 'a'\nparent = 'a'\n", "circular reference a -> a"},
      {"[[limit]]\nname = 'a'\nrunning_min = 5\nrunning_max = 4\n",
       "set.toml:3: limit a: running_min 5 is above running_max 4"},
      {"[[limit]]\nname = 'a'\nrunning_max = 4\n[[limit]]\nname = 'b'\n"
       "parent = 'a'\nrunning_max = 5\n",
       "set.toml:7: limit b: running_max 5 is above"},
      {"[[quota]]\nname = 'a'\nrate = '10/s'\n[[quota]]\nname = 'b'\n"
       "parent = 'a'\nrate = '601/m'\n",
       "set.toml:7: quota b: rate 601/m is above rate 10/s of quota a"},
      {"[[quota]]\nname = 'a'\nrunning = 9\n[[quota]]\nname = 'b'\n"
       "parent = 'a'\nrunning = 5\n[[quota]]\nname = 'c'\nparent = 'a'\n"
       "running = 5\n",
       "set.toml:3: quota a: the parts cut from it add up to running 10"},
      {"[[service]]\nname = 'a'\n", "set.toml:1: service a: no home_region"},
      {"[[quota]]\nname = 'Big Team'\n", "set.toml:2: quota: bad name"},
      {"[[quota]]\nrunning = 1\n", "the object has no name"},
      {"[[limit]]\nname = 'a'\nwait_max = '5 seconds'\n", "bad unit"},
      {"[[limit]]\nname = 'a'\nwait_max = 5\n", "wait_max has no unit"},
      {"[[limit]]\nname = 'a'\nwait_max = '2h'\n", "out of range"},
      {"[[limit]]\nname = 'a'\nrunning_max = 0\n", "is not in its range"},
      {"[[limit]]\nname = 'a'\nmax_running = 3\n", "unknown key max_running"},
      {"[[teem]]\nname = 'a'\n", "teem: unknown object type"},
      {"[team.a]\nquota = 'a'\n", "write [[team]]"},
      {"[[quota]]\nname = 'a'\n[[quota]]\nname = 'a'\n",
       "set.toml:3: quota a: declared twice, first at set.toml:1"},
      {"[[priority]]\nname = 'a'\nclass = 1\n[[priority]]\nname = 'b'\n"
       "class = 1\n",
       "set.toml:6: priority b: class 1 is also that of priority a"},
      {"[[priority]]\nname = 'a'\nclass = 1\nshare_percent = 60\n"
       "[[priority]]\nname = 'b'\nclass = 2\nshare_percent = 50\n",
       "add up to 110%"},
      {"[[operator]]\nname = 'a'\ntoken_sha256 = 'secret'\nrole = 'root'\n",
       "token_sha256 is not a SHA-256"},
      {"[[operator]]\nname = 'a'\ntoken_sha256 = 'secret'\nrole = 'root'\n",
       "unknown role \"root\""},
      {"[[kind]]\nname = 'k'\ntime_hint = '3s'\ndeadline = '1s'\n",
       "time_hint 3s is above deadline 1s"},
  };
  for (const auto &C : Cases) {
    INFO(C.Text_);
    CHECK_THAT(problems(C.Text_), Catch::Contains(C.Expected_));
  }
}

// Guards against a check that stops at the first error, in particular at a
// syntax error, and against reports of missing objects that are declared in a
// section with a syntax error.
TEST_CASE("All errors of all files are reported at once", "[config]") {
  const ParsedConfig Config =
      checkConfig({{"a.toml", "[[quota]]\nname = \"q\"\nrunning = = 4\n"
                              "[[team]]\nname = \"t\"\nquota = \"q\"\n"
                              "[[service]]\nname = \"s\"\n"},
                   {"b.toml", "[[team]]\nname = \"t\"\nquota = \"zz\"\n"}});
  std::string All;
  for (const ConfigProblem &P : Config.Problems_)
    All += P.str() + "\n";
  CHECK_THAT(All, Catch::Contains("a.toml:3: syntax"));
  CHECK_THAT(All, Catch::Contains("a.toml:7: service s: no home_region"));
  CHECK_THAT(All, Catch::Contains("b.toml:1: team t: declared twice"));
  CHECK_THAT(All, !Catch::Contains("quota refers to quota q"));
  CHECK(Config.Problems_.size() == 3);
}
