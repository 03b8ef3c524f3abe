#include "nutmegsill/routing/hedging.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

namespace nutmegsill::routing {

namespace {

struct HedgedLoad {
  int Requests = 0;
  int Started = 0;
  /// Longest response times, of a twentieth of the requests, in ms.
  double Slowest = 0;
};

/// Sends 20 requests per second to eight targets; `pace` is that of a target at
/// a time in ms. A second attempt goes to another random target.
HedgedLoad playRequests(double budget,
                        const std::function<double(int, int)> &pace) {
  HedgingPolicy policy;
  policy.Budget = budget;
  Hedging hedging(policy);
  std::minstd_rand random(7);
  const auto draw = [&random] {
    return std::uniform_real_distribution<>(0, 1)(random);
  };
  const PoolId pool{"desk"};
  std::vector<double> times;
  HedgedLoad out;
  for (int ms = 0; ms < 120'000; ms += 50) {
    const Time now{milliseconds(ms)};
    hedging.recordRequest(pool, now);
    const int target = static_cast<int>(8 * draw());
    double took = (25 + 10 * draw()) * pace(target, ms);
    const std::optional<Duration> delay = hedging.delay("checks");
    const double after = delay ? toSeconds(*delay) * 1e3 : 1e9;
    const Time later =
        now +
        milliseconds(static_cast<int>(std::min(took, std::min(after, 1e6))));
    if (took > after && hedging.allows(pool, later)) {
      hedging.recordStarted(pool);
      ++out.Started;
      const int other = (target + 1 + static_cast<int>(7 * draw())) % 8;
      took = std::min(took, after + (25 + 10 * draw()) * pace(other, ms));
    }
    hedging.recordResponse("checks", milliseconds(static_cast<int>(took)),
                           later);
    if (ms > 30'000) {
      ++out.Requests;
      times.push_back(took);
    }
  }
  std::sort(times.begin(), times.end());
  out.Slowest = times[times.size() * 97 / 100];
  return out;
}

} // namespace

// Guards against second attempts without the operators' limit.
TEST_CASE("hedging_without_budget_is_off") {
  const HedgedLoad out = playRequests(0, [](int, int) { return 1; });
  CHECK(out.Started == 0);
}

TEST_CASE("hedging_one_slow_target_is_avoided_within_budget") {
  const auto oneSlow = [](int target, int) { return target == 0 ? 10.0 : 1.0; };
  const HedgedLoad plain = playRequests(0, oneSlow);
  const HedgedLoad two = playRequests(0.02, oneSlow);
  const HedgedLoad wide = playRequests(0.2, oneSlow);
  CHECK(two.Started > 10);
  CHECK(two.Started <= 0.02 * 2'400 + 1);
  CHECK(wide.Slowest < 0.6 * plain.Slowest);
}

// Guards against second attempts that add load to a pool that is slow.
TEST_CASE("hedging_stops_while_all_targets_are_slow") {
  int startedBefore = 0;
  const auto slowFrom = [](int from) {
    return [from](int, int ms) { return ms >= from ? 10.0 : 1.0; };
  };
  startedBefore = playRequests(0.2, slowFrom(1'000'000)).Started;
  const int all = playRequests(0.2, slowFrom(60'000)).Started;
  CHECK(all <= startedBefore + 10);
}

// Guards against second attempts in each time in which all are slow for a
// while.
TEST_CASE("hedging_changing_pace_stays_within_budget") {
  const HedgedLoad out = playRequests(0.02, [](int target, int ms) {
    return (ms / 300 + target) % 5 == 0 ? 2.5 : 1.0;
  });
  CHECK(out.Started <= 0.02 * 2'400 + 1);
}

} // namespace nutmegsill::routing
