/// What a router knows of the fleet: the operators' configuration, the targets
/// and the other routers.
#pragma once

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

/// How often a request may run.
enum class ExecutionSemantics {
  /// Any number of times.
  Idempotent,
  /// At most once for one attempt of a caller.
  AtMostOnce,
  /// An event stream; runs at most once unless it may be resumed.
  Stream,
};

const char *executionSemanticsName(ExecutionSemantics kind);

/// One pool of a route and its part of the route's traffic.
struct PoolWeight {
  PoolId Pool;
  std::uint32_t Weight = 1;
};

/// A rule that sends requests of one host name and path prefix to pools.
struct RouteRule {
  std::string Name;
  std::string HostName;
  /// Begins and ends with a slash.
  std::string Prefix;
  ExecutionSemantics Semantics = ExecutionSemantics::AtMostOnce;
  /// Longest time from a request's arrival to its final answer.
  milliseconds Timeout{0};
  /// Time to the answer, or to the first event, that callers expect.
  milliseconds LatencyObjective{0};
  /// Targets that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Served without a key.
  bool Public = false;
  /// A broken stream may be continued on another target.
  bool Resumable = false;
  std::vector<PoolWeight> Pools;

  bool allowsRetry() const {
    return Semantics == ExecutionSemantics::Idempotent ||
           (Semantics == ExecutionSemantics::Stream && Resumable);
  }
};

/// Limits of a model engine, equal for all engines of a pool.
struct EngineLimits {
  /// Requests of one batch.
  std::uint32_t MaxBatchSize = 1;
  /// Tokens of KV cache memory.
  std::uint64_t KvCacheTokens = 0;
};

struct PoolRule {
  PoolId Pool;
  /// Connections that one target accepts from all routers together.
  std::uint32_t MaxConnections = 0;
  /// Time after a start during which a target bears only `ColdRequestRate`.
  Duration ColdDuration{0};
  /// Requests a second that a cold target bears.
  double ColdRequestRate = 0;
  /// Set for pools of model engines.
  std::optional<EngineLimits> Engine;
};

struct TeamRule {
  TeamId Team;
  std::vector<std::string> ApiKeys;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = 4ULL << 20U;
  milliseconds HeaderTimeout{3'000};
  milliseconds IdleTimeout{15'000};
};

/// One accepted configuration of the operators.
struct ServiceConfig {
  ConfigRevision Revision;
  std::vector<RouteRule> Routes;
  std::map<PoolId, PoolRule> Pools;
  std::vector<TeamRule> Teams;
  CallerLimits Limits;
  /// Tokens a second that all engines are rated at; each token read counts
  /// once, each token generated twice. 0 when not stated.
  double RatedTokensPerSecond = 0;

  /// Fills the look-up tables; call once after the lists are complete.
  void buildIndex();
  /// The route with the longest prefix of `path` on `hostName`.
  const RouteRule *findRoute(std::string_view hostName,
                             std::string_view path) const;
  const TeamRule *findTeamByApiKey(std::string_view key) const;
  const PoolRule *findPool(const PoolId &id) const;

private:
  /// Indices into `Routes` by host name, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> RoutesByHostName;
  std::map<std::string, std::size_t, std::less<>> TeamsByApiKey;
};

/// A target as it last described itself.
struct TargetEntry {
  TargetId Target;
  PoolId Pool;
  /// "IP:port".
  std::string Address;
  ZoneId Zone;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// Time for which it stays cold, counted from when the entry was read.
  Duration RemainingColdTime{0};
  /// Start of its process; tells two lives under one id apart.
  std::int64_t StartedAtMs = 0;
};

/// A router as it registered itself.
struct RouterEntry {
  HostId Host;
  ZoneId Zone;
  /// Address for callers.
  std::string CallerAddress;
  /// Address for messages of other routers.
  std::string PeerAddress;
  IncarnationId Incarnation;
  bool operator==(const RouterEntry &) const = default;
};

// What one item of the platform's store says.

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
/// An item that cannot be used; `Target` is set for an entry of a target.
struct UnreadableItem {
  std::string Key;
  std::string Reason;
  std::optional<TargetId> Target;
};
/// An item that does not concern routers.
struct UnrelatedItem {};

using StoreUpdate = std::variant<ConfigUpdated, ZoneEvacuated, ZoneRestored,
                                 TargetUpdated, TargetRemoved, RouterUpdated,
                                 RouterRemoved, UnreadableItem, UnrelatedItem>;

/// A target with what this router derived about it.
struct KnownTarget {
  TargetEntry Entry;
  Time ColdUntil{};
  /// Its zone is out of service, or was when the entry was read.
  bool InEvacuatedZone = false;
};

/// A consistent picture of the fleet; replaced as a whole.
struct FleetView {
  std::shared_ptr<const ServiceConfig> Config;
  std::vector<KnownTarget> Targets;
  std::vector<RouterEntry> Routers;
  /// Counts the views of this process.
  std::uint64_t Version = 0;
};

} // namespace nutmegsill::routing
