/// What callers, targets and operators saw, and checks of it.
#pragma once

#include "nutmegsill/routing/model.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::simulation {

/// How a call ended for its caller.
enum class CallEnd {
  Open,
  Complete,
  /// The router states that it did not run.
  NotRun,
  /// It may have run.
  Unknown,
  /// The router died, or the caller left.
  Cut,
};

struct CallRecord {
  HostId Router;
  TeamId Team;
  std::string Key;
  bool MayRepeat = false;
  Time At{};
  CallEnd End = CallEnd::Open;
  Time EndedAt{};
  /// Time to the answer or its first part.
  std::optional<Duration> First;
  /// Tokens in the unit of the rated throughput.
  double Tokens = 0;
};

/// A target began to work on a call.
struct RunRecord {
  std::size_t Call = 0;
  TargetId Target;
  Time At{};
};

/// A router sent a call to a target.
struct SendRecord {
  HostId Router;
  std::size_t Call = 0;
  TargetId Target;
  Time At{};
  /// The call had been sent before.
  bool Repeat = false;
};

/// From when on a target must not get new calls, and until when.
struct TargetOut {
  TargetId Target;
  Time From{};
  std::optional<Time> Until;
};

/// A target bears only `Rate` starts a second.
struct ColdSpan {
  TargetId Target;
  Time From{};
  Time Until{};
  double Rate = 0;
};

struct KeyRevoked {
  std::string Key;
  Time At{};
};

/// A router took a configuration into force, or an operator wrote it.
struct ConfigRecord {
  HostId Router;
  ConfigRevision Number;
  Time At{};
};

/// A router could not reach the store, was frozen or not alive.
struct Disturbance {
  HostId Router;
  Time From{};
  Time Until{};
};

struct RunHistory {
  std::vector<CallRecord> Calls;
  std::vector<RunRecord> Runs;
  std::vector<SendRecord> Sends;
  std::vector<TargetOut> Outs;
  std::vector<ColdSpan> Cold;
  std::vector<KeyRevoked> Revoked;
  std::vector<ConfigRecord> Written;
  std::vector<ConfigRecord> InForce;
  std::vector<Disturbance> Disturbed;
  Time EndedAt{};

  /// Whether the router was disturbed between two moments.
  bool disturbed(const HostId &router, Time from, Time until) const;
};

/// Bounds of the users' rules.
struct PromiseBounds {
  Duration TakenOut = milliseconds(5'000);
  Duration Revocation = milliseconds(5'000);
  Duration ConfigApply = milliseconds(2'000);
  double ColdOver = 1.5;
  double ColdExtra = 5;
  double RetryRatio = 0.2;
  double RetryExtra = 20;
  Duration RetryWindow = std::chrono::seconds(10);
};

/// Sentences about broken promises; empty when all held.
using Violations = std::vector<std::string>;

/// Every call ended.
Violations checkEveryCallEnds(const RunHistory &history);
/// A call that may not be repeated ran at most once.
Violations checkAtMostOnce(const RunHistory &history);
/// A call that was refused as not run never ran.
Violations checkTrueRefusals(const RunHistory &history);
/// Undisturbed routers send nothing to a target `TakenOut` after it was out.
Violations checkTakenOut(const RunHistory &history,
                         const PromiseBounds &bounds);
/// No call is sent with a key that was revoked `Revocation` before, by any
/// router.
Violations checkRevoked(const RunHistory &history, const PromiseBounds &bounds);
/// No router goes back to an older configuration; undisturbed ones take a new
/// one into force within `ConfigApply`.
Violations checkConfiguration(const RunHistory &history,
                              const PromiseBounds &bounds);
/// Cold targets start no more in any second than they bear.
Violations checkCold(const RunHistory &history, const PromiseBounds &bounds);
/// Repeats of all routers stay within the budget in every window.
Violations checkRetries(const RunHistory &history, const PromiseBounds &bounds);
/// At least `share` of the calls since `from` were answered by a target.
Violations checkServed(const RunHistory &history, Time from, double share);

/// All but `checkServed`.
Violations checkAlways(const RunHistory &history, const PromiseBounds &bounds);

} // namespace nutmegsill::simulation
