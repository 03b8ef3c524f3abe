#include "fleet_status.h"

#include "explain.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace nutmegsill {

using namespace routing;

class FleetStatusFixture {
protected:
  static std::string print(const std::vector<StoreUpdate> &updates,
                           bool asJson) {
    std::ostringstream out;
    printStatus(updates, asJson, out);
    return out.str();
  }
};

// Guards against output that ends at the first odd item.
TEST_CASE_METHOD(FleetStatusFixture,
                 "fleet_status_text_that_is_not_utf8_is_printed") {
  TargetEntry target;
  target.Target = TargetId{"w-1"};
  const std::vector<StoreUpdate> updates{
      UnreadableItem{"key-\xff\xfe\r\n", "unknown state \xc3", std::nullopt,
                     std::nullopt},
      ZoneEvacuated{ZoneId{"zone-\xff"}}, TargetUpdated{target}};
  for (const bool asJson : {true, false}) {
    const std::string text = print(updates, asJson);
    CHECK(text.find("w-1") != std::string::npos);
    CHECK(text.find("key-") != std::string::npos);
    CHECK(text.find('\r') == std::string::npos);
  }
}

// Guards against roll-outs that operators cannot see.
TEST_CASE_METHOD(FleetStatusFixture, "fleet_status_shows_each_rollout") {
  const PoolId pool{"desk"};
  const std::string text = print(
      {RolloutOrderUpdated{pool, RolloutOrder{"v2", std::chrono::seconds(60)}},
       RolloutStatusUpdated{pool, RolloutStatus{RolloutState::Reverted, "v2"}}},
      false);
  CHECK(text.find(R"({"pool":"desk","to":"v2","deadline_s":60.0,)"
                  R"("state":"reverted","state_of":"v2"})") !=
        std::string::npos);
}

// Guards against a log line that ends the tool by its depth.
TEST_CASE_METHOD(FleetStatusFixture, "explain_deeply_nested_line_is_skipped") {
  std::istringstream log(
      R"({"ts_ms":1,"id":"a","what":"ended","x":)" + std::string(500'000, '[') +
      std::string(500'000, ']') + "}\n" +
      R"({"ts_ms":2,"id":"a","what":"ended","outcome":"complete"})" + "\n");
  std::ostringstream out;
  CHECK(explainRequest("a", {&log}, out));
  CHECK(out.str().size() < 1'000);
}

} // namespace nutmegsill
