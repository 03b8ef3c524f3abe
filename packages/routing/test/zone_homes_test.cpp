#include "fleet_fixture.h"

#include "nutmegsill/routing/zone_homes.h"

namespace nutmegsill::routing {

namespace {

ZoneHomePolicy homesFrom(std::size_t engines) {
  ZoneHomePolicy policy;
  policy.MinEngines = engines;
  return policy;
}

} // namespace

TEST_CASE("zone_homes_without_setting_are_off") {
  ZoneHomes homes{ZoneHomePolicy{}};
  homes.setEngines({{ZoneId{"a"}, 100}, {ZoneId{"b"}, 100}});
  CHECK_FALSE(homes.isActive());
}

TEST_CASE("zone_homes_need_enough_engines_in_each_zone") {
  ZoneHomes homes(homesFrom(4));
  homes.setEngines({{ZoneId{"a"}, 4}, {ZoneId{"b"}, 3}});
  CHECK_FALSE(homes.isActive());
  homes.setEngines({{ZoneId{"a"}, 4}, {ZoneId{"b"}, 4}});
  CHECK(homes.isActive());
  // Guards against homes that move while engines of a zone restart.
  homes.setEngines({{ZoneId{"a"}, 1}, {ZoneId{"b"}, 4}});
  CHECK(homes.isActive());
}

TEST_CASE("zone_homes_of_one_zone_are_off") {
  ZoneHomes homes(homesFrom(1));
  homes.setEngines({{ZoneId{"a"}, 4}});
  CHECK_FALSE(homes.isActive());
}

class ZoneHomesFixture : protected FleetFixture {
protected:
  /// Four engines in each of two zones, and one router in each.
  ZoneHomesFixture() {
    Policy.ZoneHomes = homesFrom(4);
    View->Config = Config;
    for (int i = 0; i < 8; ++i) {
      const std::string zone = i < 4 ? "zone-a" : "zone-b";
      View->Targets.push_back(
          {target("e-" + std::to_string(i), "engines", zone), {}, false});
    }
    for (const char *zone : {"zone-a", "zone-b"}) {
      RouterEntry entry = router(std::string("host-") + zone);
      entry.Zone = ZoneId{zone};
      View->Routers.push_back(entry);
    }
  }

  /// Number of `count` requests for parts that an engine of zone-b has, sent
  /// one after the other in zone-a, that leave the zone.
  int requestsThatCross(int count) {
    Dispatcher dispatcher(HostId{"host-zone-a"}, Policy,
                          {0.2, std::chrono::seconds(10), 10});
    dispatcher.setView(View, at(0));
    LoadReport report;
    report.PromptsSent = {{TargetId{"e-6"}, 6'500, {77}}};
    dispatcher.receiveReport(HostId{"host-zone-b"}, report, at(0));
    int crossing = 0;
    for (int i = 0; i < count; ++i) {
      DispatchRequest request;
      request.Route = &Config->Routes[0];
      request.Pool = PoolId{"engines"};
      request.Team = TeamId{"small"};
      request.RemainingTime = milliseconds(6'000);
      request.Prompt.Parts = {{77, 3'000},
                              {static_cast<std::uint64_t>(1'000 + i), 500}};
      request.Prompt.InputTokens = 3'500;
      request.Prompt.MaxOutputTokens = 50;
      DispatchDecision decision =
          dispatcher.chooseTarget(request, at(1 + 300 * i));
      Assignment &it = std::get<Assignment>(decision);
      crossing += it.Target.Text >= "e-4" ? 1 : 0;
      dispatcher.recordProgress(it, at(200 + 300 * i));
      dispatcher.recordResult(it, ExchangeResult::Completed, at(250 + 300 * i));
    }
    return crossing;
  }

  std::shared_ptr<ServiceConfig> Config = config();
  std::shared_ptr<FleetView> View = std::make_shared<FleetView>();
  DispatchPolicy Policy;
};

// Guards against bodies that cross zones for good, as their parts have their
// only home elsewhere.
TEST_CASE_METHOD(ZoneHomesFixture,
                 "zone_homes_part_used_again_is_copied_to_own_zone") {
  CHECK(requestsThatCross(40) <= 12);
}

TEST_CASE_METHOD(ZoneHomesFixture,
                 "zone_homes_off_send_part_to_its_home_in_other_zone") {
  Policy.ZoneHomes = {};
  CHECK(requestsThatCross(40) == 40);
}

} // namespace nutmegsill::routing
