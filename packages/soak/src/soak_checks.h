/// Checks of the requests that callers and targets recorded in a soak test.
#pragma once

#include "soak_faults.h"

#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Returns one message for each violation. Of the calls started at or after
/// `recoveredAt`, at least 95 % must have been served with status 200.
std::vector<std::string> checkInvariants(SoakFleet &fleet,
                                         const std::vector<CallRecord> &calls,
                                         const FaultLog &faults,
                                         SoakTime recoveredAt);

} // namespace nutmegsill::soak
