// Every fault at every step of the charts, and drawn pairs.
//
// To replay one cell:
// NUTMEGSILL_CELL=chart.state.event/fault[+chart.state.event/fault][@seed]
#include "scenario.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

namespace nutmegsill::simulation {

namespace {

std::string cellName(const Cell &cell) {
  std::string name;
  for (const auto &[step, fault] : cell.Strikes) {
    name += (name.empty() ? "" : "+") + step + "/" + faultName(fault);
  }
  return name + "@" + std::to_string(cell.Seed);
}

std::optional<Cell> parseCell(const std::string &text) {
  Cell cell;
  const std::size_t at = text.find('@');
  if (at != std::string::npos) {
    cell.Seed = std::stoull(text.substr(at + 1));
  }
  std::stringstream parts(text.substr(0, at));
  std::string part;
  while (std::getline(parts, part, '+')) {
    const std::size_t slash = part.find('/');
    for (const Fault fault : allFaults()) {
      if (slash != std::string::npos &&
          part.substr(slash + 1) == faultName(fault)) {
        cell.Strikes.emplace_back(part.substr(0, slash), fault);
      }
    }
  }
  return cell.Strikes.empty() ? std::nullopt : std::optional<Cell>(cell);
}

struct Tally {
  int Ran = 0;
  int Held = 0;
  int NotReached = 0;
};

void judge(const Cell &cell, Tally &tally) {
  const CellResult result = runCell(cell);
  ++tally.Ran;
  tally.Held += result.Found.empty() ? 1 : 0;
  tally.NotReached += result.Reached ? 0 : 1;
  for (const std::string &it : result.Found) {
    std::cout << "cell " << cellName(cell) << ": " << it << "\n";
  }
  if (!result.Reached) {
    std::cout << "cell " << cellName(cell) << ": not reached\n";
  }
  if (!result.Found.empty()) {
    std::cout << "replay: NUTMEGSILL_CELL='" << cellName(cell)
              << "' simulation_test\n";
  }
  CHECK(result.Found.empty());
}

void print(const char *what, const Tally &tally) {
  std::cout << what << ": " << tally.Ran << " cells ran, " << tally.Held
            << " held, " << tally.Ran - tally.Held << " failed, "
            << tally.NotReached << " whose step was not reached\n";
}

} // namespace

TEST_CASE("matrix_every_fault_at_every_step_promises_hold") {
  Tally tally;
  if (const char *name = std::getenv("NUTMEGSILL_CELL")) {
    const std::optional<Cell> cell = parseCell(name);
    REQUIRE(cell);
    judge(*cell, tally);
    return;
  }
  constexpr std::uint64_t seeds = 5;
  for (const std::string &step : allSteps()) {
    for (const Fault fault : allFaults()) {
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        judge(Cell{seed, {{step, fault}}}, tally);
      }
    }
  }
  print("single faults", tally);
  CHECK(tally.NotReached == 0);
}

// The seed is fixed by RC_PARAMS in the test's environment.
TEST_CASE("matrix_pairs_of_faults_promises_hold") {
  const std::vector<std::string> steps = allSteps();
  const std::vector<Fault> faults = allFaults();
  Tally tally;
  const bool held = rc::check([&] {
    Cell cell;
    cell.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000);
    for (int i = 0; i < 2; ++i) {
      const std::size_t step = *rc::gen::inRange<std::size_t>(0, steps.size());
      const std::size_t fault =
          *rc::gen::inRange<std::size_t>(0, faults.size());
      cell.Strikes.emplace_back(steps[step], faults[fault]);
    }
    const CellResult result = runCell(cell);
    ++tally.Ran;
    tally.Held += result.Found.empty() ? 1 : 0;
    tally.NotReached += result.Reached ? 0 : 1;
    if (!result.Found.empty()) {
      std::cout << "cell " << cellName(cell) << ": " << result.Found.front()
                << "\n";
      RC_FAIL("replay: NUTMEGSILL_CELL='" + cellName(cell) +
              "' simulation_test");
    }
  });
  print("pairs of faults", tally);
  CHECK(held);
}

// A bound that is too long must be found, or the matrix would prove nothing.
TEST_CASE("matrix_configuration_that_counts_as_current_too_long_is_found") {
  const std::string step = "store_link.watching.watched";
  const Cell cell{
      1, {{step, Fault::StoreSilentForOne}, {step, Fault::KeyRevoked}}};
  CHECK(runCell(cell).Found.empty());
  FleetPlan plan = smallFleet(cell.Seed);
  plan.Admission.MaxConfigAgeFraction = 1.5;
  CHECK_FALSE(runCell(cell, plan).Found.empty());
}

} // namespace nutmegsill::simulation
