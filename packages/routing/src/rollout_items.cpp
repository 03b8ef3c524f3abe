#include "nutmegsill/routing/rollout_items.h"

namespace nutmegsill::routing {

const char *rolloutStateName(RolloutState state) {
  switch (state) {
  case RolloutState::Running:
    return "running";
  case RolloutState::Complete:
    return "complete";
  case RolloutState::Reverted:
    return "reverted";
  }
  return "unknown";
}

void KnownRollouts::removeIfEmpty(const PoolId &pool) {
  const auto it = Items.find(pool);
  if (it != Items.end() && !it->second.Order && !it->second.Status) {
    Items.erase(it);
  }
}

bool KnownRollouts::apply(const RolloutOrderUpdated &it) {
  KeptOrders.erase(it.Pool);
  std::optional<RolloutOrder> &known = Items[it.Pool].Order;
  const bool changed = known != it.Order;
  if (changed && it.Order) {
    Changes.push_back({"rollout_ordered",
                       {{"pool", it.Pool.Text},
                        {"to", it.Order->To},
                        {"deadline_ms",
                         std::to_string(toMilliseconds(it.Order->Deadline))}}});
  } else if (changed) {
    Changes.push_back(
        {"rollout_order_removed", {{"pool", it.Pool.Text}, {"to", known->To}}});
  }
  known = it.Order;
  removeIfEmpty(it.Pool);
  return changed;
}

bool KnownRollouts::apply(const RolloutStatusUpdated &it) {
  std::optional<RolloutStatus> &known = Items[it.Pool].Status;
  const bool changed = known != it.Status;
  if (changed && it.Status) {
    Changes.push_back({"rollout_status",
                       {{"pool", it.Pool.Text},
                        {"to", it.Status->To},
                        {"state", rolloutStateName(it.Status->State)}}});
  }
  known = it.Status;
  removeIfEmpty(it.Pool);
  return changed;
}

void KnownRollouts::keepOrders(Time until) {
  for (const auto &[pool, it] : Items) {
    if (it.Order) {
      KeptOrders[pool] = until;
    }
  }
}

bool KnownRollouts::removeMissing(
    const std::map<PoolId, RolloutItems> &present) {
  bool changed = false;
  const std::map<PoolId, RolloutItems> known = Items;
  for (const auto &[pool, it] : known) {
    const auto listed = present.find(pool);
    const bool hasOrder = listed != present.end() && listed->second.Order;
    const bool hasStatus = listed != present.end() && listed->second.Status;
    if (it.Order && !hasOrder && KeptOrders.count(pool) == 0) {
      changed |= apply(RolloutOrderUpdated{pool, std::nullopt});
    }
    if (it.Status && !hasStatus) {
      changed |= apply(RolloutStatusUpdated{pool, std::nullopt});
    }
  }
  return changed;
}

bool KnownRollouts::expire(Time now) {
  bool changed = false;
  const std::map<PoolId, Time> kept = KeptOrders;
  for (const auto &[pool, until] : kept) {
    if (until <= now) {
      changed |= apply(RolloutOrderUpdated{pool, std::nullopt});
    }
  }
  return changed;
}

std::vector<FleetChange> KnownRollouts::takeChanges() {
  std::vector<FleetChange> out;
  out.swap(Changes);
  return out;
}

} // namespace nutmegsill::routing
