/// Routers, targets, the store and callers in virtual time. The routers'
/// choices are those of `packages/routing`; only I/O is replaced.
#pragma once

#include "fleet_history.h"
#include "nutmegsill/routing/fleet_state.h"
#include "nutmegsill/routing/request_lifecycle.h"
#include "virtual_store.h"
#include "virtual_target.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::simulation {

/// One kind of request and how often it comes.
struct TrafficPlan {
  std::string Route;
  TeamId Team;
  std::string ApiKey;
  /// Requests a second of the whole fleet.
  double RequestsPerSecond = 1;
  /// Things that requests share parts about, and the tokens of their parts.
  std::uint64_t SharedPrefixCount = 1;
  std::uint32_t SharedPrefixTokens = 0;
  std::uint32_t UnsharedTokens = 0;
  std::uint32_t OutputTokens = 0;
};

struct FleetPlan {
  std::uint64_t Seed = 1;
  std::size_t RouterCount = 5;
  std::vector<TargetPlan> Targets;
  std::shared_ptr<routing::ServiceConfig> Config;
  std::vector<TrafficPlan> Traffic;
  routing::RetryBudgetPolicy RetryBudget;
  routing::AdmissionPolicy Admission;
  /// Store and traffic start together; traffic waits this long.
  Duration TrafficStartDelay = milliseconds(1'000);
  Duration MaxMessageDelay = milliseconds(4);
};

class VirtualFleet {
public:
  explicit VirtualFleet(FleetPlan plan);
  ~VirtualFleet();

  VirtualClock &clock() { return Clock; }
  VirtualStore &store() { return Store; }
  std::vector<HostId> hosts() const;
  std::vector<TargetId> targets() const;
  /// Called when a router's link to the store takes a step.
  std::function<void(const HostId &, const std::string &transition)>
      OnTransition;

  void runUntil(Time end);
  /// Sends no more calls.
  void stopTraffic() { TrafficStopped = true; }

  // Faults.

  void killRouter(const HostId &host, Duration duration);
  void freezeRouter(const HostId &host, Duration duration);
  /// Cuts the router's messages to and from its peers.
  void cutPeers(const HostId &host, Duration duration);
  void disruptStoreFor(const HostId &host, StoreMode mode, Duration duration);
  void disruptStore(StoreMode mode, Duration duration, bool leasesExpire);
  void crashTarget(const TargetId &target, Duration duration);
  void injectTargetFault(const TargetId &target, TargetFault fault,
                         Duration duration);
  void drainTarget(const TargetId &target);
  void evacuateZone(const ZoneId &zone, Duration duration);
  void revokeKey(const std::string &key);
  /// Writes a configuration that differs in its number.
  void writeConfig();
  /// Multiplies a team's rate for some time.
  void multiplyTeamRate(const TeamId &team, double factor, Duration duration);

  /// The history, with the disturbances up to now.
  const FleetHistory &history();

private:
  struct Router;
  struct Target;
  friend struct Router;

  void writeTargetEntry(const TargetId &id);
  void sendHeartbeat(const TargetId &id);
  void generateTraffic(std::size_t plan);
  void sendCall(const TrafficPlan &plan);
  void recordDisruption(const HostId &host, Duration duration);
  Duration drawMessageDelay();
  double drawUniform();

  FleetPlan Plan;
  VirtualClock Clock;
  VirtualStore Store{Clock};
  FleetHistory History;
  std::mt19937_64 Random;
  std::map<HostId, std::unique_ptr<Router>> Routers;
  std::map<TargetId, std::unique_ptr<Target>> Targets;
  std::map<TeamId, std::pair<double, Time>> RateFactors;
  std::uint64_t LastUnsharedPart = 1'000'000;
  bool TrafficStopped = false;
};

} // namespace nutmegsill::simulation
