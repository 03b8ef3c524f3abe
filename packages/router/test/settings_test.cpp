#include "settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace nutmegsill;
using nlohmann::json;

namespace {

struct SettingsFixture {
  json Text{
      {"host", "h1"},
      {"zone", "suva-a"},
      {"entry", "127.0.0.1:1"},
      {"peer", "127.0.0.1:2"},
      {"metrics", "127.0.0.1:3"},
      {"admin",
       {{"address", "127.0.0.1:4"}, {"key_sha256", std::string(64, 'a')}}},
      {"platform",
       {{"key_value", {"127.0.0.1:5"}}, {"host_list", "127.0.0.1:6"}}},
      {"curve",
       {{"public", std::string(40, 'p')}, {"secret", std::string(40, 's')}}}};
};

} // namespace

TEST_CASE_METHOD(SettingsFixture, "settings_valid_read") {
  const SettingsResult result = parseSettings(Text.dump());
  REQUIRE(result.Value);
  CHECK(result.Value->Self.Host == HostId{"h1"});
  CHECK(result.Value->KeyValue.size() == 1);
}

TEST_CASE_METHOD(SettingsFixture, "settings_several_faults_all_named") {
  Text.erase("zone");
  Text["entry"] = "nowhere";
  Text["admin"]["key_sha256"] = "short";
  Text["limits"] = {{"max_body_bytes", 0}, {"max_boddy", 1}};
  Text["extra"] = 1;
  const SettingsResult result = parseSettings(Text.dump());
  const std::string hashFault = "/admin/key_sha256: expected a SHA-256 hash "
                                "as 64 lower-case hex digits";
  CHECK_FALSE(result.Value);
  CHECK(result.Faults ==
        std::vector<std::string>{
            "/zone: expected a non-empty string",
            "/entry: expected \"IP:port\"", hashFault,
            "/limits/max_body_bytes: expected an integer from 1 to 1073741824",
            "/limits/max_boddy: expected no such key here",
            "/extra: expected no such key here"});
}

TEST_CASE_METHOD(SettingsFixture, "settings_no_json_one_fault") {
  CHECK(parseSettings("{").Faults.size() == 1);
}
