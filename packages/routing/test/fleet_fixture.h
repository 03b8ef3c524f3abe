/// A small fleet for tests of the routing code: a pool of model engines, a pool
/// of plain service targets, two teams and two routes.
#pragma once

#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/fleet_state.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class FleetFixture {
protected:
  static constexpr double RatedTokens = 40'000;

  static RouteRule route(const std::string &name, ExecutionSemantics semantics,
                         const PoolId &pool) {
    RouteRule rule;
    rule.Name = name;
    rule.HostName = "models.example";
    rule.Prefix = "/" + name + "/";
    rule.Semantics = semantics;
    rule.Timeout = milliseconds(6'000);
    rule.LatencyObjective = milliseconds(800);
    rule.MaxAttempts = 2;
    rule.Pools = {{pool, 1}};
    return rule;
  }

  static std::shared_ptr<ServiceConfig> config(std::uint64_t revision = 1) {
    std::shared_ptr<ServiceConfig> out = std::make_shared<ServiceConfig>();
    out->Revision = ConfigRevision{revision};
    out->Routes = {
        route("captions", ExecutionSemantics::Stream, PoolId{"engines"}),
        route("checks", ExecutionSemantics::Idempotent, PoolId{"desk"})};
    PoolRule engines;
    engines.Pool = PoolId{"engines"};
    engines.MaxConnections = 90;
    engines.ColdDuration = std::chrono::seconds(3);
    engines.ColdRequestRate = 9;
    engines.Engine = EngineLimits{64, 200'000};
    PoolRule desk;
    desk.Pool = PoolId{"desk"};
    out->Pools = {{engines.Pool, engines}, {desk.Pool, desk}};
    out->RequiresApiKeys = true;
    out->Teams = {{TeamId{"small"}, {"key-small"}},
                  {TeamId{"large"}, {"key-large"}}};
    out->RatedTokensPerSecond = RatedTokens;
    out->buildIndex();
    return out;
  }

  static TargetEntry target(const std::string &name, const std::string &pool,
                            const std::string &zone = "zone-a") {
    TargetEntry entry;
    entry.Target = TargetId{name};
    entry.Pool = PoolId{pool};
    entry.Address = "10.0.0.1:80";
    entry.Zone = ZoneId{zone};
    entry.Slots = 6;
    entry.StartedAtMs = 1;
    return entry;
  }

  static RouterEntry router(const std::string &name) {
    RouterEntry entry;
    entry.Host = HostId{name};
    entry.Zone = ZoneId{"zone-a"};
    return entry;
  }

  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
};

} // namespace nutmegsill::routing
