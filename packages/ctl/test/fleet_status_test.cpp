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

} // namespace nutmegsill
