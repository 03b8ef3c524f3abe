#include "nutmegsill/chart.h"

#include <catch2/catch.hpp>

using namespace nutmegsill;

namespace {

struct ChartFixture {
  ChartWords Words{{"open", "closed"}, {"close", "open"}, {"idle"}};
  std::vector<std::string> Faults;

  std::optional<Chart> parse(const std::string &text) {
    return Chart::parse("door", text, Words, Faults);
  }
};

constexpr const char *Door = R"({"initial": "open", "states": {
    "open": {"close": {"to": "closed", "guard": "idle"}},
    "closed": {"open": {"to": "open"}}}})";

} // namespace

TEST_CASE_METHOD(ChartFixture, "chart_known_words_steps") {
  const std::optional<Chart> chart = parse(Door);
  REQUIRE(chart);
  CHECK(chart->initial() == "open");
  CHECK(chart->next("closed", "open") == "open");
  CHECK(chart->next("open", "open") == std::nullopt);
}

TEST_CASE_METHOD(ChartFixture, "chart_guard_false_stays") {
  const std::optional<Chart> chart = parse(Door);
  REQUIRE(chart);
  CHECK_FALSE(chart->next("open", "close"));
  CHECK_FALSE(chart->next("open", "close", [](const auto &) { return false; }));
  CHECK(chart->next("open", "close", [](const auto &) { return true; }));
}

TEST_CASE_METHOD(ChartFixture, "chart_unknown_words_all_named") {
  CHECK_FALSE(parse(R"({"initial": "open", "states": {
      "open": {"slam": {"to": "shut", "guard": "angry"}}}})"));
  CHECK(Faults == std::vector<std::string>{"unknown event \"slam\"",
                                           "unknown state \"shut\"",
                                           "unknown guard \"angry\"",
                                           "state \"closed\" is unreachable"});
}

TEST_CASE_METHOD(ChartFixture, "chart_no_json_refused") {
  CHECK_FALSE(parse("{"));
  CHECK(Faults.size() == 1);
}
