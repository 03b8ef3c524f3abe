#include "nutmegsill/routing/prefill_rate.h"

#include "fleet_fixture.h"

namespace nutmegsill::routing {

class PrefillRateFixture : protected FleetFixture {
protected:
  static constexpr double Prior = 40'000;
  PrefillRate Rate;
};

TEST_CASE_METHOD(PrefillRateFixture,
                 "prefill_rate_without_observations_is_prior") {
  CHECK(Rate.rate(Prior, at(0)) == Approx(Prior));
}

TEST_CASE_METHOD(PrefillRateFixture,
                 "prefill_rate_slow_engine_is_learned_in_two_seconds") {
  // An engine of a fifth of the speed, with a request each 100 ms.
  for (int ms = 0; ms < 2'000; ms += 100) {
    Rate.record(8'000, std::chrono::seconds(1), at(ms));
  }
  CHECK(Rate.rate(Prior, at(2'000)) == Approx(8'000).epsilon(0.2));
}

TEST_CASE_METHOD(PrefillRateFixture,
                 "prefill_rate_returns_to_prior_when_observations_are_old") {
  Rate.record(1'000, std::chrono::seconds(1), at(0));
  CHECK(Rate.rate(Prior, at(0)) < Prior / 2);
  CHECK(Rate.rate(Prior, at(20'000)) == Approx(Prior).epsilon(0.01));
}

// Plays a surge of twice what the engines bear, on a configuration that rates
// them ten times too high, and checks when callers get their first events.
class OverratedEnginesFixture : protected FleetFixture {
protected:
  static constexpr double TrueTokensPerMs = 10;
  static constexpr int EngineCount = 4;

  OverratedEnginesFixture() {
    Config->RatedTokensPerSecond =
        10 * EngineCount * TrueTokensPerMs * 1'000 / 2;
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    view->Config = Config;
    for (int i = 0; i < EngineCount; ++i) {
      view->Targets.push_back(
          KnownTarget{target("e-" + std::to_string(i), "engines"), {}, false});
    }
    view->Routers.push_back(router("host-1"));
    TestedDispatcher.setView(view, at(0));
  }

  /// Sends a prompt each `pauseMs` for `spanMs`; counts the first events within
  /// the objective and later ones, apart from those of the first two seconds.
  /// Of each ten prompts, `hotOfTen` are of the team "large".
  void play(std::int64_t pauseMs, std::int64_t spanMs, int hotOfTen = 0) {
    struct Run {
      Assignment Sent;
      std::int64_t FirstEventMs = 0;
    };
    std::vector<Run> runs;
    std::map<TargetId, std::int64_t> busyUntilMs;
    for (std::int64_t ms = 0; ms < spanMs; ++ms) {
      for (auto it = runs.begin(); it != runs.end();) {
        if (it->FirstEventMs > ms) {
          ++it;
          continue;
        }
        TestedDispatcher.recordProgress(it->Sent, at(ms));
        TestedDispatcher.recordResult(it->Sent, ExchangeResult::Completed,
                                      at(ms));
        it = runs.erase(it);
      }
      if (ms % pauseMs != 0) {
        continue;
      }
      DispatchRequest request;
      request.Route = &Config->Routes[0];
      request.Pool = PoolId{"engines"};
      const bool isHot = (ms / pauseMs) % 10 < hotOfTen;
      request.Team = TeamId{isHot ? "large" : "small"};
      request.RemainingTime = milliseconds(6'000);
      request.Prompt.Parts = {{static_cast<std::uint64_t>(ms), 2'000}};
      request.Prompt.InputTokens = 2'000;
      TestedDispatcher.recordRequest(request, at(ms));
      const DispatchDecision decision =
          TestedDispatcher.chooseTarget(request, at(ms));
      const Assignment *sent = std::get_if<Assignment>(&decision);
      if (sent == nullptr) {
        continue;
      }
      std::int64_t &busy = busyUntilMs[sent->Target];
      busy = std::max(busy, ms) +
             static_cast<std::int64_t>(sent->PrefillTokens / TrueTokensPerMs);
      runs.push_back({*sent, busy + 45});
      if (ms >= 2'000) {
        const bool inTime = busy + 45 - ms <= 800;
        (inTime ? InTime : Late) += 1;
        SmallInTime += inTime && !isHot ? 1 : 0;
      }
    }
  }

  std::shared_ptr<ServiceConfig> Config = config();
  Dispatcher TestedDispatcher{
      HostId{"host-1"}, {}, {0.2, std::chrono::seconds(10), 10}};
  int InTime = 0;
  int Late = 0;
  int SmallInTime = 0;
};

TEST_CASE_METHOD(OverratedEnginesFixture,
                 "dispatcher_overrated_engines_in_surge_serve_in_time") {
  // The engines bear one prompt each 50 ms.
  play(25, 12'000);
  CHECK(InTime >= 200 * 8 / 10);
  CHECK(Late <= InTime / 10);
}

// A team asks for nine times as much as one that stays within its share.
TEST_CASE_METHOD(OverratedEnginesFixture,
                 "dispatcher_overrated_engines_keep_share_of_modest_team") {
  play(20, 22'000, 9);
  // The modest team sends one prompt each 200 ms, a quarter of the capacity.
  CHECK(SmallInTime >= 100 * 8 / 10);
}

} // namespace nutmegsill::routing
