/// A fleet whose connections to the store and to targets lead through proxies.
#pragma once

#include "fault_proxy.h"
#include "local_fleet.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Thread-safe, but for the constructor.
class SoakFleet {
public:
  SoakFleet(const std::string &program, std::size_t routers);

  bool isReady() const { return Ready; }
  /// Settings and logs of the routers.
  const std::string &tempDir() const { return Fleet.TempDir; }
  std::size_t routerCount() const { return Fleet.Routers.size(); }
  /// Callers' addresses of the routers that a live one names.
  std::vector<std::string> resolveRouters(std::size_t router);
  standin::StoreStandin &store() { return *Fleet.Store; }
  std::vector<standin::TargetStandin *> targets();
  FaultProxy &storeProxy(std::size_t router) { return *StoreProxies[router]; }
  FaultProxy &targetProxy(std::size_t target) { return *TargetProxies[target]; }

  void signalRouter(std::size_t router, int number);
  void killRouter(std::size_t router);
  /// The exit code; nothing when it does not end in time.
  std::optional<int> waitForRouter(std::size_t router,
                                   std::chrono::milliseconds limit);
  void restartRouter(std::size_t router);

  /// Writes the targets' entries; those in `draining` say that they leave.
  void writeTargetEntries(const std::set<std::size_t> &draining);
  /// Writes a new configuration; `keys` as the list of the team's keys.
  void writeConfig(const std::string &keys);

private:
  standin::LocalFleet Fleet;
  std::vector<std::unique_ptr<FaultProxy>> StoreProxies;
  std::vector<std::unique_ptr<FaultProxy>> TargetProxies;
  std::mutex Mutex;
  std::uint64_t ConfigVersion = 10;
  bool Ready = true;
};

} // namespace nutmegsill::soak
