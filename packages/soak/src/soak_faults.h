/// Faults of a soak, in series that overlap.
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

/// What the faults did that the checks must know.
struct FaultLog {
  /// One line for each fault, for a failed seed.
  std::vector<std::string> Events;
  /// The temporary key was removed, until it was put back.
  std::vector<std::pair<SoakTime, std::optional<SoakTime>>> KeyRemovals;
  /// How routers that did not end cleanly after a planned stop did.
  std::vector<std::string> UncleanStops;
};

/// Injects faults drawn from `seed` for `duration`, then mends all of them.
FaultLog injectFaults(SoakFleet &fleet, std::uint64_t seed,
                      std::chrono::milliseconds duration);

} // namespace nutmegsill::soak
