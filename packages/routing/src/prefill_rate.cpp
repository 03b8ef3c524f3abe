#include "nutmegsill/routing/prefill_rate.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

double PrefillRate::decay(Time now) const {
  const double age = std::max(0.0, toSeconds(now - UpdatedAt));
  return std::exp(-age / toSeconds(Policy.TimeConstant));
}

void PrefillRate::record(double tokens, Duration elapsed, Time now) {
  const double kept = decay(now);
  Tokens = Tokens * kept + tokens;
  Seconds = Seconds * kept + std::max(0.0, toSeconds(elapsed));
  UpdatedAt = now;
}

double PrefillRate::rate(double prior, Time now) const {
  const double kept = decay(now);
  const double priorSeconds = toSeconds(Policy.PriorTime);
  return (Tokens * kept + prior * priorSeconds) /
         (Seconds * kept + priorSeconds);
}

} // namespace nutmegsill::routing
