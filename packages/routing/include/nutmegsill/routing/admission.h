/// Resolves route, team and pool of a caller's request and checks its API key.
#pragma once

#include "nutmegsill/routing/model.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmegsill::routing {

/// A response that the router generates itself.
struct LocalResponse {
  /// HTTP status. With 502 and 504 the request may have run; every other status
  /// guarantees that it did not.
  unsigned Status = 0;
  std::string Reason;
  /// Set if the caller may retry the request.
  std::optional<Duration> RetryAfter;
};

/// The fields of a request that admission depends on.
struct IncomingRequest {
  std::string_view HostName;
  std::string_view Path;
  std::string_view ApiKey;
  std::string_view RequestId;
  /// Id of the request that began the stream that this one takes up; empty if
  /// it names none.
  std::string_view Resumes;
  /// Time for which the caller waits for the response; unset if the request
  /// does not state it.
  std::optional<Duration> Timeout;
};

/// Route, team, pool and time limit of an admitted request.
struct Admission {
  /// Owns the object that `Route` points to.
  std::shared_ptr<const ServiceConfig> Config;
  const RouteRule *Route = nullptr;
  TeamId Team;
  PoolId Pool;
  /// Maximum time from the request's arrival to its final response.
  Duration TimeLimit{0};
};

/// Admission settings that are fixed for the lifetime of a router.
struct AdmissionPolicy {
  /// Maximum time for which a removed API key may still be accepted.
  Duration RevocationBound = milliseconds(5'000);
  /// Maximum age of a configuration that API keys are checked against, as a
  /// fraction of `RevocationBound`. The rest covers the transit time of a
  /// request and a delayed watch.
  double MaxConfigAgeFraction = 0.7;
};

/// Admits `request`, or returns the response that rejects it: 404 without a
/// matching route, 401 for an unknown API key, 503 without a view or with a
/// configuration that is too old to check the key. `configAge` is the time
/// since the configuration was last confirmed to be current; `view` is null
/// until the fleet is known.
std::variant<Admission, LocalResponse>
admit(const IncomingRequest &request,
      const std::shared_ptr<const FleetView> &view, Duration configAge,
      const AdmissionPolicy &policy);

} // namespace nutmegsill::routing
