/// A fleet in which routers reach the store and the targets through proxies
/// that inject faults.
#pragma once

#include "fault_proxy.h"
#include "local_fleet.h"
#include "raw_target.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Thread-safe after construction, except for the targets: only the thread that
/// injects faults uses them before the callers have stopped.
class SoakFleet {
public:
  /// Targets of each of the two versions at the start and after the faults.
  static constexpr std::size_t TargetsPerVersion = 2;
  static const std::vector<std::string> &versions();
  /// More than the system's buffers between a router and a target hold.
  static constexpr std::size_t UploadBytes = 4'000'000;

  SoakFleet(const std::string &program, std::size_t routers);

  /// True when each router was ready within 5 s of its first start.
  bool isReady() const { return Ready; }
  /// Directory of the routers' settings and logs.
  const std::string &tempDir() const { return Fleet.TempDir; }
  std::size_t routerCount() const { return Fleet.Routers.size(); }
  /// Address of a router for callers.
  const std::string &routerAddress(std::size_t router) const {
    return Fleet.Routers[router].CallerAddress;
  }
  /// Caller addresses that the directory of `router` returns; empty when it
  /// returns none.
  std::vector<std::string> resolveRouters(std::size_t router);
  standin::StoreStandin &store() { return *Fleet.Store; }
  /// Targets that run, and with `ended` the processes before them.
  std::vector<standin::TargetStandin *> targets(bool ended = false);
  /// Targets that run `versions()[version]`.
  std::set<std::size_t> targetsOfVersion(std::size_t version) const;
  FaultProxy &storeProxy(std::size_t router) { return *StoreProxies[router]; }
  FaultProxy &targetProxy(std::size_t target) { return *TargetProxies[target]; }

  void signalRouter(std::size_t router, int number);
  void killRouter(std::size_t router);
  /// Returns the exit code, 128 plus the signal number when a signal ended the
  /// process, or nothing when it still runs after `timeout`.
  std::optional<int> waitForRouter(std::size_t router,
                                   std::chrono::milliseconds timeout);
  void restartRouter(std::size_t router);

  /// Writes the entries of all targets that have not been removed: "draining"
  /// for those whose index is in `draining` and those that leave, "ready" for
  /// all others.
  void writeTargetEntries(const std::set<std::size_t> &draining);
  /// The targets drain until `replaceTargets`.
  void drainTargets(const std::set<std::size_t> &leaving);
  /// Removes the entries of the targets until `replaceTargets`, and `ends` the
  /// processes.
  void removeTargets(const std::set<std::size_t> &leaving, bool ends);
  /// Ends the targets and starts others at their addresses, which run
  /// `versions()[version]`; with `keepIds`, they keep their ids.
  void replaceTargets(const std::set<std::size_t> &leaving, std::size_t version,
                      bool keepIds);
  /// Writes a configuration with the next version; `apiKeysJson` holds the
  /// elements of the team's JSON list of keys.
  void writeConfig(const std::string &apiKeysJson);

private:
  std::unique_ptr<standin::TargetStandin>
  startTarget(const std::string &id, const std::string &address,
              std::size_t version);

  standin::LocalFleet Fleet;
  std::vector<std::unique_ptr<standin::TargetStandin>> Targets;
  /// Index in `versions()` for each target.
  std::vector<std::size_t> TargetVersions;
  std::vector<std::unique_ptr<standin::TargetStandin>> EndedTargets;
  std::set<std::size_t> Draining;
  std::set<std::size_t> Removed;
  std::int64_t LastStart = 0;
  /// Has the entry of `TornTarget`.
  standin::TargetStandin TornTargetEntry;
  /// Tears each response while its request is written.
  standin::RawTarget TornTarget;
  std::vector<std::unique_ptr<FaultProxy>> StoreProxies;
  std::vector<std::unique_ptr<FaultProxy>> TargetProxies;
  std::mutex Mutex;
  std::uint64_t ConfigVersion = 10;
  bool Ready = true;
};

} // namespace nutmegsill::soak
