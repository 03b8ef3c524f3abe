/// Clock of the gateway process.
#pragma once

#include "nutmegsill/types.h"

#include <ctime>

namespace nutmegsill::gateway {

/// Time since the host's boot. Unlike the steady clock it includes time spent
/// suspended, so that the fleet state ages while a host is frozen.
inline Time bootTimeNow() {
  std::timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

} // namespace nutmegsill::gateway
