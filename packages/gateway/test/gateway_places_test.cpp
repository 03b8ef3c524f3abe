#include "gateway_fixture.h"

#include <thread>

namespace nutmegsill::standin {

class GatewayPlacesFixture : protected GatewayFixture {
protected:
  GatewayPlacesFixture() {
    startRouter();
    // The router learns that a request takes 100 ms, and then that so many
    // wait that there is no place for several seconds.
    for (TargetStandin *it : {FirstTarget.get(), SecondTarget.get()}) {
      it->setResponsePause(std::chrono::milliseconds(100));
      it->setResponseFields("Load: 0,0,6,100\r\n");
    }
    send(8);
    FirstTarget->setResponseFields("Load: 6,1000000,6,100\r\n");
    SecondTarget->setResponseFields("Load: 6,1000000,6,100\r\n");
    while (sent(*FirstTarget) < 6 || sent(*SecondTarget) < 6) {
      const std::size_t before = sent(*FirstTarget) + sent(*SecondTarget);
      send(1);
      if (sent(*FirstTarget) + sent(*SecondTarget) == before) {
        break;
      }
    }
  }
  void send(int count) {
    for (int i = 0; i < count; ++i) {
      sendRequest("/safe/a", "known-" + std::to_string(++LastRequest));
    }
  }
  static std::size_t sent(const TargetStandin &target) {
    return target.receivedRequests().size();
  }
  std::string placeWaits() {
    return httpGet(Routers[0].MetricsAddress, "/metrics").Body;
  }

  int LastRequest = 0;
};

// Guards against requests that wait without end, or are sent to full targets.
TEST_CASE_METHOD(GatewayPlacesFixture,
                 "gateway_request_without_place_is_rejected_in_time") {
  for (const char *path : {"/safe/a", "/buy/a"}) {
    const std::string id = std::string("late") + path;
    const RawResponse response = sendRequest(path, id);
    CHECK(response.Status == 503);
    CHECK_FALSE(response.headerField("Retry-After").empty());
    CHECK(response.headerField("Load").empty());
    CHECK(FirstTarget->runCount(id) + SecondTarget->runCount(id) == 0);
  }
}

// Guards against places for callers that have left.
TEST_CASE_METHOD(GatewayPlacesFixture,
                 "gateway_waiting_request_whose_caller_leaves_is_dropped") {
  {
    RawCaller caller(Routers[0].CallerAddress);
    caller.write("POST /buy/a HTTP/1.1\r\nHost: models.example\r\n"
                 "Request-Id: left\r\nContent-Length: 1\r\n\r\nx");
    // The wait lasts 400 ms.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(waitUntil([&] {
    return placeWaits().find(
               "nutmegsill_place_waits_total{outcome=\"caller_left\"} 1") !=
           std::string::npos;
  }));
  CHECK(FirstTarget->runCount("left") + SecondTarget->runCount("left") == 0);
}

// Guards against a slow response although another target is fast, and against
// an answer that belongs to the attempt that was given up.
TEST_CASE_METHOD(GatewayFixture, "gateway_slow_response_is_hedged") {
  HedgingBudget = 1;
  startRouter();
  for (int i = 0; i < 40; ++i) {
    CHECK(sendRequest("/safe/a", "usual-" + std::to_string(i)).Status == 200);
  }
  FirstTarget->setResponsePause(std::chrono::milliseconds(2'000));
  const auto wins = [this] {
    return httpGet(Routers[0].MetricsAddress, "/metrics")
               .Body.find("nutmegsill_hedges_total{result=\"won\"}") !=
           std::string::npos;
  };
  for (int i = 0; i < 10 && !wins(); ++i) {
    const std::string id = "slow-" + std::to_string(i);
    const RawResponse response = sendRequest("/safe/a", id);
    CHECK(response.Status == 200);
    CHECK(response.Body == "answer to " + id);
  }
  CHECK(wins());
  // Requests that run at most once have no second attempt.
  for (int i = 0; i < 2; ++i) {
    const std::string id = "once-" + std::to_string(i);
    CHECK(sendRequest("/buy/a", id).Status == 200);
    CHECK(FirstTarget->runCount(id) + SecondTarget->runCount(id) == 1);
  }
}

} // namespace nutmegsill::standin
