/// What routers tell each other about their traffic.
#pragma once

#include "nutmegsill/routing/team_share.h"
#include "nutmegsill/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace nutmegsill::routing {

/// Load that routers put on one target.
struct TargetLoad {
  TargetId Target;
  /// Prompt tokens sent to it for which no answer has begun.
  std::uint64_t PrefillTokens = 0;
  std::uint32_t RunningRequests = 0;
};

/// What one team asks of routers and gets.
struct TeamTraffic {
  TeamId Team;
  TeamRate Rate;
};

/// Prompts that a target was sent.
struct SentPrompts {
  TargetId Target;
  /// Tokens that it has to read.
  std::uint64_t PrefillTokens = 0;
  /// Hashes of parts that other requests may share.
  std::vector<std::uint64_t> Parts;
};

/// Collects prompts until the next report.
class SentPromptLog {
public:
  void add(const SentPrompts &prompts);
  std::vector<SentPrompts> take();

private:
  std::map<TargetId, SentPrompts> Targets;
};

/// The traffic of one router, or of several together.
struct LoadReport {
  std::vector<TargetLoad> Targets;
  std::vector<TeamTraffic> Teams;
  /// Prompts since the last report; parts that all routers know of are left
  /// out.
  std::vector<SentPrompts> PromptsSent;
  /// The other routers that the report sums up.
  std::vector<HostId> IncludedHosts;
};

} // namespace nutmegsill::routing
