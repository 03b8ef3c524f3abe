/// Routers, targets, the store and callers in virtual time. The routers'
/// choices are those of `packages/routing`; only I/O is replaced.
#pragma once

#include "nutmegsill/routing/fleet_state.h"
#include "nutmegsill/routing/request_lifecycle.h"
#include "run_history.h"
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
  std::string Key;
  /// Requests a second of the whole fleet.
  double Rate = 1;
  /// Things that requests share parts about, and the tokens of their parts.
  std::uint64_t Things = 1;
  std::uint32_t SharedTokens = 0;
  std::uint32_t OwnTokens = 0;
  std::uint32_t OutputTokens = 0;
};

struct FleetPlan {
  std::uint64_t Seed = 1;
  std::size_t Routers = 5;
  std::vector<TargetPlan> Targets;
  std::shared_ptr<routing::ServiceConfig> Config;
  std::vector<TrafficPlan> Traffic;
  routing::RetryBudgetPolicy Retries;
  routing::AdmissionPolicy Admission;
  /// Store and traffic start together; traffic waits this long.
  Duration TrafficFrom = milliseconds(1'000);
  Duration MostDelay = milliseconds(4);
};

class VirtualFleet {
public:
  explicit VirtualFleet(FleetPlan plan);
  ~VirtualFleet();

  Schedule &clock() { return Clock; }
  VirtualStore &store() { return Store; }
  std::vector<HostId> hosts() const;
  std::vector<TargetId> targets() const;
  /// Called when a router's link to the store takes a step.
  std::function<void(const HostId &, const std::string &step)> OnStep;

  void runUntil(Time end);
  /// Sends no more calls.
  void stopTraffic() { Stopped = true; }

  // Faults.

  void kill(const HostId &host, Duration span);
  void freeze(const HostId &host, Duration span);
  /// Cuts the router's messages to and from its peers.
  void cutPeers(const HostId &host, Duration span);
  void cutStore(const HostId &host, StoreAccess access, Duration span);
  void storeAway(StoreAccess access, Duration span, bool lapse);
  void crashTarget(const TargetId &target, Duration span);
  void targetFault(const TargetId &target, TargetFault fault, Duration span);
  void drainTarget(const TargetId &target);
  void takeZoneOut(const ZoneId &zone, Duration span);
  void revokeKey(const std::string &key);
  /// Writes a configuration that differs in its number.
  void writeConfig();
  /// Multiplies a team's rate for some time.
  void heat(const TeamId &team, double factor, Duration span);

  /// The history, with the disturbances up to now.
  const RunHistory &history();

private:
  struct Router;
  struct Target;
  friend struct Router;

  void putTarget(const TargetId &id);
  void heartbeat(const TargetId &id);
  void scheduleTraffic(std::size_t plan);
  void call(const TrafficPlan &plan);
  void disturb(const HostId &host, Duration span);
  Duration delay();
  double uniform();

  FleetPlan Plan;
  Schedule Clock;
  VirtualStore Store{Clock};
  RunHistory Events;
  std::mt19937_64 Random;
  std::map<HostId, std::unique_ptr<Router>> Routers;
  std::map<TargetId, std::unique_ptr<Target>> Targets;
  std::map<TeamId, std::pair<double, Time>> Hot;
  std::uint64_t LastOwnPart = 1'000'000;
  bool Stopped = false;
};

} // namespace nutmegsill::simulation
