#include "ownership.h"
#include "ownership_states.h"

#include <algorithm>

namespace nutmegsill::detail {

bool Ownership::isOwner(const Holding &held) const {
  return held.State == Waiting || held.State == Recovering ||
         held.State == Granting;
}

bool Ownership::callAllowed(const Holding &held) const {
  return !held.CallOpen && (!held.NextCallAt || *held.NextCallAt <= Ctx.Now);
}

void Ownership::rebuildRankings() {
  const bool same =
      BestVersion == Members.version() && BestConfig == Ctx.Config->Number;
  if (same) {
    return;
  }
  BestVersion = Members.version();
  BestConfig = Ctx.Config->Number;
  Best.clear();
  for (const auto &[id, config] : Ctx.Config->Targets) {
    const std::vector<HostId> order = Members.ranking(ownerKeyOf(id));
    if (order.empty()) {
      continue;
    }
    Best[id] = order.front();
    if (order.front() == Ctx.Me.Host) {
      holding(id);
    }
  }
}

Ownership::Holding &Ownership::holding(const TargetId &id) {
  Holding &held = Holdings[id];
  if (held.State.empty()) {
    held.State = Ctx.ChartSet->Ownership.initial();
  }
  return held;
}

void Ownership::onTick() {
  if (!Ctx.Config || Members.members().empty()) {
    return;
  }
  rebuildRankings();
  for (auto &[id, watch] : Watches) {
    tickWatch(id, watch);
  }
  for (auto &[id, held] : Holdings) {
    tickTarget(id, held);
  }
}

void Ownership::tickTarget(const TargetId &id, Holding &held) {
  if (isOwner(held)) {
    tickOwner(id, held);
    return;
  }
  if (!callAllowed(held)) {
    return;
  }
  if (held.State == Swapping) {
    read(id, held);
    return;
  }
  const auto best = Best.find(id);
  const auto row = Rows.find(id);
  const bool wanted = best != Best.end() && best->second == Ctx.Me.Host;
  const bool handed = row != Rows.end() && row->second.Owner == Ctx.Me;
  if (held.State == None && !Ctx.Self.Leaving && (wanted || handed)) {
    read(id, held);
  }
}

void Ownership::tickOwner(const TargetId &id, Holding &held) {
  if (Ctx.Config->Targets.count(id) == 0) {
    drop(id, held, "the target left the configuration");
    return;
  }
  if (held.State == Waiting && held.EligibleAt <= Ctx.Now) {
    Ctx.advance(Ctx.ChartSet->Ownership, held.State, "waited");
    beginRecovery(id, held);
  }
  if (!callAllowed(held)) {
    return;
  }
  const std::optional<Time> seen = evidence(held);
  if (olderThan(seen, Ctx.Now, Ctx.Limits.PromiseLife / 2)) {
    read(id, held);
    return;
  }
  if (held.State != Granting) {
    return;
  }
  const std::optional<Instance> better = betterOwner(id);
  if (better) {
    handOver(id, held, *better);
  } else if (needsNewSuccessors(id, held)) {
    reenlist(id, held);
  }
}

void Ownership::tickWatch(const TargetId &id, const Watch &watch) {
  Holding &held = holding(id);
  const bool silent = Ctx.Now - watch.HeardAt > Ctx.Limits.SuspectAfter ||
                      Members.isDead(watch.Owner);
  if (silent && held.State == None && !Ctx.Self.Leaving && callAllowed(held)) {
    read(id, held);
  }
}

void Ownership::read(const TargetId &id, Holding &held) {
  held.CallOpen = true;
  const CallId call = Ctx.call(KvRead{{ownerKey(id)}});
  Calls[call] = Pending{id, Purpose::Read};
}

void Ownership::write(const TargetId &id, Holding &held, Purpose why,
                      const OwnerRecord &record) {
  held.CallOpen = true;
  const CallId call = Ctx.call(KvSwap{ownerKey(id), held.ModRevision,
                                      encode(record), std::chrono::seconds(0)});
  Calls[call] = Pending{id, why};
}

void Ownership::claim(const TargetId &id, Holding &held, Epoch after) {
  if (!Ctx.advance(Ctx.ChartSet->Ownership, held.State, "claim")) {
    return;
  }
  held.Record = OwnerRecord{
      Ctx.Me, Epoch{after.Value + 1}, freshSuccessors(id, Ctx.Me.Host),
      Ctx.Me.Host.Text + "/" + std::to_string(Ctx.Me.Life.Value) + "/" +
          std::to_string(++Writes),
      false};
  write(id, held, Purpose::Claim, held.Record);
}

void Ownership::reenlist(const TargetId &id, Holding &held) {
  const std::optional<Time> seen = evidence(held);
  held.ConfirmedAt = std::max(held.ConfirmedAt, seen);
  held.PromisedAt.clear();
  OwnerRecord record = held.Record;
  record.Successors = freshSuccessors(id, Ctx.Me.Host);
  record.HandedOver = false;
  record.WriteId = Ctx.Me.Host.Text + "/" + std::to_string(Ctx.Me.Life.Value) +
                   "/" + std::to_string(++Writes);
  held.OpenWrite = record;
  write(id, held, Purpose::Reenlist, record);
}

void Ownership::handOver(const TargetId &id, Holding &held,
                         const Instance &to) {
  Ctx.advance(Ctx.ChartSet->Ownership, held.State, "hand_over");
  held.Record = OwnerRecord{
      to, Epoch{held.Record.Number.Value + 1}, freshSuccessors(id, to.Host),
      Ctx.Me.Host.Text + "/" + std::to_string(Ctx.Me.Life.Value) + "/" +
          std::to_string(++Writes),
      true};
  Ctx.decide("hand_over",
             {{"target", id.Text},
              {"to", to.Host.Text},
              {"epoch", std::to_string(held.Record.Number.Value)}});
  write(id, held, Purpose::HandOver, held.Record);
}

void Ownership::enter(const TargetId &id, Holding &held, Time sentAt,
                      bool wait) {
  Watches.erase(id);
  held.PromisedAt.clear();
  held.OpenWrite.reset();
  held.ConfirmedAt = sentAt;
  held.EligibleAt = Ctx.Now + Ctx.Limits.PromiseLife + Ctx.Limits.DriftMargin;
  Ctx.advance(Ctx.ChartSet->Ownership, held.State,
              wait ? "swapped" : "handed_over");
  Ctx.decide("own", {{"target", id.Text},
                     {"epoch", std::to_string(held.Record.Number.Value)},
                     {"waits", wait ? "true" : "false"}});
  announce(id, held.Record);
  if (!wait) {
    beginRecovery(id, held);
  }
}

void Ownership::beginRecovery(const TargetId &id, const Holding &held) {
  Hooks.Recover(id, held.Record.Number);
}

void Ownership::recovered(const TargetId &target) {
  const auto it = Holdings.find(target);
  if (it != Holdings.end()) {
    Ctx.advance(Ctx.ChartSet->Ownership, it->second.State, "recovered");
  }
}

void Ownership::drop(const TargetId &id, Holding &held, const char *why) {
  Ctx.decide("disown", {{"target", id.Text}, {"reason", why}});
  Ctx.advance(Ctx.ChartSet->Ownership, held.State, "lost");
  held.ConfirmedAt.reset();
  held.PromisedAt.clear();
  held.OpenWrite.reset();
  Hooks.Lost(id);
}

void Ownership::announce(const TargetId &id, const OwnerRecord &record) {
  const OwnerRow row{id, record.Number, record.Owner};
  onRows({row});
  for (const auto &[host, member] : Members.members()) {
    if (host != Ctx.Me.Host) {
      Ctx.send(host, OwnerMap{{row}});
    }
  }
}

void Ownership::onRows(const std::vector<OwnerRow> &rows) {
  for (const OwnerRow &row : rows) {
    const auto [it, fresh] = Rows.try_emplace(row.Target, row);
    if (!fresh && row.Number <= it->second.Number) {
      continue;
    }
    it->second = row;
    const auto held = Holdings.find(row.Target);
    if (held == Holdings.end()) {
      continue;
    }
    const bool replaced = isOwner(held->second) && row.Owner != Ctx.Me &&
                          held->second.Record.Number < row.Number;
    if (replaced) {
      drop(row.Target, held->second, "a peer announced a later owner");
    }
    if (row.Owner == Ctx.Me) {
      held->second.NextCallAt = Ctx.Now;
    }
  }
}

std::vector<TargetEpoch>
Ownership::promise(const Instance &owner,
                   const std::vector<TargetEpoch> &asked) {
  std::vector<TargetEpoch> promises;
  for (const TargetEpoch &it : asked) {
    const auto row = Rows.find(it.Target);
    if (row != Rows.end() && it.Number < row->second.Number) {
      continue;
    }
    Watch &watch = Watches[it.Target];
    if (it.Number < watch.Number) {
      continue;
    }
    const bool same = watch.Number == it.Number && watch.Owner == owner;
    if (!same) {
      watch = Watch{owner, it.Number, Ctx.Now, false};
    }
    watch.HeardAt = Ctx.Now;
    const auto held = Holdings.find(it.Target);
    const bool resolved =
        held == Holdings.end() ||
        (held->second.State == None && !held->second.CallOpen);
    watch.Refused = watch.Refused && !resolved;
    if (!watch.Refused) {
      promises.push_back(it);
    }
  }
  return promises;
}

void Ownership::onPromises(const Instance &from, Time sentAt,
                           const std::vector<TargetEpoch> &promises) {
  for (const TargetEpoch &it : promises) {
    const auto held = Holdings.find(it.Target);
    const bool counts = held != Holdings.end() && isOwner(held->second) &&
                        held->second.Record.Number == it.Number &&
                        !held->second.OpenWrite;
    if (counts) {
      Time &last =
          held->second.PromisedAt.try_emplace(from, sentAt).first->second;
      last = std::max(last, sentAt);
    }
  }
}

std::optional<Time> Ownership::evidence(const Holding &held) const {
  std::optional<Time> promised;
  for (const Instance &it : held.Record.Successors) {
    const auto at = held.PromisedAt.find(it);
    if (at == held.PromisedAt.end()) {
      return held.ConfirmedAt;
    }
    promised = promised ? std::min(*promised, at->second) : at->second;
  }
  return std::max(promised, held.ConfirmedAt);
}

bool Ownership::mayGrant(const TargetId &target) const {
  const auto it = Holdings.find(target);
  if (it == Holdings.end() || it->second.State != Granting) {
    return false;
  }
  return !olderThan(evidence(it->second), Ctx.Now, Ctx.Limits.PromiseLife);
}

Epoch Ownership::epoch(const TargetId &target) const {
  const auto it = Holdings.find(target);
  return it == Holdings.end() ? Epoch{} : it->second.Record.Number;
}

const std::string &Ownership::state(const TargetId &target) const {
  static const std::string none = None;
  const auto it = Holdings.find(target);
  return it == Holdings.end() ? none : it->second.State;
}

std::vector<TargetEpoch> Ownership::owned() const {
  std::vector<TargetEpoch> all;
  for (const auto &[id, held] : Holdings) {
    if (isOwner(held)) {
      all.push_back({id, held.Record.Number});
    }
  }
  return all;
}

std::vector<TargetEpoch> Ownership::askOf(const HostId &successor) const {
  std::vector<TargetEpoch> all;
  for (const auto &[id, held] : Holdings) {
    const bool listed = std::any_of(
        held.Record.Successors.begin(), held.Record.Successors.end(),
        [&](const Instance &it) { return it.Host == successor; });
    if (listed && isOwner(held)) {
      all.push_back({id, held.Record.Number});
    }
  }
  return all;
}

std::set<HostId> Ownership::successorHosts() const {
  std::set<HostId> hosts;
  for (const auto &[id, held] : Holdings) {
    if (!isOwner(held)) {
      continue;
    }
    for (const Instance &it : held.Record.Successors) {
      hosts.insert(it.Host);
    }
  }
  return hosts;
}

bool Ownership::empty() const {
  return std::all_of(Holdings.begin(), Holdings.end(),
                     [](const auto &it) { return it.second.State == None; });
}

std::optional<Instance> Ownership::betterOwner(const TargetId &id) const {
  const auto best = Best.find(id);
  if (best == Best.end() || best->second == Ctx.Me.Host) {
    return std::nullopt;
  }
  const Peer *peer = Members.peer(best->second);
  if (peer == nullptr || peer->Life.Value == 0) {
    return std::nullopt;
  }
  const bool alive = Ctx.Now - peer->HeardAt < Ctx.Limits.SuspectAfter;
  const bool settled = Ctx.Now - peer->LifeSeenAt > Ctx.Limits.RebalanceAfter ||
                       Ctx.Self.Leaving;
  if (!alive || !settled) {
    return std::nullopt;
  }
  return Instance{best->second, peer->Life};
}

bool Ownership::needsNewSuccessors(const TargetId &id,
                                   const Holding &held) const {
  constexpr std::size_t enough = 2;
  const std::vector<Instance> &listed = held.Record.Successors;
  const bool ended =
      std::any_of(listed.begin(), listed.end(), [&](const Instance &it) {
        return Members.isDead(it) || !Members.stays(it.Host);
      });
  if (!ended && listed.size() >= enough) {
    return false;
  }
  const std::vector<Instance> wanted = freshSuccessors(id, Ctx.Me.Host);
  return listed.size() < wanted.size() || (ended && wanted != listed);
}

std::vector<Instance> Ownership::freshSuccessors(const TargetId &id,
                                                 const HostId &owner) const {
  std::vector<Instance> found;
  for (const HostId &host : Members.successorsOf(owner, ownerKeyOf(id))) {
    const Peer *peer = Members.peer(host);
    if (host == Ctx.Me.Host) {
      found.push_back(Ctx.Me);
    } else if (peer != nullptr && peer->Life.Value != 0) {
      found.push_back({host, peer->Life});
    }
  }
  return found;
}

} // namespace nutmegsill::detail
