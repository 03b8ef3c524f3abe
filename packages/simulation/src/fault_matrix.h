/// The scenario of the fault matrix: calls of all kinds on a small fleet, and
/// faults that strike at steps of the routers' charts.
#pragma once

#include "virtual_fleet.h"

#include <string>
#include <utility>
#include <vector>

namespace nutmegsill::simulation {

enum class Fault {
  RouterKilled,
  AllRoutersKilled,
  RouterFrozen,
  PeersCut,
  StoreSilent,
  StoreRefusing,
  StoreLapsing,
  StoreSilentForOne,
  HistoryDropped,
  TargetCrash,
  TargetHangs,
  TargetFails,
  AnswersLost,
  TargetUnreachable,
  TargetDrains,
  ZoneOut,
  KeyRevoked,
  NewConfig,
  HotTeam,
};

std::vector<Fault> allFaults();
const char *faultName(Fault fault);
/// Every step of the built-in charts, as "chart.state.event".
std::vector<std::string> allTransitions();

/// Faults that strike when a step is taken for the first time under traffic.
struct FaultCell {
  std::uint64_t Seed = 1;
  std::vector<std::pair<std::string, Fault>> Injections;
};

struct CellResult {
  /// Every step was reached.
  bool AllTransitionsReached = false;
  Violations FoundViolations;
};

/// A fleet of `routers` with four engines and three plain targets in three
/// zones, and two teams.
FleetPlan smallFleetPlan(std::uint64_t seed, std::size_t routers = 5);

CellResult runCell(const FaultCell &cell);
CellResult runCell(const FaultCell &cell, FleetPlan plan);

} // namespace nutmegsill::simulation
