#include "nutmegsill/routing/fleet_capacity.h"

#include <algorithm>
#include <limits>

namespace nutmegsill::routing {

namespace {

/// Prefill tokens per rated token: the rated throughput is about half of the
/// prefill rate (fleet sheets of both users).
constexpr double PrefillTokensPerRatedToken = 2.0;
/// Prefill rate of an engine, in tokens per second, if no rated throughput is
/// configured: that of a large model on two accelerators.
constexpr double DefaultPrefillRate = 30'000;
/// Requests whose mean size is known well enough.
constexpr double MinSizedRequests = 1;
/// Observations with less weight are not reported.
constexpr double MinReportedRequests = 0.05;
constexpr double MinReportedSeconds = 0.005;
/// Factor by which the capacity differs from the last one in the log before it
/// is logged again, and the least time in between.
constexpr double LoggedFactor = 1.25;
constexpr Duration LogInterval = std::chrono::seconds(1);

} // namespace

void PoolServiceSums::add(const std::vector<PoolService> &observed,
                          Duration age) {
  const double kept = PrefillRate::keptFraction(age);
  for (const PoolService &it : observed) {
    PoolService &sum = Pools[it.Pool];
    sum.Pool = it.Pool;
    sum.Prefill.Tokens += it.Prefill.Tokens * kept;
    sum.Prefill.Seconds += it.Prefill.Seconds * kept;
    sum.Requests += it.Requests * kept;
    sum.RatedTokens += it.RatedTokens * kept;
    sum.BacklogSum += it.BacklogSum * kept;
    sum.BacklogCount += it.BacklogCount * kept;
    sum.Engines = std::max(sum.Engines, it.Engines);
  }
}

std::vector<PoolService> PoolServiceSums::list() const {
  std::vector<PoolService> out;
  out.reserve(Pools.size());
  for (const auto &[id, sum] : Pools) {
    out.push_back(sum);
  }
  return out;
}

PoolService PoolServiceSums::of(const PoolId &pool) const {
  const auto it = Pools.find(pool);
  if (it != Pools.end()) {
    return it->second;
  }
  PoolService out;
  out.Pool = pool;
  return out;
}

void FleetCapacity::setEngines(const std::map<PoolId, std::uint32_t> &engines,
                               double rated) {
  if (rated != Rated) {
    Rated = rated;
    for (auto &[id, pool] : Pools) {
      pool.Engines = 0;
    }
  }
  // The rated throughput is that of all engines, of which some may be absent
  // from this view.
  for (const auto &[id, count] : engines) {
    Pool &pool = Pools[id];
    pool.Engines = std::max(pool.Engines, count);
  }
  setOutdated();
}

void FleetCapacity::recordActive(Time now) {
  if (LastActiveAt && now - *LastActiveAt > Policy.FreezeThreshold) {
    HearsSince = now;
  }
  LastActiveAt = now;
}

void FleetCapacity::recordFirstEvent(const PoolId &pool, double tokens,
                                     Duration elapsed, Time sentAt, Time now) {
  if (LastActiveAt) {
    recordActive(now);
  }
  Pool &state = Pools[pool];
  // The time of a freeze is no time that engines took.
  if (HearsSince && sentAt < *HearsSince) {
    return;
  }
  state.Local.record(tokens, elapsed, now);
  if (Contact != PeerContact::Reporting || !HearsSince ||
      sentAt >= *HearsSince + Policy.SettleTime) {
    state.Prefill.record(tokens, elapsed, now);
  }
}

void FleetCapacity::recordSent(const PoolId &pool, double ratedTokens,
                               Time now) {
  Pools[pool].Sent.record(ratedTokens, std::chrono::seconds(1), now);
}

void FleetCapacity::setPeers(PoolServiceSums sums, PeerContact contact,
                             Time now) {
  if (contact == PeerContact::Reporting && contact != Contact) {
    HearsSince = now;
    for (auto &[id, pool] : Pools) {
      pool.Prefill = PrefillRate();
      pool.Backlogs = PrefillRate();
    }
  }
  Peers = std::move(sums);
  Contact = contact;
  PeersAt = now;
}

PoolService FleetCapacity::observed(const PoolId &id, const Pool &pool,
                                    Time now) {
  const PrefillSums sent = pool.Sent.sums(now);
  const PrefillSums backlogs = pool.Backlogs.sums(now);
  return {id,          pool.Prefill.sums(now), sent.Seconds,
          sent.Tokens, backlogs.Tokens,        backlogs.Seconds,
          pool.Engines};
}

PoolService FleetCapacity::serviceOf(const PoolId &id, Time now) const {
  PoolServiceSums sums;
  sums.add({Peers.of(id)}, now - PeersAt);
  const auto own = Pools.find(id);
  if (own != Pools.end()) {
    sums.add({observed(id, own->second, now)}, Duration{0});
  }
  return sums.of(id);
}

std::vector<PoolService> FleetCapacity::ownReport(Time now) const {
  std::vector<PoolService> out;
  for (const auto &[id, pool] : Pools) {
    PoolService it = observed(id, pool, now);
    if (Contact == PeerContact::Silent) {
      // They show load of which this router has not heard.
      it.Prefill = {};
      it.BacklogSum = 0;
      it.BacklogCount = 0;
    }
    if (it.Requests >= MinReportedRequests ||
        it.Prefill.Seconds >= MinReportedSeconds) {
      out.push_back(std::move(it));
    }
  }
  return out;
}

std::uint32_t FleetCapacity::engineCount() const {
  std::uint32_t count = 0;
  for (const auto &[id, pool] : Pools) {
    count += std::max(pool.Engines, Peers.of(id).Engines);
  }
  return count;
}

double FleetCapacity::configuredPrefillRate() const {
  const std::uint32_t engines = engineCount();
  return Rated <= 0 || engines == 0
             ? DefaultPrefillRate
             : PrefillTokensPerRatedToken * Rated / engines;
}

double FleetCapacity::prefillRate(const PoolId &pool, Time now) const {
  const PoolService all = serviceOf(pool, now);
  const double prior = configuredPrefillRate();
  const double priorSeconds = toSeconds(Policy.PriorTimePerEngine) *
                              std::max<std::uint32_t>(1, all.Engines);
  return (all.Prefill.Tokens + prior * priorSeconds) /
         (all.Prefill.Seconds + priorSeconds);
}

double FleetCapacity::expectedRate(const PoolId &pool, Time now) const {
  const double all = prefillRate(pool, now);
  const auto known = Pools.find(pool);
  const bool isSettled = Contact == PeerContact::NoPeers ||
                         (Contact == PeerContact::Reporting && HearsSince &&
                          now - *HearsSince >= Policy.LocalRateTime);
  return isSettled || known == Pools.end() ? all
                                           : known->second.Local.rate(all, now);
}

double FleetCapacity::ratedRequests(const PoolId &pool, Time now) const {
  const PoolService all = serviceOf(pool, now);
  if (all.Requests < MinSizedRequests || all.RatedTokens <= 0 || Rated <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  const double perEngine = Rated / std::max<std::uint32_t>(1, engineCount());
  return perEngine * all.Requests / all.RatedTokens;
}

bool FleetCapacity::isOutdated(Time now) const {
  return !UpdatedAt || now - *UpdatedAt >= Policy.SampleInterval;
}

void FleetCapacity::update(const std::map<PoolId, PoolUse> &pools, Time now) {
  UpdatedAt = now;
  const double configured = configuredPrefillRate();
  const bool knowsSums = Contact != PeerContact::Reporting || !HearsSince ||
                         now - *HearsSince >= Policy.ReportTime;
  double open = 0;
  double serving = 0;
  double backlog = 0;
  for (const auto &[id, use] : pools) {
    Pool &pool = Pools[id];
    double slowness = 0;
    if (knowsSums) {
      slowness = std::clamp(1 - prefillRate(id, now) /
                                    (configured * Policy.SlowRateFraction),
                            0.0, 1.0);
      pool.Backlogs.record(use.Backlog, std::chrono::seconds(1), now);
    }
    const PoolService all = serviceOf(id, now);
    const double mean =
        all.BacklogCount > 0 ? all.BacklogSum / all.BacklogCount : 0;
    open += use.OpenEngines;
    serving += use.OpenEngines * (1 - std::min(1.0, mean) * slowness);
    backlog += use.OpenEngines * mean;
  }
  Capacity = Rated * serving / std::max<std::uint32_t>(1, engineCount());
  Backlog = open > 0 ? backlog / open : 0;
  recordChange(open, now);
}

void FleetCapacity::recordChange(double openEngines, Time now) {
  const bool differs = Capacity > LoggedCapacity * LoggedFactor ||
                       LoggedCapacity > Capacity * LoggedFactor;
  if (!differs || now - LoggedAt < LogInterval) {
    return;
  }
  Changes.push_back({"capacity_changed",
                     {{"tokens_per_s", std::to_string(Capacity)},
                      {"before", std::to_string(LoggedCapacity)},
                      {"rated", std::to_string(Rated)},
                      {"engines", std::to_string(engineCount())},
                      {"open_engines", std::to_string(openEngines)},
                      {"backlog", std::to_string(Backlog)}}});
  LoggedCapacity = Capacity;
  LoggedAt = now;
}

std::vector<FleetChange> FleetCapacity::takeChanges() {
  std::vector<FleetChange> out;
  out.swap(Changes);
  return out;
}

} // namespace nutmegsill::routing
