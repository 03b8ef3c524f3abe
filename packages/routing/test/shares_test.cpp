#include "nutmegsill/routing/event_stream_buffer.h"
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
  shares.updateFairRate(10'000, at(0));
  CHECK(shares.fairShareUsage(large, at(0)) == Approx(0).margin(0.01));
  shares.setPeerRates(
      {{large, {100'000, 20'000}}, {TeamId{"small"}, {2'000, 2'000}}});
  shares.updateFairRate(10'000, at(0));
  CHECK(shares.fairShareUsage(large, at(0)) == Approx(2.5).epsilon(0.01));
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

TEST_CASE("event_stream_buffer_incomplete_event_is_held_back") {
  EventStreamBuffer events;
  CHECK(events.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(events.lastEventId() == "1");
  CHECK(events.append("ta: b\n") == "");
  CHECK(events.append("\n") == "id: 2\ndata: b\n\n");
  CHECK(events.lastEventId() == "2");
  CHECK(events.append("id: 4\r\ndata: c\r\n\r\n") ==
        "id: 4\r\ndata: c\r\n\r\n");
  CHECK(events.lastEventId() == "4");
  events.append("id: 5\n");
  events.dropIncomplete();
  CHECK(events.takeIncomplete() == "");
  CHECK(events.lastEventId() == "4");
}

// Guards against a router that ended when it resumed a stream by such an id.
TEST_CASE("event_stream_buffer_id_that_fits_no_header_is_dropped") {
  for (const std::string &id :
       {std::string(70'000, '1'), std::string("1\r2"), std::string(1, '\0')}) {
    EventStreamBuffer events;
    const std::string text = "id: 1\n\nid: " + id + "\n\n";
    CHECK(events.append(text) == text);
    CHECK(events.lastEventId() == "");
    events.append("id: 3\n\n");
    CHECK(events.lastEventId() == "3");
  }
}

TEST_CASE("event_stream_buffer_any_split_returns_same_bytes") {
  const std::string whole =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\n\n: note\n\nid: 3\ndata: c\n\nrest";
  const bool passed =
      rc::check([&whole](const std::vector<std::uint8_t> &cuts) {
        EventStreamBuffer events;
        std::string out;
        std::size_t from = 0;
        for (const std::uint8_t cut : cuts) {
          const std::size_t n =
              std::min<std::size_t>(cut % 7, whole.size() - from);
          out += events.append(std::string_view(whole).substr(from, n));
          from += n;
        }
        out += events.append(std::string_view(whole).substr(from));
        out += events.takeIncomplete();
        RC_ASSERT(out == whole);
        RC_ASSERT(events.lastEventId() == "3");
      });
  CHECK(passed);
}

} // namespace nutmegsill::routing
