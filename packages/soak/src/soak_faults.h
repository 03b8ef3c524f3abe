/// Random faults of the soak test; several may be active at the same time.
#pragma once

#include "soak_callers.h"
#include "soak_fleet.h"

#include <condition_variable>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Injected faults, for the checks and for the output of a failed seed.
struct FaultLog {
  /// One line for each start and end of a fault, with its time.
  std::vector<std::string> Events;
  /// Times at which the temporary API key was removed and restored; the second
  /// is empty while the key is removed.
  std::vector<std::pair<SoakTime, std::optional<SoakTime>>> KeyRemovals;
  /// A router's stop by SIGTERM; it ended at some time in between.
  struct PlannedStop {
    std::string RouterAddress;
    SoakTime SignalledAt;
    SoakTime EndedBy;
  };
  std::vector<PlannedStop> PlannedStops;
  /// One line for each router that did not exit with code 0 after SIGTERM.
  std::vector<std::string> UncleanStops;
};

/// Injects random faults derived from `seed` for `duration`, then undoes all of
/// them.
/// `keptIdsPercent` of the replaced targets keep their ids.
FaultLog injectFaults(SoakFleet &fleet, std::uint64_t seed,
                      std::chrono::milliseconds duration,
                      unsigned keptIdsPercent);

} // namespace nutmegsill::soak
