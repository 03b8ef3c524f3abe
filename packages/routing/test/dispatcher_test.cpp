#include "fleet_fixture.h"

namespace nutmegsill::routing {

class DispatcherFixture : protected FleetFixture {
protected:
  DispatcherFixture() { setView({"e-1", "e-2"}); }

  void setView(const std::vector<std::string> &engines,
               std::size_t routers = 1) {
    View = std::make_shared<FleetView>();
    View->Config = Config;
    for (const std::string &it : engines) {
      View->Targets.push_back(KnownTarget{target(it, "engines"), {}, false});
    }
    View->Targets.push_back(KnownTarget{target("d-1", "desk"), {}, false});
    View->Targets.push_back(KnownTarget{target("d-2", "desk"), {}, false});
    for (std::size_t i = 1; i <= routers; ++i) {
      View->Routers.push_back(router("host-" + std::to_string(i)));
    }
    TestedDispatcher.setView(View, at(0));
  }

  DispatchRequest captionRequest(std::uint64_t shared,
                                 std::uint32_t sharedTokens, std::uint32_t own,
                                 const std::string &team = "small") {
    DispatchRequest request;
    request.Route = &Config->Routes[0];
    request.Pool = PoolId{"engines"};
    request.Team = TeamId{team};
    request.RemainingTime = milliseconds(6'000);
    request.Prompt.Parts = {{shared, sharedTokens}, {++LastOwn, own}};
    request.Prompt.InputTokens = sharedTokens + own;
    request.Prompt.MaxOutputTokens = 50;
    return request;
  }
  DispatchRequest checkRequest() {
    DispatchRequest request;
    request.Route = &Config->Routes[1];
    request.Pool = PoolId{"desk"};
    request.RemainingTime = milliseconds(800);
    return request;
  }
  std::optional<Assignment> send(const DispatchRequest &request, Time now) {
    TestedDispatcher.recordRequest(request, now);
    const DispatchDecision decision =
        TestedDispatcher.chooseTarget(request, now);
    const Assignment *it = std::get_if<Assignment>(&decision);
    return it == nullptr ? std::nullopt : std::optional<Assignment>(*it);
  }

  std::shared_ptr<ServiceConfig> Config = config();
  std::shared_ptr<FleetView> View;
  Dispatcher TestedDispatcher{
      HostId{"host-1"}, {}, {0.2, std::chrono::seconds(10), 10}};
  std::uint64_t LastOwn = 1'000'000;
};

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_cached_part_is_sent_to_same_target") {
  std::optional<Assignment> first = send(captionRequest(1, 6'000, 500), at(0));
  REQUIRE(first);
  CHECK(first->CachedTokens == 0);
  TestedDispatcher.recordProgress(*first, at(300));
  const std::optional<Assignment> second =
      send(captionRequest(1, 6'000, 500), at(400));
  REQUIRE(second);
  CHECK(second->Target == first->Target);
  CHECK(second->CachedTokens == 6'000);
  CHECK(second->PrefillTokens == 500);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_part_reported_by_peer_counts_as_cached") {
  LoadReport report;
  report.PromptsSent = {{TargetId{"e-2"}, 6'500, {77}}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  const std::optional<Assignment> sent =
      send(captionRequest(77, 6'000, 500), at(50));
  REQUIRE(sent);
  CHECK(sent->Target.Text == "e-2");
  CHECK(sent->CachedTokens == 6'000);
}

TEST_CASE_METHOD(DispatcherFixture, "dispatcher_evicted_part_is_not_cached") {
  LoadReport report;
  report.PromptsSent = {{TargetId{"e-2"}, 6'500, {77}}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  report.PromptsSent = {{TargetId{"e-2"}, 150'000, {78}}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(1));
  const std::optional<Assignment> sent =
      send(captionRequest(77, 6'000, 500), at(50));
  REQUIRE(sent);
  CHECK(sent->CachedTokens == 0);
}

TEST_CASE_METHOD(DispatcherFixture, "dispatcher_peer_load_diverts_new_parts") {
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 30'000, 5}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  for (std::uint64_t part = 1; part <= 3; ++part) {
    const std::optional<Assignment> sent =
        send(captionRequest(part, 1'000, 100), at(10));
    REQUIRE(sent);
    CHECK(sent->Target.Text == "e-2");
  }
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_new_part_prefers_engine_of_own_zone") {
  View = std::make_shared<FleetView>();
  View->Config = Config;
  for (const char *zone : {"zone-b", "zone-a", "zone-c"}) {
    View->Targets.push_back(KnownTarget{
        target(std::string("e-") + zone, "engines", zone), {}, false});
  }
  View->Routers.push_back(router("host-1"));
  TestedDispatcher.setView(View, at(0));
  DispatchRequest request = captionRequest(1, 0, 100);
  request.Prompt.Parts = {{1, 100}};
  std::optional<Assignment> alone = send(request, at(0));
  REQUIRE(alone);
  CHECK(alone->Target.Text == "e-zone-a");
  TestedDispatcher.recordResult(*alone, ExchangeResult::Completed, at(100));
  // A cached part outweighs the crossing.
  LoadReport report;
  report.PromptsSent = {{TargetId{"e-zone-c"}, 6'500, {77}}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(5'000));
  const std::optional<Assignment> cached =
      send(captionRequest(77, 6'000, 500), at(5'050));
  REQUIRE(cached);
  CHECK(cached->Target.Text == "e-zone-c");
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_many_routers_with_stale_loads_spread_requests") {
  // 75 routers have the same stale report, in which one of 100 engines has no
  // prefill backlog.
  std::vector<std::string> engines;
  LoadReport report;
  for (int i = 0; i < 100; ++i) {
    engines.push_back("e-" + std::to_string(i));
    const std::uint64_t prefill = i == 0 ? 0 : 100;
    report.Targets.push_back({TargetId{engines.back()}, prefill, 1});
  }
  setView(engines, 75);
  std::map<TargetId, int> sent;
  for (int i = 1; i <= 75; ++i) {
    Dispatcher dispatcher(HostId{"host-" + std::to_string(i)}, {},
                          {0.2, std::chrono::seconds(10), 10});
    dispatcher.setView(View, at(0));
    dispatcher.receiveReport(HostId{"another"}, report, at(0));
    const DispatchDecision decision = dispatcher.chooseTarget(
        captionRequest(static_cast<std::uint64_t>(i), 10, 50), at(1));
    const Assignment *it = std::get_if<Assignment>(&decision);
    REQUIRE(it != nullptr);
    ++sent[it->Target];
  }
  CHECK(sent[TargetId{"e-0"}] <= 15);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_overload_is_rejected_with_retry_after") {
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 300'000, 20},
                    {TargetId{"e-2"}, 300'000, 20}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  const DispatchRequest request = captionRequest(1, 100, 100);
  const DispatchDecision decision =
      TestedDispatcher.chooseTarget(request, at(10));
  REQUIRE(std::holds_alternative<Rejection>(decision));
  const Rejection &rejected = std::get<Rejection>(decision);
  CHECK(rejected.Reason == RejectionReason::Overloaded);
  CHECK(rejected.RetryAfter > Duration{0});
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_team_over_fair_share_is_rejected_first") {
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 20'000, 20},
                    {TargetId{"e-2"}, 20'000, 20}};
  report.Teams = {{TeamId{"large"}, {400'000, 200'000}},
                  {TeamId{"small"}, {5'000, 5'000}}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  CHECK_FALSE(send(captionRequest(1, 100, 100, "large"), at(10)));
  CHECK(send(captionRequest(1, 100, 100, "small"), at(10)));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_of_two_teams_over_share_heavier_is_rejected") {
  // The capacity of 40,000 rated tokens per second gives each team a fair share
  // of 20,000; the teams use 12 and 3 times as much.
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 4'000, 4}, {TargetId{"e-2"}, 4'000, 4}};
  report.Teams = {{TeamId{"large"}, {400'000, 240'000}},
                  {TeamId{"small"}, {400'000, 60'000}}};
  TestedDispatcher.receiveReport(HostId{"host-2"}, report, at(0));
  CHECK_FALSE(send(captionRequest(1, 100, 100, "large"), at(10)));
  CHECK(send(captionRequest(1, 100, 100, "small"), at(10)));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_prompt_longer_than_objective_is_served_late") {
  const std::optional<Assignment> sent =
      send(captionRequest(1, 100, 39'000), at(0));
  REQUIRE(sent);
  CHECK(sent->ExpectedFirstEvent > Config->Routes[0].LatencyObjective);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_view_without_one_engine_keeps_prefill_rate") {
  // The rated throughput is that of both engines, of which this view lacks one;
  // the remaining engine prefills at half of the pool's rate.
  setView({"e-1"});
  const std::optional<Assignment> sent =
      send(captionRequest(1, 100, 20'000), at(0));
  REQUIRE(sent);
  CHECK(sent->ExpectedFirstEvent >= milliseconds(500));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_draining_or_evacuated_target_is_not_chosen") {
  View->Targets[0].Entry.Draining = true;
  View->Targets[1].InEvacuatedZone = true;
  TestedDispatcher.setView(View, at(1));
  CHECK_FALSE(send(captionRequest(1, 100, 100), at(2)));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_cold_target_rate_over_all_routers_is_limited") {
  // Nine routers with the same view must together stay within the limit of
  // 9 * 1.5 + 5 requests in any second.
  setView({"e-1"}, 9);
  View->Targets[0].ColdUntil = at(60'000);
  std::vector<Time> sends;
  for (int i = 1; i <= 9; ++i) {
    Dispatcher dispatcher(HostId{"host-" + std::to_string(i)}, {},
                          {0.2, std::chrono::seconds(10), 10});
    dispatcher.setView(View, at(0));
    for (int ms = 0; ms < 3'000; ms += 10) {
      const DispatchRequest request = captionRequest(LastOwn, 10, 10);
      if (std::holds_alternative<Assignment>(
              dispatcher.chooseTarget(request, at(ms)))) {
        sends.push_back(at(ms));
      }
    }
  }
  std::sort(sends.begin(), sends.end());
  CHECK(sends.size() > 5);
  for (std::size_t i = 0; i < sends.size(); ++i) {
    const auto end = std::lower_bound(sends.begin(), sends.end(),
                                      sends[i] + std::chrono::seconds(1));
    CHECK(end - (sends.begin() + static_cast<std::ptrdiff_t>(i)) <= 18);
  }
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_failing_target_is_used_only_as_last_resort") {
  for (int i = 0; i < 20; ++i) {
    std::optional<Assignment> sent = send(checkRequest(), at(i * 10L));
    REQUIRE(sent);
    const ExchangeResult result = sent->Target.Text == "d-1"
                                      ? ExchangeResult::Failed
                                      : ExchangeResult::Completed;
    TestedDispatcher.recordResult(*sent, result, at(i * 10L + 5));
  }
  std::optional<Assignment> sent = send(checkRequest(), at(300));
  REQUIRE(sent);
  CHECK(sent->Target.Text == "d-2");
  DispatchRequest retry = checkRequest();
  retry.AttemptedTargets = {TargetId{"d-2"}};
  sent = send(retry, at(301));
  REQUIRE(sent);
  CHECK(sent->Target.Text == "d-1");
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_retries_beyond_budget_are_rejected") {
  int retries = 0;
  for (int i = 0; i < 50; ++i) {
    DispatchRequest request = checkRequest();
    TestedDispatcher.recordRequest(request, at(i));
    request.AttemptedTargets = {TargetId{"d-1"}};
    request.IsRetry = true;
    retries += std::holds_alternative<Assignment>(
                   TestedDispatcher.chooseTarget(request, at(i)))
                   ? 1
                   : 0;
  }
  // The budget allows 0.2 * 50 + 10 retries.
  CHECK(retries > 0);
  CHECK(retries <= 20);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_target_removed_while_running_is_ignored") {
  std::optional<Assignment> sent = send(captionRequest(1, 100, 100), at(0));
  REQUIRE(sent);
  setView({"e-9"});
  TestedDispatcher.recordProgress(*sent, at(10));
  TestedDispatcher.recordResult(*sent, ExchangeResult::Broken, at(20));
  CHECK(TestedDispatcher.collectReports(at(30)).OwnReport.Targets.empty());
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_requests_beyond_limit_go_to_other_targets") {
  TargetStatement statement;
  statement.RequestRate = 2;
  std::map<std::string, int> sent;
  for (int ms = 0; ms < 10'000; ms += 20) {
    const std::uint64_t part = 1 + static_cast<std::uint64_t>(ms);
    for (const DispatchRequest &it :
         {checkRequest(), captionRequest(part, 100, 10)}) {
      std::optional<Assignment> assignment = send(it, at(ms));
      REQUIRE(assignment);
      ++sent[assignment->Target.Text];
      if (assignment->Target.Text.ends_with("-1")) {
        TestedDispatcher.recordStatement(*assignment, statement, at(ms + 5));
      }
      TestedDispatcher.recordProgress(*assignment, at(ms + 5));
      TestedDispatcher.recordResult(*assignment, ExchangeResult::Completed,
                                    at(ms + 10));
    }
  }
  for (const char *it : {"d-1", "e-1"}) {
    CHECK(sent[it] >= 10);
    CHECK(sent[it] <= 25);
  }
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_all_targets_at_limit_rejects_at_once") {
  TargetStatement statement;
  statement.RequestRate = 1;
  Duration lastReturn{0};
  int rejected = 0;
  for (int ms = 0; ms < 2'000; ms += 20) {
    const DispatchRequest request = checkRequest();
    TestedDispatcher.recordRequest(request, at(ms));
    const DispatchDecision decision =
        TestedDispatcher.chooseTarget(request, at(ms));
    if (const Assignment *it = std::get_if<Assignment>(&decision)) {
      TestedDispatcher.recordStatement(*it, statement, at(ms));
      continue;
    }
    const Rejection &rejection = std::get<Rejection>(decision);
    CHECK(rejection.Reason == RejectionReason::TargetsLimited);
    CHECK(rejection.RetryAfter >= milliseconds(300));
    CHECK(rejection.RetryAfter <= std::chrono::seconds(5));
    // Those that are rejected later return later.
    CHECK(milliseconds(ms) + rejection.RetryAfter >= lastReturn);
    lastReturn = milliseconds(ms) + rejection.RetryAfter;
    ++rejected;
  }
  CHECK(rejected >= 85);
}

// Guards against a team that crowds others out by asking most often.
TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_limited_engines_are_shared_by_teams") {
  TargetStatement statement;
  statement.RequestRate = 5;
  std::map<std::string, int> sent;
  const auto ask = [&](const std::string &team, int ms) {
    const std::uint64_t part = 1 + static_cast<std::uint64_t>(ms);
    std::optional<Assignment> it =
        send(captionRequest(part, 100, 3'800, team), at(ms));
    if (it) {
      sent[team] += ms >= 5'000 ? 1 : 0;
      TestedDispatcher.recordStatement(*it, statement, at(ms));
      TestedDispatcher.recordProgress(*it, at(ms));
      TestedDispatcher.recordResult(*it, ExchangeResult::Completed, at(ms));
    }
  };
  // The large team asks for five times as much as the small one, which asks for
  // slightly more than half of what both engines take.
  for (int ms = 0; ms < 25'000; ms += 33) {
    ask("large", ms);
    if (ms % 165 == 0) {
      ask("small", ms + 10);
    }
  }
  // At least half of its max-min fair share of 5 a second.
  CHECK(sent["small"] >= 50);
  CHECK(sent["small"] + sent["large"] >= 160);
  CHECK(sent["small"] + sent["large"] <= 220);
}

} // namespace nutmegsill::routing
