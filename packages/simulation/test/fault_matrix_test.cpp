// Injects every fault at every transition of the state charts, and random pairs
// of faults.
//
// To replay one cell, set
// NUTMEGSILL_CELL=chart.state.event/fault[+chart.state.event/fault][@seed]
#include "fault_matrix.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

namespace nutmegsill::simulation {

namespace {

std::string cellName(const FaultCell &cell) {
  std::string name;
  for (const auto &[transition, fault] : cell.Injections) {
    name += (name.empty() ? "" : "+") + transition + "/" + faultName(fault);
  }
  return name + "@" + std::to_string(cell.Seed);
}

std::optional<FaultCell> parseCell(const std::string &text) {
  FaultCell cell;
  const std::size_t separator = text.find('@');
  if (separator != std::string::npos) {
    cell.Seed = std::stoull(text.substr(separator + 1));
  }
  std::stringstream parts(text.substr(0, separator));
  std::string part;
  while (std::getline(parts, part, '+')) {
    const std::size_t slash = part.find('/');
    for (const Fault fault : allFaults()) {
      if (slash != std::string::npos &&
          part.substr(slash + 1) == faultName(fault)) {
        cell.Injections.emplace_back(part.substr(0, slash), fault);
      }
    }
  }
  return cell.Injections.empty() ? std::nullopt
                                 : std::optional<FaultCell>(cell);
}

struct Tally {
  int CellsRun = 0;
  int CellsPassed = 0;
  int CellsNotReached = 0;
};

void runAndTally(const FaultCell &cell, Tally &tally) {
  const CellResult result = runCell(cell);
  ++tally.CellsRun;
  tally.CellsPassed += result.FoundViolations.empty() ? 1 : 0;
  tally.CellsNotReached += result.AllTransitionsReached ? 0 : 1;
  for (const std::string &it : result.FoundViolations) {
    std::cout << "cell " << cellName(cell) << ": " << it << "\n";
  }
  if (!result.AllTransitionsReached) {
    std::cout << "cell " << cellName(cell) << ": transition not reached\n";
  }
  if (!result.FoundViolations.empty()) {
    std::cout << "replay: NUTMEGSILL_CELL='" << cellName(cell)
              << "' simulation_test\n";
  }
  CHECK(result.FoundViolations.empty());
}

void printTally(const char *title, const Tally &tally) {
  std::cout << title << ": " << tally.CellsRun << " cells run, "
            << tally.CellsPassed << " passed, "
            << tally.CellsRun - tally.CellsPassed << " failed, "
            << tally.CellsNotReached
            << " with a transition that was not reached\n";
}

} // namespace

TEST_CASE("fault_matrix_every_fault_at_every_transition_invariants_hold") {
  Tally tally;
  if (const char *name = std::getenv("NUTMEGSILL_CELL")) {
    const std::optional<FaultCell> cell = parseCell(name);
    REQUIRE(cell);
    runAndTally(*cell, tally);
    return;
  }
  constexpr std::uint64_t seeds = 5;
  for (const std::string &transition : allTransitions()) {
    for (const Fault fault : allFaults()) {
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        runAndTally(FaultCell{seed, {{transition, fault}}}, tally);
      }
    }
  }
  printTally("single faults", tally);
  CHECK(tally.CellsNotReached == 0);
}

// The seed is fixed by RC_PARAMS in the test's environment.
TEST_CASE("fault_matrix_pairs_of_faults_invariants_hold") {
  const std::vector<std::string> transitions = allTransitions();
  const std::vector<Fault> faults = allFaults();
  Tally tally;
  const bool passed = rc::check([&] {
    FaultCell cell;
    cell.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000);
    for (int i = 0; i < 2; ++i) {
      const std::size_t transition =
          *rc::gen::inRange<std::size_t>(0, transitions.size());
      const std::size_t fault =
          *rc::gen::inRange<std::size_t>(0, faults.size());
      cell.Injections.emplace_back(transitions[transition], faults[fault]);
    }
    const CellResult result = runCell(cell);
    ++tally.CellsRun;
    tally.CellsPassed += result.FoundViolations.empty() ? 1 : 0;
    tally.CellsNotReached += result.AllTransitionsReached ? 0 : 1;
    if (!result.FoundViolations.empty()) {
      std::cout << "cell " << cellName(cell) << ": "
                << result.FoundViolations.front() << "\n";
      RC_FAIL("replay: NUTMEGSILL_CELL='" + cellName(cell) +
              "' simulation_test");
    }
  });
  printTally("pairs of faults", tally);
  CHECK(passed);
}

// Checks that the matrix detects violations; otherwise its passes would prove
// nothing. With the maximum configuration age set too high, a router that
// cannot reach the store keeps serving a revoked key.
TEST_CASE("fault_matrix_configuration_used_too_long_is_reported") {
  const std::string transition = "store_link.watching.watched";
  const FaultCell cell{1,
                       {{transition, Fault::StoreSilentForOne},
                        {transition, Fault::KeyRevoked}}};
  CHECK(runCell(cell).FoundViolations.empty());
  FleetPlan plan = smallFleetPlan(cell.Seed);
  plan.Admission.MaxConfigAgeFraction = 1.5;
  CHECK_FALSE(runCell(cell, plan).FoundViolations.empty());
}

} // namespace nutmegsill::simulation
