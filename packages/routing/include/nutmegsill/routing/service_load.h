/// Estimates the load and the pace of targets from what their responses state.
///
/// Answers bursts at plain targets and targets whose pace changes several times
/// per second, in fleets of up to a hundred routers of which each sees few of a
/// target's responses. A statement counts less the older it is; without a
/// recent one the requests that the routers report as running count.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/target_process.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegsill::routing {

/// The load that one response states of its target.
struct StatedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 1;
  /// Time that work takes, relative to the usual time.
  double Pace = 1;
  bool operator==(const StatedLoad &) const = default;
};

/// Returns the load with these figures; nothing if one is out of range.
std::optional<StatedLoad> checkedLoad(double running, double waiting,
                                      double slots, double pace);

/// A stated load in a load report.
struct TargetStateReport {
  TargetProcess Process;
  StatedLoad Load;
  /// Time since the response that stated it.
  Duration Age{0};
};

struct ServiceLoadPolicy {
  /// Time in which the load of a target forgets its earlier value, in usual
  /// times of a request: a full target of six slots and 24 waiting places is
  /// worked off in five of them.
  double LoadMemoryRequests = 3;
  Duration MinLoadMemory = milliseconds(50);
  Duration MaxLoadMemory = milliseconds(500);
  /// The same for the pace, which stays for some hundred ms.
  Duration PaceMemory = milliseconds(250);
  /// Time constant of the mean pace, to which an old statement falls back.
  Duration MeanPaceTime = std::chrono::seconds(2);
  /// Age from which a statement is neither reported nor believed of a peer:
  /// little of it counts by then.
  Duration MaxReportedAge = milliseconds(1'000);
  /// Waiting places of a target relative to its slots, until a refusal states
  /// how many requests wait.
  double PlacesPerSlot = 4;
  /// Weight of one response in the usual time of a pool's requests.
  double UsualTimeStep = 0.1;
};

/// What is expected of a target now.
struct ServiceEstimate {
  /// Requests that run or wait.
  double Outstanding = 0;
  double Slots = 1;
  /// Requests that may wait.
  double Places = 0;
  double Pace = 1;
  /// The target has refused a request a short time ago.
  bool Refuses = false;

  /// Time for one more request, relative to the usual time on an idle target.
  double timeFactor() const;
  /// Further requests that the target serves within `limit` usual times.
  double headroom(double limit) const;
};

/// Not thread-safe.
class ServiceLoad {
public:
  explicit ServiceLoad(ServiceLoadPolicy policy = {}) : Policy(policy) {}

  /// Forgets the targets that are not in `known`.
  void setFleet(const std::set<TargetProcess> &known);
  /// Records the statement of a response to this router. Those of `isPlain`
  /// targets are reported.
  void hear(const TargetProcess &process, const StatedLoad &load, bool isPlain,
            Time now);
  /// Records a peer's report; `relayed` if the peer is of this router's group.
  void receive(const std::vector<TargetStateReport> &report, bool relayed,
               Time now);
  void recordSent(const TargetProcess &process, Time now);
  /// Records that the target was full; it gets nothing for `pause`.
  void recordRefused(const TargetProcess &process, Duration pause, Time now);

  /// Whether a response of the target has stated a load.
  bool isStated(const TargetProcess &process) const;
  /// `running` requests of this router and `peerRunning` of the others are
  /// known to be at the target, which has `slots` by its entry.
  ServiceEstimate estimate(const TargetProcess &process, const PoolId &pool,
                           std::uint32_t running, std::uint32_t peerRunning,
                           std::uint32_t slots, Time now) const;
  /// The target's pace relative to its mean of the last seconds; 1 without a
  /// statement.
  double relativePace(const TargetProcess &process, Time now) const;

  /// Learns from a response that took `elapsed`, and was expected to take
  /// `factor` times the usual time.
  void recordTime(const PoolId &pool, Duration elapsed, double factor);
  /// The usual time of a request on an idle target; `prior` until it is known.
  Duration usualTime(const PoolId &pool, Duration prior) const;

  /// The loads heard since the last report, of this router.
  std::vector<TargetStateReport> takeOwnReport(Time now);
  /// The same of this router's group.
  std::vector<TargetStateReport> takeGroupReport(Time now);
  /// Returns and clears the changes for the log.
  std::vector<FleetChange> takeChanges();

private:
  struct Target {
    StatedLoad Load;
    Time HeardAt{};
    double MeanPace = 1;
    /// Requests that waited when the target refused one.
    std::optional<std::uint32_t> Places;
    Time RefusesUntil{};
    /// Times of the latest sends of this router.
    std::deque<Time> SentAt;
    bool IsUnreportedOwn = false;
    bool IsUnreportedGroup = false;
  };
  Target &store(const TargetProcess &process, const StatedLoad &load,
                Time heardAt, const char *source);
  double pace(const Target &target, Time now) const;
  Duration loadMemory(const PoolId &pool) const;
  std::vector<TargetStateReport> take(bool Target::*unreported, Time now);

  ServiceLoadPolicy Policy;
  std::map<TargetProcess, Target> Targets;
  /// In seconds.
  std::map<PoolId, double> UsualTimes;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
