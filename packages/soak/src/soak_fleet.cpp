#include "soak_fleet.h"

#include <csignal>

namespace nutmegsill::soak {

using standin::LocalFleet;

SoakFleet::SoakFleet(const std::string &program, std::size_t routers)
    : Fleet(program) {
  for (const standin::WorkerStandin *it : workers()) {
    WorkerProxies.push_back(std::make_unique<FaultProxy>(it->address()));
  }
  putWorkers({});
  const std::string store = Fleet.StoreAddress;
  for (std::size_t i = 0; i < routers; ++i) {
    StoreProxies.push_back(std::make_unique<FaultProxy>(store));
    Fleet.StoreAddress = StoreProxies.back()->address();
    Ready = Fleet.addRouter() && Ready;
  }
}

std::vector<standin::WorkerStandin *> SoakFleet::workers() {
  return {Fleet.One.get(), Fleet.Two.get()};
}

std::vector<std::string> SoakFleet::addresses(std::size_t asked) {
  return Fleet.addresses(Fleet.Routers[asked]);
}

void SoakFleet::signal(std::size_t router, int number) {
  const std::lock_guard<std::mutex> lock(Guard);
  Fleet.Processes[router].signal(number);
}

void SoakFleet::kill(std::size_t router) {
  const std::lock_guard<std::mutex> lock(Guard);
  Fleet.Processes[router].kill();
}

std::optional<int> SoakFleet::wait(std::size_t router,
                                   std::chrono::milliseconds limit) {
  const std::lock_guard<std::mutex> lock(Guard);
  return Fleet.Processes[router].wait(limit);
}

void SoakFleet::restart(std::size_t router) {
  const std::lock_guard<std::mutex> lock(Guard);
  Fleet.restartRouter(router);
}

void SoakFleet::putWorkers(const std::set<std::size_t> &draining) {
  const std::vector<standin::WorkerStandin *> all = workers();
  for (std::size_t i = 0; i < all.size(); ++i) {
    const char *state = draining.count(i) > 0 ? "draining" : "ready";
    Fleet.putWorker(*all[i], state, WorkerProxies[i]->address());
  }
}

void SoakFleet::putConfig(const std::string &keys) {
  Fleet.putConfig(LocalFleet::configText(++Version, keys));
}

} // namespace nutmegsill::soak
