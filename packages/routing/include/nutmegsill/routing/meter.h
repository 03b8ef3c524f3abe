/// Measures rates.
#pragma once

#include "nutmegsill/types.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

/// The rate of amounts over the last seconds; decays exponentially.
class Meter {
public:
  explicit Meter(double timeConstantSeconds = 2)
      : TimeConstantSeconds(timeConstantSeconds) {}

  void add(double amount, Time now) {
    decay(now);
    Amount += amount;
  }
  /// Amount per second.
  double rate(Time now) {
    decay(now);
    return Amount / TimeConstantSeconds;
  }

private:
  void decay(Time now) {
    const double age = std::max(0.0, toSeconds(now - UpdatedAt));
    Amount *= std::exp(-age / TimeConstantSeconds);
    UpdatedAt = now;
  }

  double TimeConstantSeconds;
  double Amount = 0;
  Time UpdatedAt{};
};

} // namespace nutmegsill::routing
