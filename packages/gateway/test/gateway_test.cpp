#include "gateway_fixture.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace nutmegsill::standin {

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_plain_request_response_is_unchanged") {
  startRouter();
  const RawAnswer answer = call("/keyed/a?x=1", "id-1");
  CHECK(answer.Status == 200);
  CHECK(answer.Whole);
  CHECK(answer.Body == "answer to id-1");
  CHECK(answer.field("Signature") == "s-id-1");
  std::vector<SeenRequest> seen = One->seen();
  const std::vector<SeenRequest> others = Two->seen();
  seen.insert(seen.end(), others.begin(), others.end());
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].Team == "prints");
  CHECK(seen[0].Key.empty());
  CHECK(seen[0].Body == "a request");
  CHECK(seen[0].DeadlineMs > 2'000);
  CHECK(seen[0].DeadlineMs <= 3'000);
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_router_header_fields_from_caller_are_dropped") {
  startRouter();
  RawCall forged;
  forged.Path = "/safe/a";
  forged.Id = "id-1";
  forged.Key.clear();
  forged.ExtraFields = "Tenant: schools\r\nExpect-Instance: other\r\n"
                       "Connection: X-Hop\r\nX-Hop: 1\r\n";
  const RawAnswer answer = RawCaller(Routers[0].Callers).call(forged);
  CHECK(answer.Status == 200);
  CHECK(One->seen().size() + Two->seen().size() == 1);
  for (const SeenRequest &it : One->seen()) {
    CHECK(it.Team.empty());
  }
}

TEST_CASE_METHOD(GatewayFixture, "gateway_unknown_key_or_route_is_rejected") {
  startRouter();
  RawCall wrong;
  wrong.Path = "/keyed/a";
  wrong.Id = "id-1";
  wrong.Key = "key-nobody";
  CHECK(RawCaller(Routers[0].Callers).call(wrong).Status == 401);
  CHECK(call("/nowhere/a", "id-2").Status == 404);
  CHECK(One->seen().empty());
  CHECK(Two->seen().empty());
}

TEST_CASE_METHOD(GatewayFixture, "gateway_stream_all_events_arrive") {
  startRouter();
  const RawAnswer answer = call("/stream/whole/a", "id-1");
  CHECK(answer.Status == 200);
  CHECK(answer.Whole);
  CHECK(answer.Body == WorkerStandin::eventText(1));
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_kept_alive_connection_serves_requests_in_order") {
  startRouter();
  RawCaller caller(Routers[0].Callers);
  for (int i = 0; i < 20; ++i) {
    RawCall next;
    next.Path = i % 2 == 0 ? "/safe/a" : "/stream/whole/a";
    next.Id = "id-" + std::to_string(i);
    const RawAnswer answer = caller.call(next);
    CHECK(answer.Status == 200);
    CHECK(answer.field("Request-Id") == next.Id);
    CHECK(answer.Whole);
  }
}

TEST_CASE_METHOD(GatewayFixture, "gateway_smuggled_request_is_rejected") {
  startRouter();
  const RawAnswer answer = RawCaller(Routers[0].Callers)
                               .exchange("POST /safe/a HTTP/1.1\r\n"
                                         "Host: models.example\r\n"
                                         "Request-Id: id-1\r\n"
                                         "Content-Length: 4\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "0\r\n\r\nGET /safe/b HTTP/1.1\r\n"
                                         "Host: models.example\r\n"
                                         "Request-Id: id-2\r\n\r\n");
  CHECK(answer.Status == 400);
  CHECK(One->seen().empty());
  CHECK(Two->seen().empty());
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_new_configuration_is_applied_within_two_seconds") {
  startRouter();
  CHECK(call("/keyed/a", "id-1").Status == 200);
  Store->put("op/config", configText(8, ""));
  CHECK(eventually([&] { return call("/keyed/a", "id-2").Status == 401; },
                   std::chrono::seconds(2)));
  Store->put("op/config", "{not a configuration");
  Store->put("op/config", configText(7));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(call("/keyed/a", "id-3").Status == 401);
}

TEST_CASE_METHOD(GatewayFixture, "gateway_draining_target_gets_no_request") {
  startRouter();
  putWorker(*One, "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  for (int i = 0; i < 10; ++i) {
    CHECK(call("/safe/a", "id-" + std::to_string(i)).Status == 200);
  }
  CHECK(One->seen().empty());
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_evacuated_zone_gets_no_request_until_restored") {
  startRouter();
  Store->put("op/evacuate/zone-a", "{}");
  CHECK(eventually([&] { return call("/safe/a", "id-1").Status == 503; }));
  Store->erase("op/evacuate/zone-a");
  CHECK(eventually([&] { return call("/safe/a", "id-2").Status == 200; }));
}

TEST_CASE_METHOD(GatewayFixture, "gateway_directory_omits_dead_routers") {
  startRouter();
  startRouter();
  CHECK(eventually([&] { return addresses(Routers[0]).size() == 2; }));
  CHECK(eventually([&] { return addresses(Routers[1]).size() == 2; }));
  Processes[1].kill();
  CHECK(eventually(
      [&] {
        return addresses(Routers[0]) ==
               std::vector<std::string>{Routers[0].Callers};
      },
      std::chrono::seconds(6)));
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_stop_signal_finishes_streams_and_deregisters") {
  startRouter();
  One->setEventPause(std::chrono::milliseconds(200));
  Two->setEventPause(std::chrono::milliseconds(200));
  RawAnswer answer;
  std::thread caller([&] { answer = call("/stream/whole/a", "id-1"); });
  CHECK(
      eventually([&] { return One->seen().size() + Two->seen().size() == 1; }));
  Processes[0].signal(SIGTERM);
  CHECK(eventually(
      [&] { return get(Routers[0].Readiness, "/readyz").Status == 503; }));
  CHECK(eventually(
      [&] { return Store->keysUnder("nutmegsill/routers/").empty(); },
      std::chrono::seconds(1)));
  caller.join();
  CHECK(answer.Whole);
  CHECK(answer.Body == WorkerStandin::eventText(1));
  const std::optional<int> code = Processes[0].wait(std::chrono::seconds(6));
  CHECK(code == 0);
}

TEST_CASE_METHOD(GatewayFixture,
                 "gateway_metrics_include_latencies_and_state_ages") {
  const RouterPorts &router = startRouter();
  CHECK(call("/safe/a", "id-1").Status == 200);
  CHECK(eventually([&] {
    const std::string text = get(router.Metrics, "/metrics").Body;
    return text.find("nutmegsill_request_seconds_count{kind=\"idempotent\"") !=
               std::string::npos &&
           text.find(
               "nutmegsill_belief_age_seconds{belief=\"configuration\"") !=
               std::string::npos;
  }));
}

} // namespace nutmegsill::standin
