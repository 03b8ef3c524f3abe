/// What callers, targets and operators saw, and checks of it.
#pragma once

#include "nutmegsill/routing/model.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::simulation {

/// How a call ended for its caller.
enum class CallOutcome {
  InFlight,
  Completed,
  /// The router states that it did not run.
  NotRun,
  /// It may have run.
  MayHaveRun,
  /// The router died, or the caller left.
  ConnectionLost,
};

struct CallRecord {
  HostId Router;
  TeamId Team;
  std::string ApiKey;
  bool AllowsRetry = false;
  Time StartedAt{};
  CallOutcome Outcome = CallOutcome::InFlight;
  Time EndedAt{};
  /// Time to the answer or its first part.
  std::optional<Duration> TimeToFirstPart;
  /// Tokens in the unit of the rated throughput.
  double RatedTokens = 0;
};

/// A target began to work on a call.
struct RunRecord {
  std::size_t CallIndex = 0;
  TargetId Target;
  Time StartedAt{};
};

/// A router sent a call to a target.
struct SendRecord {
  HostId Router;
  std::size_t CallIndex = 0;
  TargetId Target;
  Time SentAt{};
  /// The call had been sent before.
  bool IsRetry = false;
};

/// From when on a target must not get new calls, and until when.
struct OutOfServiceInterval {
  TargetId Target;
  Time From{};
  std::optional<Time> Until;
};

/// A target bears only `MaxStartsPerSecond` starts a second.
struct ColdInterval {
  TargetId Target;
  Time From{};
  Time Until{};
  double MaxStartsPerSecond = 0;
};

struct KeyRevocation {
  std::string ApiKey;
  Time RevokedAt{};
};

/// A router took a configuration into force, or an operator wrote it.
struct ConfigRecord {
  HostId Router;
  ConfigRevision Revision;
  Time OccurredAt{};
};

/// A router could not reach the store, was frozen or not alive.
struct Disruption {
  HostId Router;
  Time From{};
  Time Until{};
};

struct FleetHistory {
  std::vector<CallRecord> Calls;
  std::vector<RunRecord> Runs;
  std::vector<SendRecord> Sends;
  std::vector<OutOfServiceInterval> OutOfServiceIntervals;
  std::vector<ColdInterval> ColdIntervals;
  std::vector<KeyRevocation> KeyRevocations;
  std::vector<ConfigRecord> WrittenConfigs;
  std::vector<ConfigRecord> AppliedConfigs;
  std::vector<Disruption> Disruptions;
  Time EndedAt{};

  /// Whether the router was disturbed between two moments.
  bool wasDisrupted(const HostId &router, Time from, Time until) const;
};

/// Bounds of the users' rules.
struct InvariantBounds {
  Duration OutOfServiceBound = milliseconds(5'000);
  Duration RevocationBound = milliseconds(5'000);
  Duration ConfigApplyBound = milliseconds(2'000);
  double ColdRateFactor = 1.5;
  double ColdBurst = 5;
  double RetryRatio = 0.2;
  double ExtraRetries = 20;
  Duration RetryWindow = std::chrono::seconds(10);
};

/// Sentences about broken promises; empty when all held.
using Violations = std::vector<std::string>;

/// Every call ended.
Violations checkEveryCallEnds(const FleetHistory &history);
/// A call that may not be repeated ran at most once.
Violations checkAtMostOnce(const FleetHistory &history);
/// A call that was refused as not run never ran.
Violations checkRefusedCalls(const FleetHistory &history);
/// Undisturbed routers send nothing to a target `OutOfServiceBound` after it
/// was out.
Violations checkOutOfServiceTargets(const FleetHistory &history,
                                    const InvariantBounds &bounds);
/// No call is sent with a key that was revoked `RevocationBound` before, by any
/// router.
Violations checkRevokedKeys(const FleetHistory &history,
                            const InvariantBounds &bounds);
/// No router goes back to an older configuration; undisturbed ones take a new
/// one into force within `ConfigApplyBound`.
Violations checkConfiguration(const FleetHistory &history,
                              const InvariantBounds &bounds);
/// Cold targets start no more in any second than they bear.
Violations checkColdTargets(const FleetHistory &history,
                            const InvariantBounds &bounds);
/// Repeats of all routers stay within the budget in every window.
Violations checkRetryBudget(const FleetHistory &history,
                            const InvariantBounds &bounds);
/// At least `minFraction` of the calls since `from` were answered by a target.
Violations checkServedFraction(const FleetHistory &history, Time from,
                               double minFraction);

/// All but `checkServedFraction`.
Violations checkInvariants(const FleetHistory &history,
                           const InvariantBounds &bounds);

} // namespace nutmegsill::simulation
