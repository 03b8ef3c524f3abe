#include "scenario.h"

#include <catch2/catch.hpp>

namespace nutmegsill::simulation {

namespace {

constexpr Time HotFrom{milliseconds(6'000)};
constexpr Time HotUntil{milliseconds(18'000)};

struct Service {
  double Calls = 0;
  double Complete = 0;
  double Tokens = 0;
};

/// What a team's model requests got while the other team was hot.
Service serviceOf(const RunHistory &history, const std::string &team) {
  Service out;
  for (const CallRecord &it : history.Calls) {
    const bool counts = it.Team.Text == team && it.Tokens > 0 &&
                        it.At >= HotFrom + milliseconds(2'000) &&
                        it.At < HotUntil;
    if (!counts) {
      continue;
    }
    out.Calls += 1;
    if (it.End == CallEnd::Complete) {
      out.Complete += 1;
      out.Tokens += it.Tokens;
    }
  }
  return out;
}

void runHot(VirtualFleet &fleet) {
  fleet.clock().at(HotFrom, [&fleet] {
    fleet.heat(TeamId{"large"}, 8, HotUntil - HotFrom);
  });
  fleet.clock().at(HotUntil, [&fleet] { fleet.stopTraffic(); });
  fleet.runUntil(HotUntil + milliseconds(5'000));
}

} // namespace

TEST_CASE("share_hot_team_leaves_a_small_team_its_share") {
  for (const std::size_t routers : {1U, 5U, 25U}) {
    VirtualFleet fleet(smallFleet(7, routers));
    runHot(fleet);
    const Service small = serviceOf(fleet.history(), "small");
    // The users' rule: at least half of what a team asks within its share.
    INFO(routers << " routers: " << small.Complete << " of " << small.Calls);
    CHECK(small.Complete >= 0.5 * small.Calls);
  }
}

TEST_CASE("share_hot_team_gets_what_others_leave") {
  VirtualFleet fleet(smallFleet(7));
  runHot(fleet);
  const Service large = serviceOf(fleet.history(), "large");
  const Service small = serviceOf(fleet.history(), "small");
  constexpr double seconds = 10;
  const double rated = 80'000 * seconds;
  // No engine idles while work waits: the rated throughput is used.
  INFO(large.Tokens << " + " << small.Tokens << " of " << rated);
  CHECK(large.Tokens + small.Tokens >= rated);
}

} // namespace nutmegsill::simulation
