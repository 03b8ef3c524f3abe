#include "caller_connections.h"

#include <algorithm>

namespace nutmegsill::gateway {

namespace {

/// Lower bound of the idle timeout; a caller that sends its requests back to
/// back needs less.
constexpr milliseconds MinIdleTimeout{300};

} // namespace

void CallerConnections::endRequests(bool readFirst) const {
  for (CallerConnection *it : Open) {
    it->endRequest(readFirst);
  }
}

void CallerConnections::closeIdle() const {
  for (CallerConnection *it : Open) {
    it->closeIfIdle();
  }
}

void CallerConnections::checkTargets(Time now) const {
  for (CallerConnection *it : Open) {
    it->checkTarget(now);
  }
}

Duration CallerConnections::idleTimeout(Duration configured) const {
  if (Open.size() >= KeepAliveLimit) {
    return std::min<Duration>(MinIdleTimeout, configured);
  }
  const double freeFraction = 1.0 - static_cast<double>(Open.size()) /
                                        static_cast<double>(KeepAliveLimit);
  const Duration scaled =
      std::chrono::duration_cast<Duration>(configured * freeFraction);
  return std::min(configured, std::max<Duration>(MinIdleTimeout, scaled));
}

} // namespace nutmegsill::gateway
