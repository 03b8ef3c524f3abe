#include "settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace nutmegsill::gateway {

class SettingsFixture {
protected:
  nlohmann::json ValidSettings{{"gateway",
                                {{"host", "h"},
                                 {"zone", "z"},
                                 {"callers", "10.0.0.1:80"},
                                 {"readiness", "10.0.0.1:81"},
                                 {"directory", "10.0.0.1:82"},
                                 {"peer", "10.0.0.1:83"},
                                 {"metrics", "10.0.0.1:84"}}},
                               {"store", {{"address", "10.0.0.2:90"}}}};

  bool hasErrorContaining(const std::string &text) const {
    const GatewaySettingsResult result =
        parseGatewaySettings(ValidSettings.dump());
    return !result.Value &&
           std::any_of(result.Errors.begin(), result.Errors.end(),
                       [&text](const std::string &it) {
                         return it.find(text) != std::string::npos;
                       });
  }
};

TEST_CASE_METHOD(SettingsFixture, "settings_valid_are_parsed_with_defaults") {
  const GatewaySettingsResult result =
      parseGatewaySettings(ValidSettings.dump());
  REQUIRE(result.Value);
  CHECK(result.Value->Host.Text == "h");
  CHECK(result.Value->MaxDescriptors == 1024);
  CHECK(result.Value->Bounds.RevocationBound == milliseconds(5'000));
}

TEST_CASE_METHOD(SettingsFixture, "settings_exposure_bounds_turn_rollouts_on") {
  CHECK_FALSE(parseGatewaySettings(ValidSettings.dump()).Value->Bounds.Rollout);
  ValidSettings["bounds"] = {{"exposure_share", 0.2}, {"rollback_ms", 4'000}};
  const GatewaySettingsResult result =
      parseGatewaySettings(ValidSettings.dump());
  REQUIRE(result.Value);
  REQUIRE(result.Value->Bounds.Rollout);
  CHECK(result.Value->Bounds.Rollout->ExposureShare == 0.2);
  CHECK(result.Value->Bounds.Rollout->ExposureExtra == 50);
  CHECK(result.Value->Bounds.Rollout->RollbackTime == milliseconds(4'000));
}

TEST_CASE_METHOD(SettingsFixture, "settings_unknown_member_is_ignored") {
  ValidSettings["gateway"]["colour"] = 7;
  CHECK(parseGatewaySettings(ValidSettings.dump()).Value);
}

TEST_CASE_METHOD(SettingsFixture, "settings_each_invalid_member_is_reported") {
  ValidSettings["gateway"]["callers"] = "nowhere";
  ValidSettings["gateway"].erase("host");
  ValidSettings["bounds"]["revocation_ms"] = "soon";
  CHECK(hasErrorContaining("callers"));
  CHECK(hasErrorContaining("host"));
  CHECK(hasErrorContaining("revocation_ms"));
}

// Guards against second attempts that no operator has asked for.
TEST_CASE_METHOD(SettingsFixture, "settings_hedging_is_off_unless_set") {
  CHECK(parseGatewaySettings(ValidSettings.dump()).Value->Hedging.Budget == 0);
  ValidSettings["hedging"] = {{"budget", 0.02}};
  CHECK(parseGatewaySettings(ValidSettings.dump()).Value->Hedging.Budget ==
        0.02);
  ValidSettings["hedging"] = {{"budget", 2}};
  CHECK(hasErrorContaining("/hedging/budget"));
}

TEST_CASE_METHOD(SettingsFixture, "settings_short_key_is_rejected") {
  ValidSettings["curve"] = {{"public", "abc"}, {"secret", "def"}};
  CHECK(hasErrorContaining("curve"));
}

TEST_CASE("settings_any_text_is_parsed_or_rejected") {
  const bool passed = rc::check([](const std::string &text) {
    const GatewaySettingsResult result = parseGatewaySettings(text);
    RC_ASSERT(result.Value.has_value() != !result.Errors.empty());
  });
  CHECK(passed);
}

TEST_CASE_METHOD(SettingsFixture, "settings_handover_is_off_by_default") {
  const auto parse = [this] {
    return parseGatewaySettings(ValidSettings.dump());
  };
  CHECK_FALSE(parse().Value->HandoverEndpoint);
  ValidSettings["gateway"]["handover"] = "10.0.0.1:85";
  CHECK(parse().Value->HandoverEndpoint->port() == 85);
  ValidSettings["gateway"]["handover"] = "85";
  CHECK(hasErrorContaining("/gateway/handover"));
}

} // namespace nutmegsill::gateway
