#include "gateway_fixture.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace nutmegsill::standin {

/// Targets that end with each deadly request; another one takes the place of
/// each.
class GatewayCrashFixture : protected GatewayFixture {
protected:
  using Clock = std::chrono::steady_clock;

  GatewayCrashFixture() {
    for (std::size_t i = 0; i < TargetCount; ++i) {
      addTarget();
    }
    Store->erase("servers/" + FirstTarget->id());
    Store->erase("servers/" + SecondTarget->id());
    Supervisor = std::thread([this] { replaceEndedTargets(); });
  }
  ~GatewayCrashFixture() {
    Stopping = true;
    Supervisor.join();
  }

  RawResponse send(RawRequest request) {
    const RouterAddresses &router =
        Routers[static_cast<std::size_t>(++LastRequest) % Routers.size()];
    request.RequestId = "crash-" + std::to_string(LastRequest);
    return RawCaller(router.CallerAddress).send(request);
  }
  std::vector<Clock::time_point> crashes() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return CrashedAt;
  }
  /// The users' bound: three more sends, from three seconds after the third
  /// crash. Sound requests beside are served.
  void checkKeptFromTargets(const RawRequest &deadly, const RawRequest &sound) {
    for (int i = 0; i < 3; ++i) {
      startRouter();
    }
    int failed = 0;
    unsigned lastStatus = 0;
    const Clock::time_point end = Clock::now() + std::chrono::seconds(9);
    while (Clock::now() < end) {
      lastStatus = send(deadly).Status;
      failed += send(sound).Status == 200 ? 0 : 1;
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    CHECK(lastStatus == 422);
    CHECK(failed == 0);
    const std::vector<Clock::time_point> all = crashes();
    REQUIRE(all.size() >= 3);
    const Clock::time_point bound = all[2] + std::chrono::seconds(3);
    CHECK(std::count_if(all.begin(), all.end(), [bound](Clock::time_point it) {
            return it >= bound;
          }) <= 3);
  }

private:
  static constexpr std::size_t TargetCount = 4;

  void addTarget() {
    Targets.push_back(std::make_unique<TargetStandin>(
        "desk-" + std::to_string(++LastTarget), "desk", freeLoopbackAddress()));
    Targets.back()->setMode(TargetMode::Ending);
    writeTargetEntry(*Targets.back());
  }
  void replaceEndedTargets() {
    while (!Stopping) {
      for (std::size_t i = 0; i < Targets.size(); ++i) {
        if (Targets[i]->hasEnded()) {
          const std::string id = Targets[i]->id();
          Targets.erase(Targets.begin() + static_cast<std::ptrdiff_t>(i));
          Store->erase("servers/" + id);
          addTarget();
          const std::lock_guard<std::mutex> lock(Mutex);
          CrashedAt.push_back(Clock::now());
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::vector<std::unique_ptr<TargetStandin>> Targets;
  std::thread Supervisor;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<Clock::time_point> CrashedAt;
  int LastTarget = 0;
  int LastRequest = 0;
};

// Guards against one request that crashes server after server.
TEST_CASE_METHOD(GatewayCrashFixture,
                 "gateway_request_that_crashes_targets_is_kept_from_them") {
  RawRequest deadly;
  deadly.Path = "/buy/a";
  deadly.Body = "a deadly order";
  RawRequest sound;
  sound.Path = "/buy/a";
  checkKeptFromTargets(deadly, sound);
}

TEST_CASE_METHOD(
    GatewayCrashFixture,
    "gateway_bodyless_request_that_crashes_targets_is_kept_from_them") {
  RawRequest deadly;
  deadly.Method = "GET";
  deadly.Path = "/safe/deadly";
  RawRequest sound = deadly;
  sound.Path = "/safe/a";
  checkKeptFromTargets(deadly, sound);
}

} // namespace nutmegsill::standin
