#include "granter.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

/// Load polls over which a target's report may lag.
constexpr int ReportLag = 4;

} // namespace

void Granter::onDemand(const Instance &from, const Demand &demand) {
  std::map<WaitingKey, Waiting> &waiting = Pools[demand.Pool];
  const WaitingKey key{demand.Team, from.Host};
  const auto it = waiting.find(key);
  const bool stale = it != waiting.end() && it->second.EntryLife == from.Life &&
                     demand.SentAt <= it->second.Last.SentAt;
  if (stale) {
    return;
  }
  if (demand.Count == 0) {
    waiting.erase(key);
    return;
  }
  waiting[key] =
      Waiting{from.Life, demand, Ctx.Now, VirtualService{}, demand.Count};
  pump(demand.Pool);
}

void Granter::onSettle(const Instance &from, const Settle &settle) {
  const auto it = Targets.find(settle.Target);
  if (it == Targets.end()) {
    return;
  }
  Owned &owned = it->second;
  const SlotKey key{from.Host, GrantRef{settle.TargetOwnership, settle.Number}};
  const bool reused = settle.Outcome == SettleOutcome::Reused;
  const bool known =
      reused ? owned.Load.renew(key, Ctx.Now) : owned.Load.release(key);
  const auto config = Ctx.Config->Targets.find(settle.Target);
  if (!known || config == Ctx.Config->Targets.end()) {
    return;
  }
  if (reused) {
    noteReuse(config->second.Pool, {settle.NextTeam, from.Host});
  }
  if (reused || settle.Outcome == SettleOutcome::Completed) {
    owned.Load.noteCompleted(Ctx, config->second, Ctx.Now);
  }
  if (settle.Outcome == SettleOutcome::Failed) {
    owned.Load.noteRestart(Ctx, config->second, Ctx.Now);
    Ctx.decide("target_limit_dropped", {{"target", settle.Target.Text},
                                        {"reason", "an exchange failed"}});
  }
  pump(config->second.Pool);
}

void Granter::noteReuse(const PoolId &pool, const WaitingKey &key) {
  std::map<WaitingKey, Waiting> &waiting = Pools[pool];
  const auto it = waiting.find(key);
  if (it == waiting.end() || it->second.Left == 0) {
    return;
  }
  --it->second.Left;
  it->second.Granted = it->second.Granted + it->second.Last.Estimate;
}

void Granter::onLoadReport(const LoadReport &report) {
  const auto it = Targets.find(report.Target);
  const auto config = Ctx.Config->Targets.find(report.Target);
  if (it == Targets.end() || config == Ctx.Config->Targets.end()) {
    return;
  }
  const bool restarted =
      it->second.Load.noteReport(Ctx, config->second, report, Ctx.Now);
  if (restarted) {
    Ctx.decide("target_limit_dropped",
               {{"target", report.Target.Text}, {"reason", "new start id"}});
  }
}

void Granter::recover(const TargetId &target, Epoch number) {
  const auto config = Ctx.Config->Targets.find(target);
  if (config == Ctx.Config->Targets.end()) {
    return;
  }
  Owned owned;
  owned.Load = Slots(Ctx, config->second, Ctx.Now);
  owned.Number = number;
  owned.RecoveringSince = Ctx.Now;
  for (const auto &[host, member] : Members.members()) {
    owned.Unanswered.insert(host);
  }
  const std::set<HostId> asked = owned.Unanswered;
  Targets[target] = std::move(owned);
  for (const HostId &host : asked) {
    Ctx.send(host, InFlightQuery{target, number, Ctx.Now});
  }
}

void Granter::forget(const TargetId &target) { Targets.erase(target); }

void Granter::onInFlight(const Instance &from, const InFlightReply &reply) {
  const auto it = Targets.find(reply.Target);
  if (it == Targets.end() || it->second.Number != reply.Number) {
    return;
  }
  Owned &owned = it->second;
  std::set<GrantRef> held(reply.Held.begin(), reply.Held.end());
  for (const GrantRef &grant : held) {
    const bool earlier = grant.TargetOwnership < owned.Number;
    if (earlier) {
      owned.Load.occupy(SlotKey{from.Host, grant}, from.Life, Ctx.Now);
    }
  }
  std::vector<SlotKey> ended;
  for (const auto &[key, use] : owned.Load.uses()) {
    // A grant that may still be under way is not missing.
    const bool settled = use.IssuedAt + Ctx.Limits.GrantLife < reply.EchoSentAt;
    if (key.Entry == from.Host && settled && held.count(key.Grant) == 0) {
      ended.push_back(key);
    }
  }
  for (const SlotKey &key : ended) {
    owned.Load.release(key);
  }
  owned.Unanswered.erase(from.Host);
  if (owned.RecoveringSince && owned.Unanswered.empty()) {
    finishRecovery(reply.Target, owned);
  }
}

