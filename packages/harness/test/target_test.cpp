// Targets that turn cold, zones that leave and return, and hosts that die,
// under full load.
#include "experiment.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace nutmegsill;
using namespace nutmegsill::harness;
using std::chrono::seconds;

namespace {

constexpr unsigned TargetCount = 12;
constexpr unsigned SlotsEach = 8;
constexpr unsigned AllSlots = TargetCount * SlotsEach;

struct LoadedFleet {
  LoadedFleet() : Plan(todaysFleet(9, TargetCount, SlotsEach, 3)) {
    Plan.UnitTime = milliseconds(10);
    for (const char *name : {"large", "small-1", "small-2"}) {
      TeamLoad load;
      load.Team = TeamId{name};
      load.Weight = std::string(name) == "large" ? 10 : 1;
      load.Outstanding = 90;
      load.Least = Cost{10};
      load.Most = Cost{100};
      for (const auto &[host, zone] : Plan.Hosts) {
        load.Entries.push_back(host);
      }
      Plan.Teams[load.Team].Weight = load.Weight;
      Loads.push_back(std::move(load));
    }
  }

  void start(Time from, Time until) {
    Fleet.emplace(Plan);
    Load.emplace(*Fleet, PoolId{"captions"}, Loads, 5, from, until);
  }

  /// Work done in each second of the interval, on the average.
  double serviceRate(Time from, Time until) {
    std::int64_t units = 0;
    for (const ServiceRecord &it : Fleet->history().Services) {
      units += from <= it.At && it.At < until ? it.Work.Units : 0;
    }
    return static_cast<double>(units) /
           static_cast<double>((until - from) / seconds(1));
  }

  /// What all slots could do in a second.
  double fullRate() const {
    return AllSlots * 1e6 / static_cast<double>(Plan.UnitTime.count());
  }

  VirtualPlan Plan;
  std::vector<TeamLoad> Loads;
  std::optional<VirtualFleet> Fleet;
  std::optional<Workload> Load;
};

} // namespace

TEST_CASE_METHOD(LoadedFleet, "targets_all_cold_at_start_none_overloaded") {
  start(Time(seconds(8)), Time(seconds(40)));
  Fleet->at(Time(seconds(7)), [this] {
    for (const TargetPlan &it : Plan.Targets) {
      Fleet->makeCold(it.Id);
    }
  });
  Fleet->runUntil(Time(seconds(40)));
  CHECK(checkColdTargets(Fleet->history(), 0).empty());
}

TEST_CASE_METHOD(LoadedFleet, "targets_unannounced_cold_loss_bounded") {
  start(Time(seconds(8)), Time(seconds(70)));
  std::size_t starts = 0;
  for (int i = 0; i < 8; ++i) {
    ++starts;
    Fleet->at(Time(seconds(25 + 5 * i)), [this, i] {
      Fleet->makeCold(Plan.Targets[static_cast<std::size_t>(i)].Id);
    });
  }
  Fleet->runUntil(Time(seconds(70)));
  std::size_t lost = 0;
  for (const OverloadRecord &it : Fleet->history().Overloads) {
    lost += it.Lost;
  }
  std::cout << "unannounced cold starts " << starts
            << ", requests lost to them " << lost << "\n";
  // A start that nobody announced may meet what is under way to the target:
  // at most one request for each of its slots.
  CHECK(checkColdTargets(Fleet->history(), starts * SlotsEach).empty());
}

TEST_CASE_METHOD(LoadedFleet, "zone_out_and_in_no_new_work_service_goes_on") {
  start(Time(seconds(8)), Time(seconds(90)));
  Fleet->at(Time(seconds(30)),
            [this] { Fleet->configure({ZoneId{"nadi-b"}}, {}); });
  Fleet->at(Time(seconds(55)), [this] { Fleet->configure({}, {}); });
  Fleet->runUntil(Time(seconds(90)));
  const double before = serviceRate(Time(seconds(24)), Time(seconds(30)));
  const double during = serviceRate(Time(seconds(36)), Time(seconds(54)));
  const double after = serviceRate(Time(seconds(70)), Time(seconds(88)));
  std::cout << "zone out: share of all slots before " << before / fullRate()
            << ", during " << during / fullRate() << ", after "
            << after / fullRate() << "\n";
  CHECK(checkTakenOut(Fleet->history(), seconds(5)).empty());
  CHECK(checkColdTargets(Fleet->history(), 0).empty());
  // Two of three zones stay; nine tenths of what is left must be in use.
  CHECK(during > 0.9 * fullRate() * 2 / 3);
  CHECK(after > 0.9 * fullRate());
}

