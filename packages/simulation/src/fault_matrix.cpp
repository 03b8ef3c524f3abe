#include "fault_matrix.h"

#include <algorithm>
#include <set>

namespace nutmegsill::simulation {

using namespace routing;

namespace {

constexpr Time atMs(std::int64_t ms) { return Time(milliseconds(ms)); }

/// The simulation outlasts the traffic because the longest request may take 4 s
/// more.
constexpr Time TrafficEnd = atMs(24'000);
constexpr Time SimulationEnd = atMs(30'000);
/// Faults are injected up to this time, so that the fleet has recovered by
/// `RecoveryDeadline`.
constexpr Time LastInjection = atMs(9'000);
constexpr Time RecoveryDeadline = atMs(20'000);
/// Fraction of the calls that must be served after the recovery: two of seven
/// targets may stay out of service, and one service may fail some requests.
constexpr double MinServedFraction = 0.9;
constexpr Duration FaultDuration = milliseconds(4'000);

RouteRule makeRoute(const std::string &name, ExecutionSemantics semantics,
                    const PoolId &pool) {
  RouteRule rule;
  rule.Name = name;
  rule.HostName = "models.example";
  rule.Prefix = "/" + name + "/";
  rule.Semantics = semantics;
  rule.Timeout = milliseconds(4'000);
  rule.LatencyObjective = milliseconds(800);
  rule.MaxAttempts = semantics == ExecutionSemantics::Idempotent ? 2 : 1;
  rule.Pools = {{pool, 1}};
  return rule;
}

TargetPlan makeTarget(const std::string &name, const std::string &pool,
                      const std::string &zone) {
  TargetPlan plan;
  plan.Entry.Target = TargetId{name};
  plan.Entry.Pool = PoolId{pool};
  plan.Entry.Address = "10.0.0.1:80";
  plan.Entry.Zone = ZoneId{zone};
  plan.Entry.StartedAtMs = 1;
  plan.Entry.Slots = 6;
  return plan;
}

/// Injects the faults of a cell at their transitions.
class FaultInjector {
public:
  FaultInjector(VirtualFleet &fleet, const FaultCell &cell)
      : Fleet(fleet), Cell(cell) {
    Fleet.OnTransition = [this](const HostId &host,
                                const std::string &transition) {
      injectAtTransition(host, transition);
    };
  }

  bool allInjected() const { return Injected.size() == Cell.Injections.size(); }

private:
  void injectAtTransition(const HostId &host, const std::string &transition) {
    const Time now = Fleet.clock().now();
    if (now < atMs(2'000) || now > LastInjection) {
      return;
    }
    for (std::size_t i = 0; i < Cell.Injections.size(); ++i) {
      if (Cell.Injections[i].first == transition && Injected.insert(i).second) {
        const Fault fault = Cell.Injections[i].second;
        Fleet.clock().scheduleAfter(
            Duration{0}, [this, host, fault] { inject(host, fault); });
      }
    }
  }

  void inject(const HostId &host, Fault fault) {
    const TargetId engine{"engine-1"};
    const TargetId desk{"desk-1"};
    switch (fault) {
    case Fault::RouterKilled:
      return Fleet.killRouter(host, milliseconds(1'000));
    case Fault::AllRoutersKilled:
      for (const HostId &it : Fleet.hosts()) {
        Fleet.killRouter(it, milliseconds(1'000));
      }
      return;
    case Fault::RouterFrozen:
      return Fleet.freezeRouter(host, FaultDuration);
    case Fault::PeersCut:
      return Fleet.cutPeers(host, FaultDuration);
    case Fault::StoreSilent:
      return Fleet.disruptStore(StoreMode::Silent, FaultDuration, false);
    case Fault::StoreRefusing:
      return Fleet.disruptStore(StoreMode::Refusing, FaultDuration, false);
    case Fault::StoreLapsing:
      return Fleet.disruptStore(StoreMode::Refusing, FaultDuration, true);
    case Fault::StoreSilentForOne:
      return Fleet.disruptStoreFor(host, StoreMode::Silent, 2 * FaultDuration);
    case Fault::HistoryDropped:
      return Fleet.store().dropHistory();
    case Fault::StoreRestored:
      return Fleet.restoreStore(milliseconds(2'000));
    case Fault::TargetCrash:
      return Fleet.crashTarget(engine, FaultDuration);
    case Fault::TargetHangs:
      return Fleet.injectTargetFault(desk, TargetFault::Hangs, FaultDuration);
    case Fault::TargetFails:
      return Fleet.injectTargetFault(desk, TargetFault::Fails, FaultDuration);
    case Fault::AnswersLost:
      return Fleet.injectTargetFault(desk, TargetFault::LosesAnswers,
                                     FaultDuration);
    case Fault::TargetUnreachable:
      return Fleet.injectTargetFault(desk, TargetFault::Unreachable,
                                     FaultDuration);
    case Fault::TargetDrains:
      return Fleet.drainTarget(engine);
    case Fault::ZoneOut:
      return Fleet.evacuateZone(ZoneId{"zone-a"},
                                FaultDuration + FaultDuration);
    case Fault::KeyRevoked:
      return Fleet.revokeKey("key-large");
    case Fault::NewConfig:
      return Fleet.writeConfig();
    case Fault::HotTeam:
      return Fleet.multiplyTeamRate(TeamId{"large"}, 8, FaultDuration);
    }
  }

  VirtualFleet &Fleet;
  const FaultCell &Cell;
  std::set<std::size_t> Injected;
};

} // namespace

std::vector<Fault> allFaults() {
  std::vector<Fault> out;
  for (int i = 0; i <= static_cast<int>(Fault::HotTeam); ++i) {
    out.push_back(static_cast<Fault>(i));
  }
  return out;
}

const char *faultName(Fault fault) {
  switch (fault) {
  case Fault::RouterKilled:
    return "router_killed";
  case Fault::AllRoutersKilled:
    return "all_routers_killed";
  case Fault::RouterFrozen:
    return "router_frozen";
  case Fault::PeersCut:
    return "peers_cut";
  case Fault::StoreSilent:
    return "store_silent";
  case Fault::StoreRefusing:
    return "store_refusing";
  case Fault::StoreLapsing:
    return "store_lapsing";
  case Fault::StoreSilentForOne:
    return "store_silent_for_one";
  case Fault::HistoryDropped:
    return "history_dropped";
  case Fault::StoreRestored:
    return "store_restored";
  case Fault::TargetCrash:
    return "target_crash";
  case Fault::TargetHangs:
    return "target_hangs";
  case Fault::TargetFails:
    return "target_fails";
  case Fault::AnswersLost:
    return "answers_lost";
  case Fault::TargetUnreachable:
    return "target_unreachable";
  case Fault::TargetDrains:
    return "target_drains";
  case Fault::ZoneOut:
    return "zone_out";
  case Fault::KeyRevoked:
    return "key_revoked";
  case Fault::NewConfig:
    return "new_config";
  case Fault::HotTeam:
    return "hot_team";
  }
  return "unknown";
}

std::vector<std::string> allTransitions() {
  std::vector<std::string> out;
  std::string reason;
  const std::optional<StoreLink> link = StoreLink::create({}, reason);
  for (const auto &[state, event] : link->chart().transitions()) {
    std::string transition = "store_link.";
    transition.append(state).append(".").append(event);
    out.push_back(std::move(transition));
  }
  return out;
}

FleetPlan smallFleetPlan(std::uint64_t seed, std::size_t routers) {
  FleetPlan plan;
  plan.Seed = seed;
  plan.RouterCount = routers;
  plan.RetryBudget = {0.2, std::chrono::seconds(10), 20};
  const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
  for (int i = 1; i <= 4; ++i) {
    TargetPlan engine = makeTarget("engine-" + std::to_string(i), "engines",
                                   zones[static_cast<std::size_t>(i) % 3]);
    engine.Entry.Slots = 32;
    engine.PrefillTokensPerSecond = 40'000;
    engine.KvCacheTokens = 200'000;
    plan.Targets.push_back(engine);
  }
  for (int i = 1; i <= 3; ++i) {
    plan.Targets.push_back(makeTarget("desk-" + std::to_string(i), "desk",
                                      zones[static_cast<std::size_t>(i) % 3]));
  }
  const std::shared_ptr<ServiceConfig> config =
      std::make_shared<ServiceConfig>();
  config->Revision = ConfigRevision{1};
  config->Routes = {
      makeRoute("captions", ExecutionSemantics::Stream, PoolId{"engines"}),
      makeRoute("checks", ExecutionSemantics::Idempotent, PoolId{"desk"}),
      makeRoute("orders", ExecutionSemantics::AtMostOnce, PoolId{"desk"})};
  PoolRule engines;
  engines.Pool = PoolId{"engines"};
  engines.MaxConnections = 600;
  engines.ColdDuration = std::chrono::seconds(3);
  engines.ColdRequestRate = 9;
  engines.Engine = EngineLimits{32, 200'000};
  PoolRule desk;
  desk.Pool = PoolId{"desk"};
  config->Pools = {{engines.Pool, engines}, {desk.Pool, desk}};
  config->RequiresApiKeys = true;
  config->Teams = {{TeamId{"small"}, {"key-small"}},
                   {TeamId{"large"}, {"key-large"}}};
  config->RatedTokensPerSecond = 80'000;
  config->buildIndex();
  plan.Config = config;
  for (const auto &[team, rate] :
       {std::pair<std::string, double>{"small", 4.0}, {"large", 8.0}}) {
    const std::string key = "key-" + team;
    plan.Traffic.push_back(
        {"captions", TeamId{team}, key, rate, 20, 4'000, 800, 40});
    plan.Traffic.push_back({"checks", TeamId{team}, key, rate, 1, 0, 0, 0});
    plan.Traffic.push_back({"orders", TeamId{team}, key, rate, 1, 0, 0, 0});
  }
  return plan;
}

CellResult runCell(const FaultCell &cell) {
  return runCell(cell, smallFleetPlan(cell.Seed));
}

CellResult runCell(const FaultCell &cell, FleetPlan plan) {
  VirtualFleet fleet(std::move(plan));
  FaultInjector injector(fleet, cell);
  VirtualClock &clock = fleet.clock();
  // Configuration writes, short store outages and a router restart, so that
  // every transition is taken in every run.
  clock.scheduleAt(atMs(3'000), [&fleet] { fleet.writeConfig(); });
  clock.scheduleAt(atMs(5'000), [&fleet] {
    fleet.disruptStore(StoreMode::Refusing, milliseconds(300), false);
  });
  clock.scheduleAt(atMs(5'200), [&fleet] {
    fleet.writeConfig();
    fleet.store().dropHistory();
  });
  clock.scheduleAt(atMs(6'500), [&fleet] {
    fleet.killRouter(fleet.hosts().back(), milliseconds(300));
    fleet.disruptStoreFor(fleet.hosts().back(), StoreMode::Refusing,
                          milliseconds(700));
  });
  clock.scheduleAt(TrafficEnd, [&fleet] { fleet.stopTraffic(); });
  fleet.runUntil(SimulationEnd);
  CellResult result;
  result.AllTransitionsReached = injector.allInjected();
  const FleetHistory &history = fleet.history();
  result.FoundViolations = checkInvariants(history, InvariantBounds());
  const bool keyRevoked = std::any_of(
      cell.Injections.begin(), cell.Injections.end(),
      [](const auto &it) { return it.second == Fault::KeyRevoked; });
  FleetHistory checkedHistory = history;
  if (keyRevoked) {
    // Calls with the revoked key are refused until the end, so they are left
    // out of the served fraction.
    std::erase_if(checkedHistory.Calls, [](const CallRecord &it) {
      return it.ApiKey == "key-large";
    });
  }
  for (const std::string &it : checkServedFraction(
           checkedHistory, RecoveryDeadline, MinServedFraction)) {
    result.FoundViolations.push_back(it);
  }
  return result;
}

} // namespace nutmegsill::simulation
