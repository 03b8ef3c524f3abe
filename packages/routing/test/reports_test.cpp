#include "fleet_fixture.h"

#include "nutmegsill/routing/cached_parts.h"
#include "nutmegsill/routing/peer_loads.h"
#include "nutmegsill/routing/report_paths.h"

#include <rapidcheck.h>

namespace nutmegsill::routing {

class ReportsFixture : protected FleetFixture {
protected:
  static std::vector<RouterEntry> routers(std::size_t count) {
    std::vector<RouterEntry> out;
    for (std::size_t i = 0; i < count; ++i) {
      out.push_back(router("host-" + std::to_string(1'000 + i)));
    }
    return out;
  }
  static LoadReport load(const std::string &target, std::uint64_t prefill,
                         std::uint32_t running) {
    LoadReport out;
    out.Targets = {{TargetId{target}, prefill, running}};
    return out;
  }
  static Prompt prompt(const std::vector<PromptPart> &parts) {
    Prompt out;
    out.Parts = parts;
    for (const PromptPart &it : parts) {
      out.InputTokens += it.Tokens;
    }
    return out;
  }
};

TEST_CASE_METHOD(ReportsFixture,
                 "report_paths_any_fleet_hears_each_router_once") {
  const bool held = rc::check([] {
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 120);
    const std::vector<RouterEntry> fleet = routers(count);
    std::map<HostId, std::map<HostId, int>> heard;
    for (const RouterEntry &it : fleet) {
      const ReportPaths paths = reportPaths(fleet, it.Host);
      for (const HostId &to : paths.Row) {
        ++heard[to][it.Host];
      }
      for (const HostId &to : paths.Others) {
        ++heard[to][it.Host];
        for (const HostId &mate : paths.Row) {
          ++heard[to][mate];
        }
      }
    }
    for (const RouterEntry &to : fleet) {
      for (const RouterEntry &from : fleet) {
        RC_ASSERT(heard[to.Host][from.Host] == (to.Host == from.Host ? 0 : 1));
      }
    }
  });
  CHECK(held);
}

TEST_CASE_METHOD(ReportsFixture, "report_paths_receivers_grow_with_the_root") {
  for (const std::size_t count : {9U, 75U, 340U}) {
    const std::vector<RouterEntry> fleet = routers(count);
    std::size_t most = 0;
    for (const RouterEntry &it : fleet) {
      most = std::max(most, reportPaths(fleet, it.Host).size());
    }
    CHECK(most <= 2 * static_cast<std::size_t>(
                          std::ceil(std::sqrt(static_cast<double>(count)))) +
                      2);
  }
}

TEST_CASE_METHOD(ReportsFixture,
                 "report_paths_unregistered_router_tells_nobody") {
  CHECK(reportPaths(routers(9), HostId{"stranger"}).size() == 0);
}

TEST_CASE_METHOD(ReportsFixture, "peer_loads_report_replaces_the_last_one") {
  PeerLoads loads(milliseconds(1'500));
  loads.hear(HostId{"a"}, load("e-1", 100, 2), at(0));
  loads.hear(HostId{"b"}, load("e-1", 10, 1), at(0));
  loads.hear(HostId{"a"}, load("e-2", 7, 1), at(100));
  CHECK(loads.at(TargetId{"e-1"}).PrefillTokens == 10);
  CHECK(loads.at(TargetId{"e-1"}).Running == 1);
  CHECK(loads.at(TargetId{"e-2"}).PrefillTokens == 7);
}

TEST_CASE_METHOD(ReportsFixture, "peer_loads_old_report_is_dropped") {
  PeerLoads loads(milliseconds(1'500));
  loads.hear(HostId{"a"}, load("e-1", 100, 2), at(0));
  loads.hear(HostId{"b"}, load("e-1", 10, 1), at(1'000));
  loads.expire(at(1'600));
  CHECK(loads.at(TargetId{"e-1"}).PrefillTokens == 10);
  CHECK(loads.oldest(at(1'600)) == milliseconds(600));
  loads.expire(at(3'000));
  CHECK(loads.at(TargetId{"e-1"}).Running == 0);
}

TEST_CASE_METHOD(ReportsFixture, "peer_loads_row_sum_names_those_it_heard") {
  PeerLoads loads(milliseconds(1'500));
  LoadReport report = load("e-1", 100, 2);
  report.Teams = {{TeamId{"t"}, {5, 4}}};
  loads.hear(HostId{"a"}, report, at(0));
  LoadReport own = load("e-1", 1, 1);
  own.Teams = {{TeamId{"t"}, {1, 1}}};
  const LoadReport sum = loads.sumWith(own, {HostId{"a"}, HostId{"silent"}});
  REQUIRE(sum.Targets.size() == 1);
  CHECK(sum.Targets[0].PrefillTokens == 101);
  CHECK(sum.Targets[0].Running == 3);
  REQUIRE(sum.Teams.size() == 1);
  CHECK(sum.Teams[0].Rate.Asked == 6);
  REQUIRE(sum.Hosts.size() == 1);
  CHECK(sum.Hosts[0].Text == "a");
}

TEST_CASE_METHOD(ReportsFixture, "cached_parts_count_only_without_a_gap") {
  CachedParts caches(std::chrono::seconds(60));
  caches.sent({TargetId{"e-1"}, 100, {1, 3}}, at(1));
  caches.sent({TargetId{"e-2"}, 100, {1, 2}}, at(1));
  const std::map<TargetId, std::uint32_t> cached =
      caches.cached(prompt({{1, 10}, {2, 20}, {3, 40}}), 10'000);
  CHECK(cached.at(TargetId{"e-1"}) == 10);
  CHECK(cached.at(TargetId{"e-2"}) == 30);
}

TEST_CASE_METHOD(ReportsFixture, "cached_parts_restarted_target_has_none") {
  CachedParts caches(std::chrono::seconds(60));
  caches.sent({TargetId{"e-1"}, 100, {1}}, at(1));
  caches.drop(TargetId{"e-1"});
  CHECK(caches.cached(prompt({{1, 10}}), 10'000).empty());
}

TEST_CASE_METHOD(ReportsFixture, "cached_parts_known_use_is_not_told_again") {
  CachedParts caches(std::chrono::seconds(60));
  const Prompt one = prompt({{1, 10}, {2, 5}});
  CHECK(caches.sentHere(TargetId{"e-1"}, one, 15, at(1)).Parts.size() == 1);
  const SentPrompts again = caches.sentHere(TargetId{"e-1"}, one, 5, at(500));
  CHECK(again.Parts.empty());
  CHECK(again.Tokens == 5);
  CHECK(caches.sentHere(TargetId{"e-1"}, one, 5, at(2'000)).Parts.size() == 1);
}

} // namespace nutmegsill::routing
