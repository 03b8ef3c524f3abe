#include "fleet_fixture.h"

#include "nutmegsill/routing/request_lifecycle.h"

namespace nutmegsill::routing {

class ServiceLoadFixture : protected FleetFixture {
protected:
  ServiceLoadFixture() {
    Config->Routes[1].LatencyObjective = milliseconds(150);
    Config->Routes[1].MaxAttempts = 2;
    View->Config = Config;
    for (const char *it : {"d-1", "d-2"}) {
      View->Targets.push_back(KnownTarget{target(it, "desk"), {}, false});
    }
    View->Routers.push_back(router("host-1"));
    TestedDispatcher.setView(View, at(0));
  }
  void state(const char *id, const StatedLoad &load, Time now) {
    LoadReport report;
    report.TargetStates = {{{TargetId{id}, 1}, load, Duration{0}}};
    TestedDispatcher.receiveReport(HostId{"host-2"}, report, now);
  }
  RequestLifecycle start(Time now, const char *team = "small") {
    Admission admission;
    admission.Route = &Config->Routes[1];
    admission.Pool = PoolId{"desk"};
    admission.Team = TeamId{team};
    admission.TimeLimit = milliseconds(800);
    return {admission, PromptDescription(), RequestIdentity(), now};
  }
  std::string targetOf(const DispatchDecision &decision) {
    const Assignment *it = std::get_if<Assignment>(&decision);
    return it == nullptr ? "" : it->Target.Text;
  }

