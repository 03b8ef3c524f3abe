#include "virtual_fleet.h"

#include "virtual_router.h"

#include <cmath>

namespace nutmegsill::simulation {

using namespace routing;

namespace {

/// Interval of the targets' writes; three without one remove an entry.
constexpr Duration Heartbeat = milliseconds(1'200);
constexpr Duration EntryLife = 3 * Heartbeat;

} // namespace

VirtualFleet::VirtualFleet(FleetPlan plan)
    : Plan(std::move(plan)), Random(Plan.Seed) {
  Store.put("config", ConfigUpdated{Plan.Config}, UnrelatedItem{});
  Events.Written.push_back({HostId{}, Plan.Config->Revision, Clock.now()});
  for (const TargetPlan &it : Plan.Targets) {
    const TargetId id = it.Entry.Target;
    Targets[id] =
        std::make_unique<Target>(Clock, it, [this, id](std::size_t call) {
          Events.Runs.push_back({call, id, Clock.now()});
        });
    putTarget(id);
    heartbeat(id);
  }
  const std::vector<ZoneId> zones{ZoneId{"zone-a"}, ZoneId{"zone-b"},
                                  ZoneId{"zone-c"}};
  for (std::size_t i = 0; i < Plan.Routers; ++i) {
    const HostId host{"host-" + std::to_string(100 + i)};
    Routers[host] =
        std::make_unique<Router>(*this, host, zones[i % zones.size()]);
    Routers[host]->start();
  }
  for (std::size_t i = 0; i < Plan.Traffic.size(); ++i) {
    Clock.after(Plan.TrafficFrom, [this, i] { scheduleTraffic(i); });
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
  Events.EndedAt = Clock.now();
}

Duration VirtualFleet::delay() {
  return Duration(1 +
                  static_cast<std::int64_t>(
                      uniform() * static_cast<double>(Plan.MostDelay.count())));
}

double VirtualFleet::uniform() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

void VirtualFleet::putTarget(const TargetId &id) {
  const Target &target = *Targets.at(id);
  TargetEntry entry = target.Served.entry();
  entry.RemainingColdTime =
      std::max(Duration{0}, target.ColdUntil - Clock.now());
  Store.put("targets/" + id.Text, TargetUpdated{entry}, TargetRemoved{id},
            EntryLife);
}

void VirtualFleet::heartbeat(const TargetId &id) {
  const HostId writer{id.Text};
  if (Targets.at(id)->Served.alive()) {
    const std::string key = "targets/" + id.Text;
    Store.keep(writer, key, [this, id](const StoreReply &it) {
      const StoreLoss *loss = std::get_if<StoreLoss>(&it);
      const bool ended = loss != nullptr && *loss == StoreLoss::HistoryGone;
      if (ended && Targets.at(id)->Served.alive()) {
        putTarget(id);
      }
    });
  }
  Clock.after(Heartbeat, [this, id] { heartbeat(id); });
}

void VirtualFleet::scheduleTraffic(std::size_t plan) {
  if (Stopped) {
    return;
  }
  const TrafficPlan &traffic = Plan.Traffic[plan];
  call(traffic);
  double rate = traffic.Rate;
  const auto hot = Hot.find(traffic.Team);
  if (hot != Hot.end() && hot->second.second > Clock.now()) {
    rate *= hot->second.first;
  }
  const double seconds = -std::log(1.0 - uniform()) / rate;
  Clock.after(Duration(static_cast<std::int64_t>(seconds * 1e6)),
              [this, plan] { scheduleTraffic(plan); });
}

void VirtualFleet::call(const TrafficPlan &plan) {
  const std::size_t index = Events.Calls.size();
  std::size_t place =
      static_cast<std::size_t>(uniform() * static_cast<double>(Routers.size()));
  auto router = Routers.begin();
  std::advance(router, std::min(place, Routers.size() - 1));
  CallRecord record;
  record.Router = router->first;
  record.Team = plan.Team;
  record.Key = plan.Key;
  record.At = Clock.now();
  const RouteRule *route =
      Plan.Config->findRoute("models.example", "/" + plan.Route + "/x");
  record.MayRepeat = route != nullptr && route->allowsRetry();
  PromptDescription content;
  if (plan.SharedTokens > 0) {
    const std::uint64_t thing = static_cast<std::uint64_t>(
        uniform() * static_cast<double>(plan.Things));
    content.Parts = {{thing + 1, plan.SharedTokens},
                     {++LastOwnPart, plan.OwnTokens}};
    content.InputTokens = plan.SharedTokens + plan.OwnTokens;
    content.MaxOutputTokens = plan.OutputTokens;
  }
  record.Tokens = content.ratedTokens();
  Events.Calls.push_back(record);
  if (router->second->alive()) {
    router->second->serve(index, plan, std::move(content));
  } else {
    Events.Calls[index].End = CallEnd::Cut;
    Events.Calls[index].EndedAt = Clock.now();
  }
}

void VirtualFleet::disturb(const HostId &host, Duration span) {
  // Its beliefs are judged again after it could have caught up: silence is
  // noticed after a watch's longest probe, and a lapsed lease is renewed.
  constexpr Duration catchUp = milliseconds(2'500);
  Events.Disturbed.push_back({host, Clock.now(), Clock.now() + span + catchUp});
}

void VirtualFleet::kill(const HostId &host, Duration span) {
  disturb(host, span);
  Routers.at(host)->kill();
  Clock.after(span, [this, host] {
    if (!Routers.at(host)->alive()) {
      Routers.at(host)->start();
    }
  });
}

void VirtualFleet::freeze(const HostId &host, Duration span) {
  disturb(host, span);
  Routers.at(host)->freeze(span);
}

void VirtualFleet::cutPeers(const HostId &host, Duration span) {
  Routers.at(host)->PeersCutUntil = Clock.now() + span;
}

void VirtualFleet::cutStore(const HostId &host, StoreAccess access,
                            Duration span) {
  disturb(host, span);
  Store.setAccess(host, access, span);
}

void VirtualFleet::storeAway(StoreAccess access, Duration span, bool lapse) {
  for (const HostId &host : hosts()) {
    disturb(host, span);
  }
  Store.setAccess(std::nullopt, access, span, lapse);
}

void VirtualFleet::crashTarget(const TargetId &target, Duration span) {
  Targets.at(target)->Served.crash();
  Clock.after(span, [this, target] {
    Target &it = *Targets.at(target);
    it.Served.restart();
    const PoolRule *pool = Plan.Config->findPool(it.Served.entry().Pool);
    it.ColdUntil = Clock.now() + pool->ColdDuration;
    if (pool->ColdRequestRate > 0) {
      Events.Cold.push_back(
          {target, Clock.now(), it.ColdUntil, pool->ColdRequestRate});
    }
    putTarget(target);
  });
}

void VirtualFleet::targetFault(const TargetId &target, TargetFault fault,
                               Duration span) {
  Targets.at(target)->Served.setFault(fault, span);
}

void VirtualFleet::drainTarget(const TargetId &target) {
  Targets.at(target)->Served.setDraining();
  putTarget(target);
  Events.Outs.push_back({target, Clock.now(), std::nullopt});
}

void VirtualFleet::takeZoneOut(const ZoneId &zone, Duration span) {
  Store.put("zones/" + zone.Text, ZoneEvacuated{zone}, ZoneRestored{zone});
  const Time back = Clock.now() + span;
  for (const auto &[id, target] : Targets) {
    if (target->Served.entry().Zone == zone) {
      Events.Outs.push_back({id, Clock.now(), back});
    }
  }
  Clock.after(span, [this, zone] { Store.erase("zones/" + zone.Text); });
}

void VirtualFleet::revokeKey(const std::string &key) {
  const std::shared_ptr<ServiceConfig> next =
      std::make_shared<ServiceConfig>(*Plan.Config);
  for (TeamRule &team : next->Teams) {
    std::erase(team.ApiKeys, key);
  }
  Plan.Config = next;
  Events.Revoked.push_back({key, Clock.now()});
  writeConfig();
}

void VirtualFleet::writeConfig() {
  const std::shared_ptr<ServiceConfig> next =
      std::make_shared<ServiceConfig>(*Plan.Config);
  next->Revision = ConfigRevision{next->Revision.Value + 2};
  next->buildIndex();
  Plan.Config = next;
  Store.put("config", ConfigUpdated{next}, UnrelatedItem{});
  Events.Written.push_back({HostId{}, next->Revision, Clock.now()});
}

void VirtualFleet::heat(const TeamId &team, double factor, Duration span) {
  Hot[team] = {factor, Clock.now() + span};
}

const RunHistory &VirtualFleet::history() { return Events; }

} // namespace nutmegsill::simulation
