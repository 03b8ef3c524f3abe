#include "caller_connections.h"

#include <algorithm>

namespace nutmegsill::gateway {

namespace {

/// Lower bound of the idle timeout; a caller that sends its requests back to
/// back needs less.
constexpr milliseconds MinIdleTimeout{300};

} // namespace

Duration CallerConnections::idleTimeout(Duration configured) const {
  if (OpenCount >= KeepAliveLimit) {
    return std::min<Duration>(MinIdleTimeout, configured);
  }
  const double freeFraction = 1.0 - static_cast<double>(OpenCount) /
                                        static_cast<double>(KeepAliveLimit);
  const Duration scaled =
      std::chrono::duration_cast<Duration>(configured * freeFraction);
  return std::min(configured, std::max<Duration>(MinIdleTimeout, scaled));
}

} // namespace nutmegsill::gateway
