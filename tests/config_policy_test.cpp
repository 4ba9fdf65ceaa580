#include "config_check.h"
#include "config_policy.h"

#include <catch2/catch.hpp>

using namespace chivelanding;

// Guards against a team that gets more than the parent of its quota allows,
// rates in the wrong unit, and a kind that exceeds the parent of its limit.
TEST_CASE("The policy uses the smallest of all bounds that apply", "[config]") {
  const ParsedConfig Config = checkConfig(
      {{"set", "[[quota]]\nname = 'all'\nrunning = 10\nrate = '600/m'\n"
               "[[quota]]\nname = 'part'\nparent = 'all'\nrunning = 4\n"
               "[[team]]\nname = 't'\nquota = 'part'\n"
               "[[limit]]\nname = 'outer'\nrunning_max = 7\n"
               "[[limit]]\nname = 'inner'\nparent = 'outer'\n"
               "[[priority]]\nname = 'p'\nclass = 2\n"
               "[[service]]\nname = 's'\nhome_region = 'r'\n"
               "retry_percent = 25\n"
               "[[kind]]\nname = 'k'\nservice = 's'\npriority = 'p'\n"
               "weight = 3\nlimit = 'inner'\n"}});
  REQUIRE(Config.Problems_.empty());
  const PolicyConfig Policy = makePolicy(Config.Set_);
  CHECK(Policy.Teams_.at(TeamName("t")).Quota_ == 4);
  CHECK(Policy.Teams_.at(TeamName("t")).Rate_ == Approx(10));
  const KindPolicy &Kind = Policy.Kinds_.at(KindName("k"));
  CHECK(Kind.Class_ == PriorityClass(2));
  CHECK(Kind.Weight_ == Approx(3));
  CHECK(Kind.Limit_ == 7);
  CHECK(Policy.Services_.at(ServiceName("s")).Limit_ == 0);
  CHECK(Policy.Services_.at(ServiceName("s")).RetryBudget_ == Approx(0.25));
}
