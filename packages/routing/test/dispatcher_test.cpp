#include "fleet_fixture.h"

namespace nutmegsill::routing {

class DispatcherFixture : protected FleetFixture {
protected:
  DispatcherFixture() { adopt({"e-1", "e-2"}); }

  void adopt(const std::vector<std::string> &engines, std::size_t routers = 1) {
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
    Choices.adopt(View, at(0));
  }

  RequestFacts captions(std::uint64_t shared, std::uint32_t sharedTokens,
                        std::uint32_t own, const std::string &team = "small") {
    RequestFacts facts;
    facts.Route = &Config->Routes[0];
    facts.Pool = PoolId{"engines"};
    facts.Team = TeamId{team};
    facts.Left = milliseconds(6'000);
    facts.Content.Parts = {{shared, sharedTokens}, {++LastOwn, own}};
    facts.Content.InputTokens = sharedTokens + own;
    facts.Content.MaxOutputTokens = 50;
    return facts;
  }
  RequestFacts check() {
    RequestFacts facts;
    facts.Route = &Config->Routes[1];
    facts.Pool = PoolId{"desk"};
    facts.Left = milliseconds(800);
    return facts;
  }
  std::optional<Assignment> send(const RequestFacts &facts, Time now) {
    Choices.arrived(facts, now);
    const Choice choice = Choices.choose(facts, now);
    const Assignment *it = std::get_if<Assignment>(&choice);
    return it == nullptr ? std::nullopt : std::optional<Assignment>(*it);
  }

  std::shared_ptr<ServiceConfig> Config = config();
  std::shared_ptr<FleetView> View;
  Dispatcher Choices{HostId{"host-1"}, {}, {0.2, std::chrono::seconds(10), 10}};
  std::uint64_t LastOwn = 1'000'000;
};

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_shared_part_returns_to_its_target") {
  std::optional<Assignment> first = send(captions(1, 6'000, 500), at(0));
  REQUIRE(first);
  CHECK(first->CachedTokens == 0);
  Choices.began(*first, at(300));
  const std::optional<Assignment> second =
      send(captions(1, 6'000, 500), at(400));
  REQUIRE(second);
  CHECK(second->Target == first->Target);
  CHECK(second->CachedTokens == 6'000);
  CHECK(second->PrefillTokens == 500);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_part_that_a_peer_sent_is_known_as_cached") {
  LoadReport report;
  report.Sent = {{TargetId{"e-2"}, 6'500, {77}}};
  Choices.hear(HostId{"host-2"}, report, at(0));
  const std::optional<Assignment> sent = send(captions(77, 6'000, 500), at(50));
  REQUIRE(sent);
  CHECK(sent->Target.Text == "e-2");
  CHECK(sent->CachedTokens == 6'000);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_part_pushed_out_of_memory_is_not_cached") {
  LoadReport report;
  report.Sent = {{TargetId{"e-2"}, 6'500, {77}}};
  Choices.hear(HostId{"host-2"}, report, at(0));
  report.Sent = {{TargetId{"e-2"}, 150'000, {78}}};
  Choices.hear(HostId{"host-2"}, report, at(1));
  const std::optional<Assignment> sent = send(captions(77, 6'000, 500), at(50));
  REQUIRE(sent);
  CHECK(sent->CachedTokens == 0);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_load_of_peers_moves_new_parts_elsewhere") {
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 30'000, 5}};
  Choices.hear(HostId{"host-2"}, report, at(0));
  for (std::uint64_t part = 1; part <= 3; ++part) {
    const std::optional<Assignment> sent =
        send(captions(part, 1'000, 100), at(10));
    REQUIRE(sent);
    CHECK(sent->Target.Text == "e-2");
  }
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_many_routers_with_old_loads_do_not_send_to_one") {
  // 75 routers believe that one of 100 engines has nothing to read.
  std::vector<std::string> engines;
  LoadReport report;
  for (int i = 0; i < 100; ++i) {
    engines.push_back("e-" + std::to_string(i));
    const std::uint64_t prefill = i == 0 ? 0 : 100;
    report.Targets.push_back({TargetId{engines.back()}, prefill, 1});
  }
  adopt(engines, 75);
  std::map<TargetId, int> sent;
  for (int i = 1; i <= 75; ++i) {
    Dispatcher one(HostId{"host-" + std::to_string(i)}, {},
                   {0.2, std::chrono::seconds(10), 10});
    one.adopt(View, at(0));
    one.hear(HostId{"another"}, report, at(0));
    const Choice choice =
        one.choose(captions(static_cast<std::uint64_t>(i), 10, 50), at(1));
    const Assignment *it = std::get_if<Assignment>(&choice);
    REQUIRE(it != nullptr);
    ++sent[it->Target];
  }
  CHECK(sent[TargetId{"e-0"}] <= 15);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_overload_is_refused_with_a_pause") {
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 300'000, 20},
                    {TargetId{"e-2"}, 300'000, 20}};
  Choices.hear(HostId{"host-2"}, report, at(0));
  const RequestFacts facts = captions(1, 100, 100);
  const Choice choice = Choices.choose(facts, at(10));
  REQUIRE(std::holds_alternative<Rejection>(choice));
  const Rejection &refused = std::get<Rejection>(choice);
  CHECK(refused.Why == TurnedAway::Overloaded);
  CHECK(refused.RetryAfter > Duration{0});
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_team_over_its_share_is_refused_before_others") {
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 20'000, 20},
                    {TargetId{"e-2"}, 20'000, 20}};
  report.Teams = {{TeamId{"large"}, {400'000, 200'000}},
                  {TeamId{"small"}, {5'000, 5'000}}};
  Choices.hear(HostId{"host-2"}, report, at(0));
  CHECK_FALSE(send(captions(1, 100, 100, "large"), at(10)));
  CHECK(send(captions(1, 100, 100, "small"), at(10)));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_of_two_teams_over_their_shares_more_is_refused") {
  // Rated tokens are 40,000: 4 and 12 times an even share of what is left.
  LoadReport report;
  report.Targets = {{TargetId{"e-1"}, 4'000, 4}, {TargetId{"e-2"}, 4'000, 4}};
  report.Teams = {{TeamId{"large"}, {400'000, 240'000}},
                  {TeamId{"small"}, {400'000, 60'000}}};
  Choices.hear(HostId{"host-2"}, report, at(0));
  CHECK_FALSE(send(captions(1, 100, 100, "large"), at(10)));
  CHECK(send(captions(1, 100, 100, "small"), at(10)));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_prompt_longer_than_its_objective_is_served_late") {
  const std::optional<Assignment> sent = send(captions(1, 100, 39'000), at(0));
  REQUIRE(sent);
  CHECK(sent->Expected > Config->Routes[0].Objective);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_first_view_with_one_engine_keeps_the_rate") {
  // The rated throughput is that of the whole pool.
  adopt({"e-1"});
  const std::optional<Assignment> sent = send(captions(1, 100, 20'000), at(0));
  REQUIRE(sent);
  CHECK(sent->Expected >= milliseconds(500));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_draining_and_taken_out_targets_get_nothing") {
  View->Targets[0].Entry.Draining = true;
  View->Targets[1].ZoneOut = true;
  Choices.adopt(View, at(1));
  CHECK_FALSE(send(captions(1, 100, 100), at(2)));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_cold_target_gets_its_share_of_all_routers") {
  // Nine routers with equal views stay within the bound of 9 * 1.5 + 5 in any
  // second.
  adopt({"e-1"}, 9);
  View->Targets[0].ColdUntil = at(60'000);
  std::vector<Time> sends;
  for (int i = 1; i <= 9; ++i) {
    Dispatcher one(HostId{"host-" + std::to_string(i)}, {},
                   {0.2, std::chrono::seconds(10), 10});
    one.adopt(View, at(0));
    for (int ms = 0; ms < 3'000; ms += 10) {
      const RequestFacts facts = captions(LastOwn, 10, 10);
      if (std::holds_alternative<Assignment>(one.choose(facts, at(ms)))) {
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
                 "dispatcher_failing_service_target_is_avoided_but_not_alone") {
  for (int i = 0; i < 20; ++i) {
    std::optional<Assignment> sent = send(check(), at(i * 10L));
    REQUIRE(sent);
    const ExchangeResult result = sent->Target.Text == "d-1"
                                      ? ExchangeResult::Failed
                                      : ExchangeResult::Completed;
    Choices.ended(*sent, result, at(i * 10L + 5));
  }
  std::optional<Assignment> sent = send(check(), at(300));
  REQUIRE(sent);
  CHECK(sent->Target.Text == "d-2");
  RequestFacts again = check();
  again.Tried = {TargetId{"d-2"}};
  sent = send(again, at(301));
  REQUIRE(sent);
  CHECK(sent->Target.Text == "d-1");
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_repeats_beyond_the_budget_are_refused") {
  int repeats = 0;
  for (int i = 0; i < 50; ++i) {
    RequestFacts facts = check();
    Choices.arrived(facts, at(i));
    facts.Tried = {TargetId{"d-1"}};
    facts.Repeat = true;
    repeats += std::holds_alternative<Assignment>(Choices.choose(facts, at(i)))
                   ? 1
                   : 0;
  }
  // 0.2 of 50 requests and 10 more are the bound.
  CHECK(repeats > 0);
  CHECK(repeats <= 20);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "dispatcher_target_that_vanishes_while_running_is_harmless") {
  std::optional<Assignment> sent = send(captions(1, 100, 100), at(0));
  REQUIRE(sent);
  adopt({"e-9"});
  Choices.began(*sent, at(10));
  Choices.ended(*sent, ExchangeResult::Broken, at(20));
  CHECK(Choices.reports(at(30)).Own.Targets.empty());
}

} // namespace nutmegsill::routing