  std::shared_ptr<ServiceConfig> Config = config();
  std::shared_ptr<FleetView> View = std::make_shared<FleetView>();
  Dispatcher TestedDispatcher{
      HostId{"host-1"}, {}, {0.2, std::chrono::seconds(10), 10}};
  const StatedLoad Idle{0, 0, 6, 1};
  const StatedLoad Full{6, 24, 6, 2.5};
};

// A target with waiting requests got as many as an idle one, as only requests
// of the routers counted.
TEST_CASE_METHOD(ServiceLoadFixture, "service_load_waiting_work_diverts") {
  state("d-1", {6, 10, 6, 1}, at(0));
  state("d-2", Idle, at(0));
  for (int i = 0; i < 5; ++i) {
    CHECK(targetOf(start(at(1)).chooseTarget(TestedDispatcher, at(1))) ==
          "d-2");
  }
}

// A pace that was stated a second ago says nothing of now.
TEST_CASE_METHOD(ServiceLoadFixture,
                 "service_load_old_statement_is_forgotten") {
  ServiceLoad load;
  const TargetProcess process{TargetId{"d-1"}, 1};
  load.hear(process, Idle, true, at(0));
  for (std::int64_t i = 1; i <= 20; ++i) {
    load.hear(process, Idle, true, at(i * 100));
  }
  load.hear(process, Full, true, at(2'010));
  const auto estimate = [&](std::int64_t ms) {
    return load.estimate(process, PoolId{"desk"}, 1, 2, 6, at(ms));
  };
  CHECK(estimate(2'010).Outstanding == Approx(30));
  CHECK(estimate(2'010).Pace == Approx(2.5));
  CHECK(estimate(4'010).Outstanding == Approx(3).margin(0.1));
  CHECK(estimate(4'010).Pace < 1.1);
  CHECK(load.takeOwnReport(at(2'020)).size() == 1);
  CHECK(load.takeOwnReport(at(2'030)).empty());
}

// Guards against requests that are late at every target, and against waiting
// without end.
TEST_CASE_METHOD(ServiceLoadFixture, "service_load_without_place_waits") {
  state("d-1", Full, at(0));
  state("d-2", Full, at(0));
  RequestLifecycle request = start(at(1));
  CHECK(targetOf(request.chooseTarget(TestedDispatcher, at(1))).empty());
  CHECK(request.beginWait(TestedDispatcher, at(1)) == milliseconds(75));
  // Another one does not pass it.
  state("d-2", Idle, at(10));
  RequestLifecycle later = start(at(10));
  CHECK(targetOf(later.chooseTarget(TestedDispatcher, at(10))).empty());
  CHECK(targetOf(request.chooseTarget(TestedDispatcher, at(10))) == "d-2");
  CHECK(targetOf(later.chooseTarget(TestedDispatcher, at(10))) == "d-2");
  state("d-1", Full, at(80));
  state("d-2", Full, at(80));
  RequestLifecycle rejected = start(at(5));
  CHECK(targetOf(rejected.chooseTarget(TestedDispatcher, at(80))).empty());
  CHECK(rejected.beginWait(TestedDispatcher, at(80)) == Duration{0});
  CHECK(rejected.localResponse().Status == 503);
  CHECK(rejected.localResponse().RetryAfter >= milliseconds(100));
}

// Guards against streams that are refused while new ones wait and begin.
TEST_CASE_METHOD(ServiceLoadFixture,
                 "stream_that_goes_on_is_not_refused_for_a_waiting_request") {
  state("d-1", Full, at(0));
  state("d-2", Full, at(0));
  RequestLifecycle waiting = start(at(1));
  REQUIRE(targetOf(waiting.chooseTarget(TestedDispatcher, at(1))).empty());
  REQUIRE(waiting.beginWait(TestedDispatcher, at(1)) > Duration{0});
  state("d-2", Idle, at(10));
  RequestLifecycle stream = start(at(10));
  stream.continueAt({PoolId{"desk"}, ""});
  CHECK(targetOf(stream.chooseTarget(TestedDispatcher, at(10))) == "d-2");
}

// A refused request went to the same full target again, and the target counted
// as failing.
TEST_CASE_METHOD(ServiceLoadFixture, "service_load_refusing_target_gets_none") {
  state("d-1", Idle, at(0));
  state("d-2", {6, 2, 6, 1}, at(0));
  RequestLifecycle request = start(at(1));
  DispatchDecision first = request.chooseTarget(TestedDispatcher, at(1));
  REQUIRE(targetOf(first) == "d-1");
  AttemptOutcome refused;
  refused.Result = ExchangeResult::Refused;
  refused.RequestSent = true;
  CHECK(request.finishAttempt(TestedDispatcher, std::get<Assignment>(first),
                              refused, at(3)));
  CHECK(targetOf(request.chooseTarget(TestedDispatcher, at(3))) == "d-2");
  CHECK(targetOf(start(at(4)).chooseTarget(TestedDispatcher, at(4))) == "d-2");
}

// Guards against engines that refuse and are chosen again at once, as only
// their failure rate keeps requests away.
TEST_CASE_METHOD(ServiceLoadFixture, "service_load_refusing_engine_fails") {
  Config->Pools[PoolId{"desk"}].Engine = EngineLimits{64, 200'000};
  int sent = 0;
  for (int i = 0; i < 8; ++i) {
    DispatchDecision decision =
        start(at(i)).chooseTarget(TestedDispatcher, at(i));
    Assignment assignment = std::get<Assignment>(decision);
    TestedDispatcher.recordLoad(assignment, Idle, at(i));
    const bool refuses = assignment.Target.Text == "d-1";
    sent += refuses ? 1 : 0;
    TestedDispatcher.recordResult(
        assignment,
        refuses ? ExchangeResult::Refused : ExchangeResult::Completed, at(i));
  }
  CHECK(sent <= 4);
}

TEST_CASE("place_queue_urgent_requests_go_first") {
  PlaceQueue queue;
  const PoolId pool{"desk"};
  const auto urgency = [](int kind, int due) {
    return PlaceUrgency{kind, Time(milliseconds(due))};
  };
  const auto enter = [&](const char *team, int kind, int due) {
    return queue.enter(pool, TeamId{team}, urgency(kind, due));
  };
  const auto repeatable = enter("a", 1, 10);
  const auto late = enter("a", 0, 30);
  const auto early = enter("a", 0, 20);
  CHECK(queue.first(pool) == early);
  CHECK(queue.isPreceded(pool, late, urgency(0, 30)));
  CHECK(queue.isPreceded(pool, std::nullopt, urgency(1, 0)));
  CHECK_FALSE(queue.isPreceded(pool, std::nullopt, urgency(0, 10)));
  queue.leave(pool, *early);
  CHECK(queue.first(pool) == late);
  // The team with the most requests gives up its least urgent one.
  for (int i = 0; queue.isWaiting(pool, *repeatable); ++i) {
    REQUIRE(i < 100);
    CHECK(enter("a", 0, 40 + i));
  }
  CHECK(enter("b", 1, 1'000));
  CHECK_FALSE(enter("a", 0, 1'000));
}

} // namespace nutmegsill::routing