TEST_CASE_METHOD(LoadedFleet, "zone_dark_at_once_service_recovers") {
  start(Time(seconds(8)), Time(seconds(60)));
  Fleet->at(Time(seconds(30)), [this] {
    for (const auto &[host, zone] : Plan.Hosts) {
      if (zone == ZoneId{"nadi-b"}) {
        Fleet->kill(host);
      }
    }
    for (const TargetPlan &it : Plan.Targets) {
      if (it.Zone == ZoneId{"nadi-b"}) {
        Fleet->makeCold(it.Id);
        Fleet->refuseWork(it.Id, seconds(60));
      }
    }
  });
  Fleet->runUntil(Time(seconds(100)));
  const double during = serviceRate(Time(seconds(40)), Time(seconds(58)));
  std::cout << "zone dark: share of all slots from 10 s after "
            << during / fullRate() << "\n";
  CHECK(checkOneGranter(Fleet->history()).empty());
  CHECK(checkTrueRefusals(Fleet->history()).empty());
  CHECK(during > 0.9 * fullRate() * 2 / 3);
}

TEST_CASE_METHOD(LoadedFleet, "service_down_for_minutes_all_calls_served") {
  start(Time(seconds(8)), Time(seconds(200)));
  Fleet->at(Time(seconds(30)),
            [this] { Fleet->setPlatform(PlatformFault::Down, seconds(150)); });
  Fleet->runUntil(Time(seconds(200)));
  const double during = serviceRate(Time(seconds(36)), Time(seconds(180)));
  std::cout << "service down for 150 s: share of all slots "
            << during / fullRate() << "\n";
  CHECK(during > 0.9 * fullRate());
  // Model calls need no claim, so an outage refuses none of them.
  for (const CallRecord &it : Fleet->history().Calls) {
    const bool judged = it.SubmittedAt < Time(seconds(180));
    const bool served = !judged || it.End == CallEnd::Complete;
    CHECK(served);
  }
}

TEST_CASE_METHOD(LoadedFleet, "owner_killed_targets_granted_again") {
  start(Time(seconds(8)), Time(seconds(50)));
  Fleet->runUntil(Time(seconds(30)));
  // The router that owns most targets.
  HostId victim;
  std::set<TargetId> orphans;
  for (const auto &[host, zone] : Plan.Hosts) {
    const std::vector<TargetStatus> owned = Fleet->status(host).Owned;
    if (owned.size() > orphans.size()) {
      victim = host;
      orphans.clear();
      for (const TargetStatus &it : owned) {
        orphans.insert(it.Target);
      }
    }
  }
  const Time killed = Fleet->now();
  Fleet->kill(victim);
  Fleet->runUntil(Time(seconds(50)));
  std::map<TargetId, Time> again;
  for (const GrantRecord &it : Fleet->history().Grants) {
    if (killed < it.At && it.Owner != victim) {
      again.emplace(it.Target, it.At);
    }
  }
  Duration longest{};
  for (const TargetId &it : orphans) {
    REQUIRE(again.count(it) != 0);
    longest = std::max(longest, again.at(it) - killed);
  }
  std::cout << "owner killed: " << orphans.size()
            << " targets granted again after at most " << longest.count() / 1000
            << " ms\n";
  // Two successors' patience, the old owner's promises, the recovery, and the
  // calls between them.
  const Timing limits;
  CHECK(longest <= 2 * limits.SuspectAfter + limits.PromiseLife +
                       limits.DriftMargin + limits.GrantLife + seconds(1));
}
