/// Load reports that routers exchange.
#pragma once

#include "nutmegsill/routing/crash_quarantine.h"
#include "nutmegsill/routing/fleet_capacity.h"
#include "nutmegsill/routing/handover.h"
#include "nutmegsill/routing/rollout.h"
#include "nutmegsill/routing/service_load.h"
#include "nutmegsill/routing/stream_origins.h"
#include "nutmegsill/routing/target_statements.h"
#include "nutmegsill/routing/team_share.h"
#include "nutmegsill/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace nutmegsill::routing {

/// Load of one target caused by the reporting routers.
struct TargetLoad {
  TargetId Target;
  /// Tokens of prompts sent to it whose response has not started.
  std::uint64_t PrefillTokens = 0;
  std::uint32_t RunningRequests = 0;
};

/// Requested and served rates of one team.
struct TeamTraffic {
  TeamId Team;
  TeamRate Rate;
};

/// Prompts sent to one target.
struct SentPrompts {
  TargetId Target;
  /// Tokens that the target has to prefill.
  std::uint64_t PrefillTokens = 0;
  /// Hashes of the parts that other requests may share.
  std::vector<std::uint64_t> Parts;
};

/// Accumulates sent prompts until the next report.
class SentPromptLog {
public:
  void add(const SentPrompts &prompts);
  std::vector<SentPrompts> take();

private:
  std::map<TargetId, SentPrompts> Targets;
};

/// The load of one router, or the sum of several.
struct LoadReport {
  std::vector<TargetLoad> Targets;
  std::vector<TeamTraffic> Teams;
  /// Prompts sent since the last report, without the parts that were reported
  /// recently.
  std::vector<SentPrompts> PromptsSent;
  /// The other routers included in the sum.
  std::vector<HostId> IncludedHosts;
  /// Routers, of those in the sum, that serve their requests late.
  std::vector<HostId> OverloadedHosts;
  QuarantineReport Quarantine;
  std::vector<StatementReport> Statements;
  /// Of the routers in the sum that take connections over.
  std::vector<SpareCapacity> Spare;
  /// Stated loads that were heard since the last report.
  std::vector<TargetStateReport> TargetStates;
  /// What was observed of the engines of each pool.
  std::vector<PoolService> PoolServices;
  std::vector<RolloutReport> Rollouts = {};
  /// Begun by the reporting router.
  std::vector<StreamOriginReport> StreamOrigins = {};

  /// Whether there is nothing to tell of targets, teams, crashes, limits,
  /// engines, roll-outs and streams.
  bool isEmpty() const {
    return Targets.empty() && Teams.empty() && Quarantine.isEmpty() &&
           Statements.empty() && TargetStates.empty() && PoolServices.empty() &&
           Rollouts.empty() && StreamOrigins.empty();
  }
};

} // namespace nutmegsill::routing
