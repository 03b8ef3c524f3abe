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
  State.applyUpdate(UnreadableItem{"key-of-e-1", "unknown state",
                                   TargetId{"e-1"}, std::nullopt},
                    at(10));
  CHECK(find("e-1") == nullptr);
  CHECK(find("e-2") != nullptr);
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_unreadable_entry_in_outage_grace_is_not_used") {
  applyFullListing(at(0));
  State.recordStoreFailure(at(1'000));
  State.recordStoreSuccess(at(9'000));
  State.applyUpdate(UnreadableItem{"key-of-e-1", "unknown state",
                                   TargetId{"e-1"}, std::nullopt},
                    at(9'010));
  CHECK(find("e-1") == nullptr);
  State.applyUpdate(TargetUpdated{target("e-1", "engines")}, at(9'020));
  CHECK(find("e-1") != nullptr);
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_unreadable_entry_removes_router") {
  applyFullListing(at(0));
  State.applyUpdate(UnreadableItem{"key-of-host-2", "invalid", std::nullopt,
                                   HostId{"host-2"}},
                    at(10));
  CHECK(State.view()->Routers.empty());
  State.applyUpdate(RouterUpdated{router("host-2")}, at(20));
  CHECK(State.view()->Routers.size() == 1);
}

// Guards against logs and memory that grow with odd entries.
TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_many_changing_odd_entries_are_reported_seldom") {
  applyFullListing(at(0));
  State.takeChanges();
  std::size_t reports = 0;
  for (int second = 0; second < 60; ++second) {
    for (int i = 0; i < 1'000; ++i) {
      State.applyUpdate(
          UnreadableItem{"key-" + std::to_string(i),
                         "unknown state " + std::to_string(second),
                         TargetId{"odd-" + std::to_string(i)}, std::nullopt},
          at(second * 1'000L));
    }
    reports += State.takeChanges().size();
  }
  CHECK(reports > 0);
  CHECK(reports < 200);
  CHECK(find("e-1") != nullptr);
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

// Guards against requests to targets that had left before the copy was
// restored.
TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_restored_store_does_not_undo_leaving") {
  applyFullListing(at(0));
  TargetEntry leaving = target("e-1", "engines");
  leaving.Draining = true;
  State.applyUpdate(TargetUpdated{leaving}, at(100));
  State.applyUpdate(TargetRemoved{TargetId{"e-2"}}, at(200));
  const std::vector<StoreUpdate> copy{
      ConfigUpdated{config(4)}, TargetUpdated{target("e-1", "engines")},
      TargetUpdated{target("e-2", "engines", "zone-b")}};
  State.applyRestoredListing(copy, at(1'000));
  CHECK(find("e-1")->Entry.Draining);
  CHECK(find("e-2") == nullptr);
  CHECK(State.view()->Config->Revision == ConfigRevision{5});
  // The next listing shows the same entry.
  State.applyListing(copy, at(1'500));
  CHECK(find("e-2") == nullptr);
  // The target writes again: it is alive.
  TargetEntry alive = target("e-2", "engines", "zone-b");
  State.applyUpdate(TargetUpdated{alive}, at(2'000));
  CHECK(find("e-2") != nullptr);
}

// Guards against targets that stay out although they took their leaving back.
TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_process_that_takes_leaving_back_is_used") {
  applyFullListing(at(0));
  TargetEntry leaving = target("e-1", "engines");
  leaving.Draining = true;
  State.applyUpdate(TargetUpdated{leaving}, at(100));
  State.applyRestoredListing({TargetUpdated{target("e-1", "engines")}},
                             at(1'000));
  CHECK(find("e-1")->Entry.Draining);
  State.applyUpdate(TargetUpdated{target("e-1", "engines")}, at(2'000));
  CHECK_FALSE(find("e-1")->Entry.Draining);
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_restored_entry_is_believed_after_grace_period") {
  applyFullListing(at(0));
  State.applyUpdate(TargetRemoved{TargetId{"e-2"}}, at(200));
  State.applyRestoredListing(
      {TargetUpdated{target("e-1", "engines")},
       TargetUpdated{target("e-2", "engines", "zone-b")}},
      at(1'000));
  State.expire(at(5'900));
  CHECK(find("e-2") == nullptr);
  CHECK(State.expire(at(6'000)));
  CHECK(find("e-2") != nullptr);
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_restored_older_process_is_not_believed") {
  applyFullListing(at(0));
  TargetEntry later = target("e-1", "engines");
  later.StartedAtMs = 9;
  State.applyUpdate(TargetUpdated{later}, at(100));
  State.applyRestoredListing({TargetUpdated{target("e-1", "engines")}},
                             at(1'000));
  CHECK(find("e-1")->Entry.StartedAtMs == 9);
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_entries_that_a_copy_lacks_get_grace_period") {
  applyFullListing(at(0));
  State.applyRestoredListing({ConfigUpdated{config(4)}}, at(1'000));
  CHECK(find("e-1") != nullptr);
  CHECK(State.view()->Routers.size() == 1);
  State.applyUpdate(TargetUpdated{target("e-1", "engines")}, at(2'000));
  CHECK(State.expire(at(3'200)));
  CHECK(find("e-1") != nullptr);
  CHECK(find("e-2") == nullptr);
  CHECK(State.view()->Routers.empty());
}

TEST_CASE_METHOD(FleetStateFixture,
                 "fleet_state_evacuation_that_a_copy_lacks_holds") {
  applyFullListing(at(0));
  State.applyUpdate(ZoneEvacuated{ZoneId{"zone-b"}}, at(100));
  const std::vector<StoreUpdate> copy{
      TargetUpdated{target("e-1", "engines")},
      TargetUpdated{target("e-2", "engines", "zone-b")}};
  State.applyRestoredListing(copy, at(1'000));
  State.applyListing(copy, at(1'500));
  CHECK(find("e-2")->InEvacuatedZone);
  State.expire(at(5'900));
  CHECK(find("e-2")->InEvacuatedZone);
  SECTION("an operator writes it again") {
    State.applyUpdate(ZoneEvacuated{ZoneId{"zone-b"}}, at(5'950));
    State.expire(at(9'000));
    CHECK(find("e-2")->InEvacuatedZone);
  }
  SECTION("nobody writes it again") {
    State.expire(at(6'000));
    CHECK_FALSE(find("e-2")->InEvacuatedZone);
  }
  SECTION("an operator takes it back") {
    State.applyUpdate(ZoneRestored{ZoneId{"zone-b"}}, at(5'950));
    CHECK_FALSE(find("e-2")->InEvacuatedZone);
  }
}

} // namespace nutmegsill::routing
