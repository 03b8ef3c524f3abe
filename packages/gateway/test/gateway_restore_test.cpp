#include "gateway_fixture.h"

#include <algorithm>
#include <thread>

namespace nutmegsill::standin {

class GatewayRestoreFixture : protected GatewayFixture {
protected:
  static constexpr std::chrono::milliseconds ApplyBound{2'000};

  /// Takes the store away for a moment and brings its copy back.
  void restoreStore() {
    Store->setMode(StoreMode::Refusing);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Store->restoreCopy();
    Store->setMode(StoreMode::Serving);
  }
  unsigned statusOf(const RouterAddresses &router, const std::string &path,
                    const std::string &key = "key-prints") {
    RawRequest next;
    next.Path = path;
    next.ApiKey = key;
    next.RequestId = "restore-" + std::to_string(++LastRequest);
    return RawCaller(router.CallerAddress).send(next).Status;
  }
  bool allAnswer(const std::string &key, unsigned status) {
    return std::all_of(Routers.begin(), Routers.end(), [&](const auto &it) {
      return statusOf(it, "/keyed/a", key) == status;
    });
  }

  int LastRequest = 0;
};

// Guards against changes that are missed as the store's revision is lower.
TEST_CASE_METHOD(GatewayRestoreFixture,
                 "gateway_restored_store_change_is_in_force_in_time") {
  for (int i = 0; i < 3; ++i) {
    startRouter();
  }
  Store->keepCopy();
  for (std::uint64_t version = 4; version <= 20; ++version) {
    writeConfig(configText(version));
  }
  REQUIRE(waitUntil([&] { return allAnswer("key-prints", 200); }));
  restoreStore();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  writeConfig(configText(30, "\"key-prints\", \"key-new\""));
  CHECK(waitUntil([&] { return allAnswer("key-new", 200); }, ApplyBound));
}

// Guards against changes below the old revision that are lost for good.
TEST_CASE_METHOD(GatewayRestoreFixture,
                 "gateway_restored_store_that_passes_old_revision_is_noticed") {
  for (int i = 0; i < 3; ++i) {
    startRouter();
  }
  Store->keepCopy();
  writeConfig(configText(4));
  REQUIRE(waitUntil([&] { return allAnswer("key-prints", 200); }));
  Store->setMode(StoreMode::Refusing);
  Store->restoreCopy();
  writeConfig(configText(30, "\"key-prints\", \"key-new\""));
  for (int i = 0; i < 10; ++i) {
    Store->put("unrelated", "x");
  }
  Store->setMode(StoreMode::Serving);
  CHECK(waitUntil([&] { return allAnswer("key-new", 200); }, ApplyBound));
}

TEST_CASE_METHOD(GatewayRestoreFixture,
                 "gateway_restored_store_configuration_does_not_go_back") {
  startRouter();
  writeConfig(configText(4, "\"key-prints\", \"key-old\""));
  REQUIRE(waitUntil([&] { return allAnswer("key-old", 200); }));
  Store->keepCopy();
  writeConfig(configText(5));
  REQUIRE(waitUntil([&] { return allAnswer("key-old", 401); }));
  restoreStore();
  for (int i = 0; i < 20; ++i) {
    CHECK(statusOf(Routers[0], "/keyed/a", "key-old") == 401);
    CHECK(statusOf(Routers[0], "/keyed/a") == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

TEST_CASE_METHOD(GatewayRestoreFixture,
                 "gateway_restored_store_gets_routers_registered_anew") {
  Store->keepCopy();
  for (int i = 0; i < 3; ++i) {
    startRouter();
  }
  REQUIRE(waitUntil([&] { return resolveRouters(Routers[0]).size() == 3; }));
  restoreStore();
  const std::string prefix = "nutmegsill/routers/";
  CHECK(Store->keysWithPrefix(prefix).empty());
  for (int i = 0; i < 30; ++i) {
    CHECK(resolveRouters(Routers[0]).size() == 3);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(Store->keysWithPrefix(prefix).size() == 3);
}

TEST_CASE_METHOD(GatewayRestoreFixture,
                 "gateway_restored_store_target_that_left_gets_nothing") {
  startRouter();
  Store->keepCopy();
  writeTargetEntry(*FirstTarget, "draining");
  REQUIRE(waitUntil([&] {
    const std::size_t before = FirstTarget->receivedRequests().size();
    for (int i = 0; i < 6; ++i) {
      statusOf(Routers[0], "/keyed/a");
    }
    return FirstTarget->receivedRequests().size() == before;
  }));
  const std::size_t before = FirstTarget->receivedRequests().size();
  restoreStore();
  for (int i = 0; i < 30; ++i) {
    CHECK(statusOf(Routers[0], "/keyed/a") == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(FirstTarget->receivedRequests().size() == before);
}

} // namespace nutmegsill::standin
