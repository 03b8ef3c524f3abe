#include "nutmegsill/config.h"

#include <catch2/catch.hpp>

using namespace nutmegsill;

namespace {

struct ConfigFixture {
  std::vector<ConfigFile> Files{
      {"10-base.json", R"({"zones": {"suva-a": {}, "nadi-b": {}},
        "pools": {"captions": {"kind": "model"},
                  "licences": {"kind": "service", "prefix": "/licences"}},
        "targets": {"m1": {"pool": "captions", "zone": "suva-a",
                           "address": "127.0.0.1:1", "slots": 4}},
        "teams": {"prints": {"weight": 2}}})"}};

  ConfigResult parse() const { return parseConfiguration(Files, Revision{3}); }

  std::vector<std::string> faults() const {
    std::vector<std::string> all;
    for (const ConfigFault &it : parse().Faults) {
      all.push_back(describe(it));
    }
    return all;
  }
};

std::string in20(const std::string &fault) { return "20-bad.json: " + fault; }

} // namespace

TEST_CASE_METHOD(ConfigFixture, "config_valid_files_parsed") {
  const ConfigResult result = parse();
  REQUIRE(result.Value);
  CHECK(result.Value->Number == Revision{3});
  CHECK(result.Value->Targets.at(TargetId{"m1"}).Slots == 4);
  CHECK(result.Value->accepts(TargetId{"m1"}));
}

TEST_CASE_METHOD(ConfigFixture, "config_later_file_wins") {
  Files.push_back({"05-early.json", R"({"teams": {"prints": {"weight": 9}}})"});
  Files.push_back({"90-zone.json", R"({"zones": {"suva-a": {"out": true}}})"});
  const ConfigResult result = parse();
  REQUIRE(result.Value);
  CHECK(result.Value->Teams.at(TeamId{"prints"}).Weight == 2);
  CHECK_FALSE(result.Value->accepts(TargetId{"m1"}));
}

TEST_CASE_METHOD(ConfigFixture, "config_null_in_later_file_removes") {
  Files.push_back({"50-drop.json", R"({"targets": {"m1": null}})"});
  const ConfigResult result = parse();
  REQUIRE(result.Value);
  CHECK(result.Value->Targets.empty());
}

TEST_CASE_METHOD(ConfigFixture, "config_several_faults_all_named") {
  Files.push_back({"20-bad.json", R"({"teams": {"prints": {"weight": 0},
      "schools": {"wieght": 3}}, "targets": {"m2": {"pool": "none",
      "zone": "suva-a", "address": "nowhere"}}, "extra": 1})"});
  Files.push_back({"30-broken.json", "{"});
  CHECK(faults() ==
        std::vector<std::string>{
            "30-broken.json: /: expected a JSON object",
            "20-bad.json: /targets/m2/address: expected \"IP:port\"",
            in20("/teams/prints/weight: expected an integer from 1 to 1000"),
            in20("/teams/schools: expected only the keys weight, queue_limit, "
                 "key_sha256, not \"wieght\""),
            in20("/: expected only the keys zones, pools, targets and teams, "
                 "not \"extra\""),
            "20-bad.json: /targets/m2/pool: expected the name of a pool"});
}

TEST_CASE_METHOD(ConfigFixture, "config_name_with_slash_refused") {
  Files.push_back({"20-bad.json", R"({"teams": {"a/b~c": {}}})"});
  CHECK(faults().size() == 1);
}

TEST_CASE_METHOD(ConfigFixture, "config_path_longest_prefix_wins") {
  Files.push_back({"20-more.json", R"({"pools": {"refunds":
      {"kind": "service", "prefix": "/licences/refunds"}}})"});
  const ConfigResult result = parse();
  REQUIRE(result.Value);
  CHECK(result.Value->poolForPath("/licences/7") == PoolId{"licences"});
  CHECK(result.Value->poolForPath("/licences/refunds/7") == PoolId{"refunds"});
  CHECK_FALSE(result.Value->poolForPath("/licencesX"));
}