void Granter::finishRecovery(const TargetId &id, Owned &owned) {
  owned.RecoveringSince.reset();
  const auto config = Ctx.Config->Targets.find(id);
  if (config == Ctx.Config->Targets.end()) {
    return;
  }
  owned.Load.adoptLoad(config->second);
  Owners.recovered(id);
  Ctx.decide("recovered", {{"target", id.Text},
                           {"in_use", std::to_string(owned.Load.inUse())}});
}

void Granter::onTick() {
  if (!Ctx.Config) {
    return;
  }
  expireDemands();
  for (auto &[id, owned] : Targets) {
    tickTarget(id, owned);
  }
  for (const auto &[pool, waiting] : Pools) {
    if (!waiting.empty()) {
      pump(pool);
    }
  }
  offerSurplus();
}

bool Granter::anyWaiting(const PoolId &pool) const {
  const auto it = Pools.find(pool);
  return it != Pools.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [](const auto &row) { return row.second.Left > 0; });
}

void Granter::offerSurplus() {
  for (const auto &[pool, config] : Ctx.Config->Pools) {
    std::uint32_t free = 0;
    freest(pool, free);
    if (free == 0 || anyWaiting(pool)) {
      Surpluses.erase(pool);
      continue;
    }
    const auto [it, fresh] = Surpluses.try_emplace(
        pool, Surplus{Ctx.Now, Ctx.Now + Ctx.Limits.OfferAfter,
                      Ctx.Limits.OfferAfter, 0});
    if (!fresh && it->second.NextOffer <= Ctx.Now) {
      offer(pool, it->second, free);
    }
  }
}

void Granter::offer(const PoolId &pool, Surplus &surplus, std::uint32_t free) {
  surplus.Pause = std::min(2 * surplus.Pause, Ctx.Limits.OfferPause);
  surplus.NextOffer = Ctx.Now + surplus.Pause;
  const std::vector<HostId> entries =
      Members.ranking("offer/" + Ctx.Me.Host.Text);
  const std::size_t fan =
      std::min<std::size_t>(Ctx.Limits.OfferFan, entries.size());
  for (std::size_t i = 0; i < fan; ++i) {
    Ctx.send(entries[surplus.NextEntry++ % entries.size()], Offer{pool, free});
  }
}

void Granter::tickTarget(const TargetId &id, Owned &owned) {
  const auto config = Ctx.Config->Targets.find(id);
  if (config == Ctx.Config->Targets.end()) {
    return;
  }
  owned.Load.noteAccepted(Ctx, config->second, Ctx.Config->accepts(id),
                          Ctx.Now);
  if (owned.RecoveringSince &&
      olderThan(owned.RecoveringSince, Ctx.Now, Ctx.Limits.GrantLife)) {
    finishRecovery(id, owned);
  }
  if (olderThan(owned.PolledAt, Ctx.Now, Ctx.Limits.LoadPoll)) {
    owned.PolledAt = Ctx.Now;
    Ctx.emit(PollLoad{id, config->second.Address});
  }
  if (olderThan(owned.AskedAt, Ctx.Now, Ctx.Limits.ReconcileInterval)) {
    owned.AskedAt = Ctx.Now;
    reconcile(id, owned);
  }
}

bool Granter::isSilent(const HostId &entry) const {
  const Peer *peer = Members.peer(entry);
  const Duration patience = Ctx.Limits.GrantLife +
                            Ctx.Limits.ReconcileInterval +
                            ReportLag * Ctx.Limits.LoadPoll;
  return entry != Ctx.Me.Host && peer != nullptr &&
         Ctx.Now - peer->HeardAt > patience;
}

void Granter::reconcile(const TargetId &id, Owned &owned) {
  std::set<HostId> ask;
  std::set<HostId> silent;
  std::vector<SlotKey> ended;
  for (const auto &[key, use] : owned.Load.uses()) {
    if (Ctx.Now - use.IssuedAt <= Ctx.Limits.GrantLife) {
      continue;
    }
    if (Members.isDead(Instance{key.Entry, use.EntryLife})) {
      ended.push_back(key);
    } else {
      ask.insert(key.Entry);
    }
    if (isSilent(key.Entry)) {
      silent.insert(key.Entry);
    }
  }
  for (const HostId &host : silent) {
    owned.Load.dropSilent(host, Ctx.Now, ReportLag * Ctx.Limits.LoadPoll);
  }
  for (const SlotKey &key : ended) {
    owned.Load.release(key);
  }
  for (const HostId &host : ask) {
    Ctx.send(host, InFlightQuery{id, owned.Number, Ctx.Now});
  }
}

