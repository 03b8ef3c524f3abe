#include "soak_fleet.h"

namespace nutmegsill::soak {

namespace asio = boost::asio;
using standin::freeLoopbackAddress;
using standin::LocalFleet;
using standin::TargetStandin;

namespace {

constexpr std::chrono::milliseconds EventPause{10};
/// Receive buffer that keeps most of an upload unwritten.
constexpr int SmallReceiveBuffer = 4'096;
constexpr std::chrono::milliseconds MaxTearDelay{300};

/// Sends part of a response at once, and resets the connection later.
asio::awaitable<void> tearResponse(standin::RawTargetConnection &connection) {
  co_await connection.send(connection.head("200 OK") + "\r\nthe first part");
  const std::size_t random = std::hash<std::string>()(connection.RequestId);
  co_await connection.sleep(MaxTearDelay * (random % 10) / 10);
  connection.close();
}

} // namespace

const std::vector<std::string> &SoakFleet::versions() {
  static const std::vector<std::string> names{"v1", "v2"};
  return names;
}

SoakFleet::SoakFleet(const std::string &program, std::size_t routers)
    : Fleet(program), TornTargetEntry("t-1", "torn", freeLoopbackAddress()),
      TornTarget(freeLoopbackAddress(), tearResponse, SmallReceiveBuffer) {
  Fleet.eraseTargetEntry(*Fleet.FirstTarget);
  Fleet.eraseTargetEntry(*Fleet.SecondTarget);
  for (std::size_t version = 0; version < versions().size(); ++version) {
    for (std::size_t i = 0; i < TargetsPerVersion; ++i) {
      Targets.push_back(startTarget("w-" + std::to_string(LastStart + 1),
                                    freeLoopbackAddress(), version));
      TargetVersions.push_back(version);
      TargetProxies.push_back(
          std::make_unique<FaultProxy>(Targets.back()->address()));
    }
  }
  Fleet.writeTargetEntry(TornTargetEntry, "ready", TornTarget.address());
  writeTargetEntries({});
  const std::string store = Fleet.StoreAddress;
  for (std::size_t i = 0; i < routers; ++i) {
    StoreProxies.push_back(std::make_unique<FaultProxy>(store));
    Fleet.StoreAddress = StoreProxies.back()->address();
    Ready = Fleet.addRouter() && Ready;
  }
}

std::unique_ptr<TargetStandin>
SoakFleet::startTarget(const std::string &id, const std::string &address,
                       std::size_t version) {
  std::unique_ptr<TargetStandin> target =
      std::make_unique<TargetStandin>(id, "desk", address);
  target->setVersion(versions()[version]);
  target->setStartedAtMs(++LastStart);
  target->nameVersionInEvents();
  target->setEventPause(EventPause);
  return target;
}

std::vector<TargetStandin *> SoakFleet::targets(bool ended) {
  std::vector<TargetStandin *> all;
  all.reserve(Targets.size() + EndedTargets.size());
  for (const std::unique_ptr<TargetStandin> &it : Targets) {
    all.push_back(it.get());
  }
  for (const std::unique_ptr<TargetStandin> &it : EndedTargets) {
    if (ended) {
      all.push_back(it.get());
    }
  }
  return all;
}

std::set<std::size_t> SoakFleet::targetsOfVersion(std::size_t version) const {
  std::set<std::size_t> found;
  for (std::size_t i = 0; i < TargetVersions.size(); ++i) {
    if (TargetVersions[i] == version) {
      found.insert(i);
    }
  }
  return found;
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
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    if (Removed.count(i) == 0) {
      const bool drains = draining.count(i) > 0 || Draining.count(i) > 0;
      Fleet.writeTargetEntry(*Targets[i], drains ? "draining" : "ready",
                             TargetProxies[i]->address());
    }
  }
}

void SoakFleet::drainTargets(const std::set<std::size_t> &leaving) {
  Draining = leaving;
  writeTargetEntries({});
}

void SoakFleet::removeTargets(const std::set<std::size_t> &leaving, bool ends) {
  Removed = leaving;
  for (const std::size_t it : leaving) {
    Fleet.eraseTargetEntry(*Targets[it]);
    if (ends) {
      Targets[it]->end();
    }
  }
}

void SoakFleet::replaceTargets(const std::set<std::size_t> &leaving,
                               std::size_t version, bool keepIds) {
  if (!keepIds) {
    removeTargets(leaving, true);
  }
  for (const std::size_t it : leaving) {
    Targets[it]->end();
    const std::string id =
        keepIds ? Targets[it]->id() : "w-" + std::to_string(LastStart + 1);
    EndedTargets.push_back(std::exchange(
        Targets[it], startTarget(id, Targets[it]->address(), version)));
    TargetVersions[it] = version;
  }
  Draining.clear();
  Removed.clear();
  writeTargetEntries({});
}

void SoakFleet::writeConfig(const std::string &apiKeysJson) {
  Fleet.writeConfig(LocalFleet::configText(++ConfigVersion, apiKeysJson, "desk",
                                           UploadBytes));
}

} // namespace nutmegsill::soak
