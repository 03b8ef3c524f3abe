/// Checks of what callers and workers saw in a soak.
#pragma once

#include "soak_faults.h"

#include <string>
#include <vector>

namespace nutmegsill::soak {

/// Sentences about broken promises; empty when all held. Calls since `calm`
/// must be served again.
std::vector<std::string> checkSoak(SoakFleet &fleet,
                                   const std::vector<SeenCall> &calls,
                                   const FaultLog &faults, SoakTime calm);

} // namespace nutmegsill::soak
