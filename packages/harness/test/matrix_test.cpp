// The fault matrix: every fault at every step of every chart.
//
// NUTMEGSILL_SHARD=I/N runs each N-th cell from I on. To replay one cell:
// NUTMEGSILL_CELL=chart.state.event/fault[+chart.state.event/fault][@seed]
#include "scenario.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>

using namespace nutmegsill;
using namespace nutmegsill::harness;

namespace {

std::vector<std::string> allSteps() {
  std::vector<std::string> faults;
  const std::shared_ptr<const Charts> charts =
      parseCharts(builtInCharts(), faults);
  std::vector<std::string> all;
  for (const Chart *chart : {&charts->Target, &charts->Request,
                             &charts->Ownership, &charts->Instance}) {
    for (const auto &[state, event] : chart->steps()) {
      all.push_back(stepName(chart->name(), state, event));
    }
  }
  return all;
}

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

/// Prints the last lines before the first violation is over.
void printTrace(const Cell &cell) {
  constexpr std::size_t most = 200;
  const CellResult again = runCell(cell, true);
  const std::size_t from =
      again.Trace.size() > most ? again.Trace.size() - most : 0;
  for (std::size_t i = from; i < again.Trace.size(); ++i) {
    std::cout << "  " << again.Trace[i] << "\n";
  }
}

struct Tally {
  int Ran = 0;
  int Held = 0;
  int NotReached = 0;
};

/// Runs the cell with further seeds until its steps are reached.
CellResult runUntilReached(Cell &cell) {
  constexpr std::uint64_t tries = 4;
  const std::uint64_t first = cell.Seed;
  CellResult result = runCell(cell, false);
  while (!result.Reached && result.Found.empty() && cell.Seed < first + tries) {
    ++cell.Seed;
    result = runCell(cell, false);
  }
  return result;
}

void judge(Cell cell, Tally &tally) {
  const CellResult result = runUntilReached(cell);
  tally.NotReached += result.Reached ? 0 : 1;
  ++tally.Ran;
  tally.Held += result.Found.empty() ? 1 : 0;
  for (const std::string &it : result.Found) {
    std::cout << "cell " << cellName(cell) << ": " << it << "\n";
  }
  if (!result.Found.empty()) {
    std::cout << "replay: NUTMEGSILL_CELL='" << cellName(cell)
              << "' matrix_test\n";
  }
  CHECK(result.Found.empty());
}

bool inShard(std::size_t index) {
  const char *shard = std::getenv("NUTMEGSILL_SHARD");
  if (shard == nullptr) {
    return true;
  }
  const std::string text = shard;
  const std::size_t slash = text.find('/');
  return index % std::stoul(text.substr(slash + 1)) ==
         std::stoul(text.substr(0, slash));
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
    printTrace(*cell);
    return;
  }
  std::size_t index = 0;
  for (const std::string &step : allSteps()) {
    for (const Fault fault : allFaults()) {
      if (inShard(index++)) {
        judge(Cell{1, {{step, fault}}}, tally);
      }
    }
  }
  print("single faults", tally);
}

// Pairs of faults, and a third seed for the schedule, drawn and shortened by
// rapidcheck. The seed is fixed by RC_PARAMS in the test's environment.
TEST_CASE("matrix_pairs_of_faults_promises_hold") {
  const std::vector<std::string> steps = allSteps();
  const std::vector<Fault> faults = allFaults();
  Tally tally;
  const bool held = rc::check([&] {
    Cell cell;
    cell.Seed = *rc::gen::inRange<std::uint64_t>(1, 50);
    for (int i = 0; i < 2; ++i) {
      const std::size_t step = *rc::gen::inRange<std::size_t>(0, steps.size());
      const std::size_t fault =
          *rc::gen::inRange<std::size_t>(0, faults.size());
      cell.Strikes.emplace_back(steps[step], faults[fault]);
    }
    const CellResult result = runCell(cell, false);
    ++tally.Ran;
    tally.Held += result.Found.empty() ? 1 : 0;
    tally.NotReached += result.Reached ? 0 : 1;
    if (!result.Found.empty()) {
      std::cout << "cell " << cellName(cell) << ": " << result.Found.front()
                << "\n";
      RC_FAIL("replay: NUTMEGSILL_CELL='" + cellName(cell) + "' matrix_test");
    }
  });
  print("pairs of faults", tally);
  CHECK(held);
}
