#include "gateway_fixture.h"

#include <algorithm>
#include <thread>

namespace nutmegsill::standin {

class GatewayOddEntriesFixture : protected GatewayFixture {
protected:
  /// Writes odd entries of each kind; `round` makes their bytes new.
  void writeOddEntries(int round) {
    const auto entry = [round](const std::string &address,
                               const std::string &slots) {
      return R"({"service":"desk","address":)" + address +
             R"(,"zone":"zone-a","slots":)" + slots +
             R"(,"state":"ready","cold-left-ms":0,"seq":)" +
             std::to_string(round) + R"(,"born":1})";
    };
    const std::string address = "\"" + freeLoopbackAddress() + "\"";
    const std::string arrays =
        std::string(100'000, '[') + std::string(100'000, ']');
    Store->put("servers/odd-1", arrays);
    Store->put("servers/odd-2", std::string(1'000'000, '['));
    Store->put("servers/odd-3", entry(address, arrays));
    Store->put("servers/odd-4", entry(address, "1e300"));
    Store->put("servers/odd-5", entry(address, "1" + std::string(400, '0')));
    Store->put("servers/odd-6", entry(address, "-1"));
    Store->put("servers/odd-7", entry(R"("127.0.0.1:70000")", "1000"));
    Store->put("servers/odd-8", entry(R"("127.0.0.1:0")", "1000"));
    Store->put("servers/odd-9", entry(R"("127.0.0.1\u0000:80")", "1000"));
    Store->put("servers/odd-10", entry(R"("host.example:80")", "1000"));
    Store->put("servers/odd-11", "\xff\xfe" + std::to_string(round));
    Store->put("servers/odd-12", "");
    Store->put("servers/a\r\nTenant: b", entry(address, "1000"));
    for (int i = 0; i < 100; ++i) {
      Store->put("servers/many-" + std::to_string(i),
                 std::to_string(round) + "?");
    }
    // Routers whose addresses no library takes.
    for (const char *peer :
         {R"("127.0.0.1\u0000:80")", R"("127.0.0.1:0")", R"("::1:80")"}) {
      Store->put("nutmegsill/routers/odd-" + std::to_string(++LastRouter),
                 R"({"zone":"zone-a","callers":"127.0.0.1:0","peer":)" +
                     std::string(peer) + R"(,"life":1e300,"processor":1e300})");
    }
  }
  bool allAnswer(const std::string &key, unsigned status) {
    return std::all_of(Routers.begin(), Routers.end(), [&](const auto &it) {
      RawRequest next;
      next.Path = "/keyed/a";
      next.ApiKey = key;
      next.RequestId = "odd-" + std::to_string(++LastRequest);
      return RawCaller(it.CallerAddress).send(next).Status == status;
    });
  }
  bool allRun() {
    return std::all_of(
        RouterProcesses.begin(), RouterProcesses.end(),
        [](Process &it) { return !it.wait(std::chrono::milliseconds(0)); });
  }
  void requireEachRequestServed() {
    for (int i = 0; i < 40; ++i) {
      REQUIRE(sendRequest("/buy/a", "buy-" + std::to_string(++LastRequest))
                  .Status == 200);
    }
  }

  int LastRequest = 0;
  int LastRouter = 0;
};

// Guards against odd entries that end the routers or the following of the list.
TEST_CASE_METHOD(GatewayOddEntriesFixture,
                 "gateway_odd_entries_leave_routers_following_the_store") {
  writeOddEntries(0);
  for (int i = 0; i < 3; ++i) {
    startRouter();
  }
  requireEachRequestServed();
  for (int round = 1; round <= 5; ++round) {
    writeOddEntries(round);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    requireEachRequestServed();
  }
  CHECK(allRun());
  writeConfig(configText(30, "\"key-prints\", \"key-new\""));
  CHECK(waitUntil([&] { return allAnswer("key-new", 200); },
                  std::chrono::seconds(2)));
  TargetStandin added("w-3", "desk", freeLoopbackAddress());
  writeTargetEntry(added);
  CHECK(waitUntil([&] {
    requireEachRequestServed();
    return !added.receivedRequests().empty();
  }));
  for (const RouterAddresses &it : Routers) {
    CHECK(resolveRouters(it).size() == 3);
  }
  CHECK(allRun());
}

TEST_CASE_METHOD(GatewayOddEntriesFixture,
                 "gateway_odd_entry_in_place_of_a_sound_one_ends_its_use") {
  startRouter();
  requireEachRequestServed();
  Store->put("servers/" + FirstTarget->id(),
             std::string(100'000, '[') + std::string(100'000, ']'));
  CHECK(waitUntil([&] {
    const std::size_t before = FirstTarget->receivedRequests().size();
    requireEachRequestServed();
    return FirstTarget->receivedRequests().size() == before;
  }));
  writeTargetEntry(*FirstTarget);
  CHECK(waitUntil([&] {
    const std::size_t before = FirstTarget->receivedRequests().size();
    requireEachRequestServed();
    return FirstTarget->receivedRequests().size() > before;
  }));
}

} // namespace nutmegsill::standin
