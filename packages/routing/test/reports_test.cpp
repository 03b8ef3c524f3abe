#include "fleet_fixture.h"

#include "nutmegsill/routing/peer_loads.h"
#include "nutmegsill/routing/prefix_cache_tracker.h"
#include "nutmegsill/routing/report_recipients.h"

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
  static PromptDescription prompt(const std::vector<PromptPart> &parts) {
    PromptDescription out;
    out.Parts = parts;
    for (const PromptPart &it : parts) {
      out.InputTokens += it.Tokens;
    }
    return out;
  }
};

TEST_CASE_METHOD(ReportsFixture,
                 "report_recipients_any_fleet_receives_each_load_once") {
  const bool passed = rc::check([] {
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 120);
    const std::size_t largeCount = *rc::gen::inRange<std::size_t>(0, count);
    std::vector<RouterEntry> fleet = routers(count);
    for (std::size_t i = 0; i < largeCount; ++i) {
      fleet[i * count / largeCount].ProcessorShare = 4;
    }
    std::map<HostId, std::map<HostId, int>> received;
    for (const RouterEntry &it : fleet) {
      const ReportRecipients recipients = reportRecipients(fleet, it.Host);
      for (const HostId &to : recipients.GroupPeers) {
        ++received[to][it.Host];
      }
      for (const HostId &to : recipients.RemotePeers) {
        ++received[to][it.Host];
        for (const HostId &peer : recipients.GroupPeers) {
          ++received[to][peer];
        }
      }
    }
    for (const RouterEntry &to : fleet) {
      for (const RouterEntry &from : fleet) {
        RC_ASSERT(received[to.Host][from.Host] ==
                  (to.Host == from.Host ? 0 : 1));
      }
    }
  });
  CHECK(passed);
}

TEST_CASE_METHOD(ReportsFixture,
                 "report_recipients_count_grows_with_square_root") {
  for (const std::size_t count : {9U, 75U, 340U}) {
    const std::vector<RouterEntry> fleet = routers(count);
    std::size_t most = 0;
    for (const RouterEntry &it : fleet) {
      most = std::max(most, reportRecipients(fleet, it.Host).size());
    }
    CHECK(most <= 2 * static_cast<std::size_t>(
                          std::ceil(std::sqrt(static_cast<double>(count)))) +
                      2);
  }
}

TEST_CASE_METHOD(ReportsFixture,
                 "report_intervals_any_fleet_bounds_messages_and_age") {
  for (const std::size_t count : {1U, 9U, 75U, 340U}) {
    const std::vector<RouterEntry> fleet = routers(count);
    for (const RouterEntry &it : fleet) {
      const ReportRecipients recipients = reportRecipients(fleet, it.Host);
      const ReportIntervals intervals = reportIntervals(recipients);
      const double perSecond =
          static_cast<double>(recipients.GroupPeers.size()) /
              toSeconds(intervals.ToGroup) +
          static_cast<double>(recipients.RemotePeers.size()) /
              toSeconds(intervals.ToRemotePeers);
      CHECK(perSecond <= 110);
      // Two reports within the time for which one is believed.
      CHECK(2 * intervals.ToRemotePeers < DispatchPolicy().MaxReportAge);
    }
  }
}

TEST_CASE_METHOD(ReportsFixture,
                 "report_recipients_unregistered_router_has_none") {
  CHECK(reportRecipients(routers(9), HostId{"stranger"}).size() == 0);
}

