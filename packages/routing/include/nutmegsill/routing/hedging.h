/// Decides when a second attempt of a request starts beside the first.
///
/// Answers single responses that take far longer than others of their route,
/// as of one slow target among several.
#pragma once

#include "nutmegsill/routing/meter.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace nutmegsill::routing {

struct HedgingPolicy {
  /// Second attempts as a fraction of a pool's requests; 0 turns them off.
  double Budget = 0;
  /// Second attempts that may follow each other at once.
  double MaxCredit = 3;
  /// A second attempt starts after this multiple of this quantile of a route's
  /// response times: up to a quarter of the targets may be slow without being
  /// taken for usual, and twice that time is more than a usual queue takes.
  double Quantile = 0.75;
  double QuantileFactor = 2;
  /// Time constant of the response times.
  Duration TimeConstant = std::chrono::seconds(30);
  /// Responses needed for a quantile: five of them lie beyond it.
  double MinResponses = 20;
  /// Fraction of a pool's requests that are that late from which the pool is
  /// slow as a whole: a second attempt would be as slow and add load.
  double SlowPoolFraction = 0.25;
  /// Requests by which the fraction is smoothed at pools with few.
  double SlowPoolPrior = 3;
  /// Time constant in seconds of that fraction.
  double SlowPoolSeconds = 2;
};

/// Response times of one route, of which old ones lose their weight.
class ResponseTimes {
public:
  void record(Duration time, Duration timeConstant, Time now);
  /// Nothing with less than `minCount` responses.
  std::optional<Duration> quantile(double fraction, double minCount) const;

private:
  /// Buckets of a fifth more each, from 1 ms to 20 s.
  static constexpr std::size_t BucketCount = 56;
  std::array<double, BucketCount> Counts{};
  double Total = 0;
  Time UpdatedAt{};
};

/// Not thread-safe.
class Hedging {
public:
  explicit Hedging(HedgingPolicy policy = {}) : Policy(policy) {}

  bool isEnabled() const { return Policy.Budget > 0; }
  void recordRequest(const PoolId &pool, Time now);
  /// Records how long the first attempt of a request took; one that was given
  /// up counts with the time until then.
  void recordResponse(const std::string &route, Duration time, Time now);
  /// Time after which a second attempt may start; nothing if hedging is off or
  /// too little is known of the route.
  std::optional<Duration> delay(const std::string &route) const;
  /// Records that a first attempt takes longer than `delay`; returns whether a
  /// second one may start.
  bool allows(const PoolId &pool, Time now);
  /// Records that a second attempt has started.
  void recordStarted(const PoolId &pool);

private:
  struct Pool {
    double Credit = 0;
    Meter Requests;
    Meter Late;
  };
  Pool &poolState(const PoolId &pool);

  HedgingPolicy Policy;
  std::map<PoolId, Pool> Pools;
  std::map<std::string, ResponseTimes> Routes;
};

} // namespace nutmegsill::routing
