#include "fleet_fixture.h"

namespace nutmegsill::routing {

class FleetStateFixture : protected FleetFixture {
protected:
  FleetState State{HostId{"host-1"}, {}};

  void applyFullListing(Time now) {
    State.applyListing({ConfigUpdated{config(5)},
                        TargetUpdated{target("e-1", "engines")},
                        TargetUpdated{target("e-2", "engines", "zone-b")},
                        RouterUpdated{router("host-2")}},
                       now);
  }
  const KnownTarget *find(const std::string &name) {
    Latest = State.view();
    for (const KnownTarget &it : Latest->Targets) {
      if (it.Entry.Target.Text == name) {
        return &it;
      }
    }
    return nullptr;
  }
  std::shared_ptr<const FleetView> Latest;
};

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_older_configuration_is_ignored") {
  applyFullListing(at(0));
  State.applyUpdate(ConfigUpdated{config(4)}, at(1));
  CHECK(State.view()->Config->Revision == ConfigRevision{5});
  State.applyUpdate(ConfigUpdated{config(9)}, at(2));
  CHECK(State.view()->Config->Revision == ConfigRevision{9});
}

TEST_CASE_METHOD(
    FleetStateFixture,
    "fleet_state_target_removed_without_outage_is_removed_at_once") {
  applyFullListing(at(0));
  State.applyUpdate(TargetRemoved{TargetId{"e-1"}}, at(10));
  CHECK(find("e-1") == nullptr);
}

TEST_CASE_METHOD(
    FleetStateFixture,
    "fleet_state_target_expired_in_outage_is_kept_for_grace_period") {
  applyFullListing(at(0));
  State.recordStoreFailure(at(1'000));
  State.recordStoreSuccess(at(9'000));
  State.applyUpdate(TargetRemoved{TargetId{"e-1"}}, at(9'010));
  State.applyUpdate(TargetRemoved{TargetId{"e-2"}}, at(9'010));
  CHECK(find("e-1") != nullptr);
  State.applyUpdate(TargetUpdated{target("e-1", "engines")}, at(10'500));
  CHECK_FALSE(State.expire(at(11'000)));
  CHECK(State.expire(at(11'300)));
  CHECK(find("e-1") != nullptr);
  CHECK(find("e-2") == nullptr);
}

// Guards against a request to a target 2.3 s after its removal: its router had
// been cut off from a store that served the others (trouble-1 of tvh).
TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_peer_without_outage_ends_grace_period") {
  applyFullListing(at(0));
  State.recordStoreFailure(at(1'000));
  State.applyUpdate(TargetRemoved{TargetId{"e-1"}}, at(5'500));
  CHECK(find("e-1") != nullptr);
  State.adoptOutageGrace(Duration{0}, at(6'000));
  CHECK(State.expire(at(6'000)));
  CHECK(find("e-1") == nullptr);
  State.applyUpdate(TargetRemoved{TargetId{"e-2"}}, at(6'100));
  CHECK(find("e-2") == nullptr);
}

TEST_CASE_METHOD(
    FleetStateFixture,
    "fleet_state_peer_that_saw_outage_passes_on_its_grace_period") {
  applyFullListing(at(0));
  State.adoptOutageGrace(milliseconds(900), at(100));
  State.applyUpdate(TargetRemoved{TargetId{"e-1"}}, at(200));
  CHECK(find("e-1") != nullptr);
  CHECK(State.outageGrace(at(200)) == milliseconds(800));
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_listing_without_a_target_removes_it") {
  applyFullListing(at(0));
  State.applyListing(
      {ConfigUpdated{config(5)}, TargetUpdated{target("e-1", "engines")}},
      at(50));
  CHECK(find("e-1") != nullptr);
  CHECK(find("e-2") == nullptr);
}

TEST_CASE_METHOD(
    FleetStateFixture,
    "fleet_state_evacuated_zone_marks_targets_and_restored_zone_is_cold") {
  applyFullListing(at(0));
  State.applyUpdate(ZoneEvacuated{ZoneId{"zone-b"}}, at(100));
  CHECK(find("e-2")->InEvacuatedZone);
  CHECK_FALSE(find("e-1")->InEvacuatedZone);
  State.applyUpdate(TargetUpdated{target("e-3", "engines", "zone-b")}, at(150));
  CHECK(find("e-3")->InEvacuatedZone);
  State.applyUpdate(ZoneRestored{ZoneId{"zone-b"}}, at(200));
  CHECK_FALSE(find("e-2")->InEvacuatedZone);
  CHECK(find("e-2")->ColdUntil == at(3'200));
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_unreadable_entry_removes_target") {
  applyFullListing(at(0));
  State.applyUpdate(
      UnreadableItem{"key-of-e-1", "unknown state", TargetId{"e-1"}}, at(10));
  CHECK(find("e-1") == nullptr);
  CHECK(find("e-2") != nullptr);
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_restarted_target_resets_cold_time") {
  applyFullListing(at(0));
  TargetEntry cold = target("e-1", "engines");
  cold.RemainingColdTime = milliseconds(3'000);
  State.applyUpdate(TargetUpdated{cold}, at(100));
  CHECK(find("e-1")->ColdUntil == at(3'100));
  TargetEntry warm = target("e-1", "engines");
  State.applyUpdate(TargetUpdated{warm}, at(200));
  CHECK(find("e-1")->ColdUntil == at(3'100));
  warm.StartedAtMs = 2;
  State.applyUpdate(TargetUpdated{warm}, at(300));
  CHECK(find("e-1")->ColdUntil == at(300));
}

} // namespace nutmegsill::routing
