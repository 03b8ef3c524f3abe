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

  bool ready() const { return Ready; }
  /// Settings and logs of the routers.
  const std::string &folder() const { return Fleet.Folder; }
  std::size_t size() const { return Fleet.Routers.size(); }
  /// Callers' addresses of the routers that a live one names.
  std::vector<std::string> addresses(std::size_t asked);
  standin::StoreStandin &store() { return *Fleet.Store; }
  std::vector<standin::WorkerStandin *> workers();
  FaultProxy &storeProxy(std::size_t router) { return *StoreProxies[router]; }
  FaultProxy &workerProxy(std::size_t worker) { return *WorkerProxies[worker]; }

  void signal(std::size_t router, int number);
  void kill(std::size_t router);
  /// The exit code; nothing when it does not end in time.
  std::optional<int> wait(std::size_t router, std::chrono::milliseconds limit);
  void restart(std::size_t router);

  /// Writes the workers' entries; those in `draining` say that they leave.
  void putWorkers(const std::set<std::size_t> &draining);
  /// Writes a new configuration; `keys` as the list of the team's keys.
  void putConfig(const std::string &keys);

private:
  standin::LocalFleet Fleet;
  std::vector<std::unique_ptr<FaultProxy>> StoreProxies;
  std::vector<std::unique_ptr<FaultProxy>> WorkerProxies;
  std::mutex Guard;
  std::uint64_t Version = 10;
  bool Ready = true;
};

} // namespace nutmegsill::soak
