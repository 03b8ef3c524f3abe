#include "nutmegsill/rendezvous.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/entry_routers.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Time without progress after which a target with running requests is only
/// used if there is no other.
constexpr Duration StallTimeout = milliseconds(1'500);

bool contains(const std::vector<TargetId> &list, const TargetId &id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

void Dispatcher::updateColdSenders() {
  // Other routers rarely have requests for the permits that they hold.
  const std::set<HostId> senders = preferredRouters(View->Routers);
  IsPreferred = senders.empty() || senders.count(Self) != 0;
  for (auto &[id, state] : Targets) {
    if (state.Known.ColdUntil == Time{}) {
      continue;
    }
    const std::uint64_t own = rendezvousWeight(Self, id.Text);
    std::uint32_t ahead = 0;
    for (const HostId &it : senders) {
      if (it != Self && rendezvousWeight(it, id.Text) > own) {
        ++ahead;
      }
    }
    state.MaySendWhileCold = IsPreferred && ahead < Policy.ColdSenderCount;
  }
}

bool Dispatcher::isEligible(TargetState &state, const DispatchRequest &request,
                            Time now) {
  const TargetEntry &entry = state.Known.Entry;
  if (entry.Draining || state.Known.InEvacuatedZone ||
      !Statements.isOpen(processOf(state), now) ||
      contains(request.AttemptedTargets, entry.Target)) {
    return false;
  }
  if (state.Known.ColdUntil <= now) {
    return true;
  }
  const PoolRule *pool = View->Config->findPool(entry.Pool);
  if (pool == nullptr || pool->ColdRequestRate <= 0) {
    return true;
  }
  if (!state.MaySendWhileCold) {
    return false;
  }
  const double rate =
      pool->ColdRequestRate * Policy.ColdRateFraction / Policy.ColdSenderCount;
  state.ColdPermits =
      std::min(1.0, state.ColdPermits +
                        rate * toSeconds(now - state.ColdPermitsUpdatedAt));
  state.ColdPermitsUpdatedAt = now;
  return state.ColdPermits >= 1.0;
}

std::vector<Dispatcher::TargetState *>
Dispatcher::candidates(const DispatchRequest &request, Time now) {
  std::vector<TargetState *> available;
  std::vector<TargetState *> fallback;
  for (TargetState *it : poolState(request.Pool, now).Targets) {
    const TargetEntry &entry = it->Known.Entry;
    const bool admitted =
        (!request.Version || entry.Version == *request.Version) &&
        (!AllowedVersions || Versions.admits(*AllowedVersions, entry));
    if (!admitted || !isEligible(*it, request, now)) {
      continue;
    }
    const bool stalled =
        it->RunningRequests > 0 && now - it->LastProgressAt > StallTimeout;
    const bool avoided = it->EjectedUntil > now || stalled;
    if (request.IsHedge && (avoided || it->Known.ColdUntil > now)) {
      continue;
    }
    (avoided ? fallback : available).push_back(it);
  }
  return available.empty() ? fallback : available;
}

} // namespace nutmegsill::routing
