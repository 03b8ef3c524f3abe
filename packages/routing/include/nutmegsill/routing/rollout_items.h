/// Orders to move a pool to another version, and their states, as the store
/// holds them.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// An order of the operators: a pool's traffic moves to targets of a version.
struct RolloutOrder {
  std::string To;
  /// Time from the order to its deadline.
  Duration Deadline{0};
  bool operator==(const RolloutOrder &) const = default;
};

enum class RolloutState { Running, Complete, Reverted };
const char *rolloutStateName(RolloutState state);

/// What the routers state of a roll-out.
struct RolloutStatus {
  RolloutState State = RolloutState::Running;
  std::string To;
  bool operator==(const RolloutStatus &) const = default;
};

/// What the store holds about the roll-out of one pool.
struct RolloutItems {
  std::optional<RolloutOrder> Order;
  std::optional<RolloutStatus> Status;
};

// Decoded items of the store; without a value if the item was removed.

struct RolloutOrderUpdated {
  PoolId Pool;
  std::optional<RolloutOrder> Order;
};
struct RolloutStatusUpdated {
  PoolId Pool;
  std::optional<RolloutStatus> Status;
};

/// The orders and states that a router knows from the store.
class KnownRollouts {
public:
  /// Return whether anything changed.
  bool apply(const RolloutOrderUpdated &it);
  bool apply(const RolloutStatusUpdated &it);
  /// Keeps the orders that a restored store lacks until `until`, as they are
  /// written again.
  void keepOrders(Time until);
  /// Removes what a listing lacks. `present` holds what it names.
  bool removeMissing(const std::map<PoolId, RolloutItems> &present);
  /// Removes kept orders that were not written again.
  bool expire(Time now);

  const std::map<PoolId, RolloutItems> &items() const { return Items; }
  std::vector<FleetChange> takeChanges();

private:
  void removeIfEmpty(const PoolId &pool);

  std::map<PoolId, RolloutItems> Items;
  /// When the orders end that a restored store lacks.
  std::map<PoolId, Time> KeptOrders;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
