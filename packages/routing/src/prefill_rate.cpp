#include "nutmegsill/routing/prefill_rate.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

double PrefillRate::keptFraction(Duration age,
                                 const PrefillRatePolicy &policy) {
  return std::exp(-std::max(0.0, toSeconds(age)) /
                  toSeconds(policy.TimeConstant));
}

PrefillSums PrefillRate::sums(Time now) const {
  const double kept = keptFraction(now - UpdatedAt, Policy);
  return {Sums.Tokens * kept, Sums.Seconds * kept};
}

void PrefillRate::record(double tokens, Duration elapsed, Time now) {
  Sums = sums(now);
  Sums.Tokens += tokens;
  Sums.Seconds += std::max(0.0, toSeconds(elapsed));
  UpdatedAt = now;
}

double PrefillRate::rate(double prior, Time now) const {
  const PrefillSums known = sums(now);
  const double priorSeconds = toSeconds(Policy.PriorTime);
  return (known.Tokens + prior * priorSeconds) / (known.Seconds + priorSeconds);
}

} // namespace nutmegsill::routing
