/// Settings of one gateway process.
#pragma once

#include "nutmegsill/http_client.h"
#include "nutmegsill/routing/hedging.h"
#include "nutmegsill/routing/retry_budget.h"
#include "nutmegsill/routing/rollout.h"
#include "nutmegsill/routing/zone_homes.h"
#include "peer_socket.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::gateway {

/// Bounds that the platform's operators set for the fleet.
struct FleetBounds {
  /// Time after the removal of an API key from which its requests must be
  /// rejected.
  Duration RevocationBound = milliseconds(5'000);
  /// Time from the stop signal until the process is killed.
  Duration StopGrace = std::chrono::seconds(8);
  /// Longest TTL of a directory response.
  std::chrono::seconds MaxAddressTtl{5};
  routing::RetryBudgetPolicy RetryBudget;
  /// Set where the operators roll out versions.
  std::optional<routing::RolloutPolicy> Rollout;
};

struct GatewaySettings {
  HostId Host;
  ZoneId Zone;
  Endpoint CallerEndpoint;
  Endpoint ReadinessEndpoint;
  Endpoint DirectoryEndpoint;
  /// Addresses to bind, in the form "IP:port".
  std::string PeerAddress;
  std::string MetricsAddress;
  /// Address for connections that smaller hosts hand over; without it the
  /// router neither takes connections over nor hands them over.
  std::optional<Endpoint> HandoverEndpoint;
  Endpoint StoreEndpoint;
  /// Shortest TTL of a lease that the store grants.
  milliseconds MinLeaseTtl{1'000};
  /// File descriptors that the process may open.
  std::size_t MaxDescriptors = 1024;
  /// Memory that the process may use; without the member that of the smallest
  /// hosts.
  std::size_t MemoryBytes = std::size_t{88} << 20U;
  /// Processor time that the host allots to this process, in cores of the
  /// fleet's reference speed; only the ratio between hosts matters.
  double ProcessorShare = 1;
  std::optional<CurveKeys> Curve;
  routing::ZoneHomePolicy ZoneHomes;
  FleetBounds Bounds;
  /// Off by default.
  routing::HedgingPolicy Hedging;
};

/// Settings, or every error found as "PATH: expected FORM".
struct GatewaySettingsResult {
  std::optional<GatewaySettings> Value;
  std::vector<std::string> Errors;
};

/// Parses JSON settings; ignores unknown members.
GatewaySettingsResult parseGatewaySettings(const std::string &text);

} // namespace nutmegsill::gateway
