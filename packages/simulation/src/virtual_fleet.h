/// A fleet in virtual time: routers, targets, the store and callers. The
/// routers decide with the code of `packages/routing`; only I/O is simulated.
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

/// One kind of request and its rate.
struct TrafficPlan {
  std::string Route;
  TeamId Team;
  std::string ApiKey;
  /// Over the whole fleet.
  double RequestsPerSecond = 1;
  /// Number of distinct prompt prefixes that requests share, tokens of each
  /// prefix, and tokens of the rest of a prompt. With 0 prefix tokens, requests
  /// have no prompt.
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
  /// Time from the start of the store and the routers to the first requests.
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
  /// Called with "chart.state.event" when a router's store link takes a
  /// transition.
  std::function<void(const HostId &, const std::string &transition)>
      OnTransition;

  void runUntil(Time end);
  void stopTraffic() { TrafficStopped = true; }

  // Faults; each lasts for `duration` where one is given.

  void killRouter(const HostId &host, Duration duration);
  void freezeRouter(const HostId &host, Duration duration);
  /// Drops the load reports between the router and its peers.
  void cutPeers(const HostId &host, Duration duration);
  void disruptStoreFor(const HostId &host, StoreMode mode, Duration duration);
  void disruptStore(StoreMode mode, Duration duration, bool leasesExpire);
  /// Copies the store now and brings the copy back after `copyAge`; operators
  /// and targets write again what it lacks.
  void restoreStore(Duration copyAge);
  void crashTarget(const TargetId &target, Duration duration);
  void injectTargetFault(const TargetId &target, TargetFault fault,
                         Duration duration);
  void drainTarget(const TargetId &target);
  void evacuateZone(const ZoneId &zone, Duration duration);
  void revokeKey(const std::string &key);
  /// Writes the current configuration under a new revision.
  void writeConfig();
  /// Multiplies the rate of a team's requests by `factor`.
  void multiplyTeamRate(const TeamId &team, double factor, Duration duration);

  /// The history up to the end of the last `runUntil`.
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
  std::set<ZoneId> EvacuatedZones;
  std::uint64_t LastUnsharedPart = 1'000'000;
  bool TrafficStopped = false;
};

} // namespace nutmegsill::simulation
