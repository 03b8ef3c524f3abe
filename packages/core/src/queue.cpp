// Queues of the entry and the demands that go out for them.
#include "entry.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

/// A hint about free slots is followed for this long.
constexpr Duration HintLife = milliseconds(1000);
/// Requests that owners should know of while more are waiting.
constexpr std::int64_t DemandReserve = 4;

} // namespace

void Entry::onTick(bool serving) {
  for (auto it = SeenGrants.begin(); it != SeenGrants.end();) {
    const bool late = Ctx.Now - it->second > 2 * Ctx.Limits.GrantLife;
    it = late ? SeenGrants.erase(it) : std::next(it);
  }
  for (auto &[team, queue] : Queues) {
    if (!queue.Waiting.empty()) {
      tickQueue(team, queue, serving);
    }
  }
}

void Entry::tickQueue(const TeamInPool &team, Queue &queue, bool serving) {
  expire(team, queue);
  if (queue.Waiting.empty() || !serving) {
    return;
  }
  if (olderThan(queue.WidenedAt, Ctx.Now, Ctx.Limits.WidenAfter)) {
    widen(team, queue);
  }
  const bool refresh =
      olderThan(queue.SentAt, Ctx.Now, Ctx.Limits.DemandRefresh);
  // Each owner knows of at least `KnownToOwners` requests; more are told only
  // when an owner could take the queue for empty soon.
  const std::int64_t waiting = static_cast<std::int64_t>(queue.Waiting.size());
  const bool update = queue.KnownToOwners < std::min(waiting, DemandReserve) &&
                      olderThan(queue.SentAt, Ctx.Now, Ctx.Limits.DemandGap);
  if (olderThan(queue.AdaptedAt, Ctx.Now, Ctx.Limits.DemandRefresh)) {
    adaptWidth(team, queue);
  }
  if (refresh || update) {
    sendDemand(team, queue, queue.RefreshWidth);
  }
}

void Entry::expire(const TeamInPool &team, Queue &queue) {
  const auto pool = Ctx.Config->Pools.find(team.first);
  while (!queue.Waiting.empty()) {
    const RequestId id = queue.Waiting.front();
    Request &request = Requests.at(id);
    const bool gone = pool == Ctx.Config->Pools.end();
    const bool due = gone || Ctx.Now - request.ReceivedAt >=
                                 Duration(pool->second.QueueTimeout);
    if (!due) {
      return;
    }
    leaveQueue(id, request);
    refuseTruly(id, request, gone ? Refusal::NoPool : Refusal::QueueTimeout);
  }
}

void Entry::adaptWidth(const TeamInPool &team, Queue &queue) {
  queue.AdaptedAt = Ctx.Now;
  const TeamConfig &config = Ctx.Config->Teams.at(team.second);
  const VirtualService one = perWeight(estimate(team), config.Weight);
  const bool behind =
      Shares.tag(team) + one + one < Shares.ceilingOf(team.first);
  if (behind) {
    queue.RefreshWidth = std::min(Ctx.Limits.MaxWidth, 2 * queue.RefreshWidth);
  } else {
    queue.RefreshWidth =
        std::max(Ctx.Limits.RefreshWidth, queue.RefreshWidth - 1);
  }
}

void Entry::widen(const TeamInPool &team, Queue &queue) {
  queue.WidenedAt = Ctx.Now;
  if (queue.Width >= Ctx.Limits.MaxWidth) {
    return;
  }
  queue.Width = std::min(Ctx.Limits.MaxWidth, queue.Width * 2);
  std::vector<HostId> fresh;
  for (const HostId &host : ownersOf(team.first, team.second)) {
    const bool room = queue.Contacted.size() + fresh.size() < queue.Width;
    if (room && queue.Contacted.count(host) == 0) {
      fresh.push_back(host);
    }
  }
  sendDemandTo(team, queue, fresh);
}

void Entry::sendDemand(const TeamInPool &team, Queue &queue,
                       std::uint32_t width) {
  std::vector<HostId> owners = ownersOf(team.first, team.second);
  owners.resize(std::min<std::size_t>(owners.size(), width));
  queue.SentAt = Ctx.Now;
  queue.KnownToOwners = static_cast<std::int64_t>(queue.Waiting.size());
  sendDemandTo(team, queue, owners);
}

void Entry::sendDemandTo(const TeamInPool &team, Queue &queue,
                         const std::vector<HostId> &owners) {
  const TeamConfig &config = Ctx.Config->Teams.at(team.second);
  const Demand demand{team.first,
                      team.second,
                      Shares.tag(team),
                      static_cast<std::uint32_t>(queue.Waiting.size()),
                      perWeight(estimate(team), config.Weight),
                      Ctx.Now};
  for (const HostId &host : owners) {
    queue.Contacted.insert(host);
    Ctx.send(host, demand);
  }
}

void Entry::onOffer(const HostId &owner, const Offer &offer) {
  Hints[{offer.Pool, owner}] = FreeHint{offer.Free, Ctx.Now};
  const std::optional<TeamInPool> team = lowestQueue(offer.Pool);
  if (team && Ctx.Config->Teams.count(team->second) != 0) {
    sendDemandTo(*team, Queues.at(*team), {owner});
  }
}

void Entry::cancelDemand(const TeamInPool &team, Queue &queue) {
  // A demand for one request ends with its grant; others are told.
  const bool several = queue.Contacted.size() > 1;
  if (several) {
    for (const HostId &host : queue.Contacted) {
      Ctx.send(host, Demand{team.first, team.second, Shares.tag(team), 0,
                            VirtualService{}, Ctx.Now});
    }
  }
  queue.Contacted.clear();
}

std::vector<HostId> Entry::ownersOf(const PoolId &pool,
                                    const TeamId &team) const {
  struct Candidate {
    std::uint32_t Free = 0;
    std::uint64_t Weight = 0;
    HostId Host;
  };
  std::map<HostId, Candidate> found;
  for (const auto &[target, row] : Owners.rows()) {
    const auto config = Ctx.Config->Targets.find(target);
    const bool usable =
        config != Ctx.Config->Targets.end() && config->second.Pool == pool &&
        Ctx.Config->accepts(target) && !Members.isDead(row.Owner);
    if (!usable || found.count(row.Owner.Host) != 0) {
      continue;
    }
    const auto hint = Hints.find({pool, row.Owner.Host});
    const bool fresh =
        hint != Hints.end() && Ctx.Now - hint->second.At < HintLife;
    found[row.Owner.Host] =
        Candidate{fresh ? hint->second.Free : 0,
                  rendezvousWeight(row.Owner.Host, "demand/" + team.Text + "/" +
                                                       Ctx.Me.Host.Text),
                  row.Owner.Host};
  }
  std::vector<Candidate> order;
  order.reserve(found.size());
  for (const auto &[host, candidate] : found) {
    order.push_back(candidate);
  }
  std::sort(order.begin(), order.end(),
            [](const Candidate &a, const Candidate &b) {
              return std::tie(a.Free, a.Weight, a.Host) >
                     std::tie(b.Free, b.Weight, b.Host);
            });
  std::vector<HostId> hosts;
  hosts.reserve(order.size());
  for (const Candidate &it : order) {
    hosts.push_back(it.Host);
  }
  return hosts;
}

} // namespace nutmegsill::detail
