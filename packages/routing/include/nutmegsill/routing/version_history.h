/// Keeps which versions of software the targets of each pool have run, as far
/// back as a stream may have begun. Without I/O and clock.
#pragma once

#include "nutmegsill/routing/model.h"

#include <map>
#include <optional>
#include <string>

namespace nutmegsill::routing {

struct VersionHistoryPolicy {
  /// Age of the fleet's state beyond which targets may have come and gone
  /// unseen: proofs that it is current are up to 2.4 s old.
  Duration MaxViewAge = milliseconds(3'000);
  /// Versions kept for one pool; with more, none counts as the only one.
  std::size_t MaxVersions = 32;
  /// Time for which a version is kept after it was last seen.
  Duration Memory = std::chrono::minutes(5);
};

/// Not thread-safe.
class VersionHistory {
public:
  explicit VersionHistory(VersionHistoryPolicy policy = {}) : Policy(policy) {}

  /// Records the versions in a view, and the pools of its routes.
  void setView(const FleetView &view, Time now);
  /// Records that the fleet's state was current `age` ago. What was not watched
  /// without a gap is not known.
  void setViewAge(Duration age, Time now);
  /// The only version that targets of `pool` have run in the last `span`, while
  /// the route's pools were the same; nothing if there were several, or if too
  /// little is known.
  std::optional<std::string> soleVersion(const RouteRule &route,
                                         const PoolId &pool, Duration span,
                                         Time now) const;

private:
  VersionHistoryPolicy Policy;
  /// The fleet has been watched without a gap since.
  std::optional<Time> Since;
  /// When each version was last seen; still seen if `Present`.
  struct Seen {
    Time LastAt{};
    bool Present = false;
  };
  std::map<PoolId, std::map<std::string, Seen>> Versions;
  /// Pools of each route, and since when.
  struct RoutePools {
    std::vector<PoolId> Pools;
    Time Since{};
  };
  std::map<std::string, RoutePools> Routes;
};

} // namespace nutmegsill::routing
