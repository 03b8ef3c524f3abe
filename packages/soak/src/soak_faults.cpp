#include "soak_faults.h"

#include <csignal>
#include <map>

namespace nutmegsill::soak {

using standin::StoreMode;
using standin::WorkerMode;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ShortestGap{60};
constexpr milliseconds LongestGap{300};
constexpr milliseconds LongestFault{2'000};
/// Grace of the routers' settings, and time to notice the end.
constexpr milliseconds StopLimit{7'000};
/// A process that has not installed its handlers yet ends by the signal.
constexpr milliseconds StartTime{500};
constexpr const char *BothKeys = R"("key-prints","key-temporary")";
constexpr const char *OneKey = R"("key-prints")";

class Injector {
public:
  Injector(SoakFleet &fleet, std::uint64_t seed)
      : Fleet(fleet), Random(seed), Start(now()) {
    Fleet.putConfig(BothKeys);
  }

  FaultLog run(milliseconds span) {
    const SoakTime end = Start + span;
    while (now() < end) {
      runDue(now());
      strike();
      std::this_thread::sleep_for(between(ShortestGap, LongestGap));
    }
    mendAll();
    return std::move(Log);
  }

private:
  static SoakTime now() { return std::chrono::steady_clock::now(); }
  milliseconds between(milliseconds least, milliseconds most) {
    return least +
           milliseconds(static_cast<std::int64_t>(
               Random() % static_cast<std::uint64_t>((most - least).count())));
  }
  void note(const std::string &what) {
    const auto at =
        std::chrono::duration_cast<milliseconds>(now() - Start).count();
    Log.Lines.push_back(std::to_string(at) + " ms: " + what);
  }
  /// Undoes a fault later; a fault of the same name that still holds is undone
  /// by the later of the two.
  void later(const std::string &name, std::function<void()> undo) {
    Due[name] = {now() + between(milliseconds(100), LongestFault),
                 std::move(undo)};
  }
  void runDue(SoakTime time) {
    for (auto it = Due.begin(); it != Due.end();) {
      if (it->second.first > time) {
        ++it;
        continue;
      }
      const std::function<void()> undo = std::move(it->second.second);
      note("end of " + it->first);
      it = Due.erase(it);
      undo();
    }
  }

  void strike() {
    const std::size_t router = Random() % Fleet.size();
    const std::string name = "router " + std::to_string(router);
    switch (Random() % 10) {
    case 0:
      return freeze(router, name);
    case 1:
      return killRouter(router, name);
    case 2:
      return stopRouter(router, name);
    case 3:
      return disturbStore();
    case 4:
      return disturbWorker();
    case 5:
      return disturbProxy("store of " + name, Fleet.storeProxy(router));
    case 6: {
      const std::size_t worker = Random() % Fleet.workers().size();
      return disturbProxy("worker " + std::to_string(worker),
                          Fleet.workerProxy(worker));
    }
    case 7:
      return changeKeys();
    case 8:
      return drainWorker();
    default:
      note("new configuration");
      return Fleet.putConfig(KeyIsGone ? OneKey : BothKeys);
    }
  }

  bool busy(const std::string &name) const {
    return Due.count(name) > 0 || Due.count(name + " held") > 0;
  }
  void freeze(std::size_t router, const std::string &name) {
    if (busy(name)) {
      return;
    }
    note(name + " frozen");
    Fleet.signal(router, SIGSTOP);
    later(name + " held", [this, router] { Fleet.signal(router, SIGCONT); });
  }
  void killRouter(std::size_t router, const std::string &name) {
    if (busy(name)) {
      return;
    }
    note(name + " killed");
    Fleet.kill(router);
    later(name, [this, router, name] { restart(router, name); });
  }
  void restart(std::size_t router, const std::string &name) {
    Fleet.restart(router);
    Due[name + " held"] = {now() + StartTime, [] {}};
  }
  void stopRouter(std::size_t router, const std::string &name) {
    if (busy(name)) {
      return;
    }
    note(name + " stops");
    Fleet.signal(router, SIGTERM);
    const SoakTime asked = now();
    Due[name] = {asked + StopLimit, [this, router, name] {
                   const std::optional<int> code =
                       Fleet.wait(router, milliseconds(0));
                   if (code != 0) {
                     Log.BadStops.push_back(
                         name + (code ? " ended with " + std::to_string(*code)
                                      : " still ran"));
                     Fleet.kill(router);
                   }
                   restart(router, name);
                 }};
  }
  void disturbStore() {
    switch (Random() % 4) {
    case 0:
      note("store silent");
      Fleet.store().setMode(StoreMode::Silent);
      break;
    case 1:
      note("store refuses");
      Fleet.store().setMode(StoreMode::Refusing);
      break;
    case 2:
      note("store drops its history");
      return Fleet.store().dropHistory();
    default:
      note("store loses answers");
      return Fleet.store().loseAnswers(2);
    }
    later("store", [this] { Fleet.store().setMode(StoreMode::Serving); });
  }
  void disturbWorker() {
    const std::vector<WorkerMode> modes{
        WorkerMode::Failing,        WorkerMode::Full,
        WorkerMode::LosingAnswers,  WorkerMode::CuttingStreams,
        WorkerMode::AnsweringTwice, WorkerMode::Hanging};
    const std::size_t worker = Random() % Fleet.workers().size();
    const WorkerMode mode = modes[Random() % modes.size()];
    const std::string name = "mode of worker " + std::to_string(worker);
    note(name + " " + std::to_string(static_cast<int>(mode)));
    Fleet.workers()[worker]->setMode(mode);
    later(name, [this, worker] {
      Fleet.workers()[worker]->setMode(WorkerMode::Serving);
    });
  }
  void disturbProxy(const std::string &name, FaultProxy &proxy) {
    const std::vector<ProxyMode> modes{ProxyMode::Delayed, ProxyMode::Reset,
                                       ProxyMode::Silent, ProxyMode::CutForth,
                                       ProxyMode::CutBack};
    const ProxyMode mode = modes[Random() % modes.size()];
    note(name + " connections " + std::to_string(static_cast<int>(mode)));
    proxy.setMode(mode);
    later(name, [&proxy] { proxy.setMode(ProxyMode::Open); });
  }
  void changeKeys() {
    KeyIsGone = !KeyIsGone;
    note(KeyIsGone ? "key removed" : "key put back");
    if (KeyIsGone) {
      Fleet.putConfig(OneKey);
      Log.KeyGone.emplace_back(now(), std::nullopt);
    } else {
      Log.KeyGone.back().second = now();
      Fleet.putConfig(BothKeys);
    }
  }
  void drainWorker() {
    const std::size_t worker = Random() % Fleet.workers().size();
    note("worker " + std::to_string(worker) + " drains");
    Fleet.putWorkers({worker});
    later("draining", [this] { Fleet.putWorkers({}); });
  }
  void mendAll() {
    while (!Due.empty()) {
      runDue(now() + LongestFault);
      if (!Due.empty()) {
        std::this_thread::sleep_for(ShortestGap);
      }
    }
    if (KeyIsGone) {
      changeKeys();
    }
  }

  SoakFleet &Fleet;
  std::mt19937_64 Random;
  SoakTime Start;
  FaultLog Log;
  bool KeyIsGone = false;
  std::map<std::string, std::pair<SoakTime, std::function<void()>>> Due;
};

} // namespace

FaultLog injectFaults(SoakFleet &fleet, std::uint64_t seed, milliseconds span) {
  return Injector(fleet, seed).run(span);
}

} // namespace nutmegsill::soak
