#include "soak_fleet.h"

#include <csignal>

namespace nutmegsill::soak {

using standin::LocalFleet;

SoakFleet::SoakFleet(const std::string &program, std::size_t routers)
    : Fleet(program) {
  for (const standin::TargetStandin *it : targets()) {
    TargetProxies.push_back(std::make_unique<FaultProxy>(it->address()));
  }
  writeTargetEntries({});
  const std::string store = Fleet.StoreAddress;
  for (std::size_t i = 0; i < routers; ++i) {
    StoreProxies.push_back(std::make_unique<FaultProxy>(store));
    Fleet.StoreAddress = StoreProxies.back()->address();
    Ready = Fleet.addRouter() && Ready;
  }
}

std::vector<standin::TargetStandin *> SoakFleet::targets() {
  return {Fleet.FirstTarget.get(), Fleet.SecondTarget.get()};
}

std::vector<std::string> SoakFleet::resolveRouters(std::size_t router) {
  return Fleet.resolveRouters(Fleet.Routers[router]);
}

void SoakFleet::signalRouter(std::size_t router, int number) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Fleet.RouterProcesses[router].signal(number);
}

void SoakFleet::killRouter(std::size_t router) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Fleet.RouterProcesses[router].kill();
}

std::optional<int> SoakFleet::waitForRouter(std::size_t router,
                                            std::chrono::milliseconds timeout) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Fleet.RouterProcesses[router].wait(timeout);
}

void SoakFleet::restartRouter(std::size_t router) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Fleet.restartRouter(router);
}

void SoakFleet::writeTargetEntries(const std::set<std::size_t> &draining) {
  const std::vector<standin::TargetStandin *> all = targets();
  for (std::size_t i = 0; i < all.size(); ++i) {
    const char *state = draining.count(i) > 0 ? "draining" : "ready";
    Fleet.writeTargetEntry(*all[i], state, TargetProxies[i]->address());
  }
}

void SoakFleet::writeConfig(const std::string &apiKeysJson) {
  Fleet.writeConfig(LocalFleet::configText(++ConfigVersion, apiKeysJson));
}

} // namespace nutmegsill::soak
