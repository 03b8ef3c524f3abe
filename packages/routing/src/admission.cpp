#include "nutmegsill/routing/admission.h"

#include <algorithm>
#include <xxhash.h>

namespace nutmegsill::routing {

namespace {

/// Retry-After of a router that does not have a fleet view yet.
constexpr milliseconds StartingRetryAfter{500};
constexpr milliseconds StaleConfigRetryAfter{300};

/// Selects a pool by the route's weights and the hash of the request id.
PoolId selectPool(const RouteRule &route, std::string_view requestId) {
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

std::variant<Admission, LocalResponse>
admit(const IncomingRequest &request,
      const std::shared_ptr<const FleetView> &view, Duration configAge,
      const AdmissionPolicy &policy) {
  if (!view) {
    return LocalResponse{503, "starting", StartingRetryAfter};
  }
  Admission out;
  out.Config = view->Config;
  out.Route = out.Config->findRoute(request.HostName, request.Path);
  if (out.Route == nullptr) {
    return LocalResponse{404, "no_route", std::nullopt};
  }
  const Duration routeTimeout = out.Route->Timeout;
  out.TimeLimit =
      std::min(request.Timeout.value_or(routeTimeout), routeTimeout);
  const bool requiresApiKey = !out.Route->Public && out.Config->RequiresApiKeys;
  if (requiresApiKey) {
    const Duration maxConfigAge = std::chrono::duration_cast<Duration>(
        policy.RevocationBound * policy.MaxConfigAgeFraction);
    if (configAge > maxConfigAge) {
      return LocalResponse{503, "configuration_not_current",
                           StaleConfigRetryAfter};
    }
    const TeamRule *team = out.Config->findTeamByApiKey(request.ApiKey);
    if (team == nullptr) {
      return LocalResponse{401, "unknown_key", std::nullopt};
    }
    out.Team = team->Team;
  }
  // A stream that is taken up goes on in the pool that it began in.
  const bool namesStream =
      out.Route->isResumableStream() && !request.Resumes.empty();
  out.Pool =
      selectPool(*out.Route, namesStream ? request.Resumes : request.RequestId);
  return out;
}

} // namespace nutmegsill::routing
