#include "nutmegsill/routing/place_queue.h"

#include <algorithm>

namespace nutmegsill::routing {

PlaceUrgency PlaceUrgency::of(const RouteRule &route, Duration elapsed,
                              Time now) {
  return {route.allowsRetry() ? 1 : 0, now - elapsed + route.LatencyObjective};
}

std::optional<PlaceTicket> PlaceQueue::enter(const PoolId &pool,
                                             const TeamId &team,
                                             const PlaceUrgency &urgency) {
  std::vector<Entry> &queue = Pools[pool];
  const PlaceTicket ticket = ++LastTicket;
  const auto position = std::upper_bound(
      queue.begin(), queue.end(), urgency,
      [](const PlaceUrgency &a, const Entry &b) { return a < b.Urgency; });
  queue.insert(position, Entry{ticket, team, urgency});
  if (queue.size() <= MaxWaiting) {
    return ticket;
  }
  std::map<TeamId, std::size_t> counts;
  std::size_t most = 0;
  for (const Entry &it : queue) {
    most = std::max(most, ++counts[it.Team]);
  }
  const auto last =
      std::find_if(queue.rbegin(), queue.rend(),
                   [&](const Entry &it) { return counts[it.Team] == most; });
  const PlaceTicket removed = last->Ticket;
  queue.erase(std::next(last).base());
  return removed == ticket ? std::nullopt : std::optional(ticket);
}

void PlaceQueue::leave(const PoolId &pool, PlaceTicket ticket) {
  const auto queue = Pools.find(pool);
  if (queue == Pools.end()) {
    return;
  }
  std::erase_if(queue->second,
                [&](const Entry &it) { return it.Ticket == ticket; });
  if (queue->second.empty()) {
    Pools.erase(queue);
  }
}

bool PlaceQueue::isWaiting(const PoolId &pool, PlaceTicket ticket) const {
  const auto queue = Pools.find(pool);
  return queue != Pools.end() &&
         std::any_of(queue->second.begin(), queue->second.end(),
                     [&](const Entry &it) { return it.Ticket == ticket; });
}

bool PlaceQueue::isPreceded(const PoolId &pool,
                            std::optional<PlaceTicket> ticket,
                            const PlaceUrgency &urgency) const {
  const auto queue = Pools.find(pool);
  if (queue == Pools.end()) {
    return false;
  }
  const Entry &head = queue->second.front();
  return head.Ticket != ticket && head.Urgency <= urgency;
}

std::optional<PlaceTicket> PlaceQueue::first(const PoolId &pool) const {
  const auto queue = Pools.find(pool);
  return queue == Pools.end() ? std::nullopt
                              : std::optional(queue->second.front().Ticket);
}

} // namespace nutmegsill::routing
