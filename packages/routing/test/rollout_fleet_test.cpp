#include "rollout_fleet.h"

namespace nutmegsill::routing {

class RolloutFleetFixture {
protected:
  static constexpr VersionFault BadFaults[] = {
      VersionFault::AtOnce, VersionFault::Late, VersionFault::UnderLoad,
      VersionFault::OneRoute, VersionFault::Slow};

  static RolloutPlay play(std::vector<VersionFault> faults, unsigned seed,
                          std::size_t routers = 9) {
    RolloutPlay out;
    out.Faults = std::move(faults);
    out.Seed = seed;
    out.Routers = routers;
    return out;
  }

  /// Checks the promises on a bad version.
  static void checkBad(const RolloutPlay &play, const RolloutOutcome &out,
                       bool checkTime = true) {
    CAPTURE(play.Routers, play.Seed, out.Requests, out.Exposed, out.Bad,
            out.DecidedAt, out.LastExposedAt);
    CHECK(out.ExposedBeforeOrder == 0);
    CHECK(out.Exposed <= 0.1 * out.Requests + 50);
    if (checkTime && out.FiftiethBadAt) {
      CHECK(out.LastExposedAt <= *out.FiftiethBadAt + 5);
    }
    REQUIRE(out.State);
    CHECK(*out.State == RolloutState::Reverted);
    CHECK(out.DecidedAt < play.Deadline);
  }

  static void checkGood(const RolloutPlay &play, const RolloutOutcome &out) {
    CAPTURE(play.Routers, play.Seed, out.Requests, out.Exposed, out.Bad,
            out.DecidedAt);
    CHECK(out.ExposedBeforeOrder == 0);
    REQUIRE(out.State);
    CHECK(*out.State == RolloutState::Complete);
    CHECK(out.DecidedAt < 0.85 * play.Deadline);
    CHECK(out.LostAtPrevious == 0);
  }

  static void check(const RolloutPlay &play) {
    const std::vector<RolloutOutcome> out = RolloutFleet(play).play();
    for (std::size_t i = 0; i < out.size(); ++i) {
      CAPTURE(static_cast<int>(play.Faults[i]));
      const bool isBad = (play.Faults[i] >= VersionFault::AtOnce &&
                          play.Faults[i] <= VersionFault::Slow) ||
                         play.Faults[i] == VersionFault::NoTargets;
      isBad ? checkBad(play, out[i]) : checkGood(play, out[i]);
    }
  }
};

// Guards against a bad version that gets more than its share or is completed.
TEST_CASE_METHOD(RolloutFleetFixture, "rollout_fleet_bad_version_is_reverted") {
  for (const VersionFault fault : BadFaults) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      check(play({fault}, seed));
    }
  }
}

// Guards against sound versions that are reverted, or requests that are lost
// as the previous targets end.
TEST_CASE_METHOD(RolloutFleetFixture, "rollout_fleet_good_version_completes") {
  for (const VersionFault fault :
       {VersionFault::None, VersionFault::BothVersions,
        VersionFault::OneNewTarget, VersionFault::OneOldTarget}) {
    for (unsigned seed = 1; seed <= 15; ++seed) {
      check(play({fault}, seed));
    }
  }
}

TEST_CASE_METHOD(RolloutFleetFixture,
                 "rollout_fleet_version_without_targets_is_reverted") {
  check(play({VersionFault::NoTargets}, 1));
}

// Guards against verdicts on one pool that take effect on another.
TEST_CASE_METHOD(RolloutFleetFixture,
                 "rollout_fleet_two_pools_are_decided_apart") {
  for (unsigned seed = 1; seed <= 15; ++seed) {
    check(play({VersionFault::None, BadFaults[seed % 5]}, seed));
  }
}

TEST_CASE_METHOD(RolloutFleetFixture,
                 "rollout_fleet_of_hundred_routers_decides_alike") {
  for (unsigned seed = 1; seed <= 2; ++seed) {
    RolloutPlay it = play(
        {VersionFault::None, BadFaults[seed % 5], BadFaults[(seed + 2) % 5]},
        seed, 100);
    check(it);
  }
}

// Guards against a verdict that a router cut from the others does not follow,
// and a roll-out that it blocks.
TEST_CASE_METHOD(RolloutFleetFixture, "rollout_fleet_cut_routers_are_borne") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    RolloutPlay it =
        play({seed % 2 == 0 ? VersionFault::None : BadFaults[seed % 5]}, seed);
    it.CutRouters = 2;
    const double from = 2.0 + seed % 7;
    it.Cut = {from, from + 6};
    check(it);
  }
}

// Guards against exposure that rises without the store.
TEST_CASE_METHOD(RolloutFleetFixture, "rollout_fleet_store_outage_is_borne") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    RolloutPlay it =
        play({seed % 2 == 0 ? VersionFault::None : BadFaults[seed % 5]}, seed);
    const double from = 1.0 + seed % 7;
    it.StoreAway = {from, from + 6};
    check(it);
  }
}

// Guards against verdicts that are lost with the store's latest changes.
TEST_CASE_METHOD(RolloutFleetFixture,
                 "rollout_fleet_restored_store_gets_the_verdict_again") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    RolloutPlay it = play({BadFaults[seed % 5], VersionFault::None}, seed);
    it.CopyAt = 1;
    const double from = 3.0 + seed % 12;
    it.StoreAway = {from, from + 2};
    const std::vector<RolloutOutcome> out = RolloutFleet(it).play();
    checkBad(it, out[0]);
    REQUIRE(out[1].State);
    CHECK(*out[1].State == RolloutState::Complete);
  }
}

} // namespace nutmegsill::routing
