#include "nutmegsill/routing/fleet_state.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

std::string millisecondsText(Duration span) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/// Returns the keys of `known` that `present` does not contain.
template <class Map, class Present>
std::vector<typename Map::key_type> missingKeys(const Map &known,
                                                const Present &present) {
  std::vector<typename Map::key_type> missing;
  for (const auto &[key, value] : known) {
    if (present.count(key) == 0) {
      missing.push_back(key);
    }
  }
  return missing;
}

} // namespace

void FleetState::recordChange(
    std::string event,
    std::vector<std::pair<std::string, std::string>> fields) {
  Changes.push_back({std::move(event), std::move(fields)});
  ViewOutdated = true;
}

std::vector<FleetChange> FleetState::takeChanges() {
  std::vector<FleetChange> all;
  all.swap(Changes);
  for (FleetChange &it : Rollouts.takeChanges()) {
    all.push_back(std::move(it));
  }
  return all;
}

void FleetState::recordStoreSuccess(Time now) {
  if (FailingSince && now - *FailingSince >= Policy.OutageThreshold) {
    OutageGraceEnd = now + Policy.LeaseExpiryGrace;
    recordChange("store_regained",
                 {{"away_ms", millisecondsText(now - *FailingSince)}});
  }
  FailingSince.reset();
}

void FleetState::recordStoreFailure(Time now) {
  if (!FailingSince) {
    FailingSince = now;
    recordChange("store_lost", {});
  }
}

void FleetState::adoptOutageGrace(Duration remaining, Time now) {
  if (FailingSince && now - *FailingSince >= Policy.OutageThreshold) {
    recordChange(
        "store_regained",
        {{"away_ms", millisecondsText(now - *FailingSince)}, {"by", "peers"}});
  }
  FailingSince.reset();
  OutageGraceEnd = now + std::min(remaining, Policy.LeaseExpiryGrace);
  for (auto &[id, removeAt] : PendingTargetRemovals) {
    removeAt = std::min(removeAt, OutageGraceEnd);
  }
  for (auto &[host, removeAt] : PendingRouterRemovals) {
    if (host != Self) {
      removeAt = std::min(removeAt, OutageGraceEnd);
    }
  }
}

Duration FleetState::outageGrace(Time now) const {
  return std::max<Duration>(Duration{0}, OutageGraceEnd - now);
}

bool FleetState::isInOutageGrace(Time now) const {
  const bool outage =
      FailingSince && now - *FailingSince >= Policy.OutageThreshold;
  return outage || now < OutageGraceEnd;
}

void FleetState::applyListing(const std::vector<StoreUpdate> &updates,
                              Time now) {
  removeMissing(updates, now);
  for (const StoreUpdate &update : updates) {
    const TargetUpdated *it = std::get_if<TargetUpdated>(&update);
    if (it == nullptr || !isDoubted(it->Entry)) {
      applyUpdate(update, now);
    }
  }
  HasListing = true;
  ViewOutdated = true;
}

void FleetState::applyRestoredListing(const std::vector<StoreUpdate> &updates,
                                      Time now) {
  recordChange("store_restored", {});
  OutageGraceEnd = std::max(OutageGraceEnd, now + Policy.LeaseExpiryGrace);
  const std::set<ZoneId> evacuated = EvacuatedZones;
  for (const ZoneId &it : evacuated) {
    PendingZoneReturns[it] = now + Policy.RestoreGrace;
  }
  Rollouts.keepOrders(now + Policy.RestoreGrace);
  removeMissing(updates, now);
  for (const StoreUpdate &update : updates) {
    const TargetUpdated *it = std::get_if<TargetUpdated>(&update);
    if (it == nullptr || !isSuperseded(it->Entry)) {
      applyUpdate(update, now);
      continue;
    }
    recordChange("target_doubted", {{"target", it->Entry.Target.Text}});
    DoubtedEntries[it->Entry.Target] = {it->Entry, now + Policy.RestoreGrace};
  }
  ViewOutdated = true;
}

bool FleetState::isSuperseded(const TargetEntry &entry) const {
  const auto known = Targets.find(entry.Target);
  if (known != Targets.end()) {
    const TargetEntry &latest = known->second.Entry;
    const bool undoesLeaving = entry.StartedAtMs == latest.StartedAtMs &&
                               latest.Draining && !entry.Draining;
    return entry.StartedAtMs < latest.StartedAtMs || undoesLeaving;
  }
  return RemovedProcesses.count({entry.Target, entry.StartedAtMs}) != 0;
}

bool FleetState::isDoubted(const TargetEntry &entry) const {
  const auto it = DoubtedEntries.find(entry.Target);
  return it != DoubtedEntries.end() && it->second.first == entry;
}

