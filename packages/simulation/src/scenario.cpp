#include "scenario.h"

#include <algorithm>
#include <set>

namespace nutmegsill::simulation {

using namespace routing;

namespace {

constexpr Time at(std::int64_t ms) { return Time(milliseconds(ms)); }

/// End of the traffic, and of the run: the longest request may take 4 s more.
constexpr Time TrafficEnd = at(24'000);
constexpr Time LastMoment = at(30'000);
/// Faults strike before this, so that the fleet has recovered by `JudgedFrom`.
constexpr Time LastStrike = at(9'000);
constexpr Time JudgedFrom = at(20'000);
/// Part of the calls that must be served again: two of seven targets may stay
/// gone, and one service fails now and then.
constexpr double ServedAgain = 0.9;
constexpr Duration FaultSpan = milliseconds(4'000);

RouteRule route(const std::string &name, ExecutionSemantics kind,
                const PoolId &pool) {
  RouteRule rule;
  rule.Name = name;
  rule.HostName = "models.example";
  rule.Prefix = "/" + name + "/";
  rule.Semantics = kind;
  rule.Timeout = milliseconds(4'000);
  rule.LatencyObjective = milliseconds(800);
  rule.MaxAttempts = kind == ExecutionSemantics::Idempotent ? 2 : 1;
  rule.Pools = {{pool, 1}};
  return rule;
}

TargetPlan target(const std::string &name, const std::string &pool,
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

/// Strikes a cell's faults.
class Striker {
public:
  Striker(VirtualFleet &fleet, const Cell &cell) : Fleet(fleet), Plan(cell) {
    Fleet.OnStep = [this](const HostId &host, const std::string &step) {
      note(host, step);
    };
  }

  bool allStruck() const { return Struck.size() == Plan.Strikes.size(); }

private:
  void note(const HostId &host, const std::string &step) {
    const Time now = Fleet.clock().now();
    if (now < at(2'000) || now > LastStrike) {
      return;
    }
    for (std::size_t i = 0; i < Plan.Strikes.size(); ++i) {
      if (Plan.Strikes[i].first == step && Struck.insert(i).second) {
        const Fault fault = Plan.Strikes[i].second;
        Fleet.clock().after(Duration{0},
                            [this, host, fault] { strike(host, fault); });
      }
    }
  }

  void strike(const HostId &host, Fault fault) {
    const TargetId engine{"engine-1"};
    const TargetId desk{"desk-1"};
    switch (fault) {
    case Fault::RouterKilled:
      return Fleet.kill(host, milliseconds(1'000));
    case Fault::AllRoutersKilled:
      for (const HostId &it : Fleet.hosts()) {
        Fleet.kill(it, milliseconds(1'000));
      }
      return;
    case Fault::RouterFrozen:
      return Fleet.freeze(host, FaultSpan);
    case Fault::PeersCut:
      return Fleet.cutPeers(host, FaultSpan);
    case Fault::StoreSilent:
      return Fleet.storeAway(StoreAccess::Silent, FaultSpan, false);
    case Fault::StoreRefusing:
      return Fleet.storeAway(StoreAccess::Refusing, FaultSpan, false);
    case Fault::StoreLapsing:
      return Fleet.storeAway(StoreAccess::Refusing, FaultSpan, true);
    case Fault::StoreSilentForOne:
      return Fleet.cutStore(host, StoreAccess::Silent, 2 * FaultSpan);
    case Fault::HistoryDropped:
      return Fleet.store().dropHistory();
    case Fault::TargetCrash:
      return Fleet.crashTarget(engine, FaultSpan);
    case Fault::TargetHangs:
      return Fleet.targetFault(desk, TargetFault::Hangs, FaultSpan);
    case Fault::TargetFails:
      return Fleet.targetFault(desk, TargetFault::Fails, FaultSpan);
    case Fault::AnswersLost:
      return Fleet.targetFault(desk, TargetFault::LosesAnswers, FaultSpan);
    case Fault::TargetUnreachable:
      return Fleet.targetFault(desk, TargetFault::Unreachable, FaultSpan);
    case Fault::TargetDrains:
      return Fleet.drainTarget(engine);
    case Fault::ZoneOut:
      return Fleet.takeZoneOut(ZoneId{"zone-a"}, FaultSpan + FaultSpan);
    case Fault::KeyRevoked:
      return Fleet.revokeKey("key-large");
    case Fault::NewConfig:
      return Fleet.writeConfig();
    case Fault::HotTeam:
      return Fleet.heat(TeamId{"large"}, 8, FaultSpan);
    }
  }

  VirtualFleet &Fleet;
  const Cell &Plan;
  std::set<std::size_t> Struck;
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

std::vector<std::string> allSteps() {
  std::vector<std::string> out;
  std::string reason;
  const std::optional<StoreLink> link = StoreLink::create({}, reason);
  for (const auto &[state, event] : link->chart().transitions()) {
    std::string step = "store_link.";
    step.append(state).append(".").append(event);
    out.push_back(std::move(step));
  }
  return out;
}

FleetPlan smallFleet(std::uint64_t seed, std::size_t routers) {
  FleetPlan plan;
  plan.Seed = seed;
  plan.Routers = routers;
  plan.Retries = {0.2, std::chrono::seconds(10), 20};
  const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
  for (int i = 1; i <= 4; ++i) {
    TargetPlan engine = target("engine-" + std::to_string(i), "engines",
                               zones[static_cast<std::size_t>(i) % 3]);
    engine.Entry.Slots = 32;
    engine.PrefillRate = 40'000;
    engine.CacheTokens = 200'000;
    plan.Targets.push_back(engine);
  }
  for (int i = 1; i <= 3; ++i) {
    plan.Targets.push_back(target("desk-" + std::to_string(i), "desk",
                                  zones[static_cast<std::size_t>(i) % 3]));
  }
  const std::shared_ptr<ServiceConfig> config =
      std::make_shared<ServiceConfig>();
  config->Revision = ConfigRevision{1};
  config->Routes = {
      route("captions", ExecutionSemantics::Stream, PoolId{"engines"}),
      route("checks", ExecutionSemantics::Idempotent, PoolId{"desk"}),
      route("orders", ExecutionSemantics::AtMostOnce, PoolId{"desk"})};
  PoolRule engines;
  engines.Pool = PoolId{"engines"};
  engines.MaxConnections = 600;
  engines.ColdDuration = std::chrono::seconds(3);
  engines.ColdRequestRate = 9;
  engines.Engine = EngineLimits{32, 200'000};
  PoolRule desk;
  desk.Pool = PoolId{"desk"};
  config->Pools = {{engines.Pool, engines}, {desk.Pool, desk}};
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

CellResult runCell(const Cell &cell) {
  return runCell(cell, smallFleet(cell.Seed));
}

CellResult runCell(const Cell &cell, FleetPlan plan) {
  VirtualFleet fleet(std::move(plan));
  Striker striker(fleet, cell);
  Schedule &clock = fleet.clock();
  // Ordinary events, so that every step is taken in every run.
  clock.at(at(3'000), [&fleet] { fleet.writeConfig(); });
  clock.at(at(5'000), [&fleet] {
    fleet.storeAway(StoreAccess::Refusing, milliseconds(300), false);
  });
  clock.at(at(5'200), [&fleet] {
    fleet.writeConfig();
    fleet.store().dropHistory();
  });
  clock.at(at(6'500), [&fleet] {
    fleet.kill(fleet.hosts().back(), milliseconds(300));
    fleet.cutStore(fleet.hosts().back(), StoreAccess::Refusing,
                   milliseconds(700));
  });
  clock.at(TrafficEnd, [&fleet] { fleet.stopTraffic(); });
  fleet.runUntil(LastMoment);
  CellResult result;
  result.Reached = striker.allStruck();
  const RunHistory &history = fleet.history();
  result.Found = checkAlways(history, PromiseBounds());
  const bool keyRevoked =
      std::any_of(cell.Strikes.begin(), cell.Strikes.end(), [](const auto &it) {
        return it.second == Fault::KeyRevoked;
      });
  RunHistory judged = history;
  if (keyRevoked) {
    // Calls with a key that is gone are refused for ever.
    std::erase_if(judged.Calls,
                  [](const CallRecord &it) { return it.Key == "key-large"; });
  }
  for (const std::string &it : checkServed(judged, JudgedFrom, ServedAgain)) {
    result.Found.push_back(it);
  }
  return result;
}

} // namespace nutmegsill::simulation
