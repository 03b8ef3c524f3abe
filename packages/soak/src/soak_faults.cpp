#include "soak_faults.h"

#include <csignal>
#include <iterator>
#include <map>

namespace nutmegsill::soak {

using standin::StoreMode;
using standin::TargetMode;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds MinFaultGap{60};
constexpr milliseconds MaxFaultGap{300};
constexpr milliseconds MaxFaultDuration{2'000};
/// Time between changes of many processes: the shortest, and its random part in
/// milliseconds.
constexpr milliseconds MinChangeGap{300};
constexpr std::uint64_t ChangeGapRange = 900;
constexpr std::uint64_t MaxSeries = 6;
/// Longest time for which all routers or the targets of a version are away, in
/// milliseconds.
constexpr std::uint64_t MaxAbsence = 700;
/// Stop grace of the routers' settings, 6 s, and 1 s to notice the exit.
constexpr milliseconds StopTimeout{7'000};
/// Time for a router to install its signal handlers; before that, a signal ends
/// the process.
constexpr milliseconds StartupTime{500};
constexpr const char *BothKeysJson = R"("key-prints","key-temporary")";
constexpr const char *PermanentKeyJson = R"("key-prints")";

class FaultInjector {
public:
  FaultInjector(SoakFleet &fleet, std::uint64_t seed, unsigned keptIdsPercent)
      : KeptIdsPercent(keptIdsPercent), Fleet(fleet), Random(seed),
        ChangeRandom(~seed), Start(now()) {
    Fleet.writeConfig(BothKeysJson);
  }

  FaultLog run(milliseconds duration) {
    const SoakTime deadline = Start + duration;
    while (now() < deadline) {
      runDueUndos(now());
      injectRandomFault();
      if (now() >= NextChange) {
        changeFleet();
        NextChange = now() + MinChangeGap +
                     milliseconds(ChangeRandom() % ChangeGapRange);
      }
      std::this_thread::sleep_for(randomBetween(MinFaultGap, MaxFaultGap));
    }
    undoAllFaults();
    return std::move(Log);
  }

private:
  static SoakTime now() { return std::chrono::steady_clock::now(); }
  milliseconds randomBetween(milliseconds minimum, milliseconds maximum) {
    return minimum + milliseconds(static_cast<std::int64_t>(
                         Random() % static_cast<std::uint64_t>(
                                        (maximum - minimum).count())));
  }
  void logEvent(const std::string &event) {
    const auto elapsedMs =
        std::chrono::duration_cast<milliseconds>(now() - Start).count();
    Log.Events.push_back(std::to_string(elapsedMs) + " ms: " + event);
  }
  /// Schedules the undo of a fault at a random time, 100 ms to 2 s from now;
  /// replaces a pending undo of the same name.
  void scheduleUndo(const std::string &name, std::function<void()> undo) {
    PendingUndos[name] = {
        now() + randomBetween(milliseconds(100), MaxFaultDuration),
        std::move(undo)};
  }
  /// Runs the undos that are due at or before `dueBy`.
  void runDueUndos(SoakTime dueBy) {
    for (auto it = PendingUndos.begin(); it != PendingUndos.end();) {
      if (it->second.first > dueBy) {
        ++it;
        continue;
      }
      const std::function<void()> undo = std::move(it->second.second);
      logEvent("fault ended: " + it->first);
      it = PendingUndos.erase(it);
      undo();
    }
  }

  void injectRandomFault() {
    const std::size_t router = Random() % Fleet.routerCount();
    const std::string name = "router " + std::to_string(router);
    switch (Random() % 10) {
    case 0:
      return freezeRouter(router, name);
    case 1:
      return killRouter(router, name);
    case 2:
      return stopRouter(router, name);
    case 3:
      return injectStoreFault();
    case 4:
      return injectTargetFault();
    case 5:
      return injectConnectionFault("store proxy of " + name,
                                   Fleet.storeProxy(router));
    case 6: {
      const std::size_t target = Random() % Fleet.targets().size();
      return injectConnectionFault("target proxy " + std::to_string(target),
                                   Fleet.targetProxy(target));
    }
    case 7:
      return toggleTemporaryKey();
    case 8:
      return drainTarget();
    default:
      logEvent("new configuration written");
      return Fleet.writeConfig(TemporaryKeyRemoved ? PermanentKeyJson
                                                   : BothKeysJson);
    }
  }

  /// Changes many processes at once, or injects faults in a series.
  void changeFleet() {
    switch (ChangeRandom() % 4) {
    case 0:
      return killAllRouters();
    case 1:
      return changeVersion();
    case 2:
      changeVersion();
      return killAllRouters();
    default:
      for (std::uint64_t i = ChangeRandom() % MaxSeries; i > 0; --i) {
        injectRandomFault();
      }
    }
  }
  void killAllRouters() {
    const SoakTime restartAt =
        now() + milliseconds(ChangeRandom() % MaxAbsence);
    for (std::size_t i = 0; i < Fleet.routerCount(); ++i) {
      const std::string name = "router " + std::to_string(i);
      if (!hasPendingUndo(name)) {
        killRouter(i, name);
        PendingUndos[name].first = restartAt;
      }
    }
  }
  /// The targets of one version, or half of them if all run it, leave and come
  /// back with the other version.
  void changeVersion() {
    const std::string name = "change of version";
    if (hasPendingUndo(name)) {
      return;
    }
    std::size_t version = ChangeRandom() % SoakFleet::versions().size();
    std::set<std::size_t> leaving = Fleet.targetsOfVersion(version);
    if (leaving.empty()) {
      version = 1 - version;
      leaving = Fleet.targetsOfVersion(version);
    }
    if (leaving.size() > SoakFleet::TargetsPerVersion) {
      leaving.erase(leaving.begin(),
                    std::next(leaving.begin(), SoakFleet::TargetsPerVersion));
    }
    const std::uint64_t way = ChangeRandom() % 4;
    logEvent(std::to_string(leaving.size()) + " targets leave " +
             SoakFleet::versions()[version] + ", way " + std::to_string(way));
    if (way == 0) {
      Fleet.drainTargets(leaving);
    } else if (way == 1 || way == 2) {
      Fleet.removeTargets(leaving, way == 2);
    }
    // Way 3 replaces the processes at once.
    PendingUndos[name] = {
        now() + milliseconds(way == 3 ? 0 : ChangeRandom() % MaxAbsence),
        [this, leaving, version,
         keepIds = ChangeRandom() % 100 < KeptIdsPercent] {
          Fleet.replaceTargets(leaving, 1 - version, keepIds);
        }};
  }

  bool hasPendingUndo(const std::string &name) const {
    return PendingUndos.count(name) > 0 ||
           PendingUndos.count(name + " unavailable") > 0;
  }
  void freezeRouter(std::size_t router, const std::string &name) {
    if (hasPendingUndo(name)) {
      return;
    }
    logEvent(name + " frozen by SIGSTOP");
    Fleet.signalRouter(router, SIGSTOP);
    scheduleUndo(name + " unavailable",
                 [this, router] { Fleet.signalRouter(router, SIGCONT); });
  }
  void killRouter(std::size_t router, const std::string &name) {
    if (hasPendingUndo(name)) {
      return;
    }
    logEvent(name + " killed by SIGKILL");
    Fleet.killRouter(router);
    scheduleUndo(name, [this, router, name] { restart(router, name); });
  }
  void restart(std::size_t router, const std::string &name) {
    Fleet.restartRouter(router);
    PendingUndos[name + " unavailable"] = {now() + StartupTime, [] {}};
  }
  void stopRouter(std::size_t router, const std::string &name) {
    if (hasPendingUndo(name)) {
      return;
    }
    logEvent(name + " signalled with SIGTERM");
    Fleet.signalRouter(router, SIGTERM);
    const SoakTime signalledAt = now();
    PendingUndos[name] = {
        signalledAt + StopTimeout, [this, router, name, signalledAt] {
          std::optional<int> code =
              Fleet.waitForRouter(router, milliseconds(0));
          // At the end of the faults this runs before the time is up.
          while (!code && now() < signalledAt + StopTimeout) {
            std::this_thread::sleep_for(MinFaultGap);
            code = Fleet.waitForRouter(router, milliseconds(0));
          }
          if (code != 0) {
            Log.UncleanStops.push_back(
                name + (code ? " exited with code " + std::to_string(*code)
                             : " was still running"));
            Fleet.killRouter(router);
          } else {
            Log.PlannedStops.push_back(
                {Fleet.routerAddress(router), signalledAt, now()});
          }
          restart(router, name);
        }};
  }
  void injectStoreFault() {
    switch (Random() % 4) {
    case 0:
      logEvent("store sends no response");
      Fleet.store().setMode(StoreMode::Silent);
      break;
    case 1:
      logEvent("store responds with 503");
      Fleet.store().setMode(StoreMode::Refusing);
      break;
    case 2:
      logEvent("store discards its change history");
      return Fleet.store().dropHistory();
    default:
      logEvent("store drops the next two responses");
      return Fleet.store().dropNextResponses(2);
    }
    scheduleUndo("store",
                 [this] { Fleet.store().setMode(StoreMode::Serving); });
  }
  void injectTargetFault() {
    const std::vector<TargetMode> modes{TargetMode::Failing,
                                        TargetMode::Rejecting,
                                        TargetMode::DroppingResponses,
                                        TargetMode::TruncatingStreams,
                                        TargetMode::DuplicatingResponses,
                                        TargetMode::Hanging};
    const std::size_t target = Random() % Fleet.targets().size();
    const TargetMode mode = modes[Random() % modes.size()];
    const std::string name = "mode of target " + std::to_string(target);
    logEvent(name + " set to " + std::to_string(static_cast<int>(mode)));
    Fleet.targets()[target]->setMode(mode);
    scheduleUndo(name, [this, target] {
      Fleet.targets()[target]->setMode(TargetMode::Serving);
    });
  }
  void injectConnectionFault(const std::string &name, FaultProxy &proxy) {
    const std::vector<ProxyMode> modes{
        ProxyMode::Delaying, ProxyMode::Resetting, ProxyMode::Blocking,
        ProxyMode::BlockingToServer, ProxyMode::BlockingToClient};
    const ProxyMode mode = modes[Random() % modes.size()];
    logEvent(name + " set to mode " + std::to_string(static_cast<int>(mode)));
    proxy.setMode(mode);
    scheduleUndo(name, [&proxy] { proxy.setMode(ProxyMode::Forwarding); });
  }
  void toggleTemporaryKey() {
    TemporaryKeyRemoved = !TemporaryKeyRemoved;
    logEvent(TemporaryKeyRemoved ? "temporary API key removed"
                                 : "temporary API key restored");
    if (TemporaryKeyRemoved) {
      Fleet.writeConfig(PermanentKeyJson);
      Log.KeyRemovals.emplace_back(now(), std::nullopt);
    } else {
      Log.KeyRemovals.back().second = now();
      Fleet.writeConfig(BothKeysJson);
    }
  }
  void drainTarget() {
    const std::size_t target = Random() % Fleet.targets().size();
    logEvent("target " + std::to_string(target) + " set to draining");
    Fleet.writeTargetEntries({target});
    scheduleUndo("draining", [this] { Fleet.writeTargetEntries({}); });
  }
  void undoAllFaults() {
    while (!PendingUndos.empty()) {
      runDueUndos(now() + MaxFaultDuration);
      if (!PendingUndos.empty()) {
        std::this_thread::sleep_for(MinFaultGap);
      }
    }
    if (TemporaryKeyRemoved) {
      toggleTemporaryKey();
    }
    if (Fleet.targetsOfVersion(0).size() != SoakFleet::TargetsPerVersion) {
      changeVersion();
      undoAllFaults();
    }
  }

  const unsigned KeptIdsPercent;
  SoakFleet &Fleet;
  std::mt19937_64 Random;
  /// Selects the changes of many processes at once.
  std::mt19937_64 ChangeRandom;
  SoakTime NextChange;
  SoakTime Start;
  FaultLog Log;
  bool TemporaryKeyRemoved = false;
  std::map<std::string, std::pair<SoakTime, std::function<void()>>>
      PendingUndos;
};

} // namespace

FaultLog injectFaults(SoakFleet &fleet, std::uint64_t seed,
                      milliseconds duration, unsigned keptIdsPercent) {
  return FaultInjector(fleet, seed, keptIdsPercent).run(duration);
}

} // namespace nutmegsill::soak
