/// Checks of what callers and workers saw in a soak.
#pragma once

#include "soak_faults.h"

#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Sentences about broken promises; empty when all held. Calls since
/// `recoveredAt` must be served again.
std::vector<std::string> checkInvariants(SoakFleet &fleet,
                                         const std::vector<CallRecord> &calls,
                                         const FaultLog &faults,
                                         SoakTime recoveredAt);

} // namespace nutmegsill::soak
