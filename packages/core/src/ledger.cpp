#include "ledger.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

/// Usage intervals after which a silent entry or floor no longer counts.
constexpr int StaleIntervals = 4;

} // namespace

void Ledger::charge(const TeamInPool &team, VirtualService service) {
  Counter &counter = Counters[team];
  counter.Own = counter.Own + service;
  counter.Changed = true;
}

void Ledger::setBacklogged(const TeamInPool &team, bool backlogged) {
  Counter &counter = Counters[team];
  if (counter.Backlogged == backlogged) {
    return;
  }
  counter.Backlogged = backlogged;
  counter.Changed = true;
  if (backlogged) {
    counter.BackloggedSince = Ctx.Now;
    counter.Unconfirmed = true;
  }
}

VirtualService Ledger::tag(const TeamInPool &team) const {
  const auto it = Counters.find(team);
  if (it == Counters.end()) {
    return floorOf(team.first);
  }
  const VirtualService known = it->second.Own + it->second.Others;
  return it->second.Unconfirmed ? std::max(known, floorOf(team.first)) : known;
}

void Ledger::noteGrant(const PoolId &pool, VirtualService tag) {
  Granted[pool][Ctx.Me.Host] = Floor{tag, Ctx.Now};
}

void Ledger::noteFloors(const HostId &from,
                        const std::vector<PoolFloor> &floors) {
  for (const PoolFloor &it : floors) {
    Granted[it.Pool][from] = Floor{it.Floor, Ctx.Now};
  }
}

std::vector<PoolFloor> Ledger::floors() const {
  std::vector<PoolFloor> recent;
  for (const auto &[pool, hosts] : Granted) {
    const auto it = hosts.find(Ctx.Me.Host);
    if (it != hosts.end() && isRecent(it->second)) {
      recent.push_back({pool, it->second.Tag});
    }
  }
  return recent;
}

bool Ledger::isRecent(const Floor &floor) const {
  return Ctx.Now - floor.At < StaleIntervals * Ctx.Limits.UsageInterval;
}

VirtualService Ledger::ceilingOf(const PoolId &pool) const {
  VirtualService highest;
  const auto hosts = Granted.find(pool);
  if (hosts == Granted.end()) {
    return highest;
  }
  for (const auto &[host, floor] : hosts->second) {
    if (isRecent(floor)) {
      highest = std::max(highest, floor.Tag);
    }
  }
  return highest;
}

VirtualService Ledger::floorOf(const PoolId &pool) const {
  VirtualService &lowest = Lowest[pool];
  const auto hosts = Granted.find(pool);
  if (hosts == Granted.end()) {
    return lowest;
  }
  std::optional<VirtualService> least;
  for (const auto &[host, floor] : hosts->second) {
    if (isRecent(floor) && (!least || floor.Tag < *least)) {
      least = floor.Tag;
    }
  }
  if (least) {
    lowest = std::max(lowest, *least);
  }
  return lowest;
}

void Ledger::report(const TeamInPool &team, Counter &counter) {
  counter.Changed = false;
  counter.ReportedAt = Ctx.Now;
  counter.Reported = counter.Own;
  Ctx.send(Members.homeOf(team.first, team.second),
           Usage{team.first, team.second, counter.Own, counter.Acknowledged,
                 counter.Others, counter.Backlogged, Ctx.Now});
}

void Ledger::onTick() {
  dropMovedHomes();
  for (auto &[team, counter] : Counters) {
    const bool wanted = counter.Changed || counter.Backlogged;
    if (wanted &&
        olderThan(counter.ReportedAt, Ctx.Now, Ctx.Limits.UsageInterval)) {
      report(team, counter);
    }
  }
}

VirtualService Ledger::totalOf(const Home &home) const {
  VirtualService total = home.Base;
  for (const auto &[host, entry] : home.Entries) {
    total = total + entry.Own;
  }
  return total;
}

bool Ledger::anyBacklogged(const Home &home) const {
  const Duration life = StaleIntervals * Ctx.Limits.UsageInterval;
  return std::any_of(
      home.Entries.begin(), home.Entries.end(), [&](const auto &it) {
        return it.second.Backlogged && Ctx.Now - it.second.ReceivedAt < life;
      });
}

void Ledger::admit(Home &home, const Usage &usage) {
  const VirtualService before = totalOf(home);
  const VirtualService known = usage.Acknowledged + usage.Others;
  if (before < known) {
    home.Base = home.Base + (known - before);
  }
  home.Base = home.Base - usage.Acknowledged;
}

void Ledger::onUsage(const Instance &from, const Usage &usage) {
  Home &home = Homes[{usage.Pool, usage.Team}];
  const bool was = anyBacklogged(home);
  const auto known = home.Entries.find(from.Host);
  if (known == home.Entries.end()) {
    admit(home, usage);
  } else {
    const Report &last = known->second;
    const bool sameLife = last.Life == from.Life;
    if (from.Life < last.Life || (sameLife && usage.SentAt < last.SentAt)) {
      return;
    }
    if (!sameLife) {
      home.Base = home.Base + last.Own;
    }
  }
  home.Entries[from.Host] =
      Report{from.Life, usage.SentAt, usage.Own, usage.Backlogged, Ctx.Now};
  const VirtualService total = totalOf(home);
  const VirtualService floor = floorOf(usage.Pool);
  if (usage.Backlogged && !was && total < floor) {
    home.Base = home.Base + (floor - total);
  }
  Ctx.send(from.Host, UsageReply{usage.Pool, usage.Team,
                                 totalOf(home) - usage.Own, usage.SentAt});
}

void Ledger::onUsageReply(const UsageReply &reply) {
  const auto it = Counters.find({reply.Pool, reply.Team});
  if (it == Counters.end()) {
    return;
  }
  Counter &counter = it->second;
  if (reply.EchoSentAt == counter.ReportedAt) {
    counter.Acknowledged = counter.Reported;
  }
  if (counter.Unconfirmed) {
    counter.Unconfirmed =
        counter.BackloggedSince && reply.EchoSentAt < *counter.BackloggedSince;
  }
  counter.Others = reply.Others;
}

void Ledger::dropMovedHomes() {
  if (HomesVersion == Members.version()) {
    return;
  }
  HomesVersion = Members.version();
  for (auto it = Homes.begin(); it != Homes.end();) {
    const HostId home = Members.homeOf(it->first.first, it->first.second);
    it = home == Ctx.Me.Host ? std::next(it) : Homes.erase(it);
  }
}

std::vector<TeamStatus> Ledger::homeStatus() const {
  std::vector<TeamStatus> all;
  all.reserve(Homes.size());
  for (const auto &[team, home] : Homes) {
    all.push_back(
        {team.first, team.second, totalOf(home), anyBacklogged(home), 0});
  }
  return all;
}

} // namespace nutmegsill::detail
