// One granting owner per target, over random schedules of faults; and two
// broken rules that the same search must find.
#include "fleet.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace nutmegsill;
using namespace nutmegsill::harness;
using std::chrono::seconds;

namespace {

constexpr Duration ScheduleTime = seconds(30);
constexpr int FaultsPerSchedule = 12;
constexpr unsigned Schedules = 300;

const std::vector<HostId> Routers{HostId{"h1"}, HostId{"h2"}, HostId{"h3"},
                                  HostId{"h4"}, HostId{"h5"}};

VirtualPlan makePlan(std::uint64_t seed) {
  VirtualPlan plan;
  plan.Seed = seed;
  const std::vector<ZoneId> zones{ZoneId{"a"}, ZoneId{"b"}, ZoneId{"c"}};
  for (std::size_t i = 0; i < Routers.size(); ++i) {
    plan.Hosts.emplace_back(Routers[i], zones[i % zones.size()]);
  }
  const PoolId pool{"captions"};
  plan.Pools[pool] = PoolConfig{};
  for (const char *name : {"m1", "m2", "m3"}) {
    plan.Targets.push_back(
        {TargetId{name}, pool, zones[0], 4, 2, milliseconds(500), false});
  }
  plan.Teams[TeamId{"prints"}].Weight = 1;
  plan.MostDelay = milliseconds(40);
  // A short recovery, so that nothing but the owner rule keeps two owners
  // apart.
  plan.Limits.GrantLife = milliseconds(150);
  return plan;
}

/// Calls at every router all the time, so that owners grant whenever they can.
void keepCalling(VirtualFleet &fleet) {
  for (const HostId &host : Routers) {
    fleet.submit(CallPlan{host, TeamId{"prints"}, PoolId{"captions"}, true, "",
                          Cost{20}});
  }
  fleet.at(fleet.now() + milliseconds(100), [&fleet] { keepCalling(fleet); });
}

void strike(VirtualFleet &fleet, std::mt19937_64 &random) {
  const HostId &host = Routers[random() % Routers.size()];
  const HostId &other = Routers[random() % Routers.size()];
  const Duration time = milliseconds(500 + random() % 6000);
  switch (random() % 9) {
  case 0:
    fleet.kill(host);
    fleet.at(fleet.now() + time, [&fleet, host] { fleet.start(host); });
    break;
  case 1:
    fleet.pause(host, time);
    break;
  case 2:
    fleet.cut(host, other, time);
    break;
  case 3:
    fleet.isolate(host, time, random() % 2 == 0);
    break;
  case 4:
    fleet.setNetwork(30, 20, milliseconds(1500), time);
    break;
  case 5:
    fleet.setPlatform(PlatformFault::Down, time);
    break;
  case 6:
    fleet.setPlatform(PlatformFault::LateEffect, time);
    break;
  case 7:
    fleet.cutPlatform(host, time);
    break;
  default:
    // The owner loses its successors and the service, but not its entries.
    fleet.cutPlatform(host, time);
    fleet.cut(other, host, time);
    fleet.cut(host, Routers[random() % Routers.size()], time);
    break;
  }
}

struct SearchResult {
  unsigned Broken = 0;
  std::uint64_t Grants = 0;
  std::string First;
};

/// Counts the schedules in which an owner granted after a later one.
SearchResult search(const std::function<void(VirtualPlan &)> &change) {
  SearchResult result;
  for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
    VirtualPlan plan = makePlan(seed);
    change(plan);
    VirtualFleet fleet(plan);
    std::mt19937_64 random(seed);
    fleet.at(Time(seconds(3)), [&fleet] { keepCalling(fleet); });
    for (int i = 0; i < FaultsPerSchedule; ++i) {
      fleet.at(Time(seconds(4) + milliseconds(random() % 22'000)),
               [&fleet, &random] { strike(fleet, random); });
    }
    fleet.runUntil(Time(ScheduleTime));
    const Violations found = checkOneGranter(fleet.history());
    result.Grants += fleet.history().Grants.size();
    if (!found.empty()) {
      ++result.Broken;
      result.First = result.First.empty()
                         ? "seed " + std::to_string(seed) + ": " + found[0]
                         : result.First;
    }
  }
  return result;
}

void print(const char *rule, const SearchResult &result) {
  std::cout << rule << ": two granting owners in " << result.Broken << " of "
            << Schedules << " schedules, " << result.Grants << " grants "
            << result.First << "\n";
}

} // namespace

TEST_CASE("ownership_random_faults_one_granter") {
  const SearchResult result = search([](VirtualPlan &) {});
  print("rule", result);
  CHECK(result.Broken == 0);
}

TEST_CASE("ownership_no_wait_after_swap_search_finds_it") {
  const SearchResult result = search([](VirtualPlan &plan) {
    plan.Limits.DriftMargin = -plan.Limits.PromiseLife;
  });
  print("no wait after the swap", result);
  CHECK(result.Broken > 0);
}

TEST_CASE("ownership_limits_from_receipt_search_finds_it") {
  const SearchResult result =
      search([](VirtualPlan &plan) { plan.CountFromReceipt = true; });
  print("limits counted from receipt", result);
  CHECK(result.Broken > 0);
}

TEST_CASE("ownership_slow_clock_beyond_margin_search_finds_it") {
  const SearchResult result = search([](VirtualPlan &plan) {
    constexpr std::int64_t halfSpeed = -500;
    for (const HostId &host : Routers) {
      plan.ClockDrift[host] = 0;
    }
    plan.ClockDrift[HostId{"h1"}] = halfSpeed;
    plan.ClockDrift[HostId{"h2"}] = halfSpeed;
  });
  print("clocks beyond the drift margin", result);
  CHECK(result.Broken > 0);
}
