/// Settings of one gateway process.
#pragma once

#include "nutmegsill/http_client.h"
#include "nutmegsill/routing/retry_budget.h"
#include "peer_socket.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::gateway {

/// Bounds that the platform's operators state for the fleet.
struct FleetBounds {
  /// After this time a removed key must not be served.
  Duration RevocationBound = milliseconds(5'000);
  /// Time from the signal to stop until the process is killed.
  Duration StopGrace = std::chrono::seconds(8);
  /// Longest life of an answer of the directory.
  std::chrono::seconds MaxAddressTtl{5};
  routing::RetryBudgetPolicy RetryBudget;
};

struct GatewaySettings {
  HostId Host;
  ZoneId Zone;
  Endpoint CallerEndpoint;
  Endpoint ReadinessEndpoint;
  Endpoint DirectoryEndpoint;
  std::string PeerAddress;
  std::string MetricsAddress;
  Endpoint StoreEndpoint;
  /// Shortest life of a lease that the store grants.
  milliseconds MinLeaseTtl{1'000};
  /// File descriptors that the process may open.
  std::size_t MaxDescriptors = 1024;
  std::optional<CurveKeys> Curve;
  FleetBounds Bounds;
};

/// Settings, or every fault found as "PATH: expected FORM".
struct GatewaySettingsResult {
  std::optional<GatewaySettings> Value;
  std::vector<std::string> Errors;
};

/// Ignores members that it does not know.
GatewaySettingsResult parseGatewaySettings(const std::string &text);

} // namespace nutmegsill::gateway
