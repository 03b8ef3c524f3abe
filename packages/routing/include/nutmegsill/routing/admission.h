/// Finds what a caller's request asks for, and whether it may.
#pragma once

#include "nutmegsill/routing/model.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmegsill::routing {

/// An answer of the router itself.
struct LocalResponse {
  /// HTTP status. 502 and 504 leave open whether the request ran; all others
  /// state that it did not.
  unsigned Status = 0;
  std::string Reason;
  /// Set for refusals that a caller may repeat.
  std::optional<Duration> RetryAfter;
};

/// What decides about a request before any target is chosen.
struct IncomingRequest {
  std::string_view HostName;
  std::string_view Path;
  std::string_view ApiKey;
  std::string_view RequestId;
  /// How long the caller waits; none when it does not say.
  std::optional<Duration> Timeout;
};

/// A request that may be sent to a target.
struct Admission {
  /// Holds what `Route` points to.
  std::shared_ptr<const ServiceConfig> Config;
  const RouteRule *Route = nullptr;
  TeamId Team;
  PoolId Pool;
  /// From its arrival to its last possible answer.
  Duration TimeLimit{0};
};

/// What is fixed for a router.
struct AdmissionPolicy {
  /// After this time a removed key must not be served.
  Duration RevocationBound = milliseconds(5'000);
  /// Part of it for which a configuration counts as current. The rest covers
  /// the way of a request and a late watch.
  double MaxConfigAgeFraction = 0.7;
};

/// `configAge` is the time since all configurations were known; `view` may be
/// null.
std::variant<Admission, LocalResponse>
admit(const IncomingRequest &request,
      const std::shared_ptr<const FleetView> &view, Duration configAge,
      const AdmissionPolicy &policy);

} // namespace nutmegsill::routing
