/// Learns at which rate engines work off prompts.
///
/// Answers loads at which the configured throughput misleads: engines that are
/// slow, of different speeds, short of memory or busy with long outputs, and
/// loads of other routers that are not reported yet.
#pragma once

#include "nutmegsill/types.h"

namespace nutmegsill::routing {

struct PrefillRatePolicy {
  /// Time constant with which observations lose their weight.
  Duration TimeConstant = std::chrono::seconds(2);
  /// Weight of the prior, as the time that an engine would have worked at it.
  Duration PriorTime = milliseconds(400);
};

/// Prompt tokens that engines worked off, and the time that they took.
struct PrefillSums {
  double Tokens = 0;
  double Seconds = 0;
};

/// The rate of one engine, or of all engines of a pool. Not thread-safe.
class PrefillRate {
public:
  explicit PrefillRate(PrefillRatePolicy policy = {}) : Policy(policy) {}

  /// Records that an engine with `tokens` outstanding prompt tokens, those of
  /// the request included, took `elapsed` until the first event of the request.
  void record(double tokens, Duration elapsed, Time now);
  /// Tokens per second; `prior` without observations.
  double rate(double prior, Time now) const;
  /// The observations, with the weight that they have now.
  PrefillSums sums(Time now) const;
  /// Weight that observations have after `age`.
  static double keptFraction(Duration age,
                             const PrefillRatePolicy &policy = {});

private:
  PrefillRatePolicy Policy;
  PrefillSums Sums;
  Time UpdatedAt{};
};

} // namespace nutmegsill::routing
