#include "gateway_fixture.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace nutmegsill::standin {

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_plain_request_response_is_unchanged") {
  startRouter();
  const RawResponse response = sendRequest("/keyed/a?x=1", "id-1");
  CHECK(response.Status == 200);
  CHECK(response.Complete);
  CHECK(response.Body == "answer to id-1");
  CHECK(response.headerField("Signature") == "s-id-1");
  std::vector<ReceivedRequest> seen = FirstTarget->receivedRequests();
  const std::vector<ReceivedRequest> others = SecondTarget->receivedRequests();
  seen.insert(seen.end(), others.begin(), others.end());
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].Team == "prints");
  CHECK(seen[0].Authorization.empty());
  CHECK(seen[0].Body == "a request");
  CHECK(seen[0].DeadlineMs > 2'000);
  CHECK(seen[0].DeadlineMs <= 3'000);
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_router_header_fields_from_caller_are_dropped") {
  startRouter();
  RawRequest forged;
  forged.Path = "/safe/a";
  forged.RequestId = "id-1";
  forged.ApiKey.clear();
  forged.ExtraHeaderFields = "Tenant: schools\r\nExpect-Instance: other\r\n"
                             "Connection: X-Hop\r\nX-Hop: 1\r\n";
  const RawResponse response = RawCaller(Routers[0].CallerAddress).send(forged);
  CHECK(response.Status == 200);
  CHECK(FirstTarget->receivedRequests().size() +
            SecondTarget->receivedRequests().size() ==
        1);
  for (const ReceivedRequest &it : FirstTarget->receivedRequests()) {
    CHECK(it.Team.empty());
  }
}

TEST_CASE_METHOD(GatewayFixture, "gateway_unknown_key_or_route_is_rejected") {
  startRouter();
  RawRequest wrong;
  wrong.Path = "/keyed/a";
  wrong.RequestId = "id-1";
  wrong.ApiKey = "key-nobody";
  CHECK(RawCaller(Routers[0].CallerAddress).send(wrong).Status == 401);
  CHECK(sendRequest("/nowhere/a", "id-2").Status == 404);
  CHECK(FirstTarget->receivedRequests().empty());
  CHECK(SecondTarget->receivedRequests().empty());
}

TEST_CASE_METHOD(GatewayFixture, "gateway_stream_all_events_arrive") {
  startRouter();
  const RawResponse response = sendRequest("/stream/whole/a", "id-1");
  CHECK(response.Status == 200);
  CHECK(response.Complete);
  CHECK(response.Body == TargetStandin::streamBody(1));
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_kept_alive_connection_serves_requests_in_order") {
  startRouter();
  RawCaller caller(Routers[0].CallerAddress);
  for (int i = 0; i < 20; ++i) {
    RawRequest next;
    next.Path = i % 2 == 0 ? "/safe/a" : "/stream/whole/a";
    next.RequestId = "id-" + std::to_string(i);
    const RawResponse response = caller.send(next);
    CHECK(response.Status == 200);
    CHECK(response.headerField("Request-Id") == next.RequestId);
    CHECK(response.Complete);
  }
}

TEST_CASE_METHOD(GatewayFixture, "gateway_smuggled_request_is_rejected") {
  startRouter();
  const RawResponse response =
      RawCaller(Routers[0].CallerAddress)
          .exchange("POST /safe/a HTTP/1.1\r\n"
                    "Host: models.example\r\n"
                    "Request-Id: id-1\r\n"
                    "Content-Length: 4\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\nGET /safe/b HTTP/1.1\r\n"
                    "Host: models.example\r\n"
                    "Request-Id: id-2\r\n\r\n");
  CHECK(response.Status == 400);
  CHECK(FirstTarget->receivedRequests().empty());
  CHECK(SecondTarget->receivedRequests().empty());
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_new_configuration_is_applied_within_two_seconds") {
  startRouter();
  CHECK(sendRequest("/keyed/a", "id-1").Status == 200);
  Store->put("op/config", configText(8, ""));
  CHECK(waitUntil([&] { return sendRequest("/keyed/a", "id-2").Status == 401; },
                  std::chrono::seconds(2)));
  Store->put("op/config", "{not a configuration");
  Store->put("op/config", configText(7));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(sendRequest("/keyed/a", "id-3").Status == 401);
}

// Guards against an empty list of teams that opens all routes.
TEST_CASE_METHOD(GatewayFixture,
                 "gateway_configuration_with_no_team_left_closes_routes") {
  startRouter();
  CHECK(sendRequest("/keyed/a", "id-1").Status == 200);
  std::string text = configText(8);
  const std::string field = "\"tenants\":";
  text.resize(text.find(field) + field.size());
  writeConfig(text + "[]}");
  CHECK(waitUntil([&] { return sendRequest("/keyed/a", "id-2").Status == 401; },
                  std::chrono::seconds(2)));
  CHECK(sendRequest("/safe/a", "id-3").Status == 200);
  // A list of another type is unreadable.
  text.replace(text.find("\"version\":8"), 11, "\"version\":9");
  writeConfig(text + "null}");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(sendRequest("/keyed/a", "id-4").Status == 401);
}

TEST_CASE_METHOD(GatewayFixture, "gateway_draining_target_gets_no_request") {
  startRouter();
  writeTargetEntry(*FirstTarget, "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  for (int i = 0; i < 10; ++i) {
    CHECK(sendRequest("/safe/a", "id-" + std::to_string(i)).Status == 200);
  }
  CHECK(FirstTarget->receivedRequests().empty());
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_evacuated_zone_gets_no_request_until_restored") {
  startRouter();
  Store->put("op/evacuate/zone-a", "{}");
  CHECK(
      waitUntil([&] { return sendRequest("/safe/a", "id-1").Status == 503; }));
  Store->erase("op/evacuate/zone-a");
  CHECK(
      waitUntil([&] { return sendRequest("/safe/a", "id-2").Status == 200; }));
}

TEST_CASE_METHOD(GatewayFixture, "gateway_directory_omits_dead_routers") {
  startRouter();
  startRouter();
  CHECK(waitUntil([&] { return resolveRouters(Routers[0]).size() == 2; }));
  CHECK(waitUntil([&] { return resolveRouters(Routers[1]).size() == 2; }));
  RouterProcesses[1].kill();
  CHECK(waitUntil(
      [&] {
        return resolveRouters(Routers[0]) ==
               std::vector<std::string>{Routers[0].CallerAddress};
      },
      std::chrono::seconds(6)));
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_stop_signal_finishes_streams_and_deregisters") {
  startRouter();
  FirstTarget->setEventPause(std::chrono::milliseconds(200));
  SecondTarget->setEventPause(std::chrono::milliseconds(200));
  RawResponse response;
  std::thread caller(
      [&] { response = sendRequest("/stream/whole/a", "id-1"); });
  CHECK(waitUntil([&] {
    return FirstTarget->receivedRequests().size() +
               SecondTarget->receivedRequests().size() ==
           1;
  }));
  RouterProcesses[0].signal(SIGTERM);
  CHECK(waitUntil([&] {
    return httpGet(Routers[0].ReadinessAddress, "/readyz").Status == 503;
  }));
  CHECK(waitUntil(
      [&] { return Store->keysWithPrefix("nutmegsill/routers/").empty(); },
      std::chrono::seconds(1)));
  caller.join();
  CHECK(response.Complete);
  CHECK(response.Body == TargetStandin::streamBody(1));
  const std::optional<int> code =
      RouterProcesses[0].wait(std::chrono::seconds(6));
  CHECK(code == 0);
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_metrics_include_latencies_and_state_ages") {
  const RouterAddresses &router = startRouter();
  CHECK(sendRequest("/safe/a", "id-1").Status == 200);
  CHECK(waitUntil([&] {
    const std::string text = httpGet(router.MetricsAddress, "/metrics").Body;
    return text.find("nutmegsill_request_seconds_count{kind=\"idempotent\"") !=
               std::string::npos &&
           text.find(
               "nutmegsill_belief_age_seconds{belief=\"configuration\"") !=
               std::string::npos;
  }));
}

// Guards against a stop signal that ends a starting process by the default
// action (soak seed 116, code 143).
TEST_CASE_METHOD(GatewayFixture, "gateway_stop_signal_while_starting_ends_it") {
  // Reading its settings from a pipe, the process waits for them.
  const std::string path = TempDir + "/starting.json";
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  Process starting(RouterProgram, {"--settings", path},
                   TempDir + "/starting.log");
  const int fd = ::open(path.c_str(), O_WRONLY);
  REQUIRE(fd >= 0);
  starting.signal(SIGTERM);
  CHECK(starting.wait(std::chrono::seconds(5)) == 0);
  ::close(fd);
}

// Guards against a reload signal that ends a starting process.
TEST_CASE_METHOD(GatewayFixture,
                 "gateway_reload_signal_while_starting_is_ignored") {
  const std::string path = TempDir + "/starting.json";
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  Process starting(RouterProgram, {"--settings", path},
                   TempDir + "/starting.log");
  const int fd = ::open(path.c_str(), O_WRONLY);
  REQUIRE(fd >= 0);
  starting.signal(SIGHUP);
  CHECK(!starting.wait(std::chrono::milliseconds(500)));
  starting.signal(SIGTERM);
  CHECK(starting.wait(std::chrono::seconds(5)) == 0);
  ::close(fd);
}

} // namespace nutmegsill::standin
