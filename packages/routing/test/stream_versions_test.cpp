#include "nutmegsill/routing/request_lifecycle.h"

#include "fleet_fixture.h"

namespace nutmegsill::routing {

/// Three targets in each pool; the first two run "v1", the third "v2".
class StreamVersionsFixture : protected FleetFixture {
protected:
  StreamVersionsFixture() {
    for (RouteRule &it : Config->Routes) {
      it.Semantics = ExecutionSemantics::Stream;
      it.Resumable = true;
      it.MaxAttempts = 4;
    }
    setView({"v1", "v1", "v2"});
  }

  void setView(const std::vector<std::string> &versions) {
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    view->Config = Config;
    view->Rollouts = Orders;
    for (const char *pool : {"engines", "desk"}) {
      for (std::size_t i = 0; i < versions.size(); ++i) {
        TargetEntry entry =
            target(pool + std::string("-") + std::to_string(i), pool);
        entry.Version = versions[i];
        view->Targets.push_back(KnownTarget{entry, {}, false});
      }
    }
    view->Routers.push_back(router("host-1"));
    TestedDispatcher.setView(view, at(0));
  }
  RequestLifecycle start(const char *pool = "desk") {
    Admission admission;
    admission.Config = Config;
    admission.Route = &Config->Routes[std::string(pool) == "desk" ? 1 : 0];
    admission.Pool = PoolId{pool};
    admission.TimeLimit = milliseconds(6'000);
    PromptDescription prompt;
    prompt.InputTokens = 100;
    return {admission, prompt, RequestIdentity(), at(0)};
  }
  Assignment choose(RequestLifecycle &lifecycle, Time now) {
    const DispatchDecision decision =
        lifecycle.chooseTarget(TestedDispatcher, now);
    const Assignment *out = std::get_if<Assignment>(&decision);
    REQUIRE(out != nullptr);
    return *out;
  }
  /// Ends an attempt; returns whether another may follow.
  bool end(RequestLifecycle &lifecycle, Assignment &assignment,
           bool responseStarted, Time now) {
    AttemptOutcome outcome;
    outcome.Result = ExchangeResult::Broken;
    outcome.RequestSent = true;
    outcome.ResponseStarted = responseStarted;
    outcome.MayResume = responseStarted;
    return lifecycle.finishAttempt(TestedDispatcher, assignment, outcome, now);
  }

  static DispatchPolicy policy() {
    DispatchPolicy out;
    out.Rollout = RolloutPolicy();
    return out;
  }

  std::shared_ptr<ServiceConfig> Config = config();
  std::map<PoolId, RolloutItems> Orders;
  Dispatcher TestedDispatcher{
      HostId{"host-1"}, policy(), {0.2, std::chrono::seconds(10), 100}};
};

TEST_CASE_METHOD(StreamVersionsFixture,
                 "dispatcher_request_of_version_goes_to_its_targets_only") {
  const char *pool = GENERATE("engines", "desk");
  for (const std::string version : {"v1", "v2"}) {
    for (int i = 0; i < 12; ++i) {
      RequestLifecycle lifecycle = start(pool);
      lifecycle.continueAt({PoolId{pool}, version});
      CHECK(choose(lifecycle, at(1)).Version == version);
    }
  }
}

TEST_CASE_METHOD(StreamVersionsFixture,
                 "dispatcher_request_without_target_of_version_is_rejected") {
  const char *pool = GENERATE("engines", "desk");
  RequestLifecycle lifecycle = start(pool);
  lifecycle.continueAt({PoolId{pool}, "v0"});
  const DispatchDecision decision =
      lifecycle.chooseTarget(TestedDispatcher, at(1));
  CHECK(std::get<Rejection>(decision).Reason ==
        RejectionReason::NoTargetOfVersion);
  CHECK(lifecycle.beginWait(TestedDispatcher, at(1)) == Duration{0});
  CHECK(lifecycle.localResponse().Status == 503);
  CHECK(lifecycle.localResponse().RetryAfter <= milliseconds(500));
}

// Guards against streams that the draw of a roll-out refuses.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "rollout_stream_goes_on_at_its_version_unless_reverted") {
  const RolloutState state = GENERATE(
      RolloutState::Running, RolloutState::Complete, RolloutState::Reverted);
  Orders[PoolId{"desk"}] = {RolloutOrder{"v2", std::chrono::seconds(20)},
                            RolloutStatus{state, "v2"}};
  setView({"v1", "v1", "v2"});
  for (const std::string version : {"v1", "v2"}) {
    CAPTURE(rolloutStateName(state), version);
    RequestLifecycle lifecycle = start();
    lifecycle.continueAt({PoolId{"desk"}, version});
    const DispatchDecision decision =
        lifecycle.chooseTarget(TestedDispatcher, at(1));
    const Assignment *it = std::get_if<Assignment>(&decision);
    CHECK((it != nullptr) ==
          (version == "v1" || state != RolloutState::Reverted));
    CHECK((it == nullptr || (it->Version == version && !it->Rollout)));
  }
}

TEST_CASE_METHOD(StreamVersionsFixture,
                 "request_lifecycle_stream_goes_on_at_version_of_first_event") {
  for (int i = 0; i < 12; ++i) {
    RequestLifecycle lifecycle = start();
    Assignment first = choose(lifecycle, at(1));
    lifecycle.recordProgress(TestedDispatcher, first, at(2));
    REQUIRE(end(lifecycle, first, true, at(3)));
    const DispatchDecision next =
        lifecycle.chooseTarget(TestedDispatcher, at(4));
    const Assignment *second = std::get_if<Assignment>(&next);
    CHECK((second != nullptr) == (first.Version == "v1"));
    CHECK((second == nullptr || second->Version == "v1"));
  }
}

TEST_CASE_METHOD(StreamVersionsFixture,
                 "request_lifecycle_reserved_target_of_other_version_is_left") {
  bool reservedOther = false;
  for (int i = 0; i < 12; ++i) {
    RequestLifecycle lifecycle = start();
    Assignment first = choose(lifecycle, at(1));
    REQUIRE(lifecycle.reserveTarget(TestedDispatcher, first, at(2)));
    lifecycle.recordProgress(TestedDispatcher, first, at(3));
    REQUIRE(end(lifecycle, first, true, at(4)));
    const DispatchDecision next =
        lifecycle.chooseTarget(TestedDispatcher, at(5));
    const Assignment *second = std::get_if<Assignment>(&next);
    CHECK((second == nullptr || second->Version == first.Version));
    reservedOther = reservedOther || second == nullptr;
  }
  CHECK(reservedOther);
}

// Guards against a version that is compared as of the reservation.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "request_lifecycle_reserved_target_that_is_replaced_is_left") {
  setView({"v1", "v1"});
  RequestLifecycle lifecycle = start();
  Assignment first = choose(lifecycle, at(1));
  REQUIRE(lifecycle.reserveTarget(TestedDispatcher, first, at(2)));
  lifecycle.recordProgress(TestedDispatcher, first, at(3));
  const bool isFirst = first.Target == TargetId{"desk-0"};
  setView({isFirst ? "v1" : "v2", isFirst ? "v2" : "v1"});
  REQUIRE(end(lifecycle, first, true, at(4)));
  const DispatchDecision next = lifecycle.chooseTarget(TestedDispatcher, at(5));
  const Assignment *second = std::get_if<Assignment>(&next);
  CHECK((second == nullptr || second->Target == first.Target));
}

// Guards against a stream whose sender may have been either of two versions.
TEST_CASE_METHOD(StreamVersionsFixture,
                 "request_lifecycle_stream_of_replaced_target_is_not_resumed") {
  const bool replacedBefore = GENERATE(true, false);
  setView({"v1", "v1"});
  RequestLifecycle lifecycle = start();
  const StreamKey key{7};
  lifecycle.keepOrigin(key, std::nullopt);
  Assignment first = choose(lifecycle, at(1));
  const std::size_t index = first.Target == TargetId{"desk-0"} ? 0 : 1;
  const std::vector<std::string> replaced =
      index == 0 ? std::vector<std::string>{"v2", "v1"}
                 : std::vector<std::string>{"v1", "v2"};
  if (replacedBefore) {
    setView(replaced);
  }
  lifecycle.recordProgress(TestedDispatcher, first, at(2));
  if (!replacedBefore) {
    setView(replaced);
  }
  CHECK_FALSE(end(lifecycle, first, true, at(3)));
  CHECK(std::holds_alternative<UnknownOrigin>(
      TestedDispatcher.streamOrigins().find(key, Config->Routes[1],
                                            PoolId{"desk"}, at(4))));
}

} // namespace nutmegsill::routing
