/// What callers, targets, the platform and routers saw, and the checks of it.
#pragma once

#include "nutmegsill/event.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::harness {

/// How a call ended for its caller.
enum class CallEnd { Open, Complete, NotRun, Unknown, Cut };

struct CallRecord {
  HostId Entry;
  TeamId Team;
  PoolId Pool;
  bool Idempotent = true;
  std::string Key;
  Cost Work;
  Time SubmittedAt;
  CallEnd End = CallEnd::Open;
  Time EndedAt;
  /// Identity of the request whose answer the caller got.
  std::string Answer;
  /// The identity that the answer must have.
  std::string Expected;
};

/// What identifies the answer to a call: its key, or its place in the history.
std::string identity(const CallRecord &call, std::size_t index);

/// A target began to work on a call.
struct RunRecord {
  std::size_t Call = 0;
  TargetId Target;
  Time StartedAt;
};

struct GrantRecord {
  HostId Owner;
  TargetId Target;
  Epoch Number;
  Time At;
};

struct DispatchRecord {
  HostId Entry;
  TargetId Target;
  Time At;
};

/// Work that a target did for a team.
struct ServiceRecord {
  PoolId Pool;
  TeamId Team;
  Cost Work;
  Time At;
};

/// A target ran more than it can bear and fell over.
struct OverloadRecord {
  TargetId Target;
  Time At;
  /// Requests that were lost.
  std::size_t Lost = 0;
  /// When the target had last started before that.
  Time StartedAt;
};

/// A configuration was accepted by the service.
struct AcceptedRecord {
  Revision Number;
  Time At;
  /// Targets that it takes no new work to.
  std::vector<TargetId> Out;
};

struct InForceRecord {
  Instance Router;
  Revision Number;
  Time At;
};

/// From when to when a router process lived and was healthy.
struct LifeRecord {
  Instance Router;
  Time From;
  std::optional<Time> Until;
  std::optional<Time> StopAskedAt;
  /// True when the process ended by itself after a planned stop.
  bool Stopped = false;
  /// Disturbances that explain a late configuration.
  std::vector<std::pair<Time, Time>> Disturbed;
};

struct History {
  std::vector<CallRecord> Calls;
  std::vector<RunRecord> Runs;
  std::vector<GrantRecord> Grants;
  std::vector<DispatchRecord> Dispatches;
  std::vector<ServiceRecord> Services;
  std::vector<OverloadRecord> Overloads;
  std::vector<AcceptedRecord> Accepted;
  std::vector<InForceRecord> InForce;
  std::vector<LifeRecord> Lives;
  Time EndedAt;
};

/// Violations of a promise, each a sentence; empty when it held.
using Violations = std::vector<std::string>;

/// A key that may not be repeated ran at most once.
Violations checkAtMostOnce(const History &history);
/// A call that was refused as not run never ran.
Violations checkTrueRefusals(const History &history);
/// A complete call got the answer to its own request.
Violations checkWholeAnswers(const History &history);
/// Every call ended.
Violations checkEveryCallEnds(const History &history);
/// Grants for a target never go back to an earlier owner.
Violations checkOneGranter(const History &history);
/// A target that had just started was not overloaded: at most `allowed`
/// requests were lost to all unannounced starts together.
Violations checkColdTargets(const History &history, std::size_t allowed);
/// Targets that were taken out got no new work after `grace`.
Violations checkTakenOut(const History &history, Duration grace);
/// A planned stop cut no call and ended by itself.
Violations checkGracefulStop(const History &history);
/// No router went back to an earlier configuration, and an undisturbed one had
/// each accepted one in force within `limit`.
Violations checkConfiguration(const History &history, Duration limit);

/// Runs all checks of promises that hold under every fault.
Violations checkAlways(const History &history);

/// Service per weight of the named teams over time: the largest difference
/// between any two of them while all were backlogged from `from` to `until`.
VirtualService largestGap(const History &history, const PoolId &pool,
                          const std::map<TeamId, std::uint32_t> &weights,
                          Time from, Time until);

} // namespace nutmegsill::harness
