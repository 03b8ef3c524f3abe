#include "fleet_fixture.h"

namespace nutmegsill::routing {

class RolloutFixture : protected FleetFixture {
protected:
  RolloutFixture() : Decider(HostId{"h"}, RolloutPolicy()) {
    View.Routers = {router("h")};
    for (const char *it : {"v1", "v2"}) {
      KnownTarget known;
      known.Entry = target(it, "desk");
      known.Entry.Version = it;
      View.Targets.push_back(known);
    }
  }
  void order(const std::string &to) {
    View.Rollouts[Desk].Order = RolloutOrder{to, std::chrono::seconds(10)};
    Decider.setView(View, at(0));
  }
  void state(RolloutState state, const std::string &to) {
    View.Rollouts[Desk].Status = RolloutStatus{state, to};
    Decider.setView(View, at(0));
  }
  bool mayGet(std::size_t target) {
    if (!Decider.concerns(Desk)) {
      return true;
    }
    bool any = false;
    for (const VersionChoice it : Decider.choose(Desk, false)) {
      any = any || Decider.admits(it, View.Targets[target].Entry);
    }
    return any;
  }

  const PoolId Desk{"desk"};
  FleetView View;
  Rollouts Decider;
};

TEST_CASE_METHOD(RolloutFixture, "rollout_without_order_concerns_no_pool") {
  Decider.setView(View, at(0));
  CHECK_FALSE(Decider.concerns(Desk));
  CHECK(Decider.ownReport(at(0)).empty());
  CHECK(Decider.decisions().empty());
}

TEST_CASE_METHOD(RolloutFixture, "rollout_without_bounds_ignores_orders") {
  Decider = Rollouts(HostId{"h"}, std::nullopt);
  order("v2");
  CHECK_FALSE(Decider.concerns(Desk));
}

// Guards against verdicts that end with the item that states them.
TEST_CASE_METHOD(RolloutFixture, "rollout_verdict_is_not_taken_back") {
  order("v2");
  CHECK_FALSE(mayGet(1));
  state(RolloutState::Reverted, "v2");
  View.Rollouts[Desk].Status.reset();
  Decider.setView(View, at(0));
  CHECK_FALSE(mayGet(1));
  REQUIRE(Decider.decisions().size() == 1);
  CHECK(Decider.decisions()[0].Status.State == RolloutState::Reverted);
  View.Rollouts.clear();
  Decider.setView(View, at(0));
  CHECK_FALSE(mayGet(1));
  CHECK(mayGet(0));
}

TEST_CASE_METHOD(RolloutFixture, "rollout_second_order_starts_anew") {
  order("v2");
  state(RolloutState::Reverted, "v2");
  order("v1");
  CHECK_FALSE(mayGet(1));
  CHECK(Decider.decisions()[0].Status ==
        RolloutStatus{RolloutState::Running, "v1"});
}

TEST_CASE_METHOD(RolloutFixture, "rollout_complete_version_gets_everything") {
  order("v2");
  state(RolloutState::Complete, "v2");
  CHECK(mayGet(1));
  CHECK_FALSE(mayGet(0));
}

// Guards against a version that is complete at once as it was so before.
TEST_CASE_METHOD(RolloutFixture, "rollout_earlier_version_is_observed_again") {
  order("v2");
  state(RolloutState::Complete, "v2");
  order("v1");
  state(RolloutState::Complete, "v1");
  order("v2");
  CHECK(mayGet(0));
  CHECK_FALSE(mayGet(1));
}

// Guards against a bad version that is taken for the fault of one target, as
// all its targets are of one group.
TEST_CASE("rollout_evidence_of_single_group_condemns_version") {
  const RolloutEvidencePolicy policy;
  RolloutCounts counts;
  counts[{RolloutStage::Observation, "a", 0}] = {500, 500, 0, 15, 15};
  counts[{RolloutStage::Observation, "a", 4}] = {40, 40, 13, 1, 1};
  CHECK(compareVersions(counts, 1, policy).IsBad);
  const RolloutFinding one = compareVersions(counts, 2, policy);
  CHECK_FALSE(one.IsBad);
  CHECK(one.FaultyGroups == std::set<std::uint32_t>{4});
  counts[{RolloutStage::Observation, "a", 5}] = {40, 40, 12, 1, 1};
  CHECK(compareVersions(counts, 2, policy).IsBad);
}

// Guards against writes that replace a verdict or belong to another order.
TEST_CASE("rollout_status_is_written_for_its_order_only") {
  const RolloutDecision reverted{PoolId{"p"}, {RolloutState::Reverted, "v2"}};
  const RolloutOrder order{"v2", std::chrono::seconds(9)};
  const RolloutOrder other{"v3", std::chrono::seconds(9)};
  const auto status = [](RolloutState state, const char *to) {
    return RolloutStatus{state, to};
  };
  CHECK(mayWriteStatus({order, std::nullopt}, reverted));
  CHECK(mayWriteStatus({order, status(RolloutState::Running, "v2")}, reverted));
  CHECK(
      mayWriteStatus({order, status(RolloutState::Complete, "v1")}, reverted));
  CHECK_FALSE(
      mayWriteStatus({order, status(RolloutState::Complete, "v2")}, reverted));
  CHECK_FALSE(mayWriteStatus({other, std::nullopt}, reverted));
  CHECK_FALSE(mayWriteStatus({std::nullopt, std::nullopt}, reverted));
}

} // namespace nutmegsill::routing
