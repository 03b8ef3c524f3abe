/// Checks of the requests that callers and targets recorded in a soak test.
#pragma once

#include "soak_faults.h"

#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Returns one message for each violation. Of the calls started at or after
/// `recoveredAt`, a minimum fraction must have been served.
std::vector<std::string> checkInvariants(SoakFleet &fleet,
                                         const std::vector<CallRecord> &calls,
                                         const FaultLog &faults,
                                         SoakTime recoveredAt);

} // namespace nutmegsill::soak
