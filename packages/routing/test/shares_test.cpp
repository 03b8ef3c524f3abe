#include "nutmegsill/routing/retry_budget.h"
#include "nutmegsill/routing/team_share.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>

namespace nutmegsill::routing {

namespace {

Time at(std::int64_t ms) { return Time(milliseconds(ms)); }

} // namespace

TEST_CASE("max_min_fair_rate_demands_within_capacity_is_unbounded") {
  CHECK(std::isinf(maxMinFairRate({10, 20, 30}, 60)));
}

TEST_CASE("max_min_fair_rate_large_demand_gets_remaining_capacity") {
  CHECK(maxMinFairRate({10, 20, 500}, 100) == Approx(70));
  CHECK(maxMinFairRate({10, 400, 500}, 100) == Approx(45));
}

TEST_CASE("max_min_fair_rate_any_demands_use_exact_capacity") {
  const bool passed = rc::check([](const std::vector<std::uint16_t> &raw) {
    std::vector<double> demands(raw.begin(), raw.end());
    constexpr double capacity = 1000;
    const double fairRate = maxMinFairRate(demands, capacity);
    double used = 0;
    double totalDemand = 0;
    for (const double it : demands) {
      used += std::min(it, fairRate);
      totalDemand += it;
    }
    RC_ASSERT(used == Approx(std::min(totalDemand, capacity)));
  });
  CHECK(passed);
}

TEST_CASE("team_shares_usage_includes_peer_rates") {
  TeamShares shares;
  const TeamId large{"large"};
  shares.recordRequested(large, 1'000, at(0));
  shares.updateFairRate(10'000, 0, at(0));
  CHECK(shares.fairShareUsage(large, at(0)) == Approx(0).margin(0.01));
  shares.setPeerRates(
      {{large, {100'000, 20'000}}, {TeamId{"small"}, {2'000, 2'000}}});
  shares.updateFairRate(10'000, 0, at(0));
  CHECK(shares.fairShareUsage(large, at(0)) == Approx(2.5).epsilon(0.01));
}

// Guards against a Retry-After at which the team has no share again.
TEST_CASE("team_shares_beyond_share_next_turn_is_when_it_has_tokens") {
  TeamShares shares;
  const TeamId large{"large"};
  for (int ms = 0; ms < 4'000; ms += 10) {
    shares.recordRequested(large, 1'000, at(ms));
  }
  shares.updateFairRate(10'000, 0, at(4'000));
  CHECK(shares.shareFraction(large) == Approx(0.1).epsilon(0.02));
  int within = 0;
  for (int i = 0; i < 1'000; ++i) {
    within += shares.takeTurn(large, 1'000) ? 1 : 0;
  }
  CHECK(within == Approx(100).margin(3));
  while (!shares.takeTurn(large, 1'000)) {
  }
  // A request each 10 ms, of which a tenth is within the share.
  CHECK(shares.nextTurn(large, 1'000, at(4'000)) <= milliseconds(101));
  CHECK(shares.nextTurn(large, 1'000, at(4'000)) >= milliseconds(80));
}

TEST_CASE("retry_budget_after_window_allows_retries_again") {
  RetryBudget budget({0.2, std::chrono::seconds(10), 10});
  const PoolId pool{"desk"};
  int allowed = 0;
  while (budget.allowsRetry(pool, 1, at(0))) {
    budget.recordRetry(pool, at(0));
    ++allowed;
  }
  CHECK(allowed == 8);
  CHECK_FALSE(budget.allowsRetry(pool, 1, at(9'000)));
  CHECK(budget.allowsRetry(pool, 1, at(10'001)));
}

TEST_CASE("retry_budget_many_routers_together_stay_within_limit") {
  constexpr std::size_t routers = 9;
  int allowed = 0;
  for (std::size_t i = 0; i < routers; ++i) {
    RetryBudget budget({0.2, std::chrono::seconds(10), 58});
    for (int n = 0; n < 100; ++n) {
      if (budget.allowsRetry(PoolId{"desk"}, routers, at(0))) {
        budget.recordRetry(PoolId{"desk"}, at(0));
        ++allowed;
      }
    }
  }
  CHECK(allowed <= 58);
  CHECK(allowed >= 40);
}

} // namespace nutmegsill::routing
