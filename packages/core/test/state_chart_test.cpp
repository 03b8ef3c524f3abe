#include "nutmegsill/state_chart.h"

#include <catch2/catch.hpp>

using namespace nutmegsill;

namespace {

struct StateChartFixture {
  StateChartSymbols Symbols{{"open", "closed"}, {"close", "open"}, {"idle"}};
  std::vector<std::string> Errors;

  std::optional<StateChart> parse(const std::string &text) {
    return StateChart::parse("door", text, Symbols, Errors);
  }
};

constexpr const char *Door = R"({"initial": "open", "states": {
    "open": {"close": {"to": "closed", "guard": "idle"}},
    "closed": {"open": {"to": "open"}}}})";

} // namespace

TEST_CASE_METHOD(StateChartFixture,
                 "state_chart_known_event_returns_next_state") {
  const std::optional<StateChart> chart = parse(Door);
  REQUIRE(chart);
  CHECK(chart->initial() == "open");
  CHECK(chart->nextState("closed", "open") == "open");
  CHECK(chart->nextState("open", "open") == std::nullopt);
}

TEST_CASE_METHOD(StateChartFixture, "state_chart_false_guard_returns_nothing") {
  const std::optional<StateChart> chart = parse(Door);
  REQUIRE(chart);
  CHECK_FALSE(chart->nextState("open", "close"));
  CHECK_FALSE(
      chart->nextState("open", "close", [](const auto &) { return false; }));
  CHECK(chart->nextState("open", "close", [](const auto &) { return true; }));
}

TEST_CASE_METHOD(StateChartFixture,
                 "state_chart_unknown_names_are_all_reported") {
  CHECK_FALSE(parse(R"({"initial": "open", "states": {
      "open": {"slam": {"to": "shut", "guard": "angry"}}}})"));
  CHECK(Errors == std::vector<std::string>{"unknown event \"slam\"",
                                           "unknown state \"shut\"",
                                           "unknown guard \"angry\"",
                                           "state \"closed\" is unreachable"});
}

TEST_CASE_METHOD(StateChartFixture, "state_chart_malformed_json_is_an_error") {
  CHECK_FALSE(parse("{"));
  CHECK(Errors.size() == 1);
}
