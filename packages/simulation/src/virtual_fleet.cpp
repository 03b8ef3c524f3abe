#include "virtual_fleet.h"

#include "virtual_router.h"

#include <cmath>

namespace nutmegsill::simulation {

using namespace routing;

namespace {

/// Interval at which targets renew the leases of their entries. An entry
/// expires after three intervals without a renewal.
constexpr Duration HeartbeatInterval = milliseconds(1'200);
constexpr Duration EntryTtl = 3 * HeartbeatInterval;

} // namespace

VirtualFleet::VirtualFleet(FleetPlan plan)
    : Plan(std::move(plan)), Random(Plan.Seed) {
  Store.put("config", ConfigUpdated{Plan.Config}, UnrelatedItem{});
  History.WrittenConfigs.push_back(
      {HostId{}, Plan.Config->Revision, Clock.now()});
  for (const TargetPlan &it : Plan.Targets) {
    const TargetId id = it.Entry.Target;
    Targets[id] =
        std::make_unique<Target>(Clock, it, [this, id](std::size_t call) {
          History.Runs.push_back({call, id, Clock.now()});
        });
    writeTargetEntry(id);
    sendHeartbeat(id);
  }
  const std::vector<ZoneId> zones{ZoneId{"zone-a"}, ZoneId{"zone-b"},
                                  ZoneId{"zone-c"}};
  for (std::size_t i = 0; i < Plan.RouterCount; ++i) {
    const HostId host{"host-" + std::to_string(100 + i)};
    Routers[host] =
        std::make_unique<Router>(*this, host, zones[i % zones.size()]);
    Routers[host]->start();
  }
  for (std::size_t i = 0; i < Plan.Traffic.size(); ++i) {
    Clock.scheduleAfter(Plan.TrafficStartDelay,
                        [this, i] { generateTraffic(i); });
  }
}

VirtualFleet::~VirtualFleet() = default;

std::vector<HostId> VirtualFleet::hosts() const {
  std::vector<HostId> out;
  out.reserve(Routers.size());
  for (const auto &[host, router] : Routers) {
    out.push_back(host);
  }
  return out;
}

std::vector<TargetId> VirtualFleet::targets() const {
  std::vector<TargetId> out;
  out.reserve(Targets.size());
  for (const auto &[id, target] : Targets) {
    out.push_back(id);
  }
  return out;
}

void VirtualFleet::runUntil(Time end) {
  Clock.runUntil(end);
  History.EndedAt = Clock.now();
}

Duration VirtualFleet::drawMessageDelay() {
  return Duration(1 + static_cast<std::int64_t>(
                          drawUniform() *
                          static_cast<double>(Plan.MaxMessageDelay.count())));
}

double VirtualFleet::drawUniform() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

void VirtualFleet::writeTargetEntry(const TargetId &id) {
  const Target &target = *Targets.at(id);
  TargetEntry entry = target.Process.entry();
  entry.RemainingColdTime =
      std::max(Duration{0}, target.ColdUntil - Clock.now());
  Store.put("targets/" + id.Text, TargetUpdated{entry}, TargetRemoved{id},
            EntryTtl);
}

void VirtualFleet::sendHeartbeat(const TargetId &id) {
  const HostId writer{id.Text};
  if (Targets.at(id)->Process.alive()) {
    const std::string key = "targets/" + id.Text;
    Store.renewLease(writer, key, [this, id](const StoreReply &it) {
      const StoreFailure *failure = std::get_if<StoreFailure>(&it);
      const bool leaseEnded =
          failure != nullptr && *failure == StoreFailure::HistoryGone;
      if (leaseEnded && Targets.at(id)->Process.alive()) {
        writeTargetEntry(id);
      }
    });
  }
  Clock.scheduleAfter(HeartbeatInterval, [this, id] { sendHeartbeat(id); });
}

void VirtualFleet::generateTraffic(std::size_t plan) {
  if (TrafficStopped) {
    return;
  }
  const TrafficPlan &traffic = Plan.Traffic[plan];
  sendCall(traffic);
  double rate = traffic.RequestsPerSecond;
  const auto rateFactor = RateFactors.find(traffic.Team);
  if (rateFactor != RateFactors.end() &&
      rateFactor->second.second > Clock.now()) {
    rate *= rateFactor->second.first;
  }
  const double seconds = -std::log(1.0 - drawUniform()) / rate;
  Clock.scheduleAfter(Duration(static_cast<std::int64_t>(seconds * 1e6)),
                      [this, plan] { generateTraffic(plan); });
}

void VirtualFleet::sendCall(const TrafficPlan &plan) {
  const std::size_t callIndex = History.Calls.size();
  std::size_t routerIndex = static_cast<std::size_t>(
      drawUniform() * static_cast<double>(Routers.size()));
  auto router = Routers.begin();
  std::advance(router, std::min(routerIndex, Routers.size() - 1));
  CallRecord record;
  record.Router = router->first;
  record.Team = plan.Team;
  record.ApiKey = plan.ApiKey;
  record.StartedAt = Clock.now();
  const RouteRule *route =
      Plan.Config->findRoute("models.example", "/" + plan.Route + "/x");
  record.AllowsRetry = route != nullptr && route->allowsRetry();
  PromptDescription prompt;
  if (plan.SharedPrefixTokens > 0) {
    const std::uint64_t prefix = static_cast<std::uint64_t>(
        drawUniform() * static_cast<double>(plan.SharedPrefixCount));
    prompt.Parts = {{prefix + 1, plan.SharedPrefixTokens},
                    {++LastUnsharedPart, plan.UnsharedTokens}};
    prompt.InputTokens = plan.SharedPrefixTokens + plan.UnsharedTokens;
    prompt.MaxOutputTokens = plan.OutputTokens;
  }
  record.RatedTokens = prompt.ratedTokens();
  History.Calls.push_back(record);
  if (router->second->alive()) {
    router->second->serve(callIndex, plan, std::move(prompt));
  } else {
    History.Calls[callIndex].Outcome = CallOutcome::ConnectionLost;
    History.Calls[callIndex].EndedAt = Clock.now();
  }
}

void VirtualFleet::recordDisruption(const HostId &host, Duration duration) {
  // The disruption includes the time for recovery: the router detects a silent
  // store only after the longest probe wait of a watch, and then renews an
  // expired lease.
  constexpr Duration catchUpTime = milliseconds(2'500);
  History.Disruptions.push_back(
      {host, Clock.now(), Clock.now() + duration + catchUpTime});
}

void VirtualFleet::killRouter(const HostId &host, Duration duration) {
  recordDisruption(host, duration);
  Routers.at(host)->kill();
  Clock.scheduleAfter(duration, [this, host] {
    if (!Routers.at(host)->alive()) {
      Routers.at(host)->start();
    }
  });
}

void VirtualFleet::freezeRouter(const HostId &host, Duration duration) {
  recordDisruption(host, duration);
  Routers.at(host)->freeze(duration);
}

void VirtualFleet::cutPeers(const HostId &host, Duration duration) {
  Routers.at(host)->PeersCutUntil = Clock.now() + duration;
}

void VirtualFleet::disruptStoreFor(const HostId &host, StoreMode mode,
                                   Duration duration) {
  recordDisruption(host, duration);
  Store.setMode(host, mode, duration);
}

void VirtualFleet::disruptStore(StoreMode mode, Duration duration,
                                bool leasesExpire) {
  for (const HostId &host : hosts()) {
    recordDisruption(host, duration);
  }
  Store.setMode(std::nullopt, mode, duration, leasesExpire);
}

void VirtualFleet::restoreStore(Duration copyAge) {
  Store.keepCopy();
  Clock.scheduleAfter(copyAge, [this] {
    for (const HostId &host : hosts()) {
      recordDisruption(host, Duration{0});
    }
    Store.restoreCopy();
    constexpr milliseconds rewriteDelay{500};
    Clock.scheduleAfter(rewriteDelay, [this] {
      Store.put("config", ConfigUpdated{Plan.Config}, UnrelatedItem{});
      for (const auto &[id, target] : Targets) {
        const ZoneId &zone = target->Process.entry().Zone;
        if (EvacuatedZones.count(zone) == 0) {
          Store.erase("zones/" + zone.Text);
        } else if (!Store.has("zones/" + zone.Text)) {
          Store.put("zones/" + zone.Text, ZoneEvacuated{zone},
                    ZoneRestored{zone});
        }
        if (target->Process.alive()) {
          writeTargetEntry(id);
        }
      }
    });
  });
}

void VirtualFleet::crashTarget(const TargetId &target, Duration duration) {
  Targets.at(target)->Process.crash();
  Clock.scheduleAfter(duration, [this, target] {
    Target &it = *Targets.at(target);
    it.Process.restart();
    const PoolRule *pool = Plan.Config->findPool(it.Process.entry().Pool);
    it.ColdUntil = Clock.now() + pool->ColdDuration;
    if (pool->ColdRequestRate > 0) {
      History.ColdIntervals.push_back(
          {target, Clock.now(), it.ColdUntil, pool->ColdRequestRate});
    }
    writeTargetEntry(target);
  });
}

void VirtualFleet::injectTargetFault(const TargetId &target, TargetFault fault,
                                     Duration duration) {
  Targets.at(target)->Process.setFault(fault, duration);
}

void VirtualFleet::drainTarget(const TargetId &target) {
  Targets.at(target)->Process.setDraining();
  writeTargetEntry(target);
  History.OutOfServiceIntervals.push_back({target, Clock.now(), std::nullopt});
}

void VirtualFleet::evacuateZone(const ZoneId &zone, Duration duration) {
  Store.put("zones/" + zone.Text, ZoneEvacuated{zone}, ZoneRestored{zone});
  EvacuatedZones.insert(zone);
  const Time back = Clock.now() + duration;
  for (const auto &[id, target] : Targets) {
    if (target->Process.entry().Zone == zone) {
      History.OutOfServiceIntervals.push_back({id, Clock.now(), back});
    }
  }
  Clock.scheduleAfter(duration, [this, zone] {
    EvacuatedZones.erase(zone);
    Store.erase("zones/" + zone.Text);
  });
}

void VirtualFleet::revokeKey(const std::string &key) {
  const std::shared_ptr<ServiceConfig> next =
      std::make_shared<ServiceConfig>(*Plan.Config);
  for (TeamRule &team : next->Teams) {
    std::erase(team.ApiKeys, key);
  }
  Plan.Config = next;
  History.KeyRevocations.push_back({key, Clock.now()});
  writeConfig();
}

void VirtualFleet::writeConfig() {
  const std::shared_ptr<ServiceConfig> next =
      std::make_shared<ServiceConfig>(*Plan.Config);
  next->Revision = ConfigRevision{next->Revision.Value + 2};
  next->buildIndex();
  Plan.Config = next;
  Store.put("config", ConfigUpdated{next}, UnrelatedItem{});
  History.WrittenConfigs.push_back({HostId{}, next->Revision, Clock.now()});
}

void VirtualFleet::multiplyTeamRate(const TeamId &team, double factor,
                                    Duration duration) {
  RateFactors[team] = {factor, Clock.now() + duration};
}

const FleetHistory &VirtualFleet::history() { return History; }

} // namespace nutmegsill::simulation
