/// Record of a simulation as observed by callers, targets and operators, and
/// checks of the fleet's invariants against that record.
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
  /// The router reported that the call did not run.
  NotRun,
  /// The call failed and may have run.
  MayHaveRun,
  /// The router was down, or ended before the call did.
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
  /// Time from the start of the call to the response or its first part.
  std::optional<Duration> TimeToFirstPart;
  /// Input tokens and twice the expected or maximum output tokens, as counted
  /// for `ServiceConfig::RatedTokensPerSecond`; 0 without a prompt.
  double RatedTokens = 0;
};

/// A target started to run a call.
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
  /// The call had been sent to a target before.
  bool IsRetry = false;
};

/// Interval in which a target must not be sent new calls; open-ended if `Until`
/// is not set.
struct OutOfServiceInterval {
  TargetId Target;
  Time From{};
  std::optional<Time> Until;
};

/// Interval after a target's restart in which the target may start only
/// `MaxStartsPerSecond` calls per second.
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

/// A router applied a configuration, or an operator wrote it; `Router` is empty
/// in the second case.
struct ConfigRecord {
  HostId Router;
  ConfigRevision Revision;
  Time OccurredAt{};
};

/// Time in which a router could not reach the store, was frozen or was down, or
/// was still recovering from that.
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

  /// Whether a disruption of `router` overlaps the time from `from` to `until`.
  bool wasDisrupted(const HostId &router, Time from, Time until) const;
};

/// Bounds that the users' rules set.
struct InvariantBounds {
  Duration OutOfServiceBound = milliseconds(5'000);
  Duration RevocationBound = milliseconds(5'000);
  Duration ConfigApplyBound = milliseconds(2'000);
  /// In any second a cold target may start `MaxStartsPerSecond` times
  /// `ColdRateFactor` calls, plus `ColdBurst`.
  double ColdRateFactor = 1.5;
  double ColdBurst = 5;
  /// The fleet may send retries for `RetryRatio` of the calls, plus
  /// `ExtraRetries`, in any `RetryWindow`.
  double RetryRatio = 0.2;
  double ExtraRetries = 20;
  Duration RetryWindow = std::chrono::seconds(10);
};

/// Descriptions of violated invariants; empty when all hold.
using Violations = std::vector<std::string>;

/// Every call has ended.
Violations checkEveryCallEnds(const FleetHistory &history);
/// A call that does not allow a retry ran at most once.
Violations checkAtMostOnce(const FleetHistory &history);
/// A call reported as not run never ran.
Violations checkRefusedCalls(const FleetHistory &history);
/// A router sends nothing to a target that went out of service more than
/// `OutOfServiceBound` before, unless the router was disrupted since then.
Violations checkOutOfServiceTargets(const FleetHistory &history,
                                    const InvariantBounds &bounds);
/// No router, disrupted or not, sends a call whose key was revoked more than
/// `RevocationBound` before.
Violations checkRevokedKeys(const FleetHistory &history,
                            const InvariantBounds &bounds);
/// No router returns to an older configuration, and one that is not disrupted
/// applies a new configuration within `ConfigApplyBound`.
Violations checkConfiguration(const FleetHistory &history,
                              const InvariantBounds &bounds);
/// No cold target starts more calls in any second than `bounds` allows.
Violations checkColdTargets(const FleetHistory &history,
                            const InvariantBounds &bounds);
/// The retries of all routers together stay within the budget in every window.
Violations checkRetryBudget(const FleetHistory &history,
                            const InvariantBounds &bounds);
/// At least `minFraction` of the calls started since `from` completed, and
/// there was at least one such call.
Violations checkServedFraction(const FleetHistory &history, Time from,
                               double minFraction);

/// All checks except `checkServedFraction`.
Violations checkInvariants(const FleetHistory &history,
                           const InvariantBounds &bounds);

} // namespace nutmegsill::simulation