/// Removes what a listing lacks.
void FleetState::removeMissing(const std::vector<StoreUpdate> &updates,
                               Time now) {
  std::set<TargetId> targets;
  std::set<HostId> routers;
  std::set<ZoneId> zones;
  std::map<PoolId, RolloutItems> rollouts;
  for (const StoreUpdate &update : updates) {
    if (const TargetUpdated *it = std::get_if<TargetUpdated>(&update)) {
      targets.insert(it->Entry.Target);
    } else if (const RouterUpdated *it = std::get_if<RouterUpdated>(&update)) {
      routers.insert(it->Entry.Host);
    } else if (const ZoneEvacuated *it = std::get_if<ZoneEvacuated>(&update)) {
      zones.insert(it->Zone);
    } else if (const auto *it = std::get_if<RolloutOrderUpdated>(&update)) {
      rollouts[it->Pool].Order = it->Order;
    } else if (const auto *it = std::get_if<RolloutStatusUpdated>(&update)) {
      rollouts[it->Pool].Status = it->Status;
    }
  }
  Rollouts.removeMissing(rollouts);
  for (const TargetId &id : missingKeys(Targets, targets)) {
    apply(TargetRemoved{id}, now);
  }
  for (const HostId &id : missingKeys(Routers, routers)) {
    apply(RouterRemoved{id}, now);
  }
  const std::set<ZoneId> previouslyEvacuated = EvacuatedZones;
  for (const ZoneId &zone : previouslyEvacuated) {
    if (zones.count(zone) == 0 && PendingZoneReturns.count(zone) == 0) {
      apply(ZoneRestored{zone}, now);
    }
  }
}

void FleetState::applyUpdate(const StoreUpdate &update, Time now) {
  std::visit([this, now](const auto &it) { apply(it, now); }, update);
}

void FleetState::apply(const ConfigUpdated &it, Time /*now*/) {
  // Responses of the store may be stale. A process never returns to an older
  // configuration.
  if (Config && it.Config->Revision <= Config->Revision) {
    return;
  }
  recordChange(
      "config_adopted",
      {{"revision", std::to_string(it.Config->Revision.Value)},
       {"before", Config ? std::to_string(Config->Revision.Value) : "none"},
       {"routes", std::to_string(it.Config->Routes.size())},
       {"teams", std::to_string(it.Config->Teams.size())}});
  Config = it.Config;
}

void FleetState::setZoneEvacuated(const ZoneId &zone, bool evacuated,
                                  Time now) {
  for (auto &[id, target] : Targets) {
    if (target.Entry.Zone != zone) {
      continue;
    }
    target.InEvacuatedZone = evacuated;
    const PoolRule *pool =
        Config ? Config->findPool(target.Entry.Pool) : nullptr;
    if (!evacuated && pool != nullptr) {
      // Targets of a restored zone may have been restarted, and their entries
      // lag by up to one heartbeat.
      target.ColdUntil = std::max(target.ColdUntil, now + pool->ColdDuration);
    }
  }
}

void FleetState::apply(const ZoneEvacuated &it, Time now) {
  PendingZoneReturns.erase(it.Zone);
  if (EvacuatedZones.insert(it.Zone).second) {
    recordChange("zone_taken_out", {{"zone", it.Zone.Text}});
    setZoneEvacuated(it.Zone, true, now);
  }
}

void FleetState::apply(const ZoneRestored &it, Time now) {
  PendingZoneReturns.erase(it.Zone);
  if (EvacuatedZones.erase(it.Zone) != 0) {
    recordChange("zone_taken_back", {{"zone", it.Zone.Text}});
    setZoneEvacuated(it.Zone, false, now);
  }
}

void FleetState::setTarget(const TargetEntry &entry, Time now) {
  PendingTargetRemovals.erase(entry.Target);
  DoubtedEntries.erase(entry.Target);
  const auto before = Targets.find(entry.Target);
  const bool known = before != Targets.end();
  KnownTarget fresh;
  fresh.Entry = entry;
  fresh.InEvacuatedZone = EvacuatedZones.count(entry.Zone) != 0;
  fresh.ColdUntil = now + entry.RemainingColdTime;
  if (known && before->second.Entry.StartedAtMs == entry.StartedAtMs) {
    fresh.ColdUntil = std::max(fresh.ColdUntil, before->second.ColdUntil);
  }
  const bool same = known && before->second.Entry.Address == entry.Address &&
                    before->second.Entry.Draining == entry.Draining &&
                    before->second.Entry.StartedAtMs == entry.StartedAtMs;
  if (!same) {
    recordChange(known ? "target_changed" : "target_seen",
                 {{"target", entry.Target.Text},
                  {"pool", entry.Pool.Text},
                  {"zone", entry.Zone.Text},
                  {"address", entry.Address},
                  {"draining", entry.Draining ? "true" : "false"},
                  {"cold_ms", millisecondsText(entry.RemainingColdTime)}});
  }
  Targets[entry.Target] = std::move(fresh);
  ViewOutdated = true;
}

void FleetState::apply(const TargetUpdated &it, Time now) {
  setTarget(it.Entry, now);
}

void FleetState::eraseTarget(const TargetId &id, const char *reason, Time now) {
  const auto known = Targets.find(id);
  RemovedProcesses[{id, known->second.Entry.StartedAtMs}] = now;
  std::erase_if(RemovedProcesses, [this, now](const auto &it) {
    return now - it.second > Policy.RemovalMemory;
  });
  Targets.erase(known);
  PendingTargetRemovals.erase(id);
  recordChange("target_gone", {{"target", id.Text}, {"reason", reason}});
}

