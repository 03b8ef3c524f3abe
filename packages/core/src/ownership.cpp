#include "ownership.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

constexpr const char *None = "none";
constexpr const char *Swapping = "swapping";
constexpr const char *Waiting = "waiting";
constexpr const char *Recovering = "recovering";
constexpr const char *Granting = "granting";
/// Intervals of `RecordRetry` between reads of a record that others own.
constexpr int IdleReadIntervals = 8;

std::string ownerKeyOf(const TargetId &id) { return "owner/" + id.Text; }

} // namespace

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

bool Ownership::onReply(const PlatformReply &reply) {
  const auto it = Calls.find(reply.Id);
  if (it == Calls.end()) {
    return false;
  }
  const Pending pending = it->second;
  Calls.erase(it);
  Holding &held = holding(pending.Target);
  held.CallOpen = false;
  held.NextCallAt = Ctx.Now + Ctx.Limits.RecordRetry;
  std::visit(
      Overloaded{
          [&](const KvValues &values) {
            if (!values.Values.empty()) {
              onRead(pending.Target, held, reply.SentAt, values.Values.front());
            }
          },
          [&](const KvSwapped &result) {
            onWritten(pending.Target, held, pending.Why, reply.SentAt, result);
          },
          [&](const KvFailed &) {
            onFailed(pending.Target, held, pending.Why);
          },
      },
      reply.Result);
  return true;
}

void Ownership::onRead(const TargetId &id, Holding &held, Time sentAt,
                       const KvValue &value) {
  const std::optional<OwnerRecord> record = decodeOwner(value.Text);
  if (value.ModRevision == 0) {
    if (held.State == None) {
      held.ModRevision = 0;
      claim(id, held, Epoch{0});
    } else if (held.State == Swapping) {
      write(id, held, Purpose::Claim, held.Record);
    }
    return;
  }
  if (!record) {
    Ctx.decide("owner_record_unreadable", {{"target", id.Text}});
    return;
  }
  if (held.State == None) {
    held.ModRevision = value.ModRevision;
    onReadWhileIdle(id, held, *record);
  } else if (held.State == Swapping) {
    onReadWhileSwapping(id, held, sentAt, *record, value.ModRevision);
  } else if (isOwner(held)) {
    onReadWhileOwner(id, held, sentAt, *record, value.ModRevision);
  }
}

void Ownership::onReadWhileIdle(const TargetId &id, Holding &held,
                                const OwnerRecord &record) {
  onRows({OwnerRow{id, record.Number, record.Owner}});
  if (record.Owner == Ctx.Me && record.HandedOver) {
    Ctx.advance(Ctx.ChartSet->Ownership, held.State, "claim");
    held.Record = record;
    enter(id, held, Ctx.Now - Ctx.Limits.PromiseLife, false);
    return;
  }
  const auto best = Best.find(id);
  const bool wanted = best != Best.end() && best->second == Ctx.Me.Host;
  const bool own = record.Owner.Host == Ctx.Me.Host;
  if (takeOverAsSuccessor(id, record) || own || (wanted && allDead(record))) {
    claim(id, held, record.Number);
    return;
  }
  held.NextCallAt = Ctx.Now + IdleReadIntervals * Ctx.Limits.RecordRetry;
}

bool Ownership::takeOverAsSuccessor(const TargetId &id,
                                    const OwnerRecord &record) {
  const auto it = Watches.find(id);
  if (it == Watches.end()) {
    return false;
  }
  Watch &watch = it->second;
  const auto place =
      std::find(record.Successors.begin(), record.Successors.end(), Ctx.Me);
  const bool current =
      record.Owner == watch.Owner && record.Number == watch.Number;
  if (!current || place == record.Successors.end()) {
    Watches.erase(it);
    return false;
  }
  const auto before = place - record.Successors.begin();
  const bool silent =
      Ctx.Now - watch.HeardAt > (before + 1) * Ctx.Limits.SuspectAfter;
  if (!silent && !Members.isDead(watch.Owner)) {
    return false;
  }
  watch.Refused = true;
  Ctx.decide("take_over", {{"target", id.Text},
                           {"from", record.Owner.Host.Text},
                           {"epoch", std::to_string(record.Number.Value)}});
  return true;
}

bool Ownership::allDead(const OwnerRecord &record) const {
  return Members.isDead(record.Owner) &&
         std::all_of(record.Successors.begin(), record.Successors.end(),
                     [&](const Instance &it) { return Members.isDead(it); });
}

void Ownership::onReadWhileSwapping(const TargetId &id, Holding &held,
                                    Time sentAt, const OwnerRecord &record,
                                    std::uint64_t mod) {
  if (record.WriteId == held.Record.WriteId) {
    held.ModRevision = mod;
    enter(id, held, sentAt, true);
  } else if (mod == held.ModRevision) {
    write(id, held, Purpose::Claim, held.Record);
  } else {
    drop(id, held, "another router wrote the owner record");
  }
}

void Ownership::onReadWhileOwner(const TargetId &id, Holding &held, Time sentAt,
                                 const OwnerRecord &record, std::uint64_t mod) {
  const bool mine =
      record.Owner == Ctx.Me && record.Number == held.Record.Number;
  if (!mine) {
    onRows({OwnerRow{id, record.Number, record.Owner}});
    drop(id, held, "the owner record names another owner");
    return;
  }
  held.ConfirmedAt = std::max(held.ConfirmedAt, std::optional<Time>(sentAt));
  if (held.OpenWrite && mod == held.ModRevision) {
    write(id, held, Purpose::Reenlist, *held.OpenWrite);
    return;
  }
  held.OpenWrite.reset();
  held.Record = record;
  held.ModRevision = mod;
}

void Ownership::onWritten(const TargetId &id, Holding &held, Purpose why,
                          Time sentAt, const KvSwapped &result) {
  if (!result.Done) {
    if (why == Purpose::HandOver) {
      drop(id, held, "another router wrote the owner record");
    }
    // A claim that seems lost may be an earlier try that took effect; the next
    // read tells.
    held.NextCallAt = Ctx.Now;
    return;
  }
  const bool first = held.ModRevision == 0;
  held.ModRevision = result.ModRevision;
  switch (why) {
  case Purpose::Read:
    break;
  case Purpose::Claim:
    enter(id, held, sentAt, !first);
    break;
  case Purpose::Reenlist:
    if (held.OpenWrite) {
      held.Record = *held.OpenWrite;
    }
    held.OpenWrite.reset();
    held.ConfirmedAt = std::max(held.ConfirmedAt, std::optional<Time>(sentAt));
    break;
  case Purpose::HandOver:
    announce(id, held.Record);
    drop(id, held, "handed over");
    break;
  }
}

void Ownership::onFailed(const TargetId &id, Holding &held, Purpose why) {
  if (why == Purpose::HandOver) {
    drop(id, held, "the outcome of the hand-over is unknown");
  }
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
