#include "gateway_fixture.h"

#include <csignal>
#include <thread>

namespace nutmegsill::standin {

class GatewayStopFixture : protected GatewayFixture {
protected:
  using Clock = std::chrono::steady_clock;

  ~GatewayStopFixture() {
    if (Caller.joinable()) {
      Caller.join();
    }
  }
  void setTargetModes(TargetMode mode) {
    FirstTarget->setMode(mode);
    SecondTarget->setMode(mode);
  }
  std::vector<ReceivedRequest> receivedRequests() const {
    std::vector<ReceivedRequest> out = FirstTarget->receivedRequests();
    const std::vector<ReceivedRequest> others =
        SecondTarget->receivedRequests();
    out.insert(out.end(), others.begin(), others.end());
    return out;
  }
  /// Sends a request on a thread of its own and waits until a target has it.
  void sendInBackground(const std::string &path) {
    const std::size_t before = receivedRequests().size();
    Caller = std::thread([this, path] {
      Response = sendRequest(path, "background");
      AnsweredAt = Clock::now();
    });
    REQUIRE(waitUntil([&] { return receivedRequests().size() > before; }));
  }
  void signalStop() {
    SignalledAt = Clock::now();
    RouterProcesses[0].signal(SIGTERM);
  }
  /// Sleeps until a time after the signal.
  void sleepUntilAfterSignal(int ms) const {
    std::this_thread::sleep_until(SignalledAt + std::chrono::milliseconds(ms));
  }
  /// Exit code, or nothing if the process outlives its grace period.
  std::optional<int> exitCodeWithinGrace() {
    const auto left =
        SignalledAt + std::chrono::seconds(StopGraceS) - Clock::now();
    return RouterProcesses[0].wait(
        std::chrono::duration_cast<std::chrono::milliseconds>(left));
  }

  std::thread Caller;
  RawResponse Response;
  Clock::time_point AnsweredAt;
  Clock::time_point SignalledAt;
};

// Guards against a wait for requests in flight of a negative length.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_stop_with_short_grace_ends_in_it") {
  StopGraceS = 2;
  startRouter();
  signalStop();
  CHECK(exitCodeWithinGrace() == 0);
}

// Guards against a wait for the metrics server after everything has ended.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_stop_without_requests_ends_at_end_of_admission") {
  StopGraceS = 2;
  for (int i = 0; i < 4; ++i) {
    startRouter();
    std::this_thread::sleep_for(std::chrono::milliseconds(450));
  }
  signalStop();
  for (std::size_t i = 1; i < RouterProcesses.size(); ++i) {
    RouterProcesses[i].signal(SIGTERM);
  }
  sleepUntilAfterSignal(1'500);
  for (Process &it : RouterProcesses) {
    CHECK(it.wait(std::chrono::milliseconds(0)) == 0);
  }
}

// Guards against requests that are closed without a response.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_request_at_end_of_grace_is_answered") {
  StopGraceS = 4;
  startRouter();
  setTargetModes(TargetMode::Hanging);
  signalStop();
  sleepUntilAfterSignal(1'200);
  sendInBackground("/buy/a");
  CHECK(exitCodeWithinGrace() == 0);
  Caller.join();
  CHECK(Response.Complete);
  CHECK(Response.Status == 504);
  CHECK(Response.headerField("Connection") == "close");
}

TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_deadline_of_request_is_within_grace") {
  StopGraceS = 4;
  startRouter();
  signalStop();
  sleepUntilAfterSignal(1'200);
  CHECK(sendRequest("/buy/a", "id-1").Status == 200);
  REQUIRE(receivedRequests().size() == 1);
  CHECK(receivedRequests()[0].DeadlineMs <= 4'000 - 1'200);
}

