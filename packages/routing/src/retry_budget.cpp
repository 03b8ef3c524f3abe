#include "nutmegsill/routing/retry_budget.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Fraction of the budget that is used; the rest covers routers with differing
/// views of the fleet.
constexpr double BudgetSafetyFactor = 0.8;

} // namespace

void RetryBudget::removeExpired(std::deque<Time> &times, Time now) const {
  while (!times.empty() && times.front() + Policy.Window <= now) {
    times.pop_front();
  }
}

void RetryBudget::recordRequest(const PoolId &pool, Time now) {
  RecentTimes &recent = Pools[pool];
  removeExpired(recent.RequestTimes, now);
  recent.RequestTimes.push_back(now);
}

bool RetryBudget::allowsRetry(const PoolId &pool, std::size_t routers,
                              Time now) {
  RecentTimes &recent = Pools[pool];
  removeExpired(recent.RequestTimes, now);
  removeExpired(recent.RetryTimes, now);
  const double extra = static_cast<double>(Policy.ExtraRetries) /
                       static_cast<double>(std::max<std::size_t>(1, routers));
  const double allowed =
      BudgetSafetyFactor *
      (Policy.RetryRatio * static_cast<double>(recent.RequestTimes.size()) +
       extra);
  return static_cast<double>(recent.RetryTimes.size()) + 1 <= allowed;
}

void RetryBudget::recordRetry(const PoolId &pool, Time now) {
  Pools[pool].RetryTimes.push_back(now);
}

} // namespace nutmegsill::routing