TEST_CASE_METHOD(ReportsFixture, "peer_loads_new_report_replaces_previous") {
  PeerLoads loads(milliseconds(1'500));
  loads.receiveReport(HostId{"a"}, load("e-1", 100, 2), at(0));
  loads.receiveReport(HostId{"b"}, load("e-1", 10, 1), at(0));
  loads.receiveReport(HostId{"a"}, load("e-2", 7, 1), at(100));
  CHECK(loads.loadOf(TargetId{"e-1"}).PrefillTokens == 10);
  CHECK(loads.loadOf(TargetId{"e-1"}).RunningRequests == 1);
  CHECK(loads.loadOf(TargetId{"e-2"}).PrefillTokens == 7);
}

TEST_CASE_METHOD(ReportsFixture, "peer_loads_expired_report_is_dropped") {
  PeerLoads loads(milliseconds(1'500));
  loads.receiveReport(HostId{"a"}, load("e-1", 100, 2), at(0));
  loads.receiveReport(HostId{"b"}, load("e-1", 10, 1), at(1'000));
  loads.expire(at(1'600));
  CHECK(loads.loadOf(TargetId{"e-1"}).PrefillTokens == 10);
  CHECK(loads.oldestReportAge(at(1'600)) == milliseconds(600));
  loads.expire(at(3'000));
  CHECK(loads.loadOf(TargetId{"e-1"}).RunningRequests == 0);
}

TEST_CASE_METHOD(ReportsFixture, "peer_loads_aggregate_lists_included_hosts") {
  PeerLoads loads(milliseconds(1'500));
  LoadReport report = load("e-1", 100, 2);
  report.Teams = {{TeamId{"t"}, {5, 4}}};
  loads.receiveReport(HostId{"a"}, report, at(0));
  LoadReport own = load("e-1", 1, 1);
  own.Teams = {{TeamId{"t"}, {1, 1}}};
  const LoadReport sum =
      loads.aggregateWith(own, {HostId{"a"}, HostId{"silent"}}, at(0));
  REQUIRE(sum.Targets.size() == 1);
  CHECK(sum.Targets[0].PrefillTokens == 101);
  CHECK(sum.Targets[0].RunningRequests == 3);
  REQUIRE(sum.Teams.size() == 1);
  CHECK(sum.Teams[0].Rate.Requested == 6);
  REQUIRE(sum.IncludedHosts.size() == 1);
  CHECK(sum.IncludedHosts[0].Text == "a");
}

TEST_CASE_METHOD(ReportsFixture,
                 "prefix_cache_tracker_counts_only_contiguous_parts") {
  PrefixCacheTracker caches(std::chrono::seconds(60));
  caches.recordSent({TargetId{"e-1"}, 100, {1, 3}}, at(1));
  caches.recordSent({TargetId{"e-2"}, 100, {1, 2}}, at(1));
  const std::map<TargetId, std::uint32_t> cached =
      caches.cachedTokens(prompt({{1, 10}, {2, 20}, {3, 40}}), 10'000);
  CHECK(cached.at(TargetId{"e-1"}) == 10);
  CHECK(cached.at(TargetId{"e-2"}) == 30);
}

TEST_CASE_METHOD(ReportsFixture,
                 "prefix_cache_tracker_removed_target_has_no_cache") {
  PrefixCacheTracker caches(std::chrono::seconds(60));
  caches.recordSent({TargetId{"e-1"}, 100, {1}}, at(1));
  caches.removeTarget(TargetId{"e-1"});
  CHECK(caches.cachedTokens(prompt({{1, 10}}), 10'000).empty());
}

TEST_CASE_METHOD(ReportsFixture,
                 "prefix_cache_tracker_recent_use_is_not_reported_again") {
  PrefixCacheTracker caches(std::chrono::seconds(60));
  const PromptDescription one = prompt({{1, 10}, {2, 5}});
  CHECK(caches.recordOwnPrompt(TargetId{"e-1"}, one, 15, at(1)).Parts.size() ==
        1);
  const SentPrompts again =
      caches.recordOwnPrompt(TargetId{"e-1"}, one, 5, at(500));
  CHECK(again.Parts.empty());
  CHECK(again.PrefillTokens == 5);
  CHECK(
      caches.recordOwnPrompt(TargetId{"e-1"}, one, 5, at(2'000)).Parts.size() ==
      1);
}

} // namespace nutmegsill::routing
