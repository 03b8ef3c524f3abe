/// Two simple ways of sharing, to compare with: first come first served over
/// all slots, and a static part of the slots for each entry and team.
#pragma once

#include "workload.h"

namespace nutmegsill::harness {

enum class BaselineKind { FirstCome, StaticShares };

/// Runs the loads on ideal slots without any message delay.
Report runBaseline(BaselineKind kind, const std::vector<HostId> &entries,
                   const std::vector<TeamLoad> &loads, std::uint32_t slots,
                   Duration unitTime, std::uint64_t seed, Time until);

} // namespace nutmegsill::harness
