/// A fleet in which routers reach the store and the targets through proxies
/// that inject faults.
#pragma once

#include "fault_proxy.h"
#include "local_fleet.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Thread-safe after construction.
class SoakFleet {
public:
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
  std::vector<standin::TargetStandin *> targets();
  FaultProxy &storeProxy(std::size_t router) { return *StoreProxies[router]; }
  FaultProxy &targetProxy(std::size_t target) { return *TargetProxies[target]; }

  void signalRouter(std::size_t router, int number);
  void killRouter(std::size_t router);
  /// Returns the exit code, 128 plus the signal number when a signal ended the
  /// process, or nothing when it still runs after `timeout`.
  std::optional<int> waitForRouter(std::size_t router,
                                   std::chrono::milliseconds timeout);
  void restartRouter(std::size_t router);

  /// Writes the entries of all targets to the store: targets whose index is in
  /// `draining` with the state "draining", all other targets with "ready".
  void writeTargetEntries(const std::set<std::size_t> &draining);
  /// Writes a configuration with the next version; `apiKeysJson` holds the
  /// elements of the team's JSON list of keys.
  void writeConfig(const std::string &apiKeysJson);

private:
  standin::LocalFleet Fleet;
  std::vector<std::unique_ptr<FaultProxy>> StoreProxies;
  std::vector<std::unique_ptr<FaultProxy>> TargetProxies;
  std::mutex Mutex;
  std::uint64_t ConfigVersion = 10;
  bool Ready = true;
};

} // namespace nutmegsill::soak
