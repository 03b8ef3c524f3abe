/// The capacity of all engines together, from what all routers observe.
///
/// Answers loads of more than the engines serve, at routers of which each sees
/// few of the requests: shares of teams are fair only if all routers divide the
/// same capacity.
///
/// Each router sums up how many prompt tokens engines worked off and how long
/// they took. The sums lose their weight with time and travel in load reports,
/// so that every router derives the same rate of the engines from them. The
/// capacity is the rated throughput of the engines that take requests, less
/// what the rate shows to be lacking while engines have a backlog.
#pragma once

#include "nutmegsill/routing/prefill_rate.h"
#include "nutmegsill/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::routing {

/// What one router, or several together, observed of the engines of a pool.
struct PoolService {
  PoolId Pool;
  /// Prompt tokens that engines worked off, and the time that they took.
  PrefillSums Prefill;
  /// Requests that were sent, and their rated tokens.
  double Requests = 0;
  double RatedTokens = 0;
  /// Most engines of the pool that one of the routers has seen at a time.
  std::uint32_t Engines = 0;
};

/// Sums of the observations of several routers, by pool.
class PoolServiceSums {
public:
  /// Adds observations that are `age` old.
  void add(const std::vector<PoolService> &observed, Duration age);
  std::vector<PoolService> list() const;
  PoolService of(const PoolId &pool) const;

private:
  std::map<PoolId, PoolService> Pools;
};

struct FleetCapacityPolicy {
  /// Weight of the rated figure, as the time that each engine of a pool would
  /// have worked at it. That of the prior of a single engine: below that, the
  /// fleet knows too little.
  Duration PriorTimePerEngine = milliseconds(400);
  /// Engines count as slow only if they were slow for this time. Routers that
  /// start hear of the load of all others within two report intervals, at most
  /// 0.72 s each where groups are largest; until then requests take longer than
  /// the known load explains.
  Duration SlownessWindow = std::chrono::seconds(1);
  /// Time over which the backlog is averaged: reports show it at intervals of
  /// up to 0.72 s.
  Duration BacklogWindow = std::chrono::seconds(2);
  Duration SampleInterval = milliseconds(100);
  /// Time without a report of its own after which a router counts as having
  /// been frozen: more than the longest report interval, 0.72 s.
  Duration FreezeThreshold = std::chrono::seconds(1);
};

/// Not thread-safe.
class FleetCapacity {
public:
  /// What is known of the engines of one pool at the moment.
  struct PoolUse {
    /// Prefill backlog, from 0 to 1.
    double BacklogFraction = 0;
    /// Engines that take requests; one that takes a part of the requests that
    /// it could serve counts as that part.
    double OpenEngines = 0;
  };

  explicit FleetCapacity(FleetCapacityPolicy policy = {}) : Policy(policy) {}

  /// Sets the engines of each pool and the rated throughput of all engines, in
  /// rated tokens per second.
  void setEngines(const std::map<PoolId, std::uint32_t> &engines, double rated);
  /// Records that the router runs; call with each report.
  void recordActive(Time now);
  /// Records that an engine took `elapsed` to work off `tokens` outstanding
  /// tokens for a request sent at `sentAt`.
  void recordFirstEvent(const PoolId &pool, double tokens, Duration elapsed,
                        Time sentAt, Time now);
  /// Records that a request was sent to an engine.
  void recordSent(const PoolId &pool, double ratedTokens, Time now);
  /// Replaces the sums of the other routers, as of `now`.
  void setPeers(PoolServiceSums sums, bool heard, Time now);

  /// Prompt tokens per second that one engine prefills by the configuration.
  double configuredPrefillRate() const;
  /// Prompt tokens per second that one engine of the pool prefills, as observed
  /// by all routers.
  double prefillRate(const PoolId &pool, Time now) const;
  /// Fraction of an engine's rated throughput that a number of requests per
  /// second amounts to, at most 1.
  double engineFraction(const PoolId &pool, double requestsPerSecond,
                        Time now) const;

  /// Whether `update` is due.
  bool isOutdated(Time now) const;
  /// Computes the capacity anew.
  void update(const std::map<PoolId, PoolUse> &pools, Time now);
  void setOutdated() { UpdatedAt.reset(); }
  /// Rated tokens per second.
  double capacity() const { return Capacity; }
  /// Mean backlog of the engines in the last window, from 0 to 1.
  double backlog() const { return Backlog; }

  /// Observations of this router.
  std::vector<PoolService> ownReport(Time now) const;

private:
  struct Sample {
    Time At{};
    double Backlog = 0;
    double Slowness = 0;
  };
  struct Pool {
    PrefillRate Prefill;
    /// Rated tokens as tokens, requests as seconds.
    PrefillRate Sent;
    std::uint32_t Engines = 0;
    std::deque<Sample> Samples;
  };
  static PoolService observed(const PoolId &id, const Pool &pool, Time now);
  /// Observations of all routers.
  PoolService serviceOf(const PoolId &id, Time now) const;
  std::uint32_t engineCount() const;
  /// Mean backlog of the window, and least slowness.
  Sample summaryOf(Pool &pool, Time now) const;

  FleetCapacityPolicy Policy;
  std::map<PoolId, Pool> Pools;
  PoolServiceSums Peers;
  Time PeersAt{};
  bool PeersHeard = false;
  double Rated = 0;
  double Capacity = 0;
  double Backlog = 0;
  std::optional<Time> UpdatedAt;
  std::optional<Time> LastActiveAt;
  /// When the router started, or ran again after a freeze.
  std::optional<Time> AwakeSince;
};

} // namespace nutmegsill::routing
