/// Compares the responses of two versions.
#pragma once

#include "nutmegsill/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace nutmegsill::routing {

/// Stages of a roll-out. The new version's share of the traffic is constant
/// within one, so that a fault of both versions strikes both counts alike.
enum class RolloutStage : std::uint8_t {
  /// Only the previous version gets requests.
  Baseline,
  /// A small share, at a few of the new targets.
  Observation,
  /// A share that gives a few of the new targets the load of normal operation.
  Load,
  /// The share rises after a good verdict.
  Ramp,
  /// Everything goes to the new version.
  Moved,
};
const char *rolloutStageName(RolloutStage stage);

/// What counts are kept apart by.
struct RolloutKey {
  RolloutStage Stage = RolloutStage::Baseline;
  std::string Route;
  /// 0: the previous version; otherwise `rolloutGroup` of the target.
  std::uint32_t Group = 0;
  auto operator<=>(const RolloutKey &) const = default;
};

/// Targets of the new version are told apart by one of 31 groups by hash, which
/// bounds the size of a report.
std::uint32_t rolloutGroup(const TargetId &target);

struct RolloutCount {
  /// Requests sent.
  std::uint32_t Requests = 0;
  /// Responses and failures.
  std::uint32_t Responses = 0;
  /// Failures, and responses that took several times the usual time.
  std::uint32_t Bad = 0;
  /// Sums of the times of the other responses, to their first part (the first
  /// event of a stream) and to their end.
  double FirstSeconds = 0;
  double TotalSeconds = 0;

  RolloutCount &operator+=(const RolloutCount &other);
  bool operator==(const RolloutCount &) const = default;
};
using RolloutCounts = std::map<RolloutKey, RolloutCount>;
void addCounts(RolloutCounts &sum, const RolloutCounts &other);

struct RolloutEvidencePolicy {
  /// Bad responses beyond `ExpectedFactor` times those expected from the
  /// previous version that condemn a version, plus `Deviations` times the root
  /// of the expected ones: a bad version is known well before its 50th bad
  /// response.
  double MinBad = 6;
  /// The same without the target that has the most, which may be at fault
  /// alone.
  double MinBadElsewhere = 4;
  double ExpectedFactor = 1.5;
  double Deviations = 3;
  /// Assumed share of bad responses of a route of which few responses of the
  /// previous version are known, and the weight of this assumption.
  double PriorShare = 0.02;
  double PriorWeight = 10;
  /// Responses of the previous version in a stage from which their share is
  /// used instead of that of all stages.
  std::uint32_t MinStageResponses = 30;
  /// Responses from which the usual time of a route is known.
  std::uint32_t MinTimedResponses = 20;
  /// A response is slow from this multiple of the usual time. Targets are at
  /// times 2.5 times as slow; the counts of both versions contain these.
  double SlowFactor = 2.5;
};

/// What the counts show.
struct RolloutFinding {
  bool IsBad = false;
  /// Route on which it is bad; empty if on all together.
  std::string Route;
  std::uint32_t Responses = 0;
  std::uint32_t Bad = 0;
  /// Bad responses expected from the previous version.
  double Expected = 0;
  /// Groups of targets that are at fault alone.
  std::set<std::uint32_t> FaultyGroups;
};

/// `newGroups` is the number of groups of targets of the new version; the fault
/// of a target cannot be told from that of the version if there is one.
RolloutFinding compareVersions(const RolloutCounts &counts,
                               std::size_t newGroups,
                               const RolloutEvidencePolicy &policy);

/// Mean times of a response of the previous version.
struct UsualTimes {
  Duration First{0};
  Duration Total{0};
};

/// By route; without routes of which too little is known.
std::map<std::string, UsualTimes>
usualResponseTimes(const RolloutCounts &counts,
                   const RolloutEvidencePolicy &policy);

} // namespace nutmegsill::routing
