#include "nutmegsill/routing/request_lifecycle.h"

#include "fleet_fixture.h"

namespace nutmegsill::routing {

class RequestLifecycleFixture : protected FleetFixture {
protected:
  RequestLifecycleFixture() {
    Config->Routes[1].MaxAttempts = 1;
    Config->Routes[1].Semantics = ExecutionSemantics::AtMostOnce;
    setStartTime(1);
  }
  void setStartTime(std::int64_t startedAtMs) {
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    view->Config = Config;
    for (const char *it : {"d-1", "d-2", "d-3"}) {
      TargetEntry entry = target(it, "desk");
      entry.StartedAtMs = startedAtMs;
      view->Targets.push_back(KnownTarget{entry, {}, false});
    }
    view->Routers.push_back(router("host-1"));
    TestedDispatcher.setView(view, at(0));
  }
  RequestLifecycle start() {
    Admission admission;
    admission.Config = Config;
    admission.Route = &Config->Routes[1];
    admission.Pool = PoolId{"desk"};
    admission.TimeLimit = milliseconds(1'500);
    return {admission, PromptDescription(), RequestIdentity(), at(0)};
  }
  /// Sends an attempt whose target states `result`; returns whether another may
  /// follow.
  bool attempt(RequestLifecycle &lifecycle, ExchangeResult result) {
    DispatchDecision decision = lifecycle.chooseTarget(TestedDispatcher, at(1));
    Assignment *assignment = std::get_if<Assignment>(&decision);
    REQUIRE(assignment != nullptr);
    AttemptOutcome outcome;
    outcome.Result = result;
    outcome.RequestSent = true;
    return lifecycle.finishAttempt(TestedDispatcher, *assignment, outcome,
                                   at(2));
  }

  std::shared_ptr<ServiceConfig> Config = config();
  Dispatcher TestedDispatcher{
      HostId{"host-1"}, {}, {0.2, std::chrono::seconds(10), 10}};
};

TEST_CASE_METHOD(RequestLifecycleFixture,
                 "request_lifecycle_misdirected_request_goes_to_other_target") {
  RequestLifecycle lifecycle = start();
  CHECK(attempt(lifecycle, ExchangeResult::Misdirected));
  CHECK_FALSE(attempt(lifecycle, ExchangeResult::Refused));
  CHECK(lifecycle.localResponse().Status == 503);
}

TEST_CASE_METHOD(
    RequestLifecycleFixture,
    "request_lifecycle_misdirected_then_lost_request_may_have_run") {
  RequestLifecycle lifecycle = start();
  CHECK(attempt(lifecycle, ExchangeResult::Misdirected));
  CHECK_FALSE(attempt(lifecycle, ExchangeResult::Broken));
  CHECK(lifecycle.localResponse().Status == 502);
}

TEST_CASE_METHOD(RequestLifecycleFixture,
                 "request_lifecycle_misdirected_request_is_not_sent_forever") {
  RequestLifecycle lifecycle = start();
  for (int i = 0; i < 3; ++i) {
    CHECK(attempt(lifecycle, ExchangeResult::Misdirected));
  }
  // No target is left.
  CHECK(std::holds_alternative<Rejection>(
      lifecycle.chooseTarget(TestedDispatcher, at(3))));
}

TEST_CASE_METHOD(RequestLifecycleFixture,
                 "request_lifecycle_result_of_ended_process_is_not_counted") {
  RequestLifecycle lifecycle = start();
  DispatchDecision decision = lifecycle.chooseTarget(TestedDispatcher, at(1));
  Assignment old = std::get<Assignment>(decision);
  setStartTime(2);
  DispatchRequest request = lifecycle.dispatchRequest();
  std::vector<Assignment> open;
  for (int i = 0; i < 3; ++i) {
    DispatchDecision next = TestedDispatcher.chooseTarget(request, at(2));
    open.push_back(std::get<Assignment>(next));
  }
  TestedDispatcher.recordResult(old, ExchangeResult::Broken, at(3));
  std::uint32_t running = 0;
  for (const TargetLoad &it :
       TestedDispatcher.collectReports(at(4)).OwnReport.Targets) {
    running += it.RunningRequests;
  }
  CHECK(running == 3);
}

TEST_CASE_METHOD(RequestLifecycleFixture,
                 "dispatcher_retry_over_budget_leaves_no_trace") {
  DispatchRequest request = start().dispatchRequest();
  request.IsRetry = true;
  request.RemainingTime = milliseconds(1'000);
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    const DispatchDecision decision =
        TestedDispatcher.chooseTarget(request, at(1));
    sent += std::holds_alternative<Assignment>(decision) ? 1 : 0;
  }
  CHECK(sent == 8);
  std::uint32_t running = 0;
  for (const TargetLoad &it :
       TestedDispatcher.collectReports(at(2)).OwnReport.Targets) {
    running += it.RunningRequests;
  }
  CHECK(running == 8);
}

class ReservedTargetFixture : protected RequestLifecycleFixture {
protected:
  ReservedTargetFixture() {
    Config->Routes[1].MaxAttempts = 2;
    Config->Routes[1].Semantics = ExecutionSemantics::Idempotent;
  }
  std::uint32_t runningRequests() {
    std::uint32_t out = 0;
    for (const TargetLoad &it :
         TestedDispatcher.collectReports(at(4)).OwnReport.Targets) {
      out += it.RunningRequests;
    }
    return out;
  }
};

// Guards against second attempts at cold targets, at the target of the first,
// or beyond `attempts` and the retry budget.
TEST_CASE_METHOD(ReservedTargetFixture,
                 "request_lifecycle_hedge_goes_to_another_warm_target") {
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  view->Config = Config;
  view->Targets.push_back(KnownTarget{target("d-1", "desk"), {}, false});
  view->Targets.push_back(KnownTarget{target("d-2", "desk"), at(9'000), false});
  view->Targets.push_back(KnownTarget{target("d-3", "desk"), {}, true});
  view->Routers.push_back(router("host-1"));
  TestedDispatcher.setView(view, at(0));
  RequestLifecycle lifecycle = start();
  DispatchDecision first = lifecycle.chooseTarget(TestedDispatcher, at(1));
  Assignment present = std::get<Assignment>(first);
  present.Target = TargetId{"d-1"};
  CHECK_FALSE(lifecycle.chooseHedge(TestedDispatcher, present, at(2)));
  setStartTime(1);
  const std::optional<Assignment> hedge =
      lifecycle.chooseHedge(TestedDispatcher, present, at(3));
  REQUIRE(hedge);
  CHECK(hedge->Target != present.Target);
  for (int i = 0; i < 7; ++i) {
    CHECK(lifecycle.chooseHedge(TestedDispatcher, present, at(4)));
  }
  CHECK_FALSE(lifecycle.chooseHedge(TestedDispatcher, present, at(4)));
  Config->Routes[1].MaxAttempts = 1;
  CHECK_FALSE(lifecycle.chooseHedge(TestedDispatcher, present, at(20'000)));
}

TEST_CASE_METHOD(ReservedTargetFixture,
                 "request_lifecycle_reserved_target_is_the_next") {
  RequestLifecycle lifecycle = start();
  DispatchDecision first = lifecycle.chooseTarget(TestedDispatcher, at(1));
  Assignment present = std::get<Assignment>(first);
  CHECK(lifecycle.reserveTarget(TestedDispatcher, present, at(2)));
  CHECK(runningRequests() == 2);
  AttemptOutcome outcome;
  outcome.Result = ExchangeResult::TimedOut;
  outcome.RequestSent = true;
  CHECK(lifecycle.finishAttempt(TestedDispatcher, present, outcome, at(3)));
  DispatchDecision second = lifecycle.chooseTarget(TestedDispatcher, at(3));
  CHECK(std::get<Assignment>(second).Target != present.Target);
  CHECK(runningRequests() == 1);
}

TEST_CASE_METHOD(ReservedTargetFixture,
                 "request_lifecycle_released_target_carries_no_load") {
  RequestLifecycle lifecycle = start();
  DispatchDecision first = lifecycle.chooseTarget(TestedDispatcher, at(1));
  Assignment present = std::get<Assignment>(first);
  CHECK(lifecycle.reserveTarget(TestedDispatcher, present, at(2)));
  lifecycle.releaseReserved(TestedDispatcher, at(3));
  lifecycle.releaseReserved(TestedDispatcher, at(3));
  CHECK(runningRequests() == 1);
}

TEST_CASE_METHOD(ReservedTargetFixture,
                 "request_lifecycle_without_other_target_reserves_none") {
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  view->Config = Config;
  view->Targets.push_back(KnownTarget{target("d-1", "desk"), {}, false});
  view->Routers.push_back(router("host-1"));
  TestedDispatcher.setView(view, at(0));
  RequestLifecycle lifecycle = start();
  DispatchDecision first = lifecycle.chooseTarget(TestedDispatcher, at(1));
  CHECK_FALSE(lifecycle.reserveTarget(TestedDispatcher,
                                      std::get<Assignment>(first), at(2)));
  CHECK(runningRequests() == 1);
}

} // namespace nutmegsill::routing