void Granter::expireDemands() {
  for (auto &[pool, waiting] : Pools) {
    for (auto it = waiting.begin(); it != waiting.end();) {
      const bool old = Ctx.Now - it->second.ReceivedAt > Ctx.Limits.DemandLife;
      it = old ? waiting.erase(it) : std::next(it);
    }
  }
}

std::map<Granter::WaitingKey, Granter::Waiting>::iterator
Granter::lowest(std::map<WaitingKey, Waiting> &waiting, VirtualService &tag) {
  auto best = waiting.end();
  auto it = waiting.begin();
  while (it != waiting.end()) {
    const TeamId &team = it->first.first;
    VirtualService known{INT64_MIN};
    VirtualService granted;
    auto largest = waiting.end();
    for (; it != waiting.end() && it->first.first == team; ++it) {
      const Waiting &entry = it->second;
      known = std::max(known, entry.Last.Tag);
      granted = granted + entry.Granted;
      const bool more = entry.Left > 0 && (largest == waiting.end() ||
                                           entry.Left > largest->second.Left);
      largest = more ? it : largest;
    }
    const VirtualService sum = known + granted;
    if (largest != waiting.end() && (best == waiting.end() || sum < tag)) {
      best = largest;
      tag = sum;
    }
  }
  return best;
}

std::optional<TargetId> Granter::freest(const PoolId &pool,
                                        std::uint32_t &free) const {
  std::optional<TargetId> best;
  std::uint32_t most = 0;
  free = 0;
  for (const auto &[id, owned] : Targets) {
    const auto config = Ctx.Config->Targets.find(id);
    const bool usable = config != Ctx.Config->Targets.end() &&
                        config->second.Pool == pool &&
                        Ctx.Config->accepts(id) && Owners.mayGrant(id);
    if (!usable) {
      continue;
    }
    const std::uint32_t own = owned.Load.free(config->second, Ctx.Now);
    free += own;
    if (own > most) {
      most = own;
      best = id;
    }
  }
  return best;
}

void Granter::pump(const PoolId &pool) {
  std::map<WaitingKey, Waiting> &waiting = Pools[pool];
  while (!waiting.empty()) {
    std::uint32_t free = 0;
    const std::optional<TargetId> target = freest(pool, free);
    VirtualService tag;
    const auto next = lowest(waiting, tag);
    if (!target || next == waiting.end()) {
      return;
    }
    grant(pool, *target, next->first, next->second, tag, free - 1);
  }
}

void Granter::grant(const PoolId &pool, const TargetId &target,
                    const WaitingKey &key, Waiting &waiting, VirtualService tag,
                    std::uint32_t free) {
  Owned &owned = Targets[target];
  const GrantId number{++LastGrant};
  --waiting.Left;
  waiting.Granted = waiting.Granted + waiting.Last.Estimate;
  owned.Load.occupy(SlotKey{key.second, GrantRef{owned.Number, number}},
                    waiting.EntryLife, Ctx.Now);
  Shares.noteGrant(pool, tag);
  Ctx.decide("grant", {{"pool", pool.Text},
                       {"target", target.Text},
                       {"epoch", std::to_string(owned.Number.Value)},
                       {"team", key.first.Text},
                       {"entry", key.second.Text},
                       {"tag_milli", std::to_string(tag.Milli)},
                       {"waiting_demands", std::to_string(Pools[pool].size())},
                       {"free", std::to_string(free)}});
  Ctx.send(key.second, Grant{number, target, owned.Number, pool, key.first,
                             waiting.Last.SentAt, free});
}

void Granter::fillStatus(TargetStatus &status) const {
  const auto it = Targets.find(status.Target);
  const auto config = Ctx.Config->Targets.find(status.Target);
  if (it == Targets.end() || config == Ctx.Config->Targets.end()) {
    return;
  }
  status.State = it->second.Load.state();
  status.Limit = it->second.Load.limit(config->second, Ctx.Now);
  status.InUse = it->second.Load.inUse();
}

} // namespace nutmegsill::detail
