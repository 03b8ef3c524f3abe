/// Bounds how many requests are sent to a second target.
#pragma once

#include "nutmegsill/types.h"

#include <cstdint>
#include <deque>
#include <map>

namespace nutmegsill::routing {

/// Bounds of the whole fleet, from the settings.
struct RetryBudgetPolicy {
  /// Repeats for each request, in any window.
  double RetryRatio = 0.1;
  Duration Window = std::chrono::seconds(10);
  /// Repeats in any window beyond the ratio, for the whole fleet.
  std::uint32_t ExtraRetries = 0;
};

/// The part of the fleet's budget that one router may use.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetPolicy policy) : Policy(policy) {}

  void recordRequest(const PoolId &pool, Time now);
  /// Takes one repeat when the budget allows it; `routers` share the extra.
  bool tryAcquire(const PoolId &pool, std::size_t routers, Time now);

private:
  struct RecentTimes {
    std::deque<Time> RequestTimes;
    std::deque<Time> RetryTimes;
  };
  void removeExpired(std::deque<Time> &times, Time now) const;

  RetryBudgetPolicy Policy;
  std::map<PoolId, RecentTimes> Pools;
};

} // namespace nutmegsill::routing
