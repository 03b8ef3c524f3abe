#include "nutmegsill/routing/request_lifecycle.h"

#include "fleet_fixture.h"

namespace nutmegsill::routing {

/// Requests for an engine whose streams may be resumed.
class PromptLifecycleFixture : protected FleetFixture {
protected:
  static constexpr std::uint64_t Root = 1;
  static constexpr std::uint64_t Deadly = 7;

  PromptLifecycleFixture() {
    Config->Routes[0].Resumable = true;
    Config->Routes[0].MaxAttempts = 3;
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    view->Config = Config;
    for (int i = 0; i < 8; ++i) {
      view->Targets.push_back(
          KnownTarget{target("e-" + std::to_string(i), "engines"), {}, false});
    }
    view->Routers.push_back(router("host-1"));
    TestedDispatcher.setView(view, at(0));
  }

  RequestLifecycle start(const std::vector<std::uint64_t> &shared, Time now) {
    Admission admission;
    admission.Config = Config;
    admission.Route = &Config->Routes[0];
    admission.Pool = PoolId{"engines"};
    admission.Team = TeamId{"small"};
    admission.TimeLimit = milliseconds(6'000);
    PromptDescription prompt;
    for (const std::uint64_t it : shared) {
      prompt.Parts.push_back({it, 100});
    }
    prompt.Parts.push_back({++LastOwn, 100});
    prompt.InputTokens = 100 * static_cast<std::uint32_t>(prompt.Parts.size());
    return {admission, std::move(prompt), RequestIdentity(LastOwn), now};
  }
  /// Plays one attempt that ends 100 ms later; returns whether another may
  /// follow.
  bool attempt(RequestLifecycle &lifecycle, ExchangeResult result, Time now) {
    DispatchDecision decision = lifecycle.chooseTarget(TestedDispatcher, now);
    Assignment *assignment = std::get_if<Assignment>(&decision);
    REQUIRE(assignment != nullptr);
    AttemptOutcome outcome;
    outcome.Result = result;
    outcome.RequestSent = true;
    return lifecycle.finishAttempt(TestedDispatcher, *assignment, outcome,
                                   now + milliseconds(100));
  }

  std::shared_ptr<ServiceConfig> Config = config();
  Dispatcher TestedDispatcher{
      HostId{"host-1"}, {}, {0.2, std::chrono::seconds(10), 10}};
  std::uint64_t LastOwn = 1'000'000;
};

TEST_CASE_METHOD(PromptLifecycleFixture,
                 "request_lifecycle_prompt_crashes_at_most_two_engines") {
  RequestLifecycle lifecycle = start({Root, Deadly}, at(0));
  CHECK(attempt(lifecycle, ExchangeResult::TargetEnded, at(0)));
  CHECK_FALSE(attempt(lifecycle, ExchangeResult::TargetEnded, at(200)));
  CHECK(lifecycle.localResponse().Status == 502);
}

// Guards against a deadly prompt that is repeated as its target's end is not
// seen.
TEST_CASE_METHOD(PromptLifecycleFixture,
                 "request_lifecycle_suspected_prompt_is_not_repeated") {
  for (int i = 0; i < 2; ++i) {
    const Time now = at(i * 1'000L);
    RequestLifecycle lifecycle = start({Root, Deadly}, now);
    attempt(lifecycle, ExchangeResult::TargetEnded, now);
  }
  for (const ExchangeResult it :
       {ExchangeResult::Broken, ExchangeResult::TimedOut}) {
    RequestLifecycle lifecycle = start({Root, Deadly}, at(2'500));
    CHECK_FALSE(attempt(lifecycle, it, at(2'500)));
    RequestLifecycle sound = start({33}, at(2'500));
    CHECK(attempt(sound, it, at(2'500)));
  }
}

TEST_CASE_METHOD(PromptLifecycleFixture,
                 "request_lifecycle_quarantined_prompt_is_rejected_unsent") {
  for (int i = 0; i < 3; ++i) {
    const Time now = at(i * 1'000L);
    RequestLifecycle lifecycle = start({Root, Deadly}, now);
    attempt(lifecycle, ExchangeResult::TargetEnded, now);
  }
  TestedDispatcher.collectReports(at(4'000));
  RequestLifecycle late = start({Root, Deadly}, at(4'000));
  CHECK(std::holds_alternative<Rejection>(
      late.chooseTarget(TestedDispatcher, at(4'000))));
  CHECK(late.localResponse().Status == 422);
  CHECK_FALSE(late.localResponse().RetryAfter);
  RequestLifecycle sound = start({Root, 33}, at(4'000));
  CHECK(std::holds_alternative<Assignment>(
      sound.chooseTarget(TestedDispatcher, at(4'000))));
}

TEST_CASE_METHOD(PromptLifecycleFixture,
                 "request_lifecycle_team_over_share_is_told_so") {
  // The team's own requests fill the engines.
  std::optional<LocalResponse> rejected;
  for (int i = 0; i < 2'000 && !rejected; ++i) {
    RequestLifecycle lifecycle = start({Root}, at(i));
    TestedDispatcher.recordRequest(lifecycle.dispatchRequest(), at(i));
    const DispatchDecision decision =
        lifecycle.chooseTarget(TestedDispatcher, at(i));
    if (std::holds_alternative<Rejection>(decision)) {
      rejected = lifecycle.localResponse();
    }
  }
  REQUIRE(rejected);
  CHECK(rejected->Reason.rfind("team_over_share", 0) == 0);
  CHECK(rejected->Status == 429);
  CHECK(rejected->RetryAfter);
}

TEST_CASE_METHOD(PromptLifecycleFixture,
                 "request_lifecycle_crash_after_lasting_response_is_no_loss") {
  for (int i = 0; i < 4; ++i) {
    const Time now = at(i * 1'000L);
    RequestLifecycle lifecycle = start({Root, 33}, now);
    DispatchDecision decision = lifecycle.chooseTarget(TestedDispatcher, now);
    Assignment &assignment = std::get<Assignment>(decision);
    lifecycle.recordProgress(TestedDispatcher, assignment,
                             now + milliseconds(100));
    lifecycle.recordProgress(TestedDispatcher, assignment,
                             now + milliseconds(400));
    AttemptOutcome outcome;
    outcome.Result = ExchangeResult::TargetEnded;
    outcome.RequestSent = true;
    outcome.ResponseStarted = true;
    lifecycle.finishAttempt(TestedDispatcher, assignment, outcome,
                            now + milliseconds(500));
  }
  CHECK(TestedDispatcher.collectReports(at(6'000))
            .OwnReport.Quarantine.isEmpty());
}

TEST_CASE_METHOD(PromptLifecycleFixture,
                 "dispatcher_part_that_a_peer_quarantined_is_rejected") {
  LoadReport report;
  report.Quarantine.Quarantined = {{{CrashCause::Kind::PromptPart, Deadly},
                                    milliseconds(10),
                                    0,
                                    milliseconds(10)}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  RequestLifecycle lifecycle = start({Root, Deadly}, at(1));
  CHECK(std::holds_alternative<Rejection>(
      lifecycle.chooseTarget(TestedDispatcher, at(1))));
  // It is in this router's reports too, for routers that start later.
  CHECK(TestedDispatcher.collectReports(at(2))
            .OwnReport.Quarantine.Quarantined.size() == 1);
}

} // namespace nutmegsill::routing
