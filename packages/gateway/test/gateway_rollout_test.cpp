#include "gateway_fixture.h"

#include <thread>

namespace nutmegsill::standin {

class GatewayRolloutFixture : protected GatewayFixture {
protected:
  GatewayRolloutFixture() {
    ExtraBounds = R"({"exposure_share":0.1,"exposure_extra":50,)"
                  R"("rollback_ms":5000})";
    NewTarget =
        std::make_unique<TargetStandin>("n-1", "desk", freeLoopbackAddress());
    NewTarget->setVersion("v2");
  }

  void order(int deadlineSeconds) {
    Store->put("op/rollout/desk", R"({"service":"desk","to":"v2",)"
                                  R"("deadline-s":)" +
                                      std::to_string(deadlineSeconds) + "}");
    writeTargetEntry(*NewTarget);
  }
  /// Sends requests until the status names `state`; returns whether it does in
  /// time.
  bool callUntil(const std::string &state, std::chrono::seconds timeout) {
    return waitUntil(
        [&] {
          sendRequest("/safe/a", "rollout-" + std::to_string(++Sent));
          const std::optional<std::string> status =
              Store->get("status/rollout/desk");
          return status && status->find(state) != std::string::npos &&
                 status->find("\"v2\"") != std::string::npos;
        },
        timeout);
  }

  std::unique_ptr<TargetStandin> NewTarget;
  int Sent = 0;
};

// Guards against orders that routers ignore, and a previous version that gets
// requests after it has been stopped.
TEST_CASE_METHOD(GatewayRolloutFixture,
                 "gateway_rollout_of_good_version_completes") {
  startRouter();
  startRouter();
  order(20);
  REQUIRE(callUntil("running", std::chrono::seconds(5)));
  CHECK(callUntil("complete", std::chrono::seconds(19)));
  const std::size_t before = FirstTarget->receivedRequests().size() +
                             SecondTarget->receivedRequests().size();
  for (int i = 0; i < 20; ++i) {
    CHECK(sendRequest("/safe/a", "after-" + std::to_string(i)).Status == 200);
  }
  CHECK(FirstTarget->receivedRequests().size() +
            SecondTarget->receivedRequests().size() ==
        before);
}

// Guards against a verdict that is not written, or does not act.
TEST_CASE_METHOD(GatewayRolloutFixture,
                 "gateway_rollout_of_bad_version_is_reverted") {
  startRouter();
  startRouter();
  NewTarget->setMode(TargetMode::Failing);
  order(20);
  CHECK(callUntil("reverted", std::chrono::seconds(19)));
  const std::size_t before = NewTarget->receivedRequests().size();
  for (int i = 0; i < 20; ++i) {
    CHECK(sendRequest("/safe/a", "after-" + std::to_string(i)).Status == 200);
  }
  CHECK(NewTarget->receivedRequests().size() == before);
}

} // namespace nutmegsill::standin
