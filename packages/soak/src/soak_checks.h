/// Checks of the requests that callers and targets recorded in a soak test.
#pragma once

#include "soak_faults.h"

#include <string>
#include <vector>

namespace nutmegsill::soak {

struct SoakResult {
  /// One message for each violation.
  std::vector<std::string> Violations;
  /// Ids of streams with events of two versions.
  std::vector<std::string> MixedStreams;
  /// Streams taken up after the recovery, and those of them that went on.
  std::size_t TakenUp = 0;
  std::size_t WentOn = 0;
};

/// Of the calls started at or after `recoveredAt`, at least 95 % must have been
/// served with status 200, except uploads, and streams that are taken up must
/// go on at least half as often as new ones begin.
SoakResult checkInvariants(SoakFleet &fleet,
                           const std::vector<CallRecord> &calls,
                           const FaultLog &faults, SoakTime recoveredAt);

} // namespace nutmegsill::soak
