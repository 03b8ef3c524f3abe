#include "nutmegsill/routing/hedging.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

constexpr double FirstBucketSeconds = 1e-3;
constexpr double BucketFactor = 1.2;
/// Routes come and go with the configuration.
constexpr std::size_t MaxRoutes = 1'024;

} // namespace

void ResponseTimes::record(Duration time, Duration timeConstant, Time now) {
  const double kept = std::exp(-std::max(0.0, toSeconds(now - UpdatedAt)) /
                               toSeconds(timeConstant));
  UpdatedAt = now;
  for (double &it : Counts) {
    it *= kept;
  }
  const double steps =
      std::log(std::max(1.0, toSeconds(time) / FirstBucketSeconds)) /
      std::log(BucketFactor);
  Counts[std::min(BucketCount - 1, static_cast<std::size_t>(steps))] += 1;
  Total = Total * kept + 1;
}

std::optional<Duration> ResponseTimes::quantile(double fraction,
                                                double minCount) const {
  if (Total < minCount) {
    return std::nullopt;
  }
  double below = 0;
  std::size_t i = 0;
  while (i + 1 < BucketCount && below + Counts[i] < fraction * Total) {
    below += Counts[i];
    ++i;
  }
  const double upper =
      FirstBucketSeconds * std::pow(BucketFactor, static_cast<double>(i + 1));
  return Duration(static_cast<std::int64_t>(upper * 1e6));
}

Hedging::Pool &Hedging::poolState(const PoolId &pool) {
  const Pool empty{0, Meter(Policy.SlowPoolSeconds),
                   Meter(Policy.SlowPoolSeconds)};
  return Pools.try_emplace(pool, empty).first->second;
}

void Hedging::recordRequest(const PoolId &pool, Time now) {
  if (isEnabled()) {
    Pool &state = poolState(pool);
    state.Requests.add(1, now);
    state.Credit = std::min(Policy.MaxCredit, state.Credit + Policy.Budget);
  }
}

void Hedging::recordResponse(const std::string &route, Duration time,
                             Time now) {
  if (!isEnabled()) {
    return;
  }
  if (Routes.size() >= MaxRoutes && Routes.count(route) == 0) {
    Routes.clear();
  }
  Routes[route].record(time, Policy.TimeConstant, now);
}

std::optional<Duration> Hedging::delay(const std::string &route) const {
  const auto it = Routes.find(route);
  if (it == Routes.end()) {
    return std::nullopt;
  }
  const std::optional<Duration> usual =
      it->second.quantile(Policy.Quantile, Policy.MinResponses);
  return usual ? std::optional(Duration(static_cast<std::int64_t>(
                     Policy.QuantileFactor *
                     static_cast<double>(usual->count()))))
               : std::nullopt;
}

bool Hedging::allows(const PoolId &pool, Time now) {
  Pool &state = poolState(pool);
  state.Late.add(1, now);
  const double late = state.Late.rate(now) * Policy.SlowPoolSeconds;
  const double all = state.Requests.rate(now) * Policy.SlowPoolSeconds;
  const bool isSlow =
      late > Policy.SlowPoolFraction * (all + Policy.SlowPoolPrior);
  return !isSlow && state.Credit >= 1;
}

void Hedging::recordStarted(const PoolId &pool) { poolState(pool).Credit -= 1; }

} // namespace nutmegsill::routing
