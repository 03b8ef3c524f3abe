#include "gateway_fixture.h"

#include <algorithm>
#include <thread>

namespace nutmegsill::standin {

class GatewayLimitsFixture : protected GatewayFixture {
protected:
  using Clock = std::chrono::steady_clock;

  /// Requests per second that both targets state.
  static constexpr int StatedRate = 3;
  static constexpr std::chrono::seconds Window{4};

  void stateLimit(const std::string &value) {
    const std::string line = "Server-Limit: " + value + "\r\n";
    FirstTarget->setResponseFields(line);
    SecondTarget->setResponseFields(line);
  }
  /// Sends a request each 20 ms to the routers in turn; returns the number of
  /// responses by status.
  std::map<unsigned, int> sendFor(std::chrono::milliseconds span,
                                  const std::string &path) {
    std::map<unsigned, int> out;
    const Clock::time_point end = Clock::now() + span;
    while (Clock::now() < end) {
      const RouterAddresses &router =
          Routers[static_cast<std::size_t>(LastRequest) % Routers.size()];
      RawRequest next;
      next.Path = path;
      next.RequestId = "limit-" + std::to_string(++LastRequest);
      const RawResponse response = RawCaller(router.CallerAddress).send(next);
      CAPTURE(next.Path, next.RequestId, response.Status, response.Body);
      CHECK((response.Status == 200 || response.Status == 503));
      if (response.Status == 503) {
        CHECK_FALSE(response.headerField("Retry-After").empty());
      }
      CHECK(response.headerField("Server-Limit").empty());
      ++out[response.Status];
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return out;
  }
  /// Largest number of requests that a target received in any `Window` after
  /// `from`.
  static std::ptrdiff_t mostInWindow(const TargetStandin &target,
                                     Clock::time_point from) {
    std::vector<Clock::time_point> times;
    for (const ReceivedRequest &it : target.receivedRequests()) {
      if (it.ReceivedAt >= from) {
        times.push_back(it.ReceivedAt);
      }
    }
    std::ptrdiff_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it) {
      const auto end = std::upper_bound(it, times.end(), *it + Window);
      most = std::max(most, end - it);
    }
    return most;
  }

  int LastRequest = 0;
};

// Guards against targets that get more than the limit that they state.
TEST_CASE_METHOD(GatewayLimitsFixture,
                 "gateway_target_stating_limit_gets_no_more_than_it_allows") {
  for (int i = 0; i < 3; ++i) {
    startRouter();
  }
  stateLimit(std::to_string(StatedRate));
  const Clock::time_point begin = Clock::now();
  for (const char *path : {"/safe/a", "/stream/whole/a"}) {
    std::map<unsigned, int> statuses = sendFor(std::chrono::seconds(6), path);
    CHECK(statuses[200] >= 6 * StatedRate);
  }
  constexpr std::ptrdiff_t allowed = StatedRate * Window.count() * 3 / 2 + 5;
  const Clock::time_point told = begin + std::chrono::milliseconds(500);
  CHECK(mostInWindow(*FirstTarget, told) <= allowed);
  CHECK(mostInWindow(*SecondTarget, told) <= allowed);
}

TEST_CASE_METHOD(GatewayLimitsFixture,
                 "gateway_limit_that_target_no_longer_states_ends") {
  startRouter();
  stateLimit("1");
  CHECK(sendFor(std::chrono::seconds(2), "/buy/a")[503] > 0);
  FirstTarget->setResponseFields("");
  SecondTarget->setResponseFields("");
  sendFor(std::chrono::seconds(3), "/buy/a");
  CHECK(sendFor(std::chrono::seconds(1), "/buy/a")[503] == 0);
}

TEST_CASE_METHOD(GatewayLimitsFixture,
                 "gateway_limit_that_is_no_number_is_ignored") {
  startRouter();
  for (const char *value : {"", "many", "-1", "nan", "inf", "1e1000"}) {
    stateLimit(value);
    CHECK(sendFor(std::chrono::milliseconds(300), "/buy/a")[503] == 0);
  }
}

// Guards against requests to a target that has stated that it leaves.
TEST_CASE_METHOD(GatewayLimitsFixture,
                 "gateway_target_that_states_leaving_gets_nothing_more") {
  for (int i = 0; i < 3; ++i) {
    startRouter();
  }
  sendFor(std::chrono::milliseconds(300), "/buy/a");
  FirstTarget->setResponseFields("Server-Leaving: 1\r\n");
  Store->setMode(StoreMode::Silent);
  CHECK(sendFor(std::chrono::milliseconds(700), "/buy/a")[200] > 0);
  const std::size_t before = FirstTarget->receivedRequests().size();
  for (const char *path : {"/safe/a", "/buy/a"}) {
    std::map<unsigned, int> statuses =
        sendFor(std::chrono::milliseconds(700), path);
    CHECK(statuses[503] == 0);
    CHECK(statuses[200] > 20);
  }
  CHECK(FirstTarget->receivedRequests().size() == before);
}

// Guards against requests to a target within the pause that it asks for.
TEST_CASE_METHOD(GatewayLimitsFixture,
                 "gateway_target_that_asks_for_a_pause_gets_one") {
  startRouter();
  FirstTarget->setMode(TargetMode::Rejecting);
  FirstTarget->setResponseFields("Retry-After: 1.5\r\n");
  sendFor(std::chrono::milliseconds(300), "/safe/a");
  const std::size_t before = FirstTarget->receivedRequests().size();
  CHECK(before >= 1);
  CHECK(sendFor(std::chrono::milliseconds(900), "/safe/a")[503] == 0);
  CHECK(FirstTarget->receivedRequests().size() == before);
  // At the end of each pause one request comes.
  sendFor(std::chrono::milliseconds(3'500), "/safe/a");
  const std::size_t trials = FirstTarget->receivedRequests().size() - before;
  CHECK(trials >= 1);
  CHECK(trials <= 4);
  FirstTarget->setMode(TargetMode::Serving);
  FirstTarget->setResponseFields("");
  sendFor(std::chrono::milliseconds(2'500), "/safe/a");
  CHECK(FirstTarget->receivedRequests().size() > before + trials + 5);
}

TEST_CASE_METHOD(GatewayLimitsFixture,
                 "gateway_all_targets_pausing_rejects_for_least_pause") {
  startRouter();
  for (TargetStandin *it : {&*FirstTarget, &*SecondTarget}) {
    it->setMode(TargetMode::Rejecting);
    it->setResponseFields("Retry-After: 3\r\n");
  }
  sendFor(std::chrono::milliseconds(200), "/safe/a");
  const RawResponse response = sendRequest("/safe/a", "paused");
  CHECK(response.Status == 503);
  CHECK(std::stod(response.headerField("Retry-After")) > 2);
}

} // namespace nutmegsill::standin
