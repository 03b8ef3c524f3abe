#include "capacity_fleet.h"

namespace nutmegsill::routing {

using namespace std::chrono_literals;

namespace {

CapacityLoad load(std::size_t routers) {
  CapacityLoad out;
  out.Routers = routers;
  out.Engines = routers == 9 ? 12 : 40;
  return out;
}

/// Highest capacity relative to the lowest.
constexpr double MaxSpread = 1.1;

} // namespace

// Guards against a team that is held below its share as its callers keep to
// small hosts, or its route has a short objective.
TEST_CASE("fleet_capacity_teams_far_over_share_get_equal_shares") {
  for (const std::size_t routers : {9U, 75U, 97U}) {
    for (const milliseconds smallHosts : {800ms, 2'400ms}) {
      for (const milliseconds largeHost : {800ms, 2'400ms}) {
        CapacityLoad it = load(routers);
        it.SmallHostObjective = smallHosts;
        it.LargeHostObjective = largeHost;
        CapacityFleet fleet(it);
        fleet.runUntil(Time(1s));
        // The windows of the users' rule.
        for (const Time end : {Time(7s), Time(13s)}) {
          fleet.resetCounts();
          fleet.runUntil(end);
          const auto [least, most] = fleet.sharesOfLargeTeams();
          CAPTURE(routers, smallHosts.count(), largeHost.count(),
                  toSeconds(end - Time{}));
          CHECK(least >= 0.9);
          CHECK(most <= 1.1);
        }
      }
    }
  }
}

// Guards against routers that divide different capacities.
TEST_CASE(
    "fleet_capacity_after_start_freeze_and_partition_is_same_everywhere") {
  for (const std::size_t routers : {9U, 75U, 97U}) {
    CAPTURE(routers);
    CapacityFleet fleet(load(routers));
    fleet.runUntil(Time(1s));
    CHECK(fleet.capacitySpread() < MaxSpread);
    fleet.start(4);
    fleet.freeze(5, 3s);
    fleet.runUntil(Time(2s));
    CHECK(fleet.capacityOf(4) / fleet.capacityOf(3) == Approx(1).margin(0.1));
    fleet.runUntil(Time(5s));
    CHECK(fleet.capacitySpread() < MaxSpread);
    for (std::size_t i = 0; i < routers / 3; ++i) {
      fleet.cut(i, 3s);
    }
    fleet.runUntil(Time(6s));
    CHECK(fleet.capacitySpread() < MaxSpread);
    fleet.runUntil(Time(9s));
    CHECK(fleet.capacitySpread() < MaxSpread);
  }
}

// Guards against the first requests of a fleet, which wait for load that no
// report shows yet, being taken for slow engines.
TEST_CASE("fleet_capacity_cold_start_is_not_taken_for_slowness") {
  for (const std::size_t routers : {9U, 75U, 97U}) {
    CapacityLoad it = load(routers);
    it.Pace = 1;
    it.SmallHostLag = {};
    CapacityFleet fleet(it);
    for (int ms = 200; ms <= 2'000; ms += 200) {
      fleet.runUntil(Time(milliseconds(ms)));
      CAPTURE(routers, ms);
      CHECK(fleet.capacityOf(3) >= 0.9);
    }
  }
}

// Guards against a capacity that follows only after engines look slow.
TEST_CASE("fleet_capacity_missing_and_limited_engines_lower_it_at_once") {
  for (const std::size_t routers : {9U, 97U}) {
    CAPTURE(routers);
    CapacityLoad it = load(routers);
    it.Pace = 1;
    it.SmallHostLag = {};
    it.LargeDemand = 0.2;
    CapacityFleet fleet(it);
    fleet.runUntil(Time(3s));
    CHECK(fleet.capacityOf(3) >= 0.9);
    fleet.removeEngines(it.Engines / 4);
    fleet.runUntil(Time(3'020ms));
    CHECK(fleet.capacityOf(3) == Approx(0.75).margin(0.1));
    // Each takes half of the requests that it is rated for.
    fleet.limitEngines(CapacityFleet::ConfiguredRate / 2 /
                       (CapacityFleet::PromptTokens + 100) / 2);
    fleet.runUntil(Time(5s));
    CHECK(fleet.capacityOf(3) == Approx(0.375).margin(0.1));
    // A router that starts knows how many engines the rated figure means.
    fleet.start(3);
    fleet.runUntil(Time(6s));
    CHECK(fleet.capacitySpread() < MaxSpread);
  }
}

TEST_CASE("peer_loads_report_replaces_older_ones_with_its_routers") {
  PeerLoads loads(milliseconds(1'500));
  LoadReport sum;
  sum.IncludedHosts = {HostId{"b"}, HostId{"c"}};
  sum.PoolServices = {{PoolId{"p"}, {300, 3}, 3, 300, 0, 0, 4}};
  loads.receiveReport(HostId{"a"}, sum, Time(1s));
  LoadReport own;
  own.PoolServices = {{PoolId{"p"}, {100, 1}, 1, 100, 0, 0, 4}};
  loads.receiveReport(HostId{"b"}, own, Time(1s));
  CHECK(loads.poolServices(Time(1s)).of(PoolId{"p"}).Prefill.Tokens == 100);
  loads.receiveReport(HostId{"c"}, own, Time(1s));
  CHECK(loads.poolServices(Time(1s)).of(PoolId{"p"}).Prefill.Tokens == 200);
  // Two seconds are the time in which observations lose most of their weight.
  CHECK(loads.poolServices(Time(2s)).of(PoolId{"p"}).Prefill.Tokens ==
        Approx(200 * std::exp(-0.5)));
}

// Guards against load that a router has not heard of, and its own freezes,
// being taken for slowness.
TEST_CASE("fleet_capacity_observations_count_once_load_is_known") {
  using Contact = FleetCapacity::PeerContact;
  const PoolId pool{"p"};
  FleetCapacity capacity;
  capacity.setEngines({{pool, 2}}, 30'000);
  capacity.setPeers({}, Contact::Silent, Time(9s));
  capacity.recordActive(Time(10s));
  capacity.setPeers({}, Contact::Reporting, Time(10s));
  const double rated = capacity.configuredPrefillRate();
  capacity.recordFirstEvent(pool, 3'000, 2s, Time(10'900ms), Time(10'950ms));
  CHECK(capacity.prefillRate(pool, Time(10'950ms)) == rated);
  CHECK(capacity.expectedRate(pool, Time(10'950ms)) < rated / 2);
  capacity.recordFirstEvent(pool, 3'000, 2s, Time(11'600ms), Time(11'900ms));
  const double slow = capacity.prefillRate(pool, Time(20s));
  CHECK(capacity.prefillRate(pool, Time(11'900ms)) < rated / 2);
  capacity.recordFirstEvent(pool, 3'000, 8s, Time(12s), Time(20s));
  CHECK(capacity.prefillRate(pool, Time(20s)) == slow);
}

} // namespace nutmegsill::routing
