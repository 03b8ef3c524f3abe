/// Keeps which versions of software the targets of each pool have run, as far
/// back as a stream may have begun. Without I/O and clock.
#pragma once

#include "nutmegsill/routing/model.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace nutmegsill::routing {

struct VersionHistoryPolicy {
  /// Age of the fleet's state beyond which targets may have come and gone
  /// unseen: proofs that it is current are up to 2.4 s old.
  Duration MaxViewAge = milliseconds(3'000);
  /// Versions kept for one pool.
  std::size_t MaxVersions = 32;
  /// Time for which a version is kept after it was last seen; nothing is proved
  /// about longer spans.
  Duration Memory = std::chrono::minutes(5);
};

/// The only version that targets of a pool have run.
struct SoleVersion {
  std::string Version;
  /// Versions that appeared later may not be known yet.
  Time AsOf{};
};
struct NoSoleVersion {
  /// For the log: "starting", "several_versions", "not_current", "rerouted".
  const char *Reason = "starting";
};
using SoleVersionDecision = std::variant<SoleVersion, NoSoleVersion>;

/// Not thread-safe.
class VersionHistory {
public:
  explicit VersionHistory(VersionHistoryPolicy policy = {}) : Policy(policy) {}

  /// Records the versions in a view, and the pools of its routes.
  void setView(const FleetView &view, Time now);
  /// Records that the view set last was current `age` ago. What was not watched
  /// without a gap is not known.
  void setViewAge(Duration age, Time now);
  /// The only version that targets of `pool` have run in the last `span`, while
  /// it was the route's only pool.
  SoleVersionDecision soleVersion(const RouteRule &route, const PoolId &pool,
                                  Duration span, Time now) const;
  /// Whether targets of `pool` are known to have run another version in the
  /// last `span`.
  bool hasOtherVersion(const PoolId &pool, const std::string &version,
                       Duration span, Time now) const;

private:
  struct Seen {
    Time LastAt{};
    /// In the present view.
    bool Present = false;
  };
  struct PoolVersions {
    std::map<std::string, Seen> Versions;
    /// When a version that did not fit was last seen.
    std::optional<Time> ForgottenAt = std::nullopt;
  };
  struct RouteFacts {
    std::set<PoolId> Pools;
    /// The span of a proof follows from it; streams of before may last longer.
    Duration Timeout{0};
    bool operator==(const RouteFacts &) const = default;
  };
  /// What a request may be routed by.
  struct RouteTable {
    /// By prefix and name of the route.
    std::map<std::pair<std::string, std::string>, RouteFacts> Routes;
    Time Since{};
  };

  void recordVersions(const FleetView &view, Time now);
  void recordRoutes(const ServiceConfig &config, Time now);
  void forget(PoolVersions &pool, Time now) const;

  VersionHistoryPolicy Policy;
  /// The fleet has been watched without a gap since.
  std::optional<Time> Since;
  /// The view was current then.
  std::optional<Time> AsOf;
  bool HasView = false;
  std::map<PoolId, PoolVersions> Pools;
  /// By host name.
  std::map<std::string, RouteTable> Routes;
};

} // namespace nutmegsill::routing
