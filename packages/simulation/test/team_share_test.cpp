#include "fault_matrix.h"

#include <catch2/catch.hpp>

namespace nutmegsill::simulation {

namespace {

constexpr Time HotFrom{milliseconds(6'000)};
constexpr Time HotUntil{milliseconds(18'000)};

struct TeamTotals {
  double CallCount = 0;
  double CompletedCount = 0;
  double CompletedTokens = 0;
};

/// Totals of a team's model requests while the large team is hot, from 2 s
/// after its rate rises.
TeamTotals totalsOf(const FleetHistory &history, const std::string &team) {
  TeamTotals totals;
  for (const CallRecord &it : history.Calls) {
    const bool isCounted = it.Team.Text == team && it.RatedTokens > 0 &&
                           it.StartedAt >= HotFrom + milliseconds(2'000) &&
                           it.StartedAt < HotUntil;
    if (!isCounted) {
      continue;
    }
    totals.CallCount += 1;
    if (it.Outcome == CallOutcome::Completed) {
      totals.CompletedCount += 1;
      totals.CompletedTokens += it.RatedTokens;
    }
  }
  return totals;
}

void runWithHotTeam(VirtualFleet &fleet) {
  fleet.clock().scheduleAt(HotFrom, [&fleet] {
    fleet.multiplyTeamRate(TeamId{"large"}, 8, HotUntil - HotFrom);
  });
  fleet.clock().scheduleAt(HotUntil, [&fleet] { fleet.stopTraffic(); });
  fleet.runUntil(HotUntil + milliseconds(5'000));
}

} // namespace

TEST_CASE("team_share_small_team_beside_hot_team_is_served") {
  for (const std::size_t routers : {1U, 5U, 25U}) {
    VirtualFleet fleet(smallFleetPlan(7, routers));
    runWithHotTeam(fleet);
    const TeamTotals small = totalsOf(fleet.history(), "small");
    // The users' rule: at least half of a team's requests within its share are
    // served.
    INFO(routers << " routers: " << small.CompletedCount << " of "
                 << small.CallCount);
    CHECK(small.CompletedCount >= 0.5 * small.CallCount);
  }
}

TEST_CASE("team_share_hot_team_uses_unclaimed_capacity") {
  VirtualFleet fleet(smallFleetPlan(7));
  runWithHotTeam(fleet);
  const TeamTotals large = totalsOf(fleet.history(), "large");
  const TeamTotals small = totalsOf(fleet.history(), "small");
  constexpr double seconds = 10;
  const double ratedTokens = 80'000 * seconds;
  // No engine may idle while requests wait, so the rated throughput must be
  // used.
  INFO(large.CompletedTokens << " + " << small.CompletedTokens << " of "
                             << ratedTokens);
  CHECK(large.CompletedTokens + small.CompletedTokens >= ratedTokens);
}

} // namespace nutmegsill::simulation
