/// Limits how many requests are retried.
#pragma once

#include "nutmegsill/types.h"

#include <cstdint>
#include <deque>
#include <map>

namespace nutmegsill::routing {

/// Limits for the whole fleet, from the settings.
struct RetryBudgetPolicy {
  /// Retries per request in any window.
  double RetryRatio = 0.1;
  Duration Window = std::chrono::seconds(10);
  /// Retries in any window in addition to the ratio, for the whole fleet.
  std::uint32_t ExtraRetries = 0;
};

/// One router's part of the fleet's retry budget.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetPolicy policy) : Policy(policy) {}

  void recordRequest(const PoolId &pool, Time now);
  /// Returns whether the budget allows one more retry. `routers` is the number
  /// of routers that divide the extra retries evenly.
  bool allowsRetry(const PoolId &pool, std::size_t routers, Time now);
  void recordRetry(const PoolId &pool, Time now);

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
