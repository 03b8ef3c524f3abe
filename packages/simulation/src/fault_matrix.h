/// The fault matrix: a small fleet that serves calls of all kinds, and faults
/// injected at transitions of the routers' state charts.
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
  /// The store comes back from a copy that is two seconds old; what operators
  /// and targets wrote since is written again.
  StoreRestored,
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
/// All transitions of the store link's state chart, as
/// "store_link.state.event".
std::vector<std::string> allTransitions();

/// Faults, each injected when its transition is first taken under traffic,
/// between 2 s and 9 s of virtual time.
struct FaultCell {
  std::uint64_t Seed = 1;
  std::vector<std::pair<std::string, Fault>> Injections;
};

struct CellResult {
  /// Every transition of the cell was reached, so that all its faults were
  /// injected.
  bool AllTransitionsReached = false;
  Violations FoundViolations;
};

/// A fleet of `routers` routers with four engines and three targets of a plain
/// service in three zones, and two teams.
FleetPlan smallFleetPlan(std::uint64_t seed, std::size_t routers = 5);

CellResult runCell(const FaultCell &cell);
CellResult runCell(const FaultCell &cell, FleetPlan plan);

} // namespace nutmegsill::simulation
