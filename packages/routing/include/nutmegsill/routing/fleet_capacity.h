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

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/prefill_rate.h"
#include "nutmegsill/types.h"

#include <cstdint>
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
  /// Backlogs that the routers knew of at intervals, and their number.
  double BacklogSum = 0;
  double BacklogCount = 0;
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
  /// Fraction of the configured rate below which engines count as slow. Even of
  /// engines at that rate routers see up to a fifth less, as requests wait for
  /// what others have sent since their last reports.
  double SlowRateFraction = 0.8;
  /// Time after a router has begun to hear its peers in which it draws no
  /// conclusions from their sums: the longest report interval.
  Duration ReportTime = milliseconds(720);
  /// Time after which a router that has begun to hear its peers knows what they
  /// send to engines: the age at which reports expire. Requests sent earlier
  /// may wait for load that it has not heard of, which is no slowness of
  /// engines.
  Duration SettleTime = milliseconds(1'500);
  /// Time for which a router that has begun to hear its peers expects engines
  /// to take as long as it sees itself: until its observations are in the sums
  /// of the fleet.
  Duration LocalRateTime = std::chrono::seconds(3);
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
    /// Prefill backlog; 1 is a full one.
    double Backlog = 0;
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
  /// Whether there are other routers, and whether they report.
  enum class PeerContact { NoPeers, Silent, Reporting };
  /// Replaces the sums of the other routers, as of `now`.
  void setPeers(PoolServiceSums sums, PeerContact contact, Time now);

  /// Prompt tokens per second that one engine prefills by the configuration.
  double configuredPrefillRate() const;
  /// Prompt tokens per second that one engine of the pool prefills, as observed
  /// by all routers.
  double prefillRate(const PoolId &pool, Time now) const;
  /// The rate that this router expects; while it does not know the load of the
  /// others, that of its own observations.
  double expectedRate(const PoolId &pool, Time now) const;
  /// Requests per second that one engine of the pool is rated for; infinity
  /// while their size is unknown.
  double ratedRequests(const PoolId &pool, Time now) const;

  /// Whether `update` is due.
  bool isOutdated(Time now) const;
  /// Computes the capacity anew.
  void update(const std::map<PoolId, PoolUse> &pools, Time now);
  void setOutdated() { UpdatedAt.reset(); }
  /// Rated tokens per second.
  double capacity() const { return Capacity; }
  /// Mean backlog of the engines that the routers knew of in the last seconds;
  /// 1 is a full one.
  double backlog() const { return Backlog; }

  /// Returns and clears the changes for the log.
  std::vector<FleetChange> takeChanges();
  /// Observations of this router.
  std::vector<PoolService> ownReport(Time now) const;

private:
  struct Pool {
    PrefillRate Prefill;
    /// All observations of this router, also those that may show load of which
    /// it had not heard.
    PrefillRate Local;
    /// Rated tokens as tokens, requests as seconds.
    PrefillRate Sent;
    std::uint32_t Engines = 0;
    /// Backlogs as tokens, their number as seconds.
    PrefillRate Backlogs;
  };
  static PoolService observed(const PoolId &id, const Pool &pool, Time now);
  /// Observations of all routers.
  PoolService serviceOf(const PoolId &id, Time now) const;
  std::uint32_t engineCount() const;
  void recordChange(double openEngines, Time now);

  FleetCapacityPolicy Policy;
  std::map<PoolId, Pool> Pools;
  PoolServiceSums Peers;
  Time PeersAt{};
  PeerContact Contact = PeerContact::NoPeers;
  double Rated = 0;
  double Capacity = 0;
  double Backlog = 0;
  std::optional<Time> UpdatedAt;
  /// What the last change for the log stated, and when.
  double LoggedCapacity = 0;
  Time LoggedAt{};
  std::vector<FleetChange> Changes;
  std::optional<Time> LastActiveAt;
  /// When the router began to hear its peers, after its start, a freeze or a
  /// time without reports.
  std::optional<Time> HearsSince;
};

} // namespace nutmegsill::routing
