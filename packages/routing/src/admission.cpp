#include "nutmegsill/routing/admission.h"

#include <algorithm>
#include <xxhash.h>

namespace nutmegsill::routing {

namespace {

/// Pause for callers of a router that does not know the fleet yet.
constexpr milliseconds StartingRetryAfter{500};
constexpr milliseconds StaleRetryAfter{300};

/// The pool that the request's id draws by the route's weights.
PoolId drawPool(const RouteRule &route, std::string_view requestId) {
  std::uint64_t total = 0;
  for (const PoolWeight &it : route.Pools) {
    total += it.Weight;
  }
  const std::uint64_t hash = XXH64(requestId.data(), requestId.size(), 0);
  std::uint64_t draw = total == 0 ? 0 : hash % total;
  for (const PoolWeight &it : route.Pools) {
    if (draw < it.Weight) {
      return it.Pool;
    }
    draw -= it.Weight;
  }
  return route.Pools.front().Pool;
}

} // namespace

std::variant<Admission, OwnAnswer>
admit(const IncomingRequest &request,
      const std::shared_ptr<const FleetView> &view, Duration configAge,
      const AdmissionPolicy &policy) {
  if (!view) {
    return OwnAnswer{503, "starting", StartingRetryAfter};
  }
  Admission out;
  out.Config = view->Config;
  out.Route = out.Config->routeFor(request.HostName, request.Path);
  if (out.Route == nullptr) {
    return OwnAnswer{404, "no_route", std::nullopt};
  }
  const Duration longest = out.Route->Timeout;
  out.Limit = std::min(request.Deadline.value_or(longest), longest);
  const bool keyed = !out.Route->Public && !out.Config->Teams.empty();
  if (keyed) {
    const Duration bound = std::chrono::duration_cast<Duration>(
        policy.Revocation * policy.CurrentShare);
    if (configAge > bound) {
      return OwnAnswer{503, "configuration_not_current", StaleRetryAfter};
    }
    const TeamRule *team = out.Config->teamOfKey(request.Key);
    if (team == nullptr) {
      return OwnAnswer{401, "unknown_key", std::nullopt};
    }
    out.Team = team->Team;
  }
  out.Pool = drawPool(*out.Route, request.RequestId);
  return out;
}

} // namespace nutmegsill::routing
