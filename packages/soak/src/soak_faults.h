/// Faults of a soak, in series that overlap.
#pragma once

#include "soak_calls.h"
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
  std::vector<std::string> Lines;
  /// The temporary key was removed, until it was put back.
  std::vector<std::pair<SoakTime, std::optional<SoakTime>>> KeyGone;
  /// How routers that did not end cleanly after a planned stop did.
  std::vector<std::string> BadStops;
};

/// Injects faults drawn from `seed` for `span`, then mends all of them.
FaultLog injectFaults(SoakFleet &fleet, std::uint64_t seed,
                      std::chrono::milliseconds span);

} // namespace nutmegsill::soak