void FleetState::apply(const TargetRemoved &it, Time now) {
  DoubtedEntries.erase(it.Target);
  if (Targets.count(it.Target) == 0) {
    return;
  }
  if (isInOutageGrace(now)) {
    PendingTargetRemovals.emplace(
        it.Target, std::max(OutageGraceEnd, now + Policy.LeaseExpiryGrace));
    recordChange("target_lapsed", {{"target", it.Target.Text}});
    return;
  }
  eraseTarget(it.Target, "entry removed", now);
}

void FleetState::apply(const RouterUpdated &it, Time /*now*/) {
  PendingRouterRemovals.erase(it.Entry.Host);
  RouterEntry &known = Routers[it.Entry.Host];
  if (known == it.Entry) {
    return;
  }
  known = it.Entry;
  recordChange("router_seen", {{"router", it.Entry.Host.Text},
                               {"zone", it.Entry.Zone.Text},
                               {"address", it.Entry.CallerAddress}});
}

void FleetState::apply(const RouterRemoved &it, Time now) {
  if (Routers.count(it.Host) == 0) {
    return;
  }
  if (it.Host == Self || isInOutageGrace(now)) {
    PendingRouterRemovals.emplace(
        it.Host, std::max(OutageGraceEnd, now + Policy.LeaseExpiryGrace));
    return;
  }
  Routers.erase(it.Host);
  PendingRouterRemovals.erase(it.Host);
  recordChange("router_gone", {{"router", it.Host.Text}});
}

void FleetState::apply(const UnreadableItem &it, Time now) {
  const UnreadableReports::Decision report = Unreadable.record(it, now);
  if (report.LeftOut > 0) {
    recordChange("entries_unreadable",
                 {{"left_out", std::to_string(report.LeftOut)}});
  }
  if (report.Reports) {
    recordChange("entry_unreadable", {{"key", it.Key}, {"reason", it.Reason}});
  }
  // An unreadable entry invalidates the previous one. It is no lapse of a
  // lease: the grace period after an outage does not cover it.
  if (it.Target) {
    DoubtedEntries.erase(*it.Target);
    if (Targets.count(*it.Target) != 0) {
      eraseTarget(*it.Target, "entry unreadable", now);
    }
  }
  if (it.Router) {
    apply(RouterRemoved{*it.Router}, now);
  }
  if (it.Rollout) {
    apply(RolloutOrderUpdated{*it.Rollout, std::nullopt}, now);
  }
}

void FleetState::apply(const RolloutOrderUpdated &it, Time /*now*/) {
  ViewOutdated = Rollouts.apply(it) || ViewOutdated;
}

void FleetState::apply(const RolloutStatusUpdated &it, Time /*now*/) {
  ViewOutdated = Rollouts.apply(it) || ViewOutdated;
}

void FleetState::apply(const UnrelatedItem & /*it*/, Time /*now*/) {}

bool FleetState::expire(Time now) {
  if (FailingSince) {
    return false;
  }
  bool changed = Rollouts.expire(now);
  ViewOutdated = ViewOutdated || changed;
  const std::map<TargetId, Time> removals = PendingTargetRemovals;
  for (const auto &[id, removeAt] : removals) {
    if (removeAt <= now) {
      eraseTarget(id, "entry not renewed after a store outage", now);
      changed = true;
    }
  }
  const std::map<TargetId, std::pair<TargetEntry, Time>> doubted =
      DoubtedEntries;
  for (const auto &[id, it] : doubted) {
    if (it.second <= now) {
      setTarget(it.first, now);
      changed = true;
    }
  }
  const std::map<ZoneId, Time> returns = PendingZoneReturns;
  for (const auto &[zone, at] : returns) {
    if (at <= now) {
      apply(ZoneRestored{zone}, now);
      changed = true;
    }
  }
  for (auto it = PendingRouterRemovals.begin();
       it != PendingRouterRemovals.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    Routers.erase(it->first);
    recordChange("router_gone",
                 {{"router", it->first.Text},
                  {"reason", "entry not renewed after a store outage"}});
    it = PendingRouterRemovals.erase(it);
    changed = true;
  }
  return changed;
}

std::shared_ptr<const FleetView> FleetState::view() {
  if (!ViewOutdated && LatestView) {
    return LatestView;
  }
  std::shared_ptr<FleetView> fresh = std::make_shared<FleetView>();
  fresh->Config = Config;
  for (const auto &[id, target] : Targets) {
    fresh->Targets.push_back(target);
  }
  for (const auto &[host, entry] : Routers) {
    fresh->Routers.push_back(entry);
  }
  fresh->Rollouts = Rollouts.items();
  fresh->Version = ++Version;
  LatestView = std::move(fresh);
  ViewOutdated = false;
  return LatestView;
}

} // namespace nutmegsill::routing
