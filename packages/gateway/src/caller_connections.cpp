#include "caller_connections.h"

#include <algorithm>

namespace nutmegsill::gateway {

namespace {

/// A caller that sends its requests one after the other needs less.
constexpr milliseconds ShortestIdle{300};

} // namespace

Duration CallerConnections::idleTime(Duration configured) const {
  if (Open >= Most) {
    return std::min<Duration>(ShortestIdle, configured);
  }
  const double left =
      1.0 - static_cast<double>(Open) / static_cast<double>(Most);
  const Duration scaled =
      std::chrono::duration_cast<Duration>(configured * left);
  return std::min(configured, std::max<Duration>(ShortestIdle, scaled));
}

} // namespace nutmegsill::gateway
