/// Data model of the fleet: the operators' configuration, the targets and the
/// routers.
#pragma once

#include "nutmegsill/routing/rollout_items.h"
#include "nutmegsill/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegsill::routing {

/// How often a request may be executed.
enum class ExecutionSemantics {
  /// Any number of times; may be retried.
  Idempotent,
  /// At most once per attempt of the caller.
  AtMostOnce,
  /// An event stream; executed at most once unless the route is resumable.
  Stream,
};

const char *executionSemanticsName(ExecutionSemantics semantics);

/// A pool of a route and its relative weight in the route's traffic.
struct PoolWeight {
  PoolId Pool;
  std::uint32_t Weight = 1;
};

/// Routes requests with a given host name and path prefix to pools.
struct RouteRule {
  std::string Name;
  std::string HostName;
  /// Begins and ends with a slash.
  std::string Prefix;
  ExecutionSemantics Semantics = ExecutionSemantics::AtMostOnce;
  /// Maximum time from a request's arrival to its final response.
  milliseconds Timeout{0};
  /// Time to the response, or to the first event of a stream, that callers
  /// expect.
  milliseconds LatencyObjective{0};
  /// Maximum number of targets that one request is sent to.
  std::uint32_t MaxAttempts = 1;
  /// Served without an API key.
  bool Public = false;
  /// An interrupted stream may be resumed on another target.
  bool Resumable = false;
  std::vector<PoolWeight> Pools;

  bool isResumableStream() const {
    return Semantics == ExecutionSemantics::Stream && Resumable;
  }
  bool allowsRetry() const {
    return Semantics == ExecutionSemantics::Idempotent || isResumableStream();
  }
};

/// Limits of a model engine; the same for all engines of a pool.
struct EngineLimits {
  /// Maximum number of requests in a batch.
  std::uint32_t MaxBatchSize = 1;
  /// Size of the KV cache in tokens.
  std::uint64_t KvCacheTokens = 0;
};

struct PoolRule {
  PoolId Pool;
  /// Maximum number of connections to one target from all routers together.
  std::uint32_t MaxConnections = 0;
  /// Time after a start during which a target accepts only `ColdRequestRate`.
  Duration ColdDuration{0};
  /// Maximum requests per second of a cold target.
  double ColdRequestRate = 0;
  /// Set for pools of model engines.
  std::optional<EngineLimits> Engine;
};

struct TeamRule {
  TeamId Team;
  std::vector<std::string> ApiKeys;
};

/// Size limits and timeouts for callers.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = 4ULL << 20U;
  milliseconds HeaderTimeout{3'000};
  milliseconds IdleTimeout{15'000};
};

/// A validated configuration of the operators.
struct ServiceConfig {
  ConfigRevision Revision;
  std::vector<RouteRule> Routes;
  std::map<PoolId, PoolRule> Pools;
  /// Only public routes serve requests without a team's key; also true where no
  /// team is left.
  bool RequiresApiKeys = false;
  std::vector<TeamRule> Teams;
  CallerLimits Limits;
  /// Rated throughput of all engines together, in tokens per second. Each input
  /// token counts once, each output token twice. 0 if not configured.
  double RatedTokensPerSecond = 0;

  /// Builds the lookup tables; call once after all lists are complete.
  void buildIndex();
  /// Returns the route of `hostName` with the longest prefix that matches
  /// `path`; null if there is none.
  const RouteRule *findRoute(std::string_view hostName,
                             std::string_view path) const;
  const TeamRule *findTeamByApiKey(std::string_view key) const;
  const PoolRule *findPool(const PoolId &id) const;

private:
  /// Indices into `Routes` by host name, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> RoutesByHostName;
  std::map<std::string, std::size_t, std::less<>> TeamsByApiKey;
};

/// The entry that a target last wrote about itself.
struct TargetEntry {
  TargetId Target;
  PoolId Pool;
  /// "IP:port".
  std::string Address;
  ZoneId Zone;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// Time for which the target stays cold, counted from when the entry was
  /// read.
  Duration RemainingColdTime{0};
  /// Start time of the process; distinguishes successive processes with one id.
  std::int64_t StartedAtMs = 0;
  /// Version of the software that the process runs; empty if it states none.
  std::string Version = {};
  bool operator==(const TargetEntry &) const = default;
};

/// The entry under which a router registered.
struct RouterEntry {
  HostId Host;
  ZoneId Zone;
  /// Address for callers.
  std::string CallerAddress;
  /// Address for messages from other routers.
  std::string PeerAddress;
  IncarnationId Incarnation;
  /// Processor time of the router, relative to the other routers.
  double ProcessorShare = 1;
  /// Address for connections that smaller hosts hand over; empty if the router
  /// takes none.
  std::string HandoverAddress = {};
  bool operator==(const RouterEntry &) const = default;
};

// Decoded items of the platform's store and their removals.

struct ConfigUpdated {
  std::shared_ptr<const ServiceConfig> Config;
};
struct ZoneEvacuated {
  ZoneId Zone;
};
struct ZoneRestored {
  ZoneId Zone;
};
struct TargetUpdated {
  TargetEntry Entry;
};
struct TargetRemoved {
  TargetId Target;
};
struct RouterUpdated {
  RouterEntry Entry;
};
struct RouterRemoved {
  HostId Host;
};
/// An item that cannot be decoded; `Target` or `Router` is set for the entry of
/// one.
struct UnreadableItem {
  std::string Key;
  std::string Reason;
  std::optional<TargetId> Target;
  std::optional<HostId> Router;
  /// Set for the order of a roll-out, which then names none.
  std::optional<PoolId> Rollout = std::nullopt;
};
/// An item that does not concern routers.
struct UnrelatedItem {};

using StoreUpdate =
    std::variant<ConfigUpdated, ZoneEvacuated, ZoneRestored, TargetUpdated,
                 TargetRemoved, RouterUpdated, RouterRemoved,
                 RolloutOrderUpdated, RolloutStatusUpdated, UnreadableItem,
                 UnrelatedItem>;

/// A target's entry and the state that this router derived for it.
struct KnownTarget {
  TargetEntry Entry;
  Time ColdUntil{};
  /// The target's availability zone is out of service.
  bool InEvacuatedZone = false;
};

/// A consistent snapshot of the fleet; replaced as a whole.
struct FleetView {
  std::shared_ptr<const ServiceConfig> Config;
  std::vector<KnownTarget> Targets;
  std::vector<RouterEntry> Routers;
  /// Pools with an order to move to another version, or its status.
  std::map<PoolId, RolloutItems> Rollouts = {};
  /// Increases with every view of this process.
  std::uint64_t Version = 0;
};

} // namespace nutmegsill::routing