// Guards against requests that are taken although the grace is too short.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_request_that_outlasts_grace_is_rejected_at_once") {
  StopGraceS = 4;
  startRouter();
  FirstTarget->setEventPause(std::chrono::milliseconds(330));
  SecondTarget->setEventPause(std::chrono::milliseconds(330));
  REQUIRE(sendRequest("/stream/whole/a", "id-1").Complete);
  signalStop();
  sleepUntilAfterSignal(1'200);
  CHECK(sendRequest("/stream/whole/a", "id-2").Status == 503);
  CHECK(sendRequest("/safe/a", "id-3").Status == 200);
  CHECK(receivedRequests().size() == 2);
}

TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_stream_at_end_of_grace_ends_incomplete") {
  StopGraceS = 4;
  startRouter();
  FirstTarget->setEventPause(std::chrono::milliseconds(800));
  SecondTarget->setEventPause(std::chrono::milliseconds(800));
  signalStop();
  sleepUntilAfterSignal(1'200);
  sendInBackground("/stream/whole/a");
  CHECK(exitCodeWithinGrace() == 0);
  Caller.join();
  CHECK(Response.Status == 200);
  CHECK(!Response.Complete);
}

// Guards against an exit while requests are being read.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_request_read_after_end_of_admission_is_rejected") {
  startRouter();
  RawCaller caller(Routers[0].CallerAddress);
  caller.write("POST /buy/a HTTP/1.1\r\nHost: models.example\r\n"
               "Request-Id: slow\r\nContent-Length: 8\r\n\r\nhalf");
  signalStop();
  sleepUntilAfterSignal(3'200);
  const RawResponse response = caller.exchange("rest");
  CHECK(response.Complete);
  CHECK(response.Status == 503);
  CHECK(response.headerField("Connection") == "close");
  CHECK(receivedRequests().empty());
  CHECK(exitCodeWithinGrace() == 0);
}

// Guards against callers that send requests which the exit then cuts.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_after_end_of_admission_takes_no_requests") {
  startRouter();
  RawCaller idle(Routers[0].CallerAddress);
  RawRequest request;
  request.Path = "/safe/a";
  request.RequestId = "first";
  REQUIRE(idle.send(request).Status == 200);
  FirstTarget->setEventPause(std::chrono::milliseconds(400));
  SecondTarget->setEventPause(std::chrono::milliseconds(400));
  signalStop();
  sleepUntilAfterSignal(1'800);
  sendInBackground("/stream/whole/a");
  sleepUntilAfterSignal(3'300);
  CHECK(idle.isClosedWithin(std::chrono::milliseconds(0)));
  CHECK(!RawCaller(Routers[0].CallerAddress).isConnected());
  CHECK(exitCodeWithinGrace() == 0);
}

// Guards against a write in progress that lists a router that has stopped.
TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_stop_while_registering_leaves_no_entry") {
  Store->delayNextWrites(100);
  startRouter();
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  signalStop();
  sleepUntilAfterSignal(1'500);
  bool listed = false;
  waitUntil(
      [&] {
        listed =
            listed || !Store->keysWithPrefix("nutmegsill/routers/").empty();
        return listed;
      },
      std::chrono::seconds(4));
  CHECK(!listed);
}

TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_stop_while_store_is_away_ends_in_grace") {
  StopGraceS = 4;
  startRouter();
  sendRequest("/safe/a", "id-1");
  Store->setMode(StoreMode::Silent);
  signalStop();
  RouterProcesses[0].signal(SIGHUP);
  sleepUntilAfterSignal(1'000);
  // A second signal changes nothing.
  RouterProcesses[0].signal(SIGINT);
  CHECK(sendRequest("/safe/a", "id-2").Status == 200);
  CHECK(exitCodeWithinGrace() == 0);
}

TEST_CASE_METHOD(GatewayStopFixture,
                 "gateway_stop_before_first_view_ends_in_grace") {
  StopGraceS = 2;
  Store->setMode(StoreMode::Silent);
  CHECK(!addRouter());
  signalStop();
  CHECK(sendRequest("/safe/a", "id-1").Status == 503);
  CHECK(exitCodeWithinGrace() == 0);
}

} // namespace nutmegsill::standin
