#include "settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace nutmegsill::gateway {

class SettingsFixture {
protected:
  nlohmann::json Valid{{"gateway",
                        {{"host", "h"},
                         {"zone", "z"},
                         {"callers", "10.0.0.1:80"},
                         {"readiness", "10.0.0.1:81"},
                         {"directory", "10.0.0.1:82"},
                         {"peer", "10.0.0.1:83"},
                         {"metrics", "10.0.0.1:84"}}},
                       {"store", {{"address", "10.0.0.2:90"}}}};

  bool faultNames(const std::string &part) const {
    const GatewaySettingsResult result = parseGatewaySettings(Valid.dump());
    return !result.Value &&
           std::any_of(result.Faults.begin(), result.Faults.end(),
                       [&part](const std::string &it) {
                         return it.find(part) != std::string::npos;
                       });
  }
};

TEST_CASE_METHOD(SettingsFixture, "settings_valid_are_read_with_defaults") {
  const GatewaySettingsResult result = parseGatewaySettings(Valid.dump());
  REQUIRE(result.Value);
  CHECK(result.Value->Host.Text == "h");
  CHECK(result.Value->Descriptors == 1024);
  CHECK(result.Value->Bounds.Revocation == milliseconds(5'000));
}

TEST_CASE_METHOD(SettingsFixture, "settings_unknown_member_is_ignored") {
  Valid["gateway"]["colour"] = 7;
  CHECK(parseGatewaySettings(Valid.dump()).Value);
}

TEST_CASE_METHOD(SettingsFixture, "settings_each_wrong_member_is_named") {
  Valid["gateway"]["callers"] = "nowhere";
  Valid["gateway"].erase("host");
  Valid["bounds"]["revocation_ms"] = "soon";
  CHECK(faultNames("callers"));
  CHECK(faultNames("host"));
  CHECK(faultNames("revocation_ms"));
}

TEST_CASE_METHOD(SettingsFixture, "settings_short_key_is_refused") {
  Valid["curve"] = {{"public", "abc"}, {"secret", "def"}};
  CHECK(faultNames("curve"));
}

TEST_CASE("settings_any_text_is_read_or_refused") {
  const bool held = rc::check([](const std::string &text) {
    const GatewaySettingsResult result = parseGatewaySettings(text);
    RC_ASSERT(result.Value.has_value() != !result.Faults.empty());
  });
  CHECK(held);
}

} // namespace nutmegsill::gateway
