/// Decides which version of a pool's targets a request may go to while the
/// pool moves to another version, and whether that version is bad. All routers
/// decide alike, from the sum of what all of them observed. Without I/O and
/// clock.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/rollout_evidence.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// The operators' bounds, and the schedule within them. Fractions are of the
/// time from an order to its deadline.
struct RolloutPolicy {
  /// A bad version gets at most this share of the pool's requests, and
  /// `ExposureExtra` requests.
  double ExposureShare = 0.1;
  double ExposureExtra = 50;
  /// Time after the 50th bad response in which the last request is sent.
  Duration RollbackTime = milliseconds(5'000);

  /// The schedule spends, of an `ExposureShare` of 0.1, 1.4% of the requests in
  /// the observation, 2% under load and 1.5% in the ramp. The rest covers 5% of
  /// the time at full traffic until a version that turns bad that late is
  /// detected.
  double BaselineEnd = 0.05;
  double ObservationEnd = 0.5;
  /// Share of the requests in the observation, relative to `ExposureShare`.
  double ObservationShare = 0.3;
  /// The same while a pool has so little traffic that the observation would use
  /// less than `ObservedExtra` of `ExposureExtra`. The rest of the extra
  /// requests is for the ramp.
  double LowTrafficShare = 3;
  double ObservedExtra = 0.6;
  /// Periods under load begin here, after an observation at a small share.
  double FirstLoadStart = 0.2;
  double SecondLoadStart = 0.35;
  double LoadLength = 0.025;
  /// Reports of the whole fleet take up to 1.5 s; a period has to show some
  /// responses under load also where the deadline is near.
  Duration MinLoadLength = milliseconds(1'000);
  /// Largest share under load, relative to `ExposureShare`.
  double MaxLoadShare = 4;
  /// Targets of the new version that get requests at the same time in the
  /// observation: two, so that a faulty target can be told from a bad version.
  std::size_t FocusTargets = 2;
  /// Time after which other targets are taken.
  double FocusPeriod = 0.1;
  /// Each of the two steps of the ramp, and the least time at full traffic.
  double RampStep = 0.02;
  /// Reports of the whole fleet take up to 1.5 s.
  Duration MinRampStep = milliseconds(1'000);
  /// Responses of the new version without which the observation lasts until
  /// `LateObservationEnd`.
  std::uint32_t MinObserved = 30;
  double LateObservationEnd = 0.6;
  /// Responses from the start of the ramp without which a version is not
  /// complete until `LateMonitoringEnd`. A third of them bad are three times
  /// what condemns a version.
  std::uint32_t MinMonitored = 60;
  double LateMonitoringEnd = 0.8;
  /// A version that is not complete by then is reverted; the rest of the time
  /// is for the write.
  double LastDecision = 0.9;
  /// Fraction of `ExposureShare` at which the exposure pauses: reports are up
  /// to 1.5 s old.
  double SafeFraction = 0.8;
  /// Age of the store's state from which the store counts as unavailable:
  /// proofs that it is current are up to 2.4 s old.
  Duration MaxStoreAge = milliseconds(4'000);
  /// Age at which a peer's counts expire.
  Duration MaxReportAge = milliseconds(2'000);
  /// Time for which a verdict that the store confirms is still reported.
  Duration FinalReportTime = milliseconds(3'000);
  RolloutEvidencePolicy Evidence;
};

/// The counts of one router, or the sum of several, for one roll-out.
struct RolloutReport {
  PoolId Pool;
  std::string To;
  /// Time since the order was first seen.
  Duration OrderAge{0};
  /// `Running` while the verdict is open.
  RolloutState Verdict = RolloutState::Running;
  /// Routers in the sum.
  std::uint32_t Routers = 1;
  /// Of those, the ones that send nothing to the previous version any more, and
  /// have nothing in flight there.
  std::uint32_t MovedRouters = 0;
  RolloutCounts Counts;
};

/// The state that the store should hold.
struct RolloutDecision {
  PoolId Pool;
  RolloutStatus Status;
  bool operator==(const RolloutDecision &) const = default;
};

/// Whether `decision` may replace what the store holds: only for the order that
/// it belongs to, and never a verdict.
bool mayWriteStatus(const RolloutItems &stored,
                    const RolloutDecision &decision);

/// Position of `self` among the routers that may write the status of a pool; 0
/// is the first. The others write if it does not.
std::size_t rolloutWriterRank(const std::vector<RouterEntry> &routers,
                              const HostId &self, const RolloutDecision &it);

/// The versions of which a target may be chosen.
enum class VersionChoice {
  /// All that were not reverted.
  NotReverted,
  /// All but the new and the reverted ones.
  Previous,
  /// The new one.
  New,
  /// Few targets of the new one.
  NewFocus,
};

/// One request during a roll-out.
struct RolloutSample {
  std::string To;
  RolloutKey Key;
  std::optional<Time> FirstPartAt;
};

/// How the exchange of a sample ended.
enum class SampleResult { Completed, Failed, CallerLeft, NotRun };

class Rollouts {
public:
  /// Without a policy, orders are ignored.
  Rollouts(const HostId &self, std::optional<RolloutPolicy> policy);

  void setView(const FleetView &view, Time now);
  /// Sets the age of what is known of the store.
  void setStoreAge(Duration age) { StoreAge = age; }
  /// Whether the versions of the pool's targets are distinguished.
  bool concerns(const PoolId &pool) const {
    return Active.count(pool) != 0 || Excluded.count(pool) != 0;
  }
  /// The versions to try for one attempt, in this order. `isRepeated`: an
  /// earlier attempt was sent.
  std::vector<VersionChoice> choose(const PoolId &pool, bool isRepeated);
  bool admits(VersionChoice choice, const TargetEntry &entry) const;

  /// Counts a request that is sent; nothing without an open roll-out.
  std::optional<RolloutSample> recordSent(const std::string &route,
                                          const TargetEntry &entry);
  void recordResult(const PoolId &pool, const RolloutSample &sample,
                    SampleResult result, Time sentAt, Time now);
  void receive(const HostId &peer, std::vector<RolloutReport> reports,
               Time now);

  /// Requests in flight at targets of the previous version.
  struct InFlight {
    std::uint32_t Own = 0;
    std::uint32_t Fleet = 0;
  };
  /// The pools for which `update` needs the requests in flight, each with its
  /// new version.
  std::map<PoolId, std::string> openPools() const;
  /// Decides anew; call before each report.
  void update(const std::map<PoolId, InFlight> &inFlight, Time now);
  std::vector<RolloutReport> ownReport(Time now) const;
  /// The sum of `own` and the latest reports of `peers`.
  std::vector<RolloutReport> groupReport(std::vector<RolloutReport> own,
                                         const std::vector<HostId> &peers,
                                         Time now) const;

  std::vector<RolloutDecision> decisions() const;
  /// Share of the requests that go to the new version, by pool.
  std::map<PoolId, double> shares() const;
  std::vector<FleetChange> takeChanges();

private:
  struct ReceivedReport {
    RolloutReport Report;
    Time ReceivedAt{};
  };
  struct Rollout {
    RolloutOrder Order;
    Time StartedAt{};
    RolloutState Verdict = RolloutState::Running;
    /// When the store held the verdict.
    std::optional<Time> ConfirmedAt;
    RolloutStage Stage = RolloutStage::Baseline;
    double Share = 0;
    /// The share when the store became unavailable.
    std::optional<double> HeldShare;
    std::optional<Time> RampStartedAt;
    /// Most routers were last heard.
    Time HeardAt{};
    /// Nothing was sent to, or in flight at, the previous version since.
    bool Drained = false;
    /// No target of another version was there when the order came.
    bool HasNoPrevious = false;
    /// Targets of the new version that take requests.
    std::vector<TargetId> NewTargets;
    std::set<TargetId> Focus;
    std::set<std::uint32_t> FaultyGroups;
    RolloutCounts Own;
    std::map<HostId, ReceivedReport> Peers;
    /// As of the last update.
    std::map<std::string, UsualTimes> Usual;
  };
  /// What the whole fleet has counted.
  struct FleetSum {
    RolloutCounts Counts;
    std::uint32_t Routers = 1;
    std::uint32_t MovedRouters = 0;
    std::uint32_t Requests = 0;
    std::uint32_t Exposed = 0;
    std::uint32_t ExposedResponses = 0;
    /// Of those, the ones since the start of the ramp.
    std::uint32_t MonitoredResponses = 0;
  };

  void start(const PoolId &pool, const RolloutOrder &order, Time now);
  /// Keeps the verdict of a roll-out that another order replaces.
  void end(const PoolId &pool, const Rollout &rollout);
  void adoptStatus(const PoolId &pool, const RolloutStatus &status, Time now);
  void setTargets(const FleetView &view);
  void endExclusions(const FleetView &view);
  void decide(const PoolId &pool, Rollout &it, const InFlight &inFlight,
              Time now);
  FleetSum sumUp(Rollout &it, Time now) const;
  void setVerdict(const PoolId &pool, Rollout &it, RolloutState verdict,
                  const std::string &reason);
  void judge(const PoolId &pool, Rollout &it, const FleetSum &sum, Time now);
  /// Sets stage and share by the schedule.
  void schedule(Rollout &it, const FleetSum &sum, Time now) const;
  bool mayRamp(const Rollout &it, const FleetSum &sum, double age) const;
  /// Lowers the share where exposure must not rise or is near its bound.
  void limitShare(Rollout &it, const FleetSum &sum, Time now) const;
  void selectFocus(Rollout &it, Time now) const;
  bool isStoreCurrent() const { return StoreAge <= Policy->MaxStoreAge; }
  double ageOf(const Rollout &it, Time now) const;
  Duration rampStep(const Rollout &it) const;

  HostId Self;
  std::optional<RolloutPolicy> Policy;
  std::map<PoolId, Rollout> Active;
  /// Versions that get nothing: reverted, or replaced by another order before
  /// their verdict.
  std::map<PoolId, std::set<std::string>> Excluded;
  /// Verdicts of all roll-outs, which hold whatever the store says later.
  std::map<std::pair<PoolId, std::string>, RolloutState> Verdicts;
  std::size_t RouterCount = 1;
  Duration StoreAge{0};
  std::minstd_rand Random;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
