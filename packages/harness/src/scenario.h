/// The scenario of the fault matrix: ordinary work, a zone and a target that
/// leave and return, a crash, a planned stop, and changes of configuration.
#pragma once

#include "fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace nutmegsill::harness {

/// The faults of the matrix.
enum class Fault {
  Kill,
  Restart,
  Pause,
  CutOut,
  CutIn,
  CutBoth,
  Isolate,
  Loss,
  Duplication,
  Reordering,
  Delay,
  ServiceDown,
  ServiceSlow,
  AnswersLost,
  LateEffect,
  HostListLag,
  ColdTarget,
  Flood,
  RacingOperators,
};

std::vector<Fault> allFaults();
const char *faultName(Fault fault);

/// A step of a chart, as "chart.state.event".
std::string stepName(const std::string &chart, const std::string &state,
                     const std::string &event);

/// One cell: faults that strike when a step is taken for the first time.
struct Cell {
  std::uint64_t Seed = 1;
  std::vector<std::pair<std::string, Fault>> Strikes;
};

struct CellResult {
  /// True when every step was reached.
  bool Reached = false;
  Violations Found;
  std::vector<std::string> Trace;
};

/// Runs the scenario with the cell's faults and judges its history.
CellResult runCell(const Cell &cell, bool trace);

} // namespace nutmegsill::harness
