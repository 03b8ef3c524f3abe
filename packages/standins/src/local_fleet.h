/// A whole fleet on the loopback address: platform, targets and routers as
/// separate processes. Test-only.
#pragma once

#include "process.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegsill::standin {

/// What the fleet consists of.
struct FleetPlan {
  /// Folder of the built programs.
  std::string Programs;
  /// Folder for settings, configuration and logs; made anew.
  std::string Folder;
  std::vector<std::string> Zones{"suva-a", "nadi-b", "lautoka-c"};
  unsigned RoutersPerZone = 1;
  unsigned ModelTargets = 2;
  unsigned ServiceTargets = 1;
  unsigned Slots = 8;
  unsigned ColdSlots = 2;
  unsigned WarmUpMs = 500;
  unsigned TokenMs = 2;
  /// Weight by team; the key of team T is "key-T".
  std::map<std::string, unsigned> Teams{{"prints", 1}, {"schools", 2}};
};

struct FleetRouter {
  std::string Host;
  std::string Zone;
  std::string Entry;
  std::string Peer;
  std::string Admin;
  std::string Metrics;
};

struct FleetTarget {
  std::string Name;
  std::string Zone;
  std::string Address;
  bool Service = false;
};

class LocalFleet {
public:
  /// Starts everything and applies the configuration with the operators'
  /// command. `ready()` tells whether that worked.
  explicit LocalFleet(FleetPlan plan);

  bool ready() const { return Ready; }
  const std::vector<FleetRouter> &routers() const { return Routers; }
  const std::vector<FleetTarget> &targets() const { return Targets; }
  Process &routerProcess(std::size_t i) { return RouterProcesses[i]; }
  Process &targetProcess(std::size_t i) { return TargetProcesses[i]; }
  void restartRouter(std::size_t i);
  void restartTarget(std::size_t i);

  /// Runs the operators' command against all routers.
  int ctl(std::vector<std::string> arguments, std::string &output) const;
  /// Sets the platform's fault mode: "ok", "down", "slow" or "lose_answers".
  void platformFault(const std::string &mode) const;
  /// Sets a target's fault mode.
  void targetFault(std::size_t i, const std::string &mode) const;
  /// Publishes the host list; hosts in `leaving` are marked, those in `gone`
  /// are left out.
  void publishHosts(const std::vector<std::string> &leaving,
                    const std::vector<std::string> &gone) const;
  std::string configFolder() const { return Plan.Folder + "/configuration"; }
  const std::string &platformAddress() const { return Platform; }

  /// Calls `path` at "IP:port" and returns the body; empty on failure.
  static std::string fetch(const std::string &address,
                           const std::string &method, const std::string &path,
                           const std::string &body);

private:
  void plan();
  void writeSettings(const FleetRouter &router) const;
  void writeConfiguration() const;
  void startPlatform();
  void startTarget(std::size_t i);
  void startRouter(std::size_t i);
  bool awaitRouters() const;
  bool awaitOwners() const;
  std::string program(const std::string &path) const {
    return Plan.Programs + "/" + path;
  }

  FleetPlan Plan;
  std::string Platform;
  std::string CurvePublic;
  std::string CurveSecret;
  std::vector<FleetRouter> Routers;
  std::vector<FleetTarget> Targets;
  std::vector<Process> PlatformProcess;
  std::vector<Process> TargetProcesses;
  std::vector<Process> RouterProcesses;
  bool Ready = false;
};

} // namespace nutmegsill::standin
